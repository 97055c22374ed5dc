import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend of the protocol page: one request at a time on a connection, load reports in all answers. */
final class Backend {

    /** Answers a request that is no probe. */
    interface Work {
        /** Returns the whole answer. */
        byte[] answer(Backend backend, Http.Message request) throws IOException;
    }

    final String name;
    private final ServerSocket listener;
    private final Work work;
    private final AtomicInteger inWork = new AtomicInteger();
    private volatile long standsStillUntilNs = System.nanoTime();

    Backend(String name, Work work) throws IOException {
        this.name = name;
        this.work = work;
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
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                awaitMoving();
                byte[] answer = request.startLine.startsWith("GET /stats ") ? probed() : worked(request);
                awaitMoving();
                socket.getOutputStream().write(answer);
            }
        } catch (IOException e) {
            // The proxy closed the connection.
        }
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
