package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The operators' address. */
@Timeout(120)
class AdminTest {

    @TempDir
    Path folder;

    private int admin;
    private TestBench bench;

    @BeforeEach
    void prepare() throws IOException {
        bench = new TestBench(2);
        newAddress();
    }

    private void newAddress() throws IOException {
        admin = TestBench.freePort();
        bench.environment = Map.of("GW_ADMIN_ADDR", TestBench.HOST + ":" + admin, "TMPDIR",
                folder.toString());
    }

    @AfterEach
    void end() throws IOException {
        bench.close();
    }

    /** Starts the proxy and lets discovery tell it all backends. */
    private void start() throws Exception {
        bench.answerDiscoveryWith(bench.fullList(7));
        bench.start(folder, bench.fullList(7));
    }

    private int call(String method, String path, String body) throws IOException {
        return TestBench.callAdmin(admin, method, path, body);
    }

    private int backend(String way, String id) throws IOException {
        return call("PUT", "/ops/backends/" + way, "{\"who\":\"" + id + "\"}");
    }

    @Test
    void isReadyOnlyOnceTheProxyCanServe() throws Exception {
        Thread starting = new Thread(() -> {
            try {
                bench.start(folder, "null");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        starting.start();
        StubServer.Message asked = bench.discovery.next();
        assertEquals(503, TestBench.awaitAdminCall(admin, "GET", "/ops/readiness"));
        asked.reply(200, bench.fullList(7));
        starting.join();
        assertEquals(200, call("GET", "/ops/readiness", ""));
    }

    @Test
    void servesWithTheListFromBeforeWhereDiscoveryIsSilent() throws Exception {
        long from = System.nanoTime();
        bench.start(folder);
        assertEquals(200, call("GET", "/ops/readiness", ""));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
        assertTrue(tookMs < 5_500, "the platform waits for 6 s, this took " + tookMs);
    }

    @Test
    void isNeverFoundAtItsAddressWhereItIsToldToEndDuringItsWarmUp() throws Exception {
        int port = TestBench.freePort();
        bench.answerDiscoveryWith(bench.fullList(7));
        Path file = Files.writeString(folder.resolve("config.json"),
                bench.configJson(port, bench.fullList(7)));
        Main main = new Main(Config.read(file.toString(), bench.environment, Map.of()));
        main.start();
        // Behind the warm-up's beginning in the loop's queue, and before its end, which takes some turns.
        CompletableFuture<Void> ended = CompletableFuture.runAsync(main::drainAndWait);
        int found = 0;
        while (!ended.isDone()) {
            try {
                new Socket(InetAddress.getByName(TestBench.HOST), port).close();
                found++;
            } catch (ConnectException e) {
                Thread.sleep(5);
            }
        }
        ended.get();
        main.close();
        assertEquals(0, found);
    }

    @Test
    void leavesABackendOutUntilTheCallBackWhateverTheListSays() throws Exception {
        start();
        assertEquals(200, backend("down", "b0"));
        assertEquals(200, backend("down", "b0"));
        for (int i = 0; i < 4; i++) {
            assertEquals(1, bench.serveOneRequest());
        }
        bench.answerDiscoveryWith(TestBench.listJson(8, false, bench.entry(0, "in_service")));
        for (int i = 0; i < 4; i++) {
            assertEquals(1, bench.serveOneRequest());
        }
        assertEquals(200, backend("up", "b0"));
        assertEquals(200, backend("up", "b0"), "it may be said again");
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (bench.serveOneRequest() != 0) {
            assertTrue(System.nanoTime() < until, "unused for 5 s");
        }
    }

    @Test
    void closesIdleConnectionsToABackendThatIsLeftOut() throws Exception {
        start();
        assertEquals(200, backend("down", "b1"));
        TestBench.Client client = bench.client().sendLook("r");
        StubServer.Message sent = bench.backends.get(0).next();
        sent.reply(200, "");
        assertEquals(200, client.status());
        assertEquals(200, backend("up", "b1"));
        assertEquals(200, backend("down", "b0"));
        sent.awaitConnectionEnd();
    }

    @Test
    void keepsWhatWasCalledOutOverAnotherStart() throws Exception {
        start();
        assertEquals(200, backend("down", "b0"));
        bench.stop();
        // As in service: another process, with a second address of its own.
        newAddress();
        start();
        for (int i = 0; i < 4; i++) {
            assertEquals(1, bench.serveOneRequest());
        }
        assertEquals(200, backend("up", "b0"));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "PUT | /ops/backends/down | {\"who\":\"nobody\"}",
        "PUT | /ops/backends/up | {\"who\":\"nobody\"}",
        "PUT | /ops/backends/down | {\"who\":\"b0\"",
        "PUT | /ops/backends/down | {\"who\":\"b0\"} {}",
        "PUT | /ops/backends/down | [\"b0\"]",
        "PUT | /ops/backends/down | {\"who\":7}",
        "PUT | /ops/backends/down | {\"id\":\"b0\"}",
        "PUT | /ops/backends/down | ''",
        "POST | /ops/backends/down | {\"who\":\"b0\"}",
        "GET | /ops/backends/down | {\"who\":\"b0\"}",
        "PUT | /ops/backends | {\"who\":\"b0\"}",
        "PUT | /ops/readiness | ''",
        "GET | /ops | ''",
    })
    void saysNoToABadCallAndChangesNothing(String method, String path, String body) throws Exception {
        start();
        int status = call(method, path, body);
        assertTrue(status >= 400 && status < 500, "status " + status);
        assertTrue(bench.serveOneRequest() + bench.serveOneRequest() == 1, "both backends take turns");
    }

    @Test
    void saysNoToAnOversizedBody() throws Exception {
        start();
        assertEquals(413, backend("down", "b0" + " ".repeat(100_000)));
        assertTrue(bench.serveOneRequest() + bench.serveOneRequest() == 1, "both backends take turns");
    }

    @Test
    void answersAtOnceWhereManyCallersSendNothingOrHalfACall() throws Exception {
        start();
        List<Socket> crowd = new ArrayList<>();
        try {
            for (int i = 0; i < 200; i++) {
                Socket caller = new Socket(InetAddress.getByName(TestBench.HOST), admin);
                crowd.add(caller);
                if (i % 2 == 0) {
                    caller.getOutputStream().write("PUT /ops/backends/down HT".getBytes());
                }
                if (i % 10 == 0) {
                    long from = System.nanoTime();
                    assertEquals(200, call("GET", "/ops/readiness", ""));
                    assertTrue(System.nanoTime() - from < TimeUnit.SECONDS.toNanos(1));
                }
            }
            long from = System.nanoTime();
            for (Socket caller : crowd) {
                caller.setSoTimeout(10_000);
                assertNull(readOrReset(caller), "closed, not answered");
            }
            assertTrue(System.nanoTime() - from < TimeUnit.SECONDS.toNanos(3), "all are closed within 3 s");
        } finally {
            for (Socket caller : crowd) {
                caller.close();
            }
        }
    }

    /** Null once the connection has ended, in whatever way. */
    private static StubServer.Message readOrReset(Socket socket) throws IOException {
        try {
            return StubServer.Message.read(new BufferedInputStream(socket.getInputStream()), socket,
                    new java.util.concurrent.CountDownLatch(1));
        } catch (java.net.SocketException reset) {
            return null;
        }
    }

    @Test
    void theConfigurationNamesTheAddressWhereTheEnvironmentDoesNot() throws Exception {
        bench.environment = Map.of();
        bench.extraConfig = "\"admin_addr\":\"" + TestBench.HOST + ":" + admin + "\",";
        start();
        assertEquals(200, call("GET", "/ops/readiness", ""));
        assertEquals(200, backend("down", "b0"), "without TMPDIR the call holds for this process");
        assertEquals(1, bench.serveOneRequest());
    }

    @Test
    void startsThoughItsFolderCantBeHadAtFirstAndKeepsCallsOnceItCan() throws Exception {
        Path state = Files.writeString(folder.resolve("state"), "a file where the folder should be");
        bench.environment = Map.of("GW_ADMIN_ADDR", TestBench.HOST + ":" + admin, "TMPDIR", state.toString());
        start();
        assertEquals(500, backend("down", "b0"), "the call would not outlive this process");
        Files.delete(state);
        long until = System.nanoTime() + StubServer.TIMEOUT_S * 1_000_000_000L;
        while (backend("down", "b0") != 200 && System.nanoTime() < until) {
            Thread.sleep(20);
        }
        assertEquals(1, bench.serveOneRequest());
    }

    @Test
    void anAddressThatCanNotBeUsedFailsTheStart() throws Exception {
        Path file = Files.writeString(folder.resolve("c.json"), bench.configJson(0, "null"));
        assertThrowsConfig(() -> Config.read(file.toString(), Map.of("GW_ADMIN_ADDR", "here:1"),
                Map.of()));
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName(TestBench.HOST))) {
            bench.environment = Map.of("GW_ADMIN_ADDR", TestBench.HOST + ":" + taken.getLocalPort());
            assertThrowsConfig(() -> bench.start(folder));
        }
    }

    private static void assertThrowsConfig(org.junit.jupiter.api.function.Executable start) {
        String message = org.junit.jupiter.api.Assertions
                .assertThrows(larkworks.platform.ConfigFile.Unusable.class, start).getMessage();
        assertEquals(1, message.lines().count(), message);
    }
}
