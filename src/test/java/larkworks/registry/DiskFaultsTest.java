package larkworks.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import larkworks.Program;
import larkworks.SyscallFaults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The list service as a process whose disk fails for a while, or that is killed at any call on a file. */
@Timeout(300)
class DiskFaultsTest {

    /** Small, so that a snapshot is written every few changes. */
    private static final String SNAPSHOT_BYTES = "900";
    private static final int WRITES = 14;
    private static final int STORED = 200;

    @TempDir
    Path folder;

    private static Program service(Path data, String rules) throws IOException {
        Map<String, String> environment = rules.isEmpty() ? Map.of()
                : SyscallFaults.environment(rules, 1, data,
                        data.resolveSibling(data.getFileName() + ".calls"));
        return new Program("", environment, "registry", "--listen", "127.0.0.1:0", "--data", data.toString(),
                "--snapshot-bytes", SNAPSHOT_BYTES);
    }

    private static Caller caller(Program service) throws InterruptedException {
        return new Caller((String) service.awaitLogLine("serving").get("address"));
    }

    /** What callers were told of their writes. */
    private static final class Told {
        final Set<String> stored = new HashSet<>();
        final Set<String> refused = new HashSet<>();

        void write(Caller caller, String name, int port) throws IOException, InterruptedException {
            (caller.register(name, "10.0.0.1:" + port, "").status() == STORED ? stored : refused).add(name);
        }
    }

    /** What was acknowledged is there after a kill, and what was not is not acknowledged later. */
    private static void assertKept(Path data, Told told) throws Exception {
        try (Program again = service(data, "")) {
            Caller caller = caller(again);
            List<String> held = caller.list("").endpoints();
            told.stored.forEach(name -> assertTrue(held.contains(name + " in_service"), name + " is lost"));
            told.refused.forEach(name ->
                    assertFalse(held.contains(name + " in_service"), name + " came back"));
            assertEquals(STORED, caller.register("after", "10.0.0.2:1", "").status());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"fsync=EIO,3000-4500", "fsync=EIO#5", "write=ENOSPC,3000-4500",
        "write=EIO,3000-4500", "truncate=EIO;write=ENOSPC,3000-4500",
        "rename=EIO,3000-4500;fsync=EIO,3500-4500"})
    void writesGoOnByThemselvesOnceTheDiskWorksAgain(String rules) throws Exception {
        Path data = folder.resolve("data");
        Told told = new Told();
        try (Program service = service(data, rules)) {
            Caller caller = caller(service);
            long until = System.nanoTime() + 6_000_000_000L;
            for (int i = 0; System.nanoTime() < until; i++) {
                told.write(caller, "s" + i, 1_000 + i);
                Thread.sleep(30);
            }
            assertFalse(told.refused.isEmpty(), "no write failed");
            assertEquals(STORED, caller.register("last", "10.0.0.3:1", "").status(), "still refuses writes");
            told.stored.add("last");
            service.kill();
        }
        assertKept(data, told);
    }

    /** Each third call in turn, over all calls that the writes make. */
    @ParameterizedTest
    @ValueSource(strings = {"write", "fsync", "rename", "truncate"})
    void nothingAcknowledgedIsLostWhereverTheServiceIsKilled(String call) throws Exception {
        assertSurvives(call + "=KILL#", "");
    }

    /** A failed sync first, so that the kill may fall into what is done about it. */
    @Test
    void nothingAcknowledgedIsLostWhereItIsKilledWhileItRecoversFromAFailedSync() throws Exception {
        assertSurvives("fsync=KILL#", "fsync=EIO#8;");
        assertSurvives("write=KILL#", "fsync=EIO#8;");
    }

    private void assertSurvives(String kill, String before) {
        IntStream.iterate(1, n -> n <= 28, n -> n + 3).parallel().forEach(n -> {
            Path data = folder.resolve((kill + before + n).replaceAll("[^a-z0-9]", ""));
            try {
                assertKept(data, killedAt(data, before + kill + n));
            } catch (Exception e) {
                throw new AssertionError(before + kill + n + ": " + e, e);
            }
        });
    }

    private static Told killedAt(Path data, String rules) throws Exception {
        Told told = new Told();
        Files.createDirectories(data);
        try (Program service = service(data, rules)) {
            Program.await(30, () -> service.lines.toString(), () -> !service.process.isAlive()
                    || service.lines.toString().contains("\"serving\""));
            if (!service.process.isAlive()) {
                return told;
            }
            Caller caller = caller(service);
            for (int i = 0; i < WRITES && service.process.isAlive(); i++) {
                told.write(caller, "s" + i, 1_000 + i);
            }
        } catch (IOException e) {
            // Killed under the call, which is answered neither way.
            return told;
        }
        return told;
    }
}
