package larkworks.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Scanner;
import larkworks.DeployedJvm;
import larkworks.SyscallFaults;

/** A proxy of the soak, a real process with the options of {@code run}, restarted at the same address. */
final class SoakProxy {

    final int number;
    final InetSocketAddress address;
    private final Path folder;
    private final SoakSettings settings;
    private int starts;
    private Process process;

    SoakProxy(int number, InetSocketAddress address, Path folder, SoakSettings settings) throws IOException {
        this.number = number;
        this.address = address;
        this.settings = settings;
        this.folder = Files.createDirectories(folder.resolve("p" + number));
    }

    /** Writes the configuration, which a running process takes up at SIGHUP. */
    void configure(String discovery, String known) throws IOException {
        Path fresh = folder.resolve("config.new");
        Files.writeString(fresh, settings.configuration(number, address, discovery, known));
        Files.move(fresh, folder.resolve("config.json"), java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts a process, whose system calls fail by these rules. */
    void start(String faults, long seed) throws IOException {
        List<String> command = new ArrayList<>(DeployedJvm.command());
        command.add("proxy");
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(log(starts++).toFile());
        Map<String, String> environment = new HashMap<>(Map.of("GW_CONFIG",
                folder.resolve("config.json").toString(), "TMPDIR", folder.toString()));
        if (!faults.isEmpty()) {
            environment.putAll(SyscallFaults.environment(faults, seed));
        }
        builder.environment().putAll(environment);
        process = builder.start();
    }

    private Path log(int start) {
        return folder.resolve("log-" + start);
    }

    Process process() {
        return process;
    }

    void signal(String name) throws IOException, InterruptedException {
        signal(process, name);
    }

    /** Signals one of its processes, which may have ended and been followed by another. */
    static void signal(Process process, String name) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }
    }

    /** Lines of all its processes' logs in which one of the words stands. */
    List<String> logged(String... words) throws IOException {
        List<String> found = new ArrayList<>();
        for (int i = 0; i < starts; i++) {
            try (Scanner lines = new Scanner(log(i))) {
                while (lines.hasNextLine()) {
                    String line = lines.nextLine();
                    for (String word : words) {
                        if (line.contains(word)) {
                            found.add("p" + number + "/" + i + ": " + line);
                            break;
                        }
                    }
                }
            }
        }
        return found;
    }

    void close() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }
}
