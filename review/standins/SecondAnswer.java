import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some answers of a backend are followed, some milliseconds late, by a second answer in small pieces. No
 * client may be given an answer that no backend made for its request.
 */
final class SecondAnswer {

    private static final int BACKENDS = 4;
    private static final int CLIENTS = 6;
    private static final long LENGTH_S = 20;
    /** One in this many answers is followed by a second one. */
    private static final int SPOILT_ONE_IN = 20;
    /** How late the second answer begins, the size of its pieces and the pause between them. */
    private static final long LATE_MS = 5;
    private static final int PIECE_BYTES = 16;
    private static final long PIECE_PAUSE_MS = 3;

    /** The bodies of all answers that backends made, each with its backend and the id of its request. */
    private static final Set<String> MADE = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger OTHER = new AtomicInteger();
    private static final AtomicInteger FOREIGN = new AtomicInteger();
    private static final AtomicInteger SECOND = new AtomicInteger();

    public static void main(String[] args) {
        Platform.run(args, SecondAnswer::play);
    }

    private static Platform.Result play(Platform platform) throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= BACKENDS; i++) {
            ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            String name = "s-" + i;
            entries.add(Platform.endpoint(name, listener.getLocalPort()));
            Platform.start("backend", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    Platform.start("backend-connection", () -> serve(platform, name, socket));
                }
            });
        }
        String endpoints = "[" + String.join(",", entries) + "]";
        Platform.Discovery discovery = new Platform.Discovery(endpoints);
        Platform.Proxy proxy = platform.startProxy(Platform.settings(3, 330, 820), 512, 144,
                discovery.port(), endpoints);
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(LENGTH_S);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            clients.add(Platform.start("client", () -> {
                while (System.nanoTime() - endNs < 0) {
                    try {
                        sendRequests(platform, proxy, n, endNs);
                    } catch (IOException e) {
                        platform.record("client " + n + ": " + e);
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join(TimeUnit.SECONDS.toMillis(LENGTH_S + 10));
        }
        platform.record("sent " + SENT + ", served " + SERVED + ", refused or failed " + OTHER
                + ", second answers " + SECOND + ", served with an answer made for another request "
                + FOREIGN);
        return SERVED.get() < 100 ? Platform.Result.NOT_RUN
                : FOREIGN.get() > 0 ? Platform.Result.BROKEN : Platform.Result.HELD;
    }

    private static void serve(Platform platform, String name, Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (var request = Platform.Http.read(in); request != null; request = Platform.Http.read(in)) {
            String id = request.headers().get("x-call-id");
            if (id == null) {
                out.write(Platform.Http.answer("200 OK", "",
                        "inflight=0,queue=0,util=0.1".getBytes(StandardCharsets.ISO_8859_1)));
                continue;
            }
            Thread.sleep(ThreadLocalRandom.current().nextInt(8, 16));
            String body = "answer of " + name + " to " + id;
            MADE.add(body);
            platform.record(name + " run " + id);
            byte[] answer = Platform.Http.answer("200 OK", "X-Load-Report: inflight=1,queue=0,util=0.2\r\n",
                    body.getBytes(StandardCharsets.ISO_8859_1));
            out.write(answer);
            if (Platform.TROUBLE && ThreadLocalRandom.current().nextInt(SPOILT_ONE_IN) == 0) {
                SECOND.incrementAndGet();
                platform.record(name + " second answer to " + id + " begins " + LATE_MS + " ms late");
                long startNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LATE_MS);
                for (int at = 0; at < answer.length; at += PIECE_BYTES) {
                    Platform.sleepUntil(startNs
                            + TimeUnit.MILLISECONDS.toNanos(at / PIECE_BYTES * PIECE_PAUSE_MS));
                    out.write(answer, at, Math.min(PIECE_BYTES, answer.length - at));
                }
                platform.record(name + " second answer to " + id + " written");
            }
        }
    }

    private static void sendRequests(Platform platform, Platform.Proxy proxy, int n, long endNs)
            throws Exception {
        try (Socket socket = new Socket("127.0.0.1", proxy.port())) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(5_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (System.nanoTime() - endNs < 0) {
                String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
                boolean read = ThreadLocalRandom.current().nextBoolean();
                String name = read ? "kurs-les" : "varsel-ny";
                socket.getOutputStream().write(((read ? "GET /" : "POST /") + name
                        + " HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + name
                        + "\r\nX-Budget-Ms: 820\r\n" + (read ? "" : "Content-Length: 0\r\n") + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                SENT.incrementAndGet();
                platform.record("client " + n + " sent " + name + " " + id);
                var answer = Platform.Http.read(in);
                if (answer == null) {
                    platform.record("client " + n + " " + id + ": connection closed");
                    return;
                }
                if (!answer.start().startsWith("HTTP/1.1 200")) {
                    OTHER.incrementAndGet();
                    platform.record("client " + n + " " + id + " answered " + answer.start());
                    continue;
                }
                SERVED.incrementAndGet();
                String body = new String(answer.body(), StandardCharsets.ISO_8859_1);
                boolean own = MADE.contains(body) && body.endsWith(" to " + id);
                platform.record("client " + n + " " + id + " answered 200: " + body + (own ? "" : " - FOREIGN"));
                if (!own) {
                    FOREIGN.incrementAndGet();
                }
            }
        }
    }
}
