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

/** A process that runs {@code larkworks} on the class path of the tests, and the lines that it prints. */
public final class Program implements AutoCloseable {

    public final Process process;
    /** The lines that the process has written to standard output and standard error. */
    public final List<String> lines = new CopyOnWriteArrayList<>();

    /**
     * Starts {@code larkworks ARGS}.
     *
     * @param shellCommand a shell command to run before {@code larkworks}, such as {@code ulimit -f 8}; ""
     *         for none
     * @param environment variables that are added to those of the tests
     */
    public Program(String shellCommand, Map<String, String> environment, String... args) throws IOException {
        List<String> command = new ArrayList<>(List.of("bash", "-c",
                (shellCommand.isEmpty() ? "" : shellCommand + "; ")
                + "exec \"$0\" \"$@\"", "java", "-XX:+UseSerialGC", "-XX:-UsePerfData", "-Xmx128m", "-cp",
                System.getProperty("java.class.path"), "larkworks.cli.Larkworks"));
        command.addAll(List.of(args));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(environment);
        process = builder.start();
        Thread reader = new Thread(this::collectLines, "lines");
        reader.setDaemon(true);
        reader.start();
    }

    private void collectLines() {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(process.getInputStream(),
                StandardCharsets.UTF_8))) {
            reader.lines().forEach(lines::add);
        } catch (IOException | java.io.UncheckedIOException e) {
            lines.add("(output closed: " + e + ")");
        }
    }

    /** Waits up to 30 s for a log line with this message and returns the fields of the first one. */
    public Map<String, Object> awaitLogLine(String message) throws InterruptedException {
        Map<String, Object> foundFields = new java.util.HashMap<>();
        await(30, () -> lines.toString(), () -> {
            for (String line : lines) {
                try {
                    Map<String, Object> fields = line.startsWith("{")
                            ? Json.object(line.getBytes(StandardCharsets.UTF_8)) : Map.of();
                    if (message.equals(fields.get("message"))) {
                        foundFields.putAll(fields);
                        return true;
                    }
                } catch (IOException e) {
                    throw new IllegalStateException(line, e);
                }
            }
            return false;
        });
        return foundFields;
    }

    /** Kills the process with SIGKILL and waits for its end. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Sends the process a signal. */
    public void signal(String signalName) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signalName, String.valueOf(process.pid())).start().waitFor();
    }

    /**
     * Waits until a condition holds, checked every 20 ms; fails with the text {@code failureMessage} after a
     * timeout.
     */
    public static void await(int seconds, java.util.function.Supplier<String> failureMessage,
            BooleanSupplier condition)
            throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, failureMessage);
            Thread.sleep(20);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
