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
 * The training run for the JVM's class data archive, a step of the build. Starts a proxy, which warms up,
 * sends it requests with small and large bodies, answered by a backend in this process, and exits; the JVM
 * then archives the classes that were loaded. Proxies map these classes from the archive, which processes on
 * one machine share, instead of loading them while requests wait.
 */
public final class Training {

    private static final int LARGE_BODY_BYTES = 4 * BackendPool.MAX_BUFFERED_BODY_BYTES;
    /** The backend's address in the configuration file, replaced by the address of the running backend. */
    private static final String CONFIGURED_BACKEND = "127.0.0.1:2";

    private Training() { }

    /** Runs the training with the configuration file that the first argument names. */
    public static void main(String[] args) throws Exception {
        Logs.quietNetty();
        Path folder = Files.createTempDirectory("training");
        try (ServerSocket backendListener = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            startBackend(backendListener);
            Path file = Files.writeString(folder.resolve("config.json"), Files.readString(Path.of(args[0]))
                    .replace(CONFIGURED_BACKEND, "127.0.0.1:" + backendListener.getLocalPort()));
            Logs.start(LogSettings.defaults(), Map.of("node", "training"));
            LoggerFactory.getLogger("proxy").atInfo().addKeyValue("training", true).log("training");
            Main main = new Main(Config.read(file.toString(), Map.of("TMPDIR", folder.toString()), Map.of()));
            main.start();
            InetSocketAddress address = main.awaitServing();
            sendRequest(address, "GET /read HTTP/1.1\r\nX-Call-Id: 1\r\n", 0);
            sendRequest(address, "POST /write HTTP/1.1\r\nX-Call-Id: 2\r\nContent-Length: 3\r\n", 3);
            sendRequest(address, "POST /write HTTP/1.1\r\nX-Call-Id: 3\r\nContent-Length: "
                    + LARGE_BODY_BYTES + "\r\n", LARGE_BODY_BYTES);
            sendRequest(main.adminAddress(), "GET /ops/readiness HTTP/1.1\r\n", 0);
            sendRequest(main.adminAddress(), "PUT /ops/backends/up HTTP/1.1\r\nContent-Length: 11\r\n", 11);
            main.close();
        } finally {
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
    }

    /** Sends a request and reads until the proxy closes the connection. */
    private static void sendRequest(InetSocketAddress address, String head, int bodyBytes)
            throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            OutputStream out = socket.getOutputStream();
            out.write((head + "Connection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(new byte[bodyBytes]);
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        }
    }

    /** Starts a backend that answers each request with a large body in chunked transfer encoding. */
    private static void startBackend(ServerSocket listener) {
        Thread backendThread = new Thread(() -> {
            while (!listener.isClosed()) {
                try (Socket socket = listener.accept()) {
                    int length = readHead(socket.getInputStream());
                    socket.getInputStream().skipNBytes(length);
                    OutputStream out = socket.getOutputStream();
                    out.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(LARGE_BODY_BYTES) + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    out.write(new byte[LARGE_BODY_BYTES]);
                    out.write("\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    // Probes may connect and close without a request; the listener closes at the end.
                    continue;
                }
            }
        });
        backendThread.setDaemon(true);
        backendThread.start();
    }

    /** Reads a request's head and returns the length of the body that follows it. */
    private static int readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int nextByte = in.read();
            if (nextByte < 0) {
                throw new IOException("no request came");
            }
            head.append((char) nextByte);
        }
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                return Integer.parseInt(line.substring(15).strip());
            }
        }
        return 0;
    }
}
