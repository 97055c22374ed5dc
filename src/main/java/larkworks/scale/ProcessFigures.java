package larkworks.scale;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the system says of a process of ours. */
final class ProcessFigures {

    private static final Pattern HEAP = Pattern.compile("used (\\d+)K");

    private final Process process;

    ProcessFigures(Process process) {
        this.process = process;
    }

    /** A program of this process's own JDK. */
    static String program(String name) {
        return System.getProperty("java.home") + File.separator + "bin" + File.separator + name;
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
}
