package larkworks.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import larkworks.platform.Addresses;

/** A list service in a process of its own, with what the system says of it. */
final class ServiceProcess implements AutoCloseable {

    private static final int START_S = 60;
    private static final Pattern HEAP = Pattern.compile("used (\\d+)K");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path data;
    private final int heapMb;
    private String listen = "127.0.0.1:0";
    private Process process;

    ServiceProcess(Path data, int heapMb) {
        this.data = data;
        this.heapMb = heapMb;
    }

    /** Starts it, at the address that it had before, and waits until it serves. */
    InetSocketAddress start() throws IOException, InterruptedException {
        process = new ProcessBuilder(program("java"), "-XX:+UseSerialGC", "-Xmx" + heapMb + "m", "-cp",
                System.getProperty("java.class.path"), "larkworks.cli.Larkworks", "registry", "--listen",
                listen, "--data", data.toString()).redirectErrorStream(true).start();
        Process started = process;
        CompletableFuture<String> serving = new CompletableFuture<>();
        Thread reader = new Thread(() -> read(started, serving), "service-log");
        reader.setDaemon(true);
        reader.start();
        try {
            listen = serving.get(START_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            close();
            throw new IOException("the list service did not start: " + e.getMessage(), e);
        }
        return Addresses.parse(listen);
    }

    private static void read(Process started, CompletableFuture<String> serving) {
        String last = "it said nothing";
        try (BufferedReader in = new BufferedReader(new InputStreamReader(started.getInputStream(),
                StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                last = line;
                JsonNode fields = line.startsWith("{") ? JSON.readTree(line) : JSON.nullNode();
                if (fields.path("message").asText().equals("serving")) {
                    serving.complete(fields.path("address").asText());
                }
            }
        } catch (IOException e) {
            last = e.toString();
        }
        serving.completeExceptionally(new IOException(last));
    }

    private static String program(String name) {
        return System.getProperty("java.home") + File.separator + "bin" + File.separator + name;
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    /** Processor time used since its start, in seconds. */
    double cpuS() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / 1e9;
    }

    double rssMb() throws IOException {
        return status("VmRSS");
    }

    double peakRssMb() throws IOException {
        return status("VmHWM");
    }

    private double status(String field) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith(field)) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1024.0;
            }
        }
        return -1;
    }

    /** Heap in use after a collection; negative where the JDK's tool is missing. */
    double heapMb() throws IOException, InterruptedException {
        if (!Files.isExecutable(Path.of(program("jcmd")))) {
            return -1;
        }
        jcmd("GC.run");
        double usedMb = 0;
        for (String line : jcmd("GC.heap_info")) {
            Matcher used = HEAP.matcher(line);
            if (!line.contains("Metaspace") && !line.contains("class space") && used.find()) {
                usedMb += Long.parseLong(used.group(1)) / 1024.0;
            }
        }
        return usedMb;
    }

    private List<String> jcmd(String command) throws IOException, InterruptedException {
        Process tool = new ProcessBuilder(program("jcmd"), String.valueOf(process.pid()), command)
                .redirectErrorStream(true).start();
        String said = new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        tool.waitFor();
        return said.lines().toList();
    }

    /** SIGKILL; nothing is kept beyond the data directory. */
    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
