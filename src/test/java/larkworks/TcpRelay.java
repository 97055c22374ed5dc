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
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    /** The client sockets. */
    private final Set<Socket> nears = ConcurrentHashMap.newKeySet();
    private volatile Predicate<Socket> cut = near -> false;
    private volatile InetSocketAddress target;
    private volatile boolean refusing;
    /** Number of connections closed at once because the relay refused connections. */
    public final AtomicInteger refused = new AtomicInteger();

    public TcpRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        run(this::accept);
    }

    /** Returns host and port of the relay. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Sets the target of new connections. */
    public void target(InetSocketAddress other) {
        target = other;
    }

    /** Closes all connections and refuses new ones; {@code false} accepts new connections again. */
    public void refuse(boolean now) throws IOException {
        refusing = now;
        if (now) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Keeps the present connections open but discards their bytes; new connections are forwarded. */
    public void silence() {
        silent.addAll(sockets);
    }

    /**
     * Simulates a network partition: present and new connections of the selected clients stay open, but their
     * bytes are discarded. Connections that were partitioned before and are not selected now are closed, as
     * they would be some time after the network has recovered.
     *
     * @param who whether the client at the other end of a client socket is partitioned
     */
    public void cut(Predicate<Socket> who) throws IOException {
        cut = who;
        for (Socket near : nears) {
            if (who.test(near)) {
                silent.add(near);
            } else if (silent.contains(near)) {
                near.close();
            }
        }
    }

    private interface Job {
        void run() throws IOException;
    }

    private static void run(Job job) {
        Thread thread = new Thread(() -> {
            try {
                job.run();
            } catch (IOException e) {
                // A client or the target has closed the connection, or the test has ended.
            }
        }, "tcp-relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = listener.accept();
            if (refusing) {
                refused.incrementAndGet();
                near.close();
                continue;
            }
            Socket far = new Socket();
            sockets.add(near);
            sockets.add(far);
            nears.add(near);
            if (cut.test(near)) {
                silent.add(near);
            }
            run(() -> {
                try (near; far) {
                    far.connect(target, 2_000);
                    run(() -> pass(far, near, near));
                    pass(near, far, near);
                } finally {
                    sockets.remove(near);
                    sockets.remove(far);
                    nears.remove(near);
                    silent.remove(near);
                }
            });
        }
    }

    private void pass(Socket from, Socket to, Socket near) throws IOException {
        byte[] buffer = new byte[8_192];
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
            if (!silent.contains(from) && !silent.contains(near)) {
                out.write(buffer, 0, read);
                out.flush();
            }
        }
        if (!silent.contains(from) && !silent.contains(near)) {
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
