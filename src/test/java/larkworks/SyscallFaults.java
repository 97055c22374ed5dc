package larkworks;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Makes system calls of a process fail according to rules, through a library that is loaded before the C
 * library. Its source {@code src/test/c/syscall_faults.c} describes the rules; it is compiled at first use.
 */
public final class SyscallFaults {

    private static final Path SOURCE = Path.of("src/test/c/syscall_faults.c");
    private static final Path LIBRARY = Path.of("target/native/libsyscall_faults.so").toAbsolutePath();
    private static boolean isBuilt;

    private SyscallFaults() { }

    /**
     * Returns environment variables for a process whose system calls fail according to these rules.
     *
     * @param seed seed for the rules that apply with a probability
     */
    public static Map<String, String> environment(String rules, long seed) {
        Map<String, String> environment = new HashMap<>();
        environment.put("LD_PRELOAD", compiledLibrary().toString());
        environment.put("FAULTS", rules);
        environment.put("FAULT_SEED", Long.toString(seed));
        return environment;
    }

    /**
     * Returns environment variables for a process whose system calls on sockets and files fail according to
     * these rules.
     *
     * @param folder rules for files apply only to files below this folder
     * @param countFile file to which a byte is appended for each counted call on a file below the folder
     */
    public static Map<String, String> environment(String rules, long seed, Path folder, Path countFile) {
        Map<String, String> environment = environment(rules, seed);
        environment.put("FAULT_FOLDER", folder.toAbsolutePath().toString());
        environment.put("FAULT_COUNT", countFile.toAbsolutePath().toString());
        return environment;
    }

    private static synchronized Path compiledLibrary() {
        if (!isBuilt) {
            compile();
            isBuilt = true;
        }
        return LIBRARY;
    }

    private static void compile() {
        try {
            Files.createDirectories(LIBRARY.getParent());
            Path newLibrary = Files.createTempFile(LIBRARY.getParent(), "faults", ".so");
            Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O1", "-Wall", "-Wextra",
                    "-Werror", "-o", newLibrary.toString(), SOURCE.toString(), "-ldl")
                    .redirectErrorStream(true).start();
            String compilerOutput =
                    new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (compiler.waitFor() != 0) {
                throw new AssertionError(SOURCE + " cannot be compiled: " + compilerOutput);
            }
            Files.move(newLibrary, LIBRARY, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw new AssertionError("a C compiler named cc is needed: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted while compiling " + SOURCE, e);
        }
    }
}
