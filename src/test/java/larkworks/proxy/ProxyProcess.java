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

/** A proxy process, started by the {@code run} command of {@code deploy/balancer.toml} after a build. */
final class ProxyProcess implements AutoCloseable {

    private static final Pattern STATUS_LINE = Pattern.compile("^(\\w+):\\s+(\\d+) kB$");

    final Process process;
    /** Start of the process, by {@link System#nanoTime}. */
    final long startNs = System.nanoTime();

    /**
     * Starts the process; its log goes to the file {@code log} in its own folder.
     *
     * @param cores the CPU list for taskset; "" for all cores
     */
    ProxyProcess(String cores, Path config, Path ownFolder, Map<String, String> environment)
            throws Exception {
        String runCommand = (String) ConfigFile.read(Path.of("deploy/balancer.toml")).get("run");
        List<String> command = new ArrayList<>(cores.isEmpty() ? List.of() : List.of("taskset", "-c", cores));
        command.addAll(List.of("/bin/sh", "-c", runCommand));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ownFolder.resolve("log").toFile());
        builder.environment().putAll(environment);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", ownFolder.toString());
        process = builder.start();
    }

    /** Returns a field of {@code /proc/PID/status} in kB, such as {@code VmRSS}. */
    long memoryKb(String field) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"),
                StandardCharsets.UTF_8)) {
            Matcher matcher = STATUS_LINE.matcher(line);
            if (matcher.matches() && matcher.group(1).equals(field)) {
                return Long.parseLong(matcher.group(2));
            }
        }
        throw new IOException("no field " + field + " in the status of process " + process.pid());
    }

    /** Returns the processor time used so far, in ticks of 10 ms. */
    long cpuTicks() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
