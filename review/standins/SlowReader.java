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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A client takes a large answer at 64 kB a second; it has to get all that the backend gave. */
final class SlowReader {

    private static final int CLIENTS = 3;
    private static final int ANSWER_BYTES = 32 << 20;
    private static final int SLOW_BYTES_PER_S = 64_000;
    /** After this time the clients take the rest as fast as it comes, so that the case ends in time. */
    private static final long SLOW_S = 60;

    public static void main(String[] args) {
        Platform.run(args, SlowReader::play);
    }

    private static Platform.Result play(Platform platform) throws Exception {
        ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Platform.start("backend", () -> {
            while (true) {
                Socket socket = listener.accept();
                Platform.start("backend-connection", () -> serve(platform, socket));
            }
        });
        String endpoints = "[" + Platform.endpoint("s-1", listener.getLocalPort()) + "]";
        Platform.Discovery discovery = new Platform.Discovery(endpoints);
        Platform.Proxy proxy = platform.startProxy(Platform.settings(3, 330, 820), 512, 144,
                discovery.port(), endpoints);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            clients.add(Platform.start("client",
                    () -> (takesAll(platform, proxy, n) ? whole : cut).incrementAndGet()));
        }
        for (Thread client : clients) {
            client.join(TimeUnit.SECONDS.toMillis(SLOW_S + 40));
        }
        platform.record("answers taken whole " + whole + ", cut off by the proxy " + cut);
        return cut.get() > 0 ? Platform.Result.BROKEN
                : whole.get() == CLIENTS ? Platform.Result.HELD : Platform.Result.NOT_RUN;
    }

    private static byte byteAt(int position, int salt) {
        return (byte) (position * 31 + (position >> 8) + salt);
    }

    private static void serve(Platform platform, Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (var request = Platform.Http.read(in); request != null; request = Platform.Http.read(in)) {
            String id = request.headers().get("x-call-id");
            if (id == null) {
                out.write(Platform.Http.answer("200 OK", "", "inflight=0,queue=0,util=0.1".getBytes(StandardCharsets.ISO_8859_1)));
                continue;
            }
            platform.record("backend run " + id);
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES
                    + "\r\nX-Load-Report: inflight=1,queue=0,util=0.1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            byte[] block = new byte[1 << 16];
            int salt = id.hashCode();
            for (int sent = 0; sent < ANSWER_BYTES; sent += block.length) {
                for (int i = 0; i < block.length; i++) {
                    block[i] = byteAt(sent + i, salt);
                }
                try {
                    out.write(block);
                } catch (IOException e) {
                    platform.record("backend answer " + id + ": connection ended by the proxy with about " + sent + " bytes written: " + e.getMessage());
                    throw e;
                }
            }
            platform.record("backend answer " + id + " given whole");
        }
    }

    private static boolean takesAll(Platform platform, Platform.Proxy proxy, int n) throws Exception {
        String id = "9b1f03aa5c7e2d4" + n;
        try (Socket socket = new Socket("127.0.0.1", proxy.port())) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(("GET /kurs-les HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id
                    + "\r\nX-Call-Class: kurs-les\r\nX-Budget-Ms: 820\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            platform.record("client sent " + id);
            InputStream raw = socket.getInputStream();
            var head = Platform.Http.readHead(raw);
            platform.record("client " + id + ": " + head.start() + " " + head.headers());
            byte[] block = new byte[1 << 13];
            long startNs = System.nanoTime();
            int got = 0;
            boolean slow = Platform.TROUBLE;
            int salt = id.hashCode();
            while (got < ANSWER_BYTES) {
                if (slow) {
                    Platform.sleepUntil(startNs + (long) (1e9 * got / SLOW_BYTES_PER_S));
                    slow = System.nanoTime() - startNs < TimeUnit.SECONDS.toNanos(SLOW_S);
                }
                int read = raw.read(block, 0, Math.min(block.length, ANSWER_BYTES - got));
                if (read < 0) {
                    platform.record("client " + id + ": answer cut off after " + got + " of " + ANSWER_BYTES + " bytes");
                    return false;
                }
                for (int i = 0; i < read; i++) {
                    if (block[i] != byteAt(got + i, salt)) {
                        platform.record("client " + id + ": wrong byte at " + (got + i));
                        return false;
                    }
                }
                got += read;
            }
            platform.record("client " + id + ": answer whole, " + got + " bytes");
            return true;
        } catch (IOException e) {
            platform.record("client " + id + ": " + e);
            return false;
        }
    }
}
