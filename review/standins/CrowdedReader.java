import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients take large answers at a steady rate while idle clients fill the descriptors. Each of them has to
 * get all that its backend gave.
 */
final class CrowdedReader {

    private static final int SOCKETS = 256;
    private static final int READERS = 80;
    private static final int BYTES_PER_S = 180_000;
    private static final int LEAST_BYTES = 4_000_000;
    private static final int MOST_BYTES = 6_000_000;
    /** Clients ask for no further answers after this time. */
    private static final long ASK_FOR_S = 40;
    /** A small receive buffer, so that much of an answer is at the proxy and not at the client. */
    private static final int RECEIVE_BUFFER = 64 << 10;
    private static final int CROWD = 1_000;
    private static final long CROWD_EVERY_MS = 3_000;
    private static final long CROWD_STAYS_MS = 2_000;

    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger CUT = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();

    public static void main(String[] args) {
        Platform.run(args, CrowdedReader::play);
    }

    private static Platform.Result play(Platform platform) throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            ServerSocket listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
            entries.add(Platform.endpoint("s-" + i, listener.getLocalPort()));
            Platform.start("backend", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    Platform.start("backend-connection", () -> serve(platform, socket));
                }
            });
        }
        String endpoints = "[" + String.join(",", entries) + "]";
        Platform.Discovery discovery = new Platform.Discovery(endpoints);
        Platform.Proxy proxy = platform.startProxy(Platform.settings(3, 330, 820), SOCKETS, 144,
                discovery.port(), endpoints);
        List<Thread> readers = new ArrayList<>();
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(ASK_FOR_S);
        for (int i = 0; i < READERS; i++) {
            int n = i;
            readers.add(Platform.start("reader", () -> {
                for (int round = 0; System.nanoTime() - endNs < 0; round++) {
                    read(platform, proxy, round * READERS + n);
                }
            }));
            Thread.sleep(30);
        }
        if (Platform.TROUBLE) {
            Platform.start("crowd", () -> crowd(platform, proxy));
        }
        for (Thread reader : readers) {
            reader.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(endNs - System.nanoTime()) + 50_000));
        }
        platform.record("answers taken whole " + WHOLE + ", cut off by the proxy " + CUT
                + ", refused or failed " + REFUSED);
        return CUT.get() > 0 ? Platform.Result.BROKEN
                : WHOLE.get() >= READERS ? Platform.Result.HELD : Platform.Result.NOT_RUN;
    }

    /** Idle clients come in waves; each stays a while, or until the proxy closes it. */
    private static void crowd(Platform platform, Platform.Proxy proxy) throws Exception {
        while (true) {
            Thread.sleep(CROWD_EVERY_MS);
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < CROWD; i++) {
                try {
                    Socket socket = new Socket();
                    sockets.add(socket);
                    socket.connect(proxy.address(), 1_000);
                } catch (IOException e) {
                    // The proxy's queue is full.
                }
            }
            platform.record("idle clients " + sockets.size());
            Thread.sleep(CROWD_STAYS_MS);
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private static byte[] body(String id) {
        Random random = new Random(Long.parseUnsignedLong(id, 16));
        byte[] body = new byte[LEAST_BYTES + random.nextInt(MOST_BYTES - LEAST_BYTES)];
        Arrays.fill(body, (byte) ('a' + random.nextInt(26)));
        return body;
    }

    private static void serve(Platform platform, Socket socket) throws Exception {
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
            platform.record("backend run " + id);
            out.write(Platform.Http.answer("200 OK", "X-Load-Report: inflight=1,queue=0,util=0.2\r\n", body(id)));
            platform.record("backend gave the whole answer to " + id);
        }
    }

    private static void read(Platform platform, Platform.Proxy proxy, int n) throws Exception {
        String id = String.format("%016x", 0x1b1f03aa5c7e2d41L + n * 0x9e3779b97f4aL);
        byte[] expected = body(id);
        int got = 0;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER);
            socket.connect(proxy.address());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(30_000);
            socket.getOutputStream().write(("GET /kurs-les HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id
                    + "\r\nX-Call-Class: kurs-les\r\nX-Budget-Ms: 820\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            platform.record("client sent " + id);
            InputStream in = socket.getInputStream();
            var head = Platform.Http.readHead(in);
            if (head == null || !head.start().startsWith("HTTP/1.1 200")) {
                platform.record("client " + id + ": " + (head == null ? "closed" : head.start()));
                REFUSED.incrementAndGet();
                Thread.sleep(500);
                return;
            }
            byte[] block = new byte[1 << 13];
            long startNs = System.nanoTime();
            while (got < expected.length) {
                Platform.sleepUntil(startNs + (long) (1e9 * got / BYTES_PER_S));
                int read = in.read(block, 0, Math.min(block.length, expected.length - got));
                if (read < 0) {
                    throw new IOException("the proxy ended the connection");
                }
                if (!Arrays.equals(block, 0, read, expected, got, got + read)) {
                    throw new IOException("wrong bytes");
                }
                got += read;
            }
            WHOLE.incrementAndGet();
            platform.record("client " + id + ": answer whole, " + got + " bytes");
        } catch (IOException e) {
            CUT.incrementAndGet();
            platform.record("client " + id + ": answer cut off after " + got + " of " + expected.length
                    + " bytes: " + e.getMessage());
        }
    }
}
