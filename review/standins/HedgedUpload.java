import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients post bodies of 100,000 bytes of a class that may be repeated with its key, and one backend
 * in four stands still for 280 ms while it works on one. A backend may get a request only with the body that
 * its client sent.
 */
final class HedgedUpload extends Case {

    private static final int BACKENDS = 4;
    private static final int ROUNDS = 4;
    private static final int BODY_BYTES = 100_000;
    private static final long WORK_MS = 20;
    private static final long PAUSE_MS = 280;
    /** Longer than an idle connection lasts, which is 10 s by the settings. */
    private static final long QUIET_MS = 10_500;

    /** The bodies that clients sent, by id. */
    private final Map<String, byte[]> sent = new ConcurrentHashMap<>();
    private final AtomicInteger breaks = new AtomicInteger();
    private final Random random = new Random(7);
    /** Whether the first backend stands still at its next upload. */
    private volatile boolean pauseDue;

    public static void main(String[] arguments) throws IOException {
        new HedgedUpload().runAndExit(arguments);
    }

    @Override
    int run() throws IOException, InterruptedException {
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            backends.add(new Backend("s-" + i, this::work));
        }
        Discovery discovery = new Discovery(backends);
        Proxy proxy = new Proxy(root, record, discovery, 0.002, Proxy.requestClass("kurs-les", "pure"),
                Proxy.requestClass("varsel-ny", "token"));
        for (int i = 0; i < 40; i++) {
            read(proxy);
        }
        for (int round = 0; round < ROUNDS; round++) {
            Record.sleep(QUIET_MS);
            pauseDue = trouble;
            CountDownLatch ended = new CountDownLatch(BACKENDS);
            for (int i = 0; i < BACKENDS; i++) {
                byte[] body = new byte[BODY_BYTES];
                random.nextBytes(body);
                String id = newId(body);
                Record.thread("client", () -> {
                    post(proxy, id, body);
                    ended.countDown();
                });
            }
            ended.await();
            // The backend that stood still gets its time to go on.
            Record.sleep(500);
        }
        proxy.end();
        return breaks.get();
    }

    private synchronized String newId(byte[] body) {
        String id = String.format("%016x", random.nextLong());
        sent.put(id, body);
        return id;
    }

    private byte[] work(Backend backend, Http.Message request) {
        if (pauseDue && backend.name.equals("s-0") && request.body.length > 0) {
            pauseDue = false;
            record.note("s-0 stands still for " + PAUSE_MS + " ms");
            backend.standStill(PAUSE_MS);
        }
        String id = request.header("X-Call-Id");
        byte[] body = sent.get(id);
        if (body == null || !Arrays.equals(body, request.body)) {
            breaks.incrementAndGet();
            record.note("BROKEN: " + backend.name + " got " + request.startLine + " " + id + " with "
                    + request.body.length + " bytes of body, its client sent "
                    + (body == null ? "no such request" : body.length + " bytes"));
            return Http.answer("400 Bad Request", "", new byte[0]);
        }
        if (body.length > 0) {
            record.note(backend.name + " runs " + id + " with " + body.length + " bytes of body");
        }
        Record.sleep(WORK_MS);
        return Http.answer("200 OK", "X-Load-Report: " + backend.report() + "\r\n", Http.bytes("done " + id));
    }

    /** Makes a call that shows the proxy how long calls take. */
    private void read(Proxy proxy) throws IOException {
        String id = newId(new byte[0]);
        try (Socket socket = proxy.connect()) {
            socket.getOutputStream()
                    .write(Http.bytes(Http.requestHead("GET", "kurs-les", id, 820) + "\r\n"));
            Http.read(socket.getInputStream());
        }
    }

    private void post(Proxy proxy, String id, byte[] body) {
        try (Socket socket = proxy.connect()) {
            socket.setSoTimeout(3_000);
            socket.getOutputStream().write(Http.join(
                    Http.bytes(Http.requestHead("POST", "varsel-ny", id, 820) + "Idempotency-Key: " + id
                            + "\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length) + "\r\n"),
                    body, Http.bytes("\r\n0\r\n\r\n")));
            record.note("client sent " + id + " with " + body.length + " bytes of body");
            Http.Message answer = Http.read(socket.getInputStream());
            record.note("client got for " + id + ": "
                    + (answer == null ? "the end" : answer.startLine + " " + new String(answer.body)));
        } catch (IOException e) {
            record.note("client got for " + id + ": " + e);
        }
    }
}
