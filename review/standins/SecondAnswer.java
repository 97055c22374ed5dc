import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One answer in twenty is followed, some milliseconds late and in small pieces, by a second one. A client may
 * be served only with an answer that a backend made for its request.
 */
final class SecondAnswer extends Case {

    private static final int BACKENDS = 4;
    private static final int CLIENTS = 6;
    private static final long LENGTH_MS = 25_000;
    /** One in so many answers is followed by a second one. */
    private static final int SECOND_ONE_IN = 20;
    /** How late the second answer begins, the size of its pieces and the pause between them. */
    private static final long LATE_MS = 5;
    private static final int PIECE_BYTES = 16;
    private static final long PIECE_PAUSE_MS = 3;

    /** The bodies of the answers that backends made, each of which names its request. */
    private final Set<String> made = ConcurrentHashMap.newKeySet();
    private final AtomicInteger breaks = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicInteger seconds = new AtomicInteger();

    public static void main(String[] arguments) throws IOException {
        new SecondAnswer().runAndExit(arguments);
    }

    @Override
    int run() throws IOException, InterruptedException {
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            backends.add(new Backend("s-" + i, work));
        }
        Proxy proxy = new Proxy(root, record, new Discovery(backends), 0.002,
                Proxy.requestClass("kurs-les", "pure"), Proxy.requestClass("varsel-ny", "side_effect"));
        long untilMs = Record.ms() + LENGTH_MS;
        CountDownLatch ended = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            Random random = new Random(i);
            Record.thread("client", () -> {
                while (Record.ms() < untilMs) {
                    call(proxy, random, untilMs);
                }
                ended.countDown();
            });
        }
        ended.await(LENGTH_MS + 10_000, TimeUnit.MILLISECONDS);
        proxy.end();
        record.note("served " + served + ", refused or failed " + others + ", second answers " + seconds
                + ", served with an answer made for another request " + breaks);
        if (served.get() < 100) {
            throw new IOException("too few requests were served");
        }
        return breaks.get();
    }

    private final Backend.Work work = new Backend.Work() {
        @Override
        public byte[] answer(Backend backend, Http.Message request) {
            Record.sleep(ThreadLocalRandom.current().nextInt(8, 16));
            String body = "answer of " + backend.name + " to " + request.header("X-Call-Id");
            made.add(body);
            record.note(backend.name + " ran " + request.header("X-Call-Id"));
            return Http.answer("200 OK", "X-Load-Report: " + backend.report() + "\r\n", Http.bytes(body));
        }

        @Override
        public void answered(Backend backend, byte[] answer, OutputStream out) throws IOException {
            if (!trouble || ThreadLocalRandom.current().nextInt(SECOND_ONE_IN) > 0) {
                return;
            }
            seconds.incrementAndGet();
            Record.sleep(LATE_MS);
            for (int at = 0; at < answer.length; at += PIECE_BYTES) {
                out.write(answer, at, Math.min(PIECE_BYTES, answer.length - at));
                Record.sleep(PIECE_PAUSE_MS);
            }
        }
    };

    /** Sends one request after another on a connection. */
    private void call(Proxy proxy, Random random, long untilMs) {
        try (Socket socket = proxy.connect()) {
            socket.setSoTimeout(5_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (Record.ms() < untilMs) {
                String id = String.format("%016x", random.nextLong());
                boolean read = random.nextBoolean();
                String name = read ? "kurs-les" : "varsel-ny";
                socket.getOutputStream().write(Http.bytes(Http.requestHead(read ? "GET" : "POST", name, id, 820)
                        + (read ? "" : "Content-Length: 0\r\n") + "\r\n"));
                Http.Message answer = Http.read(in);
                if (answer == null) {
                    return;
                }
                if (answer.status() != 200) {
                    others.incrementAndGet();
                    continue;
                }
                served.incrementAndGet();
                String body = new String(answer.body);
                if (!body.endsWith(" to " + id) || !made.contains(body)) {
                    breaks.incrementAndGet();
                    record.note("BROKEN: " + name + " " + id + " was answered 200: " + body);
                }
            }
        } catch (IOException e) {
            record.note("client: " + e);
        }
    }
}
