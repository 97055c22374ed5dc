package larkworks.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.Map;
import larkworks.Program;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** One replica in this process: its data directory, and calls that can't be granted. */
@Timeout(60)
class ReplicatedRegistryTest {

    @TempDir
    Path folder;

    private ReplicatedRegistry start(Path data) throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
        return new ReplicatedRegistry(settings(data),
                new ReplicaSettings("a", address, Map.of("a", address), false, 300, 2_000, 1_000, 1 << 20));
    }

    private static Registry.Settings settings(Path data) {
        return new Registry.Settings(new InetSocketAddress("127.0.0.1", 0), data, 1 << 20, 10);
    }

    @Test
    void aDataDirectoryIsOneReplicasAlone() throws Exception {
        Path data = folder.resolve("data");
        try (ReplicatedRegistry first = start(data)) {
            assertNotEquals(0, first.address().getPort());
            assertEquals(data + ": another process holds this data directory",
                    assertThrows(IOException.class, () -> start(data)).getMessage()
                            .replaceFirst("^replica 'a' at [0-9.:]+: ", ""));
        }
        assertEquals(data + ": it holds the data of a replica",
                assertThrows(IOException.class, () -> new Registry(settings(data))).getMessage());
        Path alone = folder.resolve("alone");
        new Registry(settings(alone)).close();
        assertEquals(alone + ": it holds the data of a list service without replicas",
                assertThrows(IOException.class, () -> start(alone)).getMessage()
                        .replaceFirst("^replica 'a' at [0-9.:]+: ", ""));
    }

    @Test
    void callsThatCantBeGrantedAreToldSoAsByASingleProcess() throws Exception {
        try (ReplicatedRegistry registry = start(folder.resolve("data"))) {
            Caller caller = new Caller("127.0.0.1:" + registry.address().getPort());
            Program.await(30, () -> "no leader", () -> {
                try {
                    return caller.register("held", "10.0.0.1:1", "").status() == 200;
                } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            assertEquals(400, caller.register("n", "some.host:1", "").status());
            assertEquals(409, caller.register("held", "10.0.0.9:1", "").status());
            assertEquals(409, caller.register("n", "10.0.0.1:1", "").status());
            assertEquals(400, caller.call("PUT", "/registry/v1/instances/held/status", "{}").status());
            assertEquals(404, caller.status("n", "terminating").status());
            assertEquals(409, caller.call("PUT", "/registry/v1/instances/held/heartbeat", "").status());
            assertEquals(404, caller.call("PUT", "/registry/v1/instances/n/heartbeat", "").status());
            assertEquals(409, caller.call("PUT", "/registry/v1/rollout/pause", "").status());
            assertEquals(400, caller.call("PUT", "/registry/v1/replicas", "{}").status());
            assertEquals(400, caller.call("PUT", "/registry/v1/replicas",
                    "{\"addresses\":{\"a\":\"nowhere\"}}").status());
            assertEquals(400, caller.list("?index=9&wait=100").status());
            assertEquals(1, caller.list("").index());
        }
        try (Registry alone = new Registry(settings(folder.resolve("alone")))) {
            Caller caller = new Caller("127.0.0.1:" + alone.address().getPort());
            assertEquals(404, caller.call("PUT", "/registry/v1/replicas",
                    "{\"addresses\":{\"a\":\"127.0.0.1:1\"}}").status());
        }
    }
}
