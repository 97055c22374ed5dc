package larkworks.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import larkworks.platform.LogSettings;
import larkworks.platform.Logs;
import org.slf4j.LoggerFactory;

/**
 * A part of the build: starts a proxy, which warms itself up, has small and large bodies passed on to a
 * backend of its own, and exits, so that the JVM writes down the classes that it loaded. Many proxies start
 * side by side, and share them from that archive; what is in it need not be loaded under a request.
 */
public final class Training {

    private static final int LARGE = 4 * BackendPool.MAX_BUFFERED_BODY_BYTES;
    /** In the configuration, the address of the backend. */
    private static final String BACKEND = "127.0.0.1:2";

    private Training() { }

    /** Trains with the configuration in the named file. */
    public static void main(String[] args) throws Exception {
        Logs.quietNetty();
        Path folder = Files.createTempDirectory("training");
        try (ServerSocket backend = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            serve(backend);
            Path file = Files.writeString(folder.resolve("config.json"), Files.readString(Path.of(args[0]))
                    .replace(BACKEND, "127.0.0.1:" + backend.getLocalPort()));
            Logs.start(LogSettings.defaults(), Map.of("node", "training"));
            LoggerFactory.getLogger("proxy").atInfo().addKeyValue("training", true).log("training");
            Main main = new Main(Config.read(file.toString(), Map.of("TMPDIR", folder.toString()), Map.of()));
            main.start();
            InetSocketAddress address = main.awaitServing();
            ask(address, "GET /read HTTP/1.1\r\nX-Call-Id: 1\r\n", 0);
            ask(address, "POST /write HTTP/1.1\r\nX-Call-Id: 2\r\nContent-Length: 3\r\n", 3);
            ask(address, "POST /write HTTP/1.1\r\nX-Call-Id: 3\r\nContent-Length: " + LARGE + "\r\n", LARGE);
            ask(main.adminAddress(), "GET /ops/readiness HTTP/1.1\r\n", 0);
            ask(main.adminAddress(), "PUT /ops/backends/up HTTP/1.1\r\nContent-Length: 11\r\n", 11);
            main.close();
        } finally {
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
    }

    /** Sends a request and reads until the proxy closes the connection. */
    private static void ask(InetSocketAddress address, String head, int body) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            OutputStream out = socket.getOutputStream();
            out.write((head + "Connection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(new byte[body]);
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        }
    }

    /** A backend that answers each request with a large body in chunks. */
    private static void serve(ServerSocket listener) {
        Thread serving = new Thread(() -> {
            while (!listener.isClosed()) {
                try (Socket socket = listener.accept()) {
                    int length = readHead(socket.getInputStream());
                    socket.getInputStream().skipNBytes(length);
                    OutputStream out = socket.getOutputStream();
                    out.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(LARGE) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    out.write(new byte[LARGE]);
                    out.write("\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    // Probes leave without a request, and the listener closes at the end of the training.
                    continue;
                }
            }
        });
        serving.setDaemon(true);
        serving.start();
    }

    /** Reads to the blank line and returns the length of the body behind it. */
    private static int readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("no request came");
            }
            head.append((char) next);
        }
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                return Integer.parseInt(line.substring(15).strip());
            }
        }
        return 0;
    }
}
