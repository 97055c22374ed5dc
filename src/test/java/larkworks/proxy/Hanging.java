package larkworks.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A backend whose accept queue is full, so that connecting to it blocks until the test calls accept. */
final class Hanging implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    private final List<Socket> fillers = new ArrayList<>();

    /** Fills the accept queue: the kernel then drops new SYNs, and the peer repeats them after 1 s. */
    Hanging() throws IOException {
        listener.setSoTimeout((int) Peer.LIMIT_S * 1000);
        for (int i = 0; i < 2; i++) {
            fillers.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Empties the accept queue and returns the first connection that was blocked by it. */
    Socket accept() throws IOException {
        while (!fillers.isEmpty()) {
            listener.accept().close();
            fillers.remove(0).close();
        }
        return listener.accept();
    }

    /** Returns whether no byte has been received on the connection. */
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
