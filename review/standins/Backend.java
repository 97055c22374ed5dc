import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend of the protocol page: one request at a time on a connection, load reports in all answers. */
final class Backend {

    /** Answers a request that is no probe. */
    interface Work {
        /** Returns the whole answer. */
        byte[] answer(Backend backend, Http.Message request) throws IOException;

        /** Called once the answer has been written; may write more to the connection. */
        default void answered(Backend backend, byte[] answer, OutputStream out) throws IOException { }
    }

    /** Decides which connections the backend resets. */
    interface Resets {
        /** Returns after how many microseconds a new connection is reset; negative for never. */
        default long resetAfterUs(Backend backend) {
            return -1;
        }

        /**
         * Decides at the first bytes of each message but a probe's whether the connection is reset.
         *
         * @param kept whether the connection has carried a message before
         */
        default boolean resetNow(Backend backend, boolean kept) {
            return false;
        }
    }

    /** The start of each probe; everything else is a client's request. */
    private static final byte[] PROBE = Http.bytes("GET /stats");

    final String name;
    private final ServerSocket listener;
    private final Work work;
    private final Resets resets;
    private final AtomicInteger inWork = new AtomicInteger();
    private volatile long standsStillUntilNs = System.nanoTime();

    Backend(String name, Work work) throws IOException {
        this(name, work, new Resets() { });
    }

    Backend(String name, Work work, Resets resets) throws IOException {
        this.name = name;
        this.work = work;
        this.resets = resets;
        listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        Record.thread(name, this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** From now on the whole process stands still: it neither reads nor answers, probes neither. */
    void standStill(long millis) {
        standsStillUntilNs = System.nanoTime() + millis * 1_000_000;
        awaitMoving();
    }

    private void awaitMoving() {
        while (System.nanoTime() - standsStillUntilNs < 0) {
            Record.sleep(1);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Record.thread(name + "-connection", () -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed: the case is over.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            long resetAfterUs = resets.resetAfterUs(this);
            if (resetAfterUs >= 0) {
                awaitUs(resetAfterUs);
                socket.setSoLinger(true, 0);
                return;
            }
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            for (boolean kept = false; ; kept = true) {
                if (!startsWithProbe(in) && resets.resetNow(this, kept)) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                Http.Message request = Http.read(in);
                if (request == null) {
                    return;
                }
                awaitMoving();
                boolean probe = request.startLine.startsWith("GET /stats ");
                byte[] answer = probe ? probed() : worked(request);
                awaitMoving();
                socket.getOutputStream().write(answer);
                if (!probe) {
                    work.answered(this, answer, socket.getOutputStream());
                }
            }
        } catch (IOException e) {
            // The proxy closed the connection.
        }
    }

    /** Waits more exactly than a sleep does. */
    private static void awaitUs(long us) {
        long untilNs = System.nanoTime() + us * 1_000;
        while (System.nanoTime() - untilNs < 0) {
            Thread.onSpinWait();
        }
    }

    /** Returns whether the next message is a probe; waits for its first bytes. */
    private static boolean startsWithProbe(InputStream in) throws IOException {
        in.mark(PROBE.length);
        byte[] start = in.readNBytes(PROBE.length);
        in.reset();
        return start.length == 0 || Arrays.equals(start, PROBE);
    }

    /** Returns the names and values of the load report. */
    String report() {
        return "inflight=" + inWork.get() + ",queue=0,util=0.2";
    }

    private byte[] probed() {
        return Http.answer("200 OK", "X-Load-Report: " + report() + "\r\n", Http.bytes(report()));
    }

    private byte[] worked(Http.Message request) throws IOException {
        inWork.incrementAndGet();
        try {
            return work.answer(this, request);
        } finally {
            inWork.decrementAndGet();
        }
    }
}
