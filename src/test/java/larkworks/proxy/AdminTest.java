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

/** Tests of the operators' HTTP endpoints at {@code admin_addr}. */
@Timeout(120)
class AdminTest {

    @TempDir
    Path folder;

    private int adminPort;
    private TestBench bench;

    @BeforeEach
    void setUp() throws IOException {
        bench = new TestBench(2);
        assignAdminAddress();
    }

    private void assignAdminAddress() throws IOException {
        adminPort = TestBench.freePort();
        bench.environment = Map.of("GW_ADMIN_ADDR", TestBench.HOST + ":" + adminPort, "TMPDIR",
                folder.toString());
    }

    @AfterEach
    void tearDown() throws IOException {
        bench.close();
    }

    /** Starts the proxy with a discovery that lists all backends. */
    private void start() throws Exception {
        bench.answerDiscoveryWith(bench.fullList(7));
        bench.start(folder, bench.fullList(7));
    }

    private int call(String method, String path, String body) throws IOException {
        return TestBench.callAdmin(adminPort, method, path, body);
    }

    private int sendBackendCommand(String command, String id) throws IOException {
        return call("PUT", "/ops/backends/" + command, "{\"who\":\"" + id + "\"}");
    }

    @Test
    void isReadyOnlyOnceTheProxyCanServe() throws Exception {
        Thread startThread = new Thread(() -> {
            try {
                bench.start(folder, "null");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        startThread.start();
        StubServer.Message firstCall = bench.discovery.next();
        assertEquals(503, TestBench.awaitAdminCall(adminPort, "GET", "/ops/readiness"));
        firstCall.reply(200, bench.fullList(7));
        startThread.join();
        assertEquals(200, call("GET", "/ops/readiness", ""));
    }

    @Test
    void servesByTheConfiguredListWhereDiscoveryDoesNotAnswer() throws Exception {
        long startNs = System.nanoTime();
        bench.start(folder);
        assertEquals(200, call("GET", "/ops/readiness", ""));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        assertTrue(tookMs < 5_500, "took too long to be ready; the platform allows 6 s, took ms: " + tookMs);
    }

    @Test
    void acceptsNoConnectionsIfDrainedDuringWarmUp() throws Exception {
        int port = TestBench.freePort();
        bench.answerDiscoveryWith(bench.fullList(7));
        Path file = Files.writeString(folder.resolve("config.json"),
                bench.configJson(port, bench.fullList(7)));
        Main main = new Main(Config.read(file.toString(), bench.environment, Map.of()));
        main.start();
        // The warm-up takes several loop iterations; the event loop begins the drain during one of them.
        CompletableFuture<Void> ended = CompletableFuture.runAsync(main::drainAndWait);
        int acceptedConnections = 0;
        while (!ended.isDone()) {
            try {
                new Socket(InetAddress.getByName(TestBench.HOST), port).close();
                acceptedConnections++;
            } catch (ConnectException e) {
                Thread.sleep(5);
            }
        }
        ended.get();
        main.close();
        assertEquals(0, acceptedConnections);
    }

    @Test
    void keepsABackendInMaintenanceUntilTheUpCommandWhateverTheListSays() throws Exception {
        start();
        assertEquals(200, sendBackendCommand("down", "b0"));
        assertEquals(200, sendBackendCommand("down", "b0"));
        for (int i = 0; i < 4; i++) {
            assertEquals(1, bench.serveOneRequest());
        }
        bench.answerDiscoveryWith(TestBench.listJson(8, false, bench.entry(0, "in_service")));
        for (int i = 0; i < 4; i++) {
            assertEquals(1, bench.serveOneRequest());
        }
        assertEquals(200, sendBackendCommand("up", "b0"));
        assertEquals(200, sendBackendCommand("up", "b0"), "the command may be repeated");
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (bench.serveOneRequest() != 0) {
            assertTrue(System.nanoTime() < deadlineNs, "b0 received no request for 5 s");
        }
    }

    @Test
    void closesIdleConnectionsToABackendInMaintenance() throws Exception {
        start();
        assertEquals(200, sendBackendCommand("down", "b1"));
        TestBench.Client client = bench.client().sendLook("r");
        StubServer.Message backendRequest = bench.backends.get(0).next();
        backendRequest.reply(200, "");
        assertEquals(200, client.status());
        assertEquals(200, sendBackendCommand("up", "b1"));
        assertEquals(200, sendBackendCommand("down", "b0"));
        backendRequest.awaitConnectionEnd();
    }

    @Test
    void keepsBackendsInMaintenanceAcrossARestart() throws Exception {
        start();
        assertEquals(200, sendBackendCommand("down", "b0"));
        bench.stop();
        // In production, too, the next process has an admin address of its own.
        assignAdminAddress();
        start();
        for (int i = 0; i < 4; i++) {
            assertEquals(1, bench.serveOneRequest());
        }
        assertEquals(200, sendBackendCommand("up", "b0"));
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
    void rejectsABadCommandAndChangesNothing(String method, String path, String body) throws Exception {
        start();
        int status = call(method, path, body);
        assertTrue(status >= 400 && status < 500, "status " + status);
        assertTrue(bench.serveOneRequest() + bench.serveOneRequest() == 1,
                "requests must alternate between both backends");
    }

    @Test
    void rejectsAnOversizedBody() throws Exception {
        start();
        assertEquals(413, sendBackendCommand("down", "b0" + " ".repeat(100_000)));
        assertTrue(bench.serveOneRequest() + bench.serveOneRequest() == 1,
                "requests must alternate between both backends");
    }

    @Test
    void answersAtOnceWhileManyClientsSendNothingOrAnIncompleteRequest() throws Exception {
        start();
        List<Socket> idleSockets = new ArrayList<>();
        try {
            for (int i = 0; i < 200; i++) {
                Socket idleSocket = new Socket(InetAddress.getByName(TestBench.HOST), adminPort);
                idleSockets.add(idleSocket);
                if (i % 2 == 0) {
                    idleSocket.getOutputStream().write("PUT /ops/backends/down HT".getBytes());
                }
                if (i % 10 == 0) {
                    long startNs = System.nanoTime();
                    assertEquals(200, call("GET", "/ops/readiness", ""));
                    assertTrue(System.nanoTime() - startNs < TimeUnit.SECONDS.toNanos(1));
                }
            }
            long startNs = System.nanoTime();
            for (Socket idleSocket : idleSockets) {
                idleSocket.setSoTimeout(10_000);
                assertNull(readOrNullIfClosed(idleSocket),
                        "the connection must be closed without a response");
            }
            assertTrue(System.nanoTime() - startNs < TimeUnit.SECONDS.toNanos(3),
                    "all connections must be closed within 3 s");
        } finally {
            for (Socket idleSocket : idleSockets) {
                idleSocket.close();
            }
        }
    }

    /** Reads a response; returns null where the connection was closed or reset instead. */
    private static StubServer.Message readOrNullIfClosed(Socket socket) throws IOException {
        try {
            return StubServer.Message.read(new BufferedInputStream(socket.getInputStream()), socket,
                    new java.util.concurrent.CountDownLatch(1));
        } catch (java.net.SocketException e) {
            return null;
        }
    }

    @Test
    void usesTheAddressInTheConfigurationIfTheEnvironmentHasNone() throws Exception {
        bench.environment = Map.of();
        bench.extraConfig = "\"admin_addr\":\"" + TestBench.HOST + ":" + adminPort + "\",";
        start();
        assertEquals(200, call("GET", "/ops/readiness", ""));
        assertEquals(200, sendBackendCommand("down", "b0"), "without TMPDIR the command is kept in memory");
        assertEquals(1, bench.serveOneRequest());
    }

    @Test
    void startsWithoutItsStateFolderAndStoresCommandsOnceItCanBeCreated() throws Exception {
        Path statePath = Files.writeString(folder.resolve("state"), "a file at the path of the state folder");
        bench.environment = Map.of("GW_ADMIN_ADDR", TestBench.HOST + ":" + adminPort, "TMPDIR",
                statePath.toString());
        start();
        assertEquals(500, sendBackendCommand("down", "b0"), "the command could not be stored");
        Files.delete(statePath);
        long deadlineNs = System.nanoTime() + StubServer.TIMEOUT_S * 1_000_000_000L;
        while (sendBackendCommand("down", "b0") != 200 && System.nanoTime() < deadlineNs) {
            Thread.sleep(20);
        }
        assertEquals(1, bench.serveOneRequest());
    }

    @Test
    void failsToStartAtAnUnusableAdminAddress() throws Exception {
        Path file = Files.writeString(folder.resolve("c.json"), bench.configJson(0, "null"));
        assertFailsWithOneLineMessage(() -> Config.read(file.toString(), Map.of("GW_ADMIN_ADDR", "here:1"),
                Map.of()));
        try (ServerSocket occupyingSocket = new ServerSocket(0, 1, InetAddress.getByName(TestBench.HOST))) {
            bench.environment = Map.of("GW_ADMIN_ADDR", TestBench.HOST + ":"
                    + occupyingSocket.getLocalPort());
            assertFailsWithOneLineMessage(() -> bench.start(folder));
        }
    }

    private static void assertFailsWithOneLineMessage(org.junit.jupiter.api.function.Executable start) {
        String message = org.junit.jupiter.api.Assertions
                .assertThrows(larkworks.platform.ConfigFile.Unusable.class, start).getMessage();
        assertEquals(1, message.lines().count(), message);
    }
}
