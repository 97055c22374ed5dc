package larkworks;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Has system calls of a process fail by rule, through a library loaded before the C library. The rules are
 * described in {@code src/test/c/syscall_faults.c}, which is compiled at first use.
 */
public final class SyscallFaults {

    private static final Path SOURCE = Path.of("src/test/c/syscall_faults.c");
    private static final Path LIBRARY = Path.of("target/native/libsyscall_faults.so").toAbsolutePath();
    private static boolean built;

    private SyscallFaults() { }

    /** Environment of a process in which calls fail by these rules; seeds the rules with a chance. */
    public static Map<String, String> environment(String rules, long seed) {
        Map<String, String> environment = new HashMap<>();
        environment.put("LD_PRELOAD", library().toString());
        environment.put("FAULTS", rules);
        environment.put("FAULT_SEED", Long.toString(seed));
        return environment;
    }

    /**
     * The same for a process that stores files.
     *
     * @param folder rules for files hold below this folder only
     * @param counts gets a byte for each call on a file there
     */
    public static Map<String, String> environment(String rules, long seed, Path folder, Path counts) {
        Map<String, String> environment = environment(rules, seed);
        environment.put("FAULT_FOLDER", folder.toAbsolutePath().toString());
        environment.put("FAULT_COUNT", counts.toAbsolutePath().toString());
        return environment;
    }

    private static synchronized Path library() {
        if (!built) {
            build();
            built = true;
        }
        return LIBRARY;
    }

    private static void build() {
        try {
            Files.createDirectories(LIBRARY.getParent());
            Path fresh = Files.createTempFile(LIBRARY.getParent(), "faults", ".so");
            Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O1", "-Wall", "-Wextra",
                    "-Werror", "-o", fresh.toString(), SOURCE.toString(), "-ldl")
                    .redirectErrorStream(true).start();
            String said = new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (compiler.waitFor() != 0) {
                throw new AssertionError(SOURCE + " can't be compiled: " + said);
            }
            Files.move(fresh, LIBRARY, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw new AssertionError("a C compiler is needed, called cc: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted while compiling", e);
        }
    }
}
