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
 * A fault relay for TCP, for tests: what comes to {@link #address()} goes to a target, as the rules allow.
 */
public final class TcpRelay implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    /** Both ends of each connection; those in {@code silent} stay open, and nothing passes on them. */
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    /** The ends towards whoever connected. */
    private final Set<Socket> nears = ConcurrentHashMap.newKeySet();
    private volatile Predicate<Socket> cut = near -> false;
    private volatile InetSocketAddress target;
    private volatile boolean refusing;
    /** Connections turned away. */
    public final AtomicInteger refused = new AtomicInteger();

    public TcpRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        run(this::accept);
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    public void target(InetSocketAddress other) {
        target = other;
    }

    /** Ends all connections, and turns new ones away until told otherwise. */
    public void refuse(boolean now) throws IOException {
        refusing = now;
        if (now) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Connections open now stay open and carry nothing more; new ones are carried. */
    public void silence() {
        silent.addAll(sockets);
    }

    /**
     * From now on connections of whom the condition holds, open or new, stay open and carry nothing: a cut
     * in the network. Those of whom it does not hold any more are ended, as a healed network would in time.
     *
     * @param who asked of the end towards whoever connected
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
                // One of the two ends is gone, or the test is over.
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
