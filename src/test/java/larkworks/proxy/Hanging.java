package larkworks.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A backend to which connections come up only once the test lets them: its queue is full until then. */
final class Hanging implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    private final List<Socket> fillers = new ArrayList<>();

    /** With its queue full the system drops new connections, and who connects tries again after a second. */
    Hanging() throws IOException {
        listener.setSoTimeout((int) Peer.LIMIT_S * 1000);
        for (int i = 0; i < 2; i++) {
            fillers.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Lets connections come up; returns the first that was kept waiting. */
    Socket accept() throws IOException {
        while (!fillers.isEmpty()) {
            listener.accept().close();
            fillers.remove(0).close();
        }
        return listener.accept();
    }

    /** Whether nothing has come on the connection so far. */
    static boolean silent(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : fillers) {
            socket.close();
        }
        listener.close();
    }
}
