import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients post chunked bodies of 1,000,000 bytes of a class that must never run twice. At every fourth post a
 * backend resets the kept connection on which it begins. A backend may get a request only
 * with the body that its client sent.
 */
final class TruncatedUpload extends Case {

    private static final int BACKENDS = 4;
    private static final int CLIENTS = 3;
    private static final int POSTS_EACH = 80;
    private static final int BODY_BYTES = 1_000_000;
    private static final int CHUNK_BYTES = 1_000;
    private static final long WORK_MS = 20;
    private static final long PAUSE_MS = 400;
    /** A post in so many is due to be reset. */
    private static final int RESET_EVERY = 4;

    /** The bodies that clients sent, by id. */
    private final Map<String, byte[]> sent = new ConcurrentHashMap<>();
    private final AtomicInteger breaks = new AtomicInteger();
    private final AtomicInteger posts = new AtomicInteger();
    /** How many of the next posts that begin on kept connections are reset. */
    private final AtomicInteger resetsDue = new AtomicInteger();

    public static void main(String[] arguments) throws IOException {
        new TruncatedUpload().runAndExit(arguments);
    }

    @Override
    int run() throws IOException, InterruptedException {
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            backends.add(new Backend("s-" + i, this::work, resets));
        }
        Discovery discovery = new Discovery(backends);
        Proxy proxy = new Proxy(root, record, discovery, 0.01, Proxy.requestClass("kurs-les", "pure"),
                Proxy.requestClass("varsel-ny", "side_effect"));
        CountDownLatch ended = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            Random random = new Random(i);
            Record.thread("client", () -> {
                for (int j = 0; j < POSTS_EACH; j++) {
                    if (trouble && posts.incrementAndGet() % RESET_EVERY == 0) {
                        resetsDue.incrementAndGet();
                    }
                    post(proxy, random);
                    Record.sleep(PAUSE_MS);
                }
                ended.countDown();
            });
        }
        ended.await(100, TimeUnit.SECONDS);
        proxy.end();
        return breaks.get();
    }

    /** Resets a kept connection at the first bytes of a request. */
    private final Backend.Resets resets = new Backend.Resets() {
        @Override
        public boolean resetNow(Backend backend, boolean kept) {
            boolean now = kept && resetsDue.getAndUpdate(due -> Math.max(0, due - 1)) > 0;
            if (now) {
                record.note(backend.name + " resets the connection of a request that has begun");
            }
            return now;
        }
    };

    private byte[] work(Backend backend, Http.Message request) {
        String id = request.header("X-Call-Id");
        byte[] body = sent.get(id);
        if (body == null || !Arrays.equals(body, request.body)) {
            breaks.incrementAndGet();
            record.note("BROKEN: " + backend.name + " got " + request.startLine + " " + id + " whole, with "
                    + request.body.length + " bytes of body; its client sent "
                    + (body == null ? "no such request" : body.length + " bytes"));
            return Http.answer("400 Bad Request", "", new byte[0]);
        }
        record.note(backend.name + " runs " + id + " with " + body.length + " bytes of body");
        Record.sleep(WORK_MS);
        return Http.answer("200 OK", "X-Load-Report: " + backend.report() + "\r\n", Http.bytes("done " + id));
    }

    private void post(Proxy proxy, Random random) {
        byte[] body = new byte[BODY_BYTES];
        random.nextBytes(body);
        String id = String.format("%016x", random.nextLong());
        sent.put(id, body);
        try (Socket socket = proxy.connect()) {
            socket.setSoTimeout(3_000);
            socket.getOutputStream().write(Http.join(
                    Http.bytes(Http.requestHead("POST", "varsel-ny", id, 820)
                            + "Transfer-Encoding: chunked\r\n\r\n"), Http.chunked(body, CHUNK_BYTES)));
            record.note("client sent " + id + " with " + body.length + " bytes of body");
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            record.note("client got for " + id + ": "
                    + (answer == null ? "the end" : answer.startLine + " " + new String(answer.body)));
        } catch (IOException e) {
            record.note("client got for " + id + ": " + e);
        }
    }
}
