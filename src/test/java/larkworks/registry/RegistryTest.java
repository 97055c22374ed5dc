package larkworks.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The list service in this process: its calls, its versions, and what its log does with bytes that are off.
 */
@Timeout(60)
class RegistryTest {

    @TempDir
    Path folder;

    private Registry start(int maxTombstones) throws Exception {
        return new Registry(new Registry.Settings(new InetSocketAddress("127.0.0.1", 0), folder, 1 << 20,
                maxTombstones));
    }

    private static Caller caller(Registry registry) {
        return new Caller("127.0.0.1:" + registry.address().getPort());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "400 | PUT    | /registry/v1/instances/n               | {",
        "400 | PUT    | /registry/v1/instances/n               | null",
        "400 | PUT    | /registry/v1/instances/n               | {\"address\":\"10.0.0.9:1\",\"colour\":3}",
        "400 | PUT    | /registry/v1/instances/n               | {\"address\":\"10.0.0.9:1\",\"group\":1.5}",
        "400 | PUT    | /registry/v1/instances/n               | {\"address\":\"10.0.0.9:1\",\"zone\":[]}",
        "400 | PUT    | /registry/v1/instances/n               | {\"address\":\"10.0.0.9:1\",\"weight\":0}",
        "400 | PUT    | /registry/v1/instances/n               | {\"address\":\"10.0.0.9:1\",\"ttl_ms\":3}",
        "400 | PUT    | /registry/v1/instances/n               | {\"address\":\"some.host:1\"}",
        "400 | PUT    | /registry/v1/instances/n               | {\"address\":\"10.0.0.9:99999\"}",
        "400 | PUT    | /registry/v1/instances/                | {\"address\":\"10.0.0.9:1\"}",
        "409 | PUT    | /registry/v1/instances/held            | {\"address\":\"10.0.0.9:1\"}",
        "409 | PUT    | /registry/v1/instances/n               | {\"address\":\"10.0.0.1:1\"}",
        "400 | PUT    | /registry/v1/instances/held/status     | {\"status\":\"asleep\"}",
        "400 | PUT    | /registry/v1/instances/held/status     | {}",
        "404 | PUT    | /registry/v1/instances/n/status        | {\"status\":\"terminating\"}",
        "409 | PUT    | /registry/v1/instances/held/heartbeat  | ''",
        "404 | DELETE | /registry/v1/instances/n               | ''",
        "405 | POST   | /registry/v1/instances/n               | {}",
        "405 | POST   | /registry/instances                    | {}",
        "404 | GET    | /registry/v2                           | ''",
        "400 | GET    | /registry/instances?index=2            | ''",
        "400 | GET    | /registry/instances?index=-1           | ''",
        "400 | GET    | /registry/instances?index=1&wait=soon  | ''",
    })
    void badInputIsRefusedWithAReasonAndChangesNothing(int status, String method, String path, String body)
            throws Exception {
        try (Registry registry = start(10)) {
            Caller caller = caller(registry);
            assertEquals(1, caller.register("held", "10.0.0.1:1", "").index());
            Map<String, Object> before = caller.list("").body();
            Caller.Answer answer = caller.call(method, path, body);
            assertEquals(status, answer.status(), answer.body()::toString);
            assertTrue(String.valueOf(answer.body().get("error")).length() > 4);
            assertEquals(before, caller.list("").body());
        }
    }

    @Test
    void aWatchGetsExactlyTheChangesSinceOrTheWholeListOnceTheyAreForgotten() throws Exception {
        try (Registry registry = start(1)) {
            Caller caller = caller(registry);
            for (int i = 1; i <= 4; i++) {
                caller.register("s" + i, "10.0.0.1:" + i, "");
            }
            assertEquals(4, caller.register("s4", "10.0.0.1:4", "").index(), "said twice, changed once");
            caller.status("s1", "terminating");
            caller.call("DELETE", "/registry/v1/instances/s2", "");
            assertEquals(List.of("s3 in_service", "s4 in_service", "s1 terminating", "s2 terminated"),
                    caller.list("?index=2").endpoints());
            Caller.Answer none = caller.list("?index=6&wait=50");
            assertEquals(List.of(), none.endpoints());
            assertEquals(6, none.index());
            caller.call("DELETE", "/registry/v1/instances/s3", "");  // the tombstone of s2 at 6 goes
            Caller.Answer whole = caller.list("?index=5");
            assertEquals(true, whole.body().get("snapshot"));
            assertEquals(List.of("s4 in_service", "s1 terminating"), whole.endpoints());
            assertEquals(List.of("s3 terminated"), caller.list("?index=6").endpoints());
        }
        try (Registry registry = start(1)) {
            assertEquals(List.of("s3 terminated"), caller(registry).list("?index=6").endpoints());
            assertEquals(true, caller(registry).list("?index=5").body().get("snapshot"));
        }
    }

    /** Guards against answers without end that are kept for a caller that does not read them. */
    @Test
    void answersNoFurtherCallsOfACallerThatDoesNotRead() throws Exception {
        int calls = 20_000;
        try (Registry registry = start(10); Socket socket = new Socket()) {
            Caller caller = caller(registry);
            for (int i = 1; i <= 20; i++) {
                caller.register("s" + i, "10.0.0.1:" + i, "");
            }
            int answerBytes = caller.call("GET", "/registry/instances", "").body().toString().length();
            socket.setReceiveBufferSize(1 << 12);
            socket.connect(registry.address());
            socket.setSoTimeout(5_000);
            OutputStream out = socket.getOutputStream();
            try {
                out.write("GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n".repeat(calls)
                        .getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(2_000);
            } catch (SocketException e) {
                // The service has closed the connection.
            }
            long received = receivedBytes(socket.getInputStream());
            assertTrue(received < (long) calls * answerBytes / 2, "bytes of answers: " + received);
            assertEquals(20, caller.list("").endpoints().size(), "others are answered");
        }
    }

    /** Reads to the end of a connection, its reset or a long silence, and counts the bytes. */
    private static long receivedBytes(InputStream in) throws IOException {
        byte[] buffer = new byte[1 << 16];
        long received = 0;
        try {
            for (int bytes = in.read(buffer); bytes >= 0; bytes = in.read(buffer)) {
                received += bytes;
            }
        } catch (SocketException | SocketTimeoutException e) {
            // No more answers follow.
        }
        return received;
    }

    private static Change change(int index) {
        return new Change(index, new Instance("s" + index, "10.0.0.1:" + index, "a", "m", 1,
                Status.IN_SERVICE, 1, 0, 0, false, 0));
    }

    private List<Long> replayed() throws IOException {
        List<Long> indexes = new ArrayList<>();
        Wal.open(folder, 0, change -> indexes.add(change.index())).close();
        return indexes;
    }

    @Test
    void aTornTailIsCutAwayAndDamageBeforeMoreStopsTheStart() throws Exception {
        long third;
        try (Wal wal = Wal.open(folder, 0, change -> { })) {
            wal.append(List.of(change(1), change(2)));
            third = wal.bytes();
            wal.append(List.of(change(3)));
        }
        Path segment = folder.resolve("wal-00000000000000000001.log");
        byte[] whole = Files.readAllBytes(segment);
        for (int length = (int) third; length < whole.length; length += 5) {
            Files.write(segment, java.util.Arrays.copyOf(whole, length));
            assertEquals(List.of(1L, 2L), replayed(), "cut at " + length);
            assertEquals(third, Files.size(segment));
        }
        byte[] zeros = java.util.Arrays.copyOf(whole, whole.length + 4_096);
        Files.write(segment, zeros);
        assertEquals(List.of(1L, 2L, 3L), replayed());
        for (int at = 0; at < third; at++) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 0x10;
            Files.write(segment, damaged);
            int where = at;
            IOException e = assertThrows(IOException.class, this::replayed, () -> "flipped at " + where);
            assertTrue(e.getMessage().startsWith(segment + ": "), e.getMessage());
            assertEquals(whole.length, Files.size(segment), "nothing is cut away from a damaged log");
        }
    }
}
