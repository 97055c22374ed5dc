import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * What the cases share: the record, the project's programs as processes, HTTP over plain sockets, and the end of all
 * of it. One instance a run.
 */
final class Lab {

    static final String HOST = "127.0.0.1";
    private static final int BROKEN = 1;
    private static final int COULD_NOT_RUN = 2;
    private static final long LIMIT_S = 115;

    /** A case: it returns what broke the rule, one line for each, none if the rule held. */
    interface Run {
        List<String> run(Lab lab) throws Exception;
    }

    /** A message as received: its first line, its header fields with names in lower case, and its body. */
    record Message(String line, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        boolean closes() {
            return header("connection").equalsIgnoreCase("close");
        }
    }

    /** True if the case is to play its disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of("").toAbsolutePath();
    final Path temp;
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
    private final Set<Integer> ports = new HashSet<>();

    private Lab(Path folder) throws IOException {
        temp = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    /** Runs a case whose folder the first argument names, and ends the process with its result. */
    static void main(String[] args, Run run) throws Exception {
        Lab lab = new Lab(Path.of(args[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(lab::end));
        daemon(() -> {
            Thread.sleep(LIMIT_S * 1000);
            lab.say("script", "the run took too long");
            lab.exit(COULD_NOT_RUN);
        });
        int status;
        try {
            lab.say("script", lab.trouble ? "with the disruption" : "without the disruption");
            List<String> broken = run.run(lab);
            broken.forEach(text -> lab.say("BROKEN", text));
            status = broken.isEmpty() ? 0 : BROKEN;
            lab.say("script", broken.isEmpty() ? "the rule held" : "the rule was broken, " + broken.size() + " times");
            System.out.println(broken.isEmpty() ? "held" : "broken: " + broken.size() + ", first: " + broken.get(0));
        } catch (Exception | AssertionError e) {
            lab.say("script", "could not run: " + e);
            e.printStackTrace();
            status = COULD_NOT_RUN;
        }
        lab.exit(status);
    }

    private void exit(int status) {
        end();
        Runtime.getRuntime().halt(status);
    }

    /** Ends all processes that were started, and removes the temporary folder. */
    private synchronized void end() {
        for (Process process : List.copyOf(processes)) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (Files.exists(temp)) {
            try (var files = Files.walk(temp)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            } catch (IOException e) {
                System.err.println(e);
            }
        }
        record.flush();
    }

    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    /** Writes a line to the record. */
    void say(String who, String text) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%8.3f  %-10s %s%n", (System.nanoTime() - startNs) / 1e9, who, text);
            record.flush();
        }
    }

    /** Copies the end of a process's log to the record. */
    void sayLog(String name, int lines) throws IOException {
        Path log = temp.resolve(name + ".log");
        if (Files.exists(log)) {
            List<String> all = Files.readAllLines(log);
            all.subList(Math.max(0, all.size() - lines), all.size()).forEach(line -> say(name + ".log", line));
        }
    }

    // ---- processes

    int freePort() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
                if (ports.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            }
        }
    }

    /** Starts a process from the root of the project; its output goes to NAME.log in the temporary folder. */
    Process start(String name, Map<String, String> environment, String... command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
        builder.environment().keySet().removeIf(key -> key.startsWith("GW_"));
        builder.environment().putAll(environment);
        Process process = builder.start();
        processes.add(process);
        say("script", "started " + name + ", process " + process.pid());
        return process;
    }

    /** Starts a proxy with the command of the deploy file. */
    Process startProxy(String name, Path config, String listen, String discovery, String admin) throws IOException {
        String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        Map<String, String> environment = new LinkedHashMap<>(Map.of("GW_NAME", name, "GW_LISTEN", listen,
                "GW_DISCOVERY", discovery, "GW_CONFIG", config.toString(),
                "TMPDIR", Files.createDirectories(temp.resolve("tmp-" + name)).toString()));
        if (admin != null) {
            environment.put("GW_ADMIN_ADDR", admin);
        }
        return start(name, environment, "/bin/sh", "-c", run);
    }

    void signal(Process process, String name) throws Exception {
        say("script", "SIG" + name + " to process " + process.pid());
        if (new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor() != 0) {
            throw new IOException("no signal could be sent to process " + process.pid());
        }
    }

    void await(String what, int seconds, BooleanSupplier holds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not within " + seconds + " s: " + what);
            }
            Thread.sleep(50);
        }
    }

    void awaitReady(String listen) throws InterruptedException {
        await("the proxy at " + listen + " is ready", 30, () -> {
            try {
                return call(listen, "GET", "/health/ready", "", 1_000).status() == 200;
            } catch (IOException e) {
                return false;
            }
        });
    }

    // ---- HTTP

    interface Task {
        void run() throws Exception;
    }

    /** Runs a task on a thread of its own; it ends where its sockets are closed. */
    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The other side has closed the connection, or the run is over.
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Makes one call on a connection of its own. */
    static Message call(String address, String method, String path, String body, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address(address), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(bytes(method + " " + path + " HTTP/1.1\r\nHost: " + address
                    + "\r\nConnection: close\r\nContent-Length: " + bytes(body).length + "\r\n\r\n" + body));
            Message answer = read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) {
                throw new IOException("closed without an answer");
            }
            return answer;
        }
    }

    /** Reads one message with a Content-Length or with chunks; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon).strip().toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
        }
        byte[] body;
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream parts = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                parts.write(exactly(in, size));
                line(in);
            }
            line(in);
            body = parts.toByteArray();
        } else {
            body = exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        return new Message(line, headers, body);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] body = in.readNBytes(size);
        if (body.length < size) {
            throw new IOException("the body is cut off");
        }
        return body;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            text.append((char) next);
        }
        return text.toString().stripTrailing();
    }
}
