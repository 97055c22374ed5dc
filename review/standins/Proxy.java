import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** The program under review as a process of its own, started by the deploy file's command. */
final class Proxy {

    /** A call to the platform's folder fails if the program is not ready by then. */
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

    final Process process;
    final int port;

    /**
     * Starts the program and waits until it is ready.
     *
     * @param root the root of the repository
     * @param probePrice the price of probes in the settings; the wire page's example has 0.002
     * @param classes the request classes, as {@link #requestClass} gives them
     */
    Proxy(Path root, Record record, Discovery discovery, double probePrice, String... classes)
            throws IOException, InterruptedException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run command");
        }
        port = freePort();
        Path folder = Files.createTempDirectory("review");
        Path config = folder.resolve("config.json");
        Files.writeString(config, config(port, discovery, probePrice, String.join(",", classes)));
        Path state = Files.createDirectory(folder.resolve("state"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile())
                .redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        builder.environment().putAll(Map.of("GW_NAME", "n1", "GW_LISTEN", "127.0.0.1:" + port,
                "GW_DISCOVERY", "127.0.0.1:" + discovery.port(), "GW_CONFIG", config.toString(), "TMPDIR",
                state.toString()));
        process = builder.start();
        // Also if the case itself is ended early.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                end();
                remove(folder);
            } catch (IOException | InterruptedException e) {
                System.err.println("left behind: " + folder);
            }
        }));
        long untilMs = Record.ms() + READY_TIMEOUT_MS;
        while (!isReady()) {
            if (Record.ms() > untilMs || !process.isAlive()) {
                throw new IOException("the proxy is not ready: " + Files.readString(folder.resolve("log")));
            }
            Record.sleep(50);
        }
        record.note("the proxy is ready, process " + process.pid());
    }

    private static void remove(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Opens a client's connection. */
    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        return socket;
    }

    private boolean isReady() {
        try (Socket socket = connect()) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write(Http.bytes("GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n"));
            Http.Message answer = Http.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void end() throws InterruptedException {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    /** Returns a class of the settings with the times of the wire page's example. */
    static String requestClass(String name, String effect) {
        return "{\"deadlineUs\":820000,\"dedupWindowUs\":5000000,\"effect\":\"" + effect
                + "\",\"goalTimeUs\":330000,\"group\":\"all\",\"lateWorth\":0.0,\"name\":\"" + name
                + "\",\"stream\":false,\"worth\":5.0}";
    }

    /** Returns a configuration for one proxy; its settings are those of the wire page's example. */
    private static String config(int port, Discovery discovery, double probePrice, String classes)
            throws InterruptedException {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                + discovery.port() + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":144,\"sockets\":384},\"known\":"
                + discovery.list(-1, 0) + ",\"settings\":{\"balancers\":1,\"categories\":[" + classes + "],"
                + "\"clientHabits\":{\"marksRetry\":true},\"dcs\":[\"a\"],\"discovery\":\"on_request\","
                + "\"family\":\"chain\",\"familyInfo\":{\"passesDeadline\":false},\"fees\":{\"connection\":0.0,"
                + "\"crossZone\":0.005,\"discovery\":0.0,\"handshake\":0.0,\"lateFail\":0.048,\"moves\":0.0,"
                + "\"origin\":0.0,\"peer\":0.0091,\"probe\":" + probePrice + ",\"waste\":0.064},\"goal\":{\"whole\":0.55,"
                + "\"worstClass\":0.3,\"worstTenant\":0.0,\"worstWindow\":0.15},\"layer\":0,"
                + "\"layers\":[\"front\",\"kurs\"],\"limits\":{\"cancel\":true,\"connectTimeoutUs\":150000,"
                + "\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":500000,\"keepaliveUs\":10000000,\"maxAttempts\":3,"
                + "\"maxOpen\":20000,\"maxRetryAfterUs\":2000000,\"maxStreams\":1,\"mayDuplicate\":true,"
                + "\"peers\":false,\"probes\":true,\"retryAfter\":true},\"loadInfo\":{\"fields\":[\"inflight\","
                + "\"queue\",\"util\"],\"how\":\"answers\"},\"locality\":0,\"machineTypes\":[\"m\"],\"me\":0,"
                + "\"overShareWorth\":0.1,\"resolutionUs\":1000,\"rules\":{\"answerSlackUs\":5000,"
                + "\"askEveryUs\":10000000,\"coldFrom\":0.13,\"coldUs\":23000000,\"drainGraceUs\":1000000,"
                + "\"overloadForUs\":1500000,\"tipMultiple\":3.0},\"tenants\":[],\"weightSource\":\"none\","
                + "\"worthBy\":\"work\"}}";
    }
}
