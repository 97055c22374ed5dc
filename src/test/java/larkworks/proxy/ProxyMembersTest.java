package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import larkworks.adapter.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the membership of real proxy processes, as shown at their admin addresses. */
@Timeout(120)
class ProxyMembersTest {

    @TempDir
    Path folder;

    private final List<Integer> adminPorts = new ArrayList<>();

    /**
     * Returns the state of a member as one of the processes sees it, or the text of the error if that process
     * doesn't answer yet.
     */
    private String memberState(int observer, int member) {
        try (var input = URI.create("http://" + TestBench.HOST + ":" + adminPorts.get(observer)
                + "/ops/members")
                .toURL().openStream()) {
            Map<?, ?> membersJson = Json.object(input.readAllBytes());
            assertEquals(observer, membersJson.get("self"));
            return String.valueOf(
                    ((Map<?, ?>) ((List<?>) membersJson.get("members")).get(member)).get("state"));
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Test
    void proxiesDetectMembersThatLeaveOrDie() throws Exception {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            try (DatagramSocket freeSocket = new DatagramSocket(0, InetAddress.getByName(TestBench.HOST))) {
                peers.add('"' + TestBench.HOST + ":" + freeSocket.getLocalPort() + '"');
            }
        }
        List<Process> processes = new ArrayList<>();
        try (TestBench bench = new TestBench(1)) {
            for (int i = 0; i < 4; i++) {
                bench.extraConfig = "\"peer_listen\":" + peers.get(i) + ",\"peers\":" + peers
                        + ",\"membership\":{\"probe_interval_ms\":200,\"probe_timeout_ms\":80},";
                Path configFile = Files.writeString(folder.resolve(i + ".json"),
                        bench.configJson(TestBench.freePort(), bench.fullList(1)));
                adminPorts.add(TestBench.freePort());
                ProcessBuilder builder = new ProcessBuilder("java", "-XX:+UseSerialGC", "-Xmx40m", "-cp",
                        System.getProperty("java.class.path"), "larkworks.cli.Larkworks", "proxy")
                        .redirectError(folder.resolve(i + ".log").toFile());
                builder.environment().putAll(Map.of("GW_CONFIG", configFile.toString(), "GW_ADMIN_ADDR",
                        TestBench.HOST + ":" + adminPorts.get(i), "TMPDIR", folder.toString()));
                processes.add(builder.start());
            }
            await(() -> List.of(0, 1, 2, 3).stream().allMatch(i -> memberState(i, 3).equals("alive")));
            processes.get(3).destroy();
            await(() -> List.of(0, 1, 2).stream().allMatch(i -> memberState(i, 3).equals("left")));
            processes.get(2).destroyForcibly();
            await(() -> memberState(0, 2).equals("dead") && memberState(1, 2).equals("dead"));
            String log = Files.readString(folder.resolve("0.log"));
            assertTrue(log.contains("\"about\":3,\"from\":\"alive\",\"to\":\"left\""), log);
        } finally {
            processes.forEach(Process::destroyForcibly);
        }
    }

    private static void await(java.util.function.BooleanSupplier condition) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, "the condition did not hold within 30 s");
            Thread.sleep(50);
        }
    }
}
