package larkworks.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import larkworks.platform.Addresses;

/** A list service in a process of its own. */
final class ServiceProcess implements AutoCloseable {

    private static final int START_S = 60;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path data;
    private final int heapMb;
    private String listen = "127.0.0.1:0";
    private Process process;

    ServiceProcess(Path data, int heapMb) {
        this.data = data;
        this.heapMb = heapMb;
        // A run that is ended before its time must not leave the service behind.
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Starts it, at the address that it had before, and waits until it serves. */
    InetSocketAddress start() throws IOException, InterruptedException {
        process = new ProcessBuilder(ProcessFigures.program("java"), "-XX:+UseSerialGC",
                "-Xmx" + heapMb + "m", "-cp", System.getProperty("java.class.path"),
                "larkworks.cli.Larkworks", "registry", "--listen", listen, "--data", data.toString())
                .redirectErrorStream(true).start();
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

    /** SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    /** What the system says of it. */
    ProcessFigures figures() {
        return new ProcessFigures(process);
    }

    /** SIGKILL; nothing is kept beyond the data directory. */
    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
