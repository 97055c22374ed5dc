package larkworks.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A backend whose accept queue is full, so that connecting to it blocks until the test calls accept. */
final class FullBacklogServer implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    private final List<Socket> queueFillers = new ArrayList<>();

    /** Fills the accept queue: the kernel then drops new SYNs, and the peer repeats them after 1 s. */
    FullBacklogServer() throws IOException {
        listener.setSoTimeout((int) StubServer.TIMEOUT_S * 1000);
        for (int i = 0; i < 2; i++) {
            queueFillers.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Empties the accept queue and returns the first connection that was blocked by it. */
    Socket accept() throws IOException {
        while (!queueFillers.isEmpty()) {
            listener.accept().close();
            queueFillers.remove(0).close();
        }
        return listener.accept();
    }

    /** Returns whether no byte has been received on the connection. */
    static boolean hasReceivedNothing(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : queueFillers) {
            socket.close();
        }
        listener.close();
    }
}
