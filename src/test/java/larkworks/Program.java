package larkworks;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import larkworks.adapter.Json;

/** One real process of our program, on the tests' own class path, with what it says collected. */
public final class Program implements AutoCloseable {

    public final Process process;
    /** What it wrote to both streams, line by line. */
    public final List<String> lines = new CopyOnWriteArrayList<>();

    /**
     * Starts {@code larkworks ARGS}.
     *
     * @param shell a shell command before it, such as {@code ulimit -f 8}; "" for none
     */
    public Program(String shell, Map<String, String> environment, String... args) throws IOException {
        List<String> command = new ArrayList<>(List.of("bash", "-c", (shell.isEmpty() ? "" : shell + "; ")
                + "exec \"$0\" \"$@\"", "java", "-XX:+UseSerialGC", "-XX:-UsePerfData", "-Xmx128m", "-cp",
                System.getProperty("java.class.path"), "larkworks.cli.Larkworks"));
        command.addAll(List.of(args));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(environment);
        process = builder.start();
        Thread reader = new Thread(this::read, "lines");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(process.getInputStream(),
                StandardCharsets.UTF_8))) {
            in.lines().forEach(lines::add);
        } catch (IOException | java.io.UncheckedIOException e) {
            lines.add("(closed: " + e + ")");
        }
    }

    /** The first log line with this message, waited for. */
    public Map<String, Object> logged(String message) throws InterruptedException {
        Map<String, Object> found = new java.util.HashMap<>();
        await(30, () -> lines.toString(), () -> {
            for (String line : lines) {
                try {
                    Map<String, Object> fields = line.startsWith("{")
                            ? Json.object(line.getBytes(StandardCharsets.UTF_8)) : Map.of();
                    if (message.equals(fields.get("message"))) {
                        found.putAll(fields);
                        return true;
                    }
                } catch (IOException e) {
                    throw new IllegalStateException(line, e);
                }
            }
            return false;
        });
        return found;
    }

    /** SIGKILL. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    /** Waits for a condition, looked at every 20 ms; fails with {@code told} where it never holds. */
    public static void await(int seconds, java.util.function.Supplier<String> told, BooleanSupplier condition)
            throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, told);
            Thread.sleep(20);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
