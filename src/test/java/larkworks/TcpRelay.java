package larkworks;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * A TCP relay that injects network faults: it forwards connections to {@link #address()} to a target address,
 * and can refuse or black-hole them.
 */
public final class TcpRelay implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    /** The client and target sockets of all connections. */
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    /** Sockets that stay open but whose bytes are discarded. */
    private final Set<Socket> blackholedSockets = ConcurrentHashMap.newKeySet();
    /** Sockets of the connections that clients have opened to the relay. */
    private final Set<Socket> clientSockets = ConcurrentHashMap.newKeySet();
    private volatile Predicate<Socket> isPartitioned = clientSocket -> false;
    private volatile InetSocketAddress target;
    private volatile boolean isRefusingConnections;
    /** Number of connections closed at once because the relay was refusing connections. */
    public final AtomicInteger refusedConnections = new AtomicInteger();

    public TcpRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        startThread(this::acceptConnections);
    }

    /** Returns host and port of the relay. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Sets the target of new connections. */
    public void setTarget(InetSocketAddress newTarget) {
        target = newTarget;
    }

    /** If true, closes all connections and refuses new ones; if false, accepts new connections again. */
    public void setRefusing(boolean refuse) throws IOException {
        isRefusingConnections = refuse;
        if (refuse) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Keeps all open connections but discards their bytes; forwards new connections as usual. */
    public void blackholeOpenConnections() {
        blackholedSockets.addAll(sockets);
    }

    /**
     * Simulates a network partition: open and new connections of the selected clients stay open, but their
     * bytes are discarded. Connections that an earlier call partitioned and this call does not select are
     * closed, because real connections would fail some time after the network recovers.
     *
     * @param selected whether the client at the other end of a client socket is partitioned
     */
    public void partition(Predicate<Socket> selected) throws IOException {
        isPartitioned = selected;
        for (Socket clientSocket : clientSockets) {
            if (selected.test(clientSocket)) {
                blackholedSockets.add(clientSocket);
            } else if (blackholedSockets.contains(clientSocket)) {
                clientSocket.close();
            }
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // A client or the target has closed the connection, or the test has ended.
            }
        }, "tcp-relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() throws IOException {
        while (true) {
            Socket clientSocket = listener.accept();
            if (isRefusingConnections) {
                refusedConnections.incrementAndGet();
                clientSocket.close();
                continue;
            }
            Socket targetSocket = new Socket();
            sockets.add(clientSocket);
            sockets.add(targetSocket);
            clientSockets.add(clientSocket);
            if (isPartitioned.test(clientSocket)) {
                blackholedSockets.add(clientSocket);
            }
            startThread(() -> {
                try (clientSocket; targetSocket) {
                    targetSocket.connect(target, 2_000);
                    startThread(() -> forward(targetSocket, clientSocket, clientSocket));
                    forward(clientSocket, targetSocket, clientSocket);
                } finally {
                    sockets.remove(clientSocket);
                    sockets.remove(targetSocket);
                    clientSockets.remove(clientSocket);
                    blackholedSockets.remove(clientSocket);
                }
            });
        }
    }

    private void forward(Socket from, Socket to, Socket clientSocket) throws IOException {
        byte[] buffer = new byte[8_192];
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
            if (!blackholedSockets.contains(from) && !blackholedSockets.contains(clientSocket)) {
                out.write(buffer, 0, count);
                out.flush();
            }
        }
        if (!blackholedSockets.contains(from) && !blackholedSockets.contains(clientSocket)) {
            to.close();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
