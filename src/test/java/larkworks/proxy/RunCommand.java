package larkworks.proxy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import larkworks.platform.ConfigFile;

/** One real process by {@code run} of {@code deploy/balancer.toml}, from the root, after a build. */
final class RunCommand implements AutoCloseable {

    private static final Pattern FIELD = Pattern.compile("^(\\w+):\\s+(\\d+) kB$");

    final Process process;
    /** When it was told to start, by {@link System#nanoTime}. */
    final long startedNs = System.nanoTime();

    /**
     * Starts {@code run}.
     *
     * @param cores the cores that it may use, as taskset takes them; "" for all
     */
    RunCommand(String cores, Path config, Path own, Map<String, String> environment) throws Exception {
        String run = (String) ConfigFile.read(Path.of("deploy/balancer.toml")).get("run");
        List<String> command = new ArrayList<>(cores.isEmpty() ? List.of() : List.of("taskset", "-c", cores));
        command.addAll(List.of("/bin/sh", "-c", run));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(own.resolve("log").toFile());
        builder.environment().putAll(environment);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", own.toString());
        process = builder.start();
    }

    /** A figure in kB of {@code /proc/PID/status}, such as {@code VmRSS}. */
    long memoryKb(String field) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"),
                StandardCharsets.UTF_8)) {
            Matcher found = FIELD.matcher(line);
            if (found.matches() && found.group(1).equals(field)) {
                return Long.parseLong(found.group(2));
            }
        }
        throw new IOException("no " + field + " of process " + process.pid());
    }

    /** Ticks of processor time used so far, of 10 ms each. */
    long processorTicks() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
