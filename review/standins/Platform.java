import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The platform's side of a case: free ports, the configuration, discovery, and proxies started with the
 * command {@code run} of the deploy file. Everything is on loopback addresses and the real clock.
 */
final class Platform implements AutoCloseable {

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path root;
    final Path folder;
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final List<Process> processes = new java.util.concurrent.CopyOnWriteArrayList<>();

    /** Opens the record of a case in its folder; {@code root} is the repository. */
    Platform(Path root, Path caseFolder) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("larkworks-review-");
        this.record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        record("case " + caseFolder.getFileName() + " TROUBLE=" + (TROUBLE ? 1 : 0));
        Runtime.getRuntime().addShutdownHook(
                new Thread(() -> processes.forEach(Process::destroyForcibly)));
    }

    /** What a case found. */
    enum Result { HELD, BROKEN, NOT_RUN }

    /** A case. */
    interface Case {
        Result run(Platform platform) throws Exception;
    }

    /**
     * Runs a case and exits: with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
     *
     * @param args the repository and the folder of the case
     */
    static void run(String[] args, Case body) {
        Result result = Result.NOT_RUN;
        try (Platform platform = new Platform(Path.of(args[0]), Path.of(args[1]))) {
            try {
                result = body.run(platform);
            } catch (Exception e) {
                platform.record("failed: " + e);
            }
            platform.record(switch (result) {
                case HELD -> "RULE HELD";
                case BROKEN -> "RULE BROKEN";
                case NOT_RUN -> "THE CASE COULD NOT RUN";
            });
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
            result = Result.NOT_RUN;
        }
        Runtime.getRuntime().halt(result == Result.HELD ? 0 : result == Result.BROKEN ? 1 : 2);
    }

    /** Writes a line to the record, with the time since the start in milliseconds. */
    void record(String line) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%9.3f %s%n", nowMs(), line);
        }
    }

    double nowMs() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    /** Ports that no one listened at a moment ago. */
    static int[] freePorts(int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** A proxy's process and its address. */
    record Proxy(Process process, int port) {
        InetSocketAddress address() {
            return new InetSocketAddress("127.0.0.1", port);
        }
    }

    /** Starts a proxy as the deploy file says, and waits until it is ready. */
    Proxy startProxy(String settings, int sockets, int memoryMb, int discoveryPort, String endpoints)
            throws IOException, InterruptedException {
        int port = freePorts(1)[0];
        Path config = folder.resolve("config.json");
        Path temporary = Files.createDirectories(folder.resolve("tmp"));
        Files.writeString(config, "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port
                + "\",\"discovery\":\"127.0.0.1:" + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},"
                + "\"known\":{\"index\":1,\"snapshot\":true,\"endpoints\":" + endpoints + "},"
                + "\"settings\":" + settings + "}");
        String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = \"")).findFirst().orElseThrow();
        run = run.substring("run = \"".length(), run.lastIndexOf('"'));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile())
                .redirectErrorStream(true).redirectOutput(folder.resolve("proxy.log").toFile());
        builder.environment().putAll(Map.of("GW_NAME", "n1", "GW_LISTEN", "127.0.0.1:" + port,
                "GW_DISCOVERY", "127.0.0.1:" + discoveryPort, "GW_CONFIG", config.toString(),
                "TMPDIR", temporary.toString()));
        Process process = builder.start();
        processes.add(process);
        Proxy proxy = new Proxy(process, port);
        long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() - untilNs < 0 && process.isAlive()) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write(
                        "GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.ISO_8859_1));
                Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
                if (answer != null && answer.start().startsWith("HTTP/1.1 200")) {
                    record("proxy ready at 127.0.0.1:" + port + ", process " + process.pid());
                    return proxy;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(50);
        }
        throw new IOException("the proxy did not become ready");
    }

    /** Copies the proxy's log into the record. */
    void recordProxyLog() throws IOException {
        Path log = folder.resolve("proxy.log");
        if (Files.exists(log)) {
            Files.readAllLines(log).stream().limit(40).forEach(line -> record("proxy log: " + line));
        }
    }

    /** Ends all processes that this case started. */
    @Override
    public void close() throws IOException {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        recordProxyLog();
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        record.close();
    }

    /** Starts a daemon thread. */
    static Thread start(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The peer closed its connection, or the case is over.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Work that may fail. */
    interface Task {
        void run() throws Exception;
    }

    /** Sleeps until a point of {@link System#nanoTime}. */
    static void sleepUntil(long atNs) throws InterruptedException {
        long leftNs = atNs - System.nanoTime();
        if (leftNs > 0) {
            TimeUnit.NANOSECONDS.sleep(leftNs);
        }
    }

    /** HTTP/1.1 messages with a Content-Length. */
    static final class Http {

        /** A message: its first line, its headers by lower-case name, and its body. */
        record Message(String start, Map<String, String> headers, byte[] body) { }

        private Http() { }

        /** Reads a line without its end; null at the end of the stream before any byte. */
        static String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    if (line.size() == 0) {
                        return null;
                    }
                    throw new IOException("cut off within a line");
                }
                if (b != '\r') {
                    line.write(b);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        /** Reads a message's first line and headers; null at the end of the stream before any byte. */
        static Message readHead(InputStream in) throws IOException {
            String start = readLine(in);
            if (start == null) {
                return null;
            }
            Map<String, String> headers = new LinkedHashMap<>();
            for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
            return new Message(start, headers, null);
        }

        /** Reads a message; null at the end of the stream before any byte. */
        static Message read(InputStream in) throws IOException {
            Message head = readHead(in);
            if (head == null) {
                return null;
            }
            int length = Integer.parseInt(head.headers.getOrDefault("content-length", "0"));
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new IOException("cut off after " + body.length + " of " + length + " bytes");
            }
            return new Message(head.start, head.headers, body);
        }

        static byte[] answer(String status, String headers, byte[] body) {
            byte[] head = ("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length + "\r\n" + headers
                    + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            return all;
        }
    }

    /** Discovery: one list that never changes, and watches that end empty after the time asked for. */
    static final class Discovery {
        final ServerSocket listener;
        private final String endpoints;

        Discovery(String endpoints) throws IOException {
            this.endpoints = endpoints;
            listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            start("discovery", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    start("discovery-call", () -> serve(socket));
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        private void serve(Socket socket) throws Exception {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                String target = call.start().split(" ")[1];
                String text = "{\"index\":1,\"snapshot\":true,\"endpoints\":" + endpoints + "}";
                int waitAt = target.indexOf("wait=");
                if (target.contains("index=1") && waitAt > 0) {
                    Thread.sleep(Long.parseLong(target.substring(waitAt + 5).split("&")[0]));
                    text = "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}";
                }
                out.write(Http.answer("200 OK", "Content-Type: application/json\r\n",
                        text.getBytes(StandardCharsets.UTF_8)));
            }
        }
    }

    /** A backend's entry in discovery's list. */
    static String endpoint(String name, int port) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"hall-a\","
                + "\"type\":\"front-std\",\"group\":1,\"status\":\"in_service\",\"weight\":1.0,\"since_ms\":0}";
    }

    /**
     * Settings of a small deployment, as in the settings of the wire page; deadlines in milliseconds.
     *
     * @param balancers how many proxies the tier has
     */
    static String settings(int balancers, long goalMs, long deadlineMs) {
        return """
                {"balancers": %1$d,
                 "categories": [
                  {"deadlineUs": %3$d, "dedupWindowUs": 5000000, "effect": "pure", "goalTimeUs": %2$d,
                   "group": "all", "lateWorth": 0.0, "name": "kurs-les", "stream": false, "worth": 5.0},
                  {"deadlineUs": %3$d, "dedupWindowUs": 5000000, "effect": "side_effect", "goalTimeUs": %2$d,
                   "group": "all", "lateWorth": 0.0, "name": "varsel-ny", "stream": false, "worth": 10.0}],
                 "clientHabits": {"marksRetry": true},
                 "dcs": ["hall-a", "hall-b", "hall-c"], "discovery": "on_request", "family": "chain",
                 "familyInfo": {"passesDeadline": false},
                 "fees": {"connection": 0.0, "crossZone": 0.005, "discovery": 0.0, "handshake": 0.0,
                  "lateFail": 0.048, "moves": 0.0, "origin": 0.0, "peer": 0.0091, "probe": 0.002,
                  "waste": 0.064},
                 "goal": {"whole": 0.55, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.15},
                 "layer": 0, "layers": ["front", "kurs"],
                 "limits": {"cancel": true, "connectTimeoutUs": 150000, "cpuUsPerRequest": 0.0,
                  "cpuUsPerS": 500000, "keepaliveUs": 10000000, "maxAttempts": 3, "maxOpen": 20000,
                  "maxRetryAfterUs": 2000000, "maxStreams": 100, "mayDuplicate": true, "peers": false,
                  "probes": true, "retryAfter": true},
                 "loadInfo": {"fields": ["inflight", "queue", "util"], "how": "answers"},
                 "locality": 0, "machineTypes": ["front-std", "front-alt"], "me": 0, "overShareWorth": 0.1,
                 "resolutionUs": 1000,
                 "rules": {"answerSlackUs": 5000, "askEveryUs": 10000000, "coldFrom": 0.13,
                  "coldUs": 23000000, "drainGraceUs": 1000000, "overloadForUs": 1500000,
                  "tipMultiple": 3.0},
                 "tenants": [], "weightSource": "none", "worthBy": "work"}
                """.formatted(balancers, goalMs * 1000, deadlineMs * 1000);
    }
}
