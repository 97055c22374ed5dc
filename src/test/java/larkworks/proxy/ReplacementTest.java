package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests two proxy processes that listen at one client address and share one state folder. */
@Timeout(180)
class ReplacementTest {

    /** Connections after which it is next to certain that each of the two processes has accepted one. */
    private static final int CONNECTIONS_TO_MEET_BOTH = 24;

    @TempDir
    Path folder;

    private TestBench bench;
    private final List<Process> processes = new ArrayList<>();
    private final AtomicBoolean isTestOver = new AtomicBoolean();
    /** Ids of the requests that backends received. */
    private final List<String> receivedIds = Collections.synchronizedList(new ArrayList<>());
    private final List<Thread> threads = new ArrayList<>();

    @BeforeEach
    void setUp() throws Exception {
        bench = new TestBench(2);
        bench.useProxyAt(TestBench.freePort());
        bench.answerDiscoveryWith(bench.fullList(7));
        for (StubServer backend : bench.backends) {
            startThread(() -> serve(backend));
        }
        Files.writeString(folder.resolve("config.json"), bench.configJson(bench.port(), bench.fullList(7)));
        Files.createDirectory(folder.resolve("tmp"));
    }

    @AfterEach
    void tearDown() throws Exception {
        isTestOver.set(true);
        processes.forEach(Process::destroyForcibly);
        for (Thread thread : threads) {
            thread.interrupt();
            thread.join();
        }
        bench.close();
    }

    private interface ThrowingTask {
        void run() throws Exception;
    }

    private void startThread(ThrowingTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        thread.start();
        threads.add(thread);
    }

    private void serve(StubServer backend) throws InterruptedException {
        while (!isTestOver.get()) {
            StubServer.Message message = backend.next();
            String id = message.header("X-Call-Id");
            receivedIds.add(id);
            message.reply(200, id);
        }
    }

    private Process startProxy(int adminPort) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "larkworks.cli.Larkworks", "proxy");
        builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("GW_ADMIN_ADDR", TestBench.HOST + ":" + adminPort);
        builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
        builder.redirectError(ProcessBuilder.Redirect.INHERIT);
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    private static void awaitReady(int adminPort) throws Exception {
        while (TestBench.awaitAdminCall(adminPort, "GET", "/ops/readiness") != 200) {
            Thread.sleep(10);
        }
    }

    /** Sends requests until stopped, on new and on kept-alive connections; asserts that each is served. */
    private void sendRequests(String name, List<String> servedIds, AtomicBoolean stopRequested)
            throws Exception {
        TestBench.Client keepAliveClient = bench.client();
        for (int i = 0; !stopRequested.get(); i++) {
            String id = name + "-" + i;
            if (i % 3 == 0) {
                keepAliveClient.socket().close();
                keepAliveClient = bench.client();
            }
            StubServer.Message answer = keepAliveClient.sendLook(id).answer();
            assertEquals(id, answer == null ? null : answer.text(), "the answer to " + id);
            servedIds.add(id);
            if ("close".equals(answer.header("Connection"))) {
                keepAliveClient.socket().close();
                keepAliveClient = bench.client();
            }
        }
        keepAliveClient.socket().close();
    }

    @Test
    void losesAndRepeatsNoRequestWhileOneProcessReplacesAnother() throws Exception {
        int oldAdminPort = TestBench.freePort();
        Process oldProcess = startProxy(oldAdminPort);
        awaitReady(oldAdminPort);
        TestBench.Client idleClient = bench.client();
        assertEquals(200, idleClient.sendLook("first").status());
        AtomicBoolean stopRequested = new AtomicBoolean();
        List<String> servedIds = Collections.synchronizedList(new ArrayList<>());
        List<Throwable> failures = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String name = "c" + i;
            Thread client = new Thread(() -> {
                try {
                    sendRequests(name, servedIds, stopRequested);
                } catch (Throwable e) {
                    failures.add(e);
                }
            });
            client.start();
            clients.add(client);
        }

        int newAdminPort = TestBench.freePort();
        long startNs = System.nanoTime();
        Process newProcess = startProxy(newAdminPort);
        awaitReady(newAdminPort);
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        oldProcess.destroy();
        assertTrue(oldProcess.waitFor(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
        int servedCountBefore = servedIds.size();
        while (servedIds.size() < servedCountBefore + 100 && failures.isEmpty()) {
            Thread.sleep(10);
        }
        stopRequested.set(true);
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(List.of(), failures);
        assertTrue(newProcess.isAlive());
        assertTrue(tookMs < 6_000, "took too long to be ready, in ms: " + tookMs);
        assertEquals(receivedIds.size(), new HashSet<>(receivedIds).size(),
                "no request may reach a backend twice");
        assertTrue(new HashSet<>(receivedIds).containsAll(servedIds));
        assertFalse(receivedIds.contains("warm-up"), "requests of the warm-up must not reach a backend");
    }

    @Test
    void theOldProcessKeepsServingIfTheNewOneFailsToStart() throws Exception {
        int adminPort = TestBench.freePort();
        Process oldProcess = startProxy(adminPort);
        awaitReady(adminPort);
        Process newProcess = startProxy(adminPort);  // its admin address is in use
        assertTrue(newProcess.waitFor(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
        assertNotEquals(0, newProcess.exitValue());
        assertEquals(200, bench.client().sendLook("on").status());
        assertEquals(200, TestBench.callAdmin(adminPort, "GET", "/ops/readiness", ""));
        assertTrue(oldProcess.isAlive());
    }

    @Test
    void twoProcessesShareTheOperatorsCommands() throws Exception {
        int firstAdminPort = TestBench.freePort();
        int secondAdminPort = TestBench.freePort();
        startProxy(firstAdminPort);
        awaitReady(firstAdminPort);
        assertEquals(200, TestBench.callAdmin(firstAdminPort, "PUT", "/ops/backends/down",
                "{\"who\":\"b0\"}"));
        Process newProcess = startProxy(secondAdminPort);
        awaitReady(secondAdminPort);
        assertEquals(200, TestBench.callAdmin(secondAdminPort, "PUT", "/ops/backends/down",
                "{\"who\":\"b1\"}"));
        awaitReadiness(firstAdminPort, 503);
        assertEquals(503, TestBench.callAdmin(secondAdminPort, "GET", "/ops/readiness", ""),
                "both backends are in maintenance, b0 by a command to the other process");
        assertEquals(200, TestBench.callAdmin(firstAdminPort, "PUT", "/ops/backends/up", "{\"who\":\"b1\"}"));
        awaitReadiness(secondAdminPort, 200);
        assertTrue(newProcess.isAlive());
    }

    private TestBench.Client sendUnsafe(String id) throws IOException {
        return bench.client().send("POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: act\r\nX-Budget-Ms: 2000\r\nContent-Length: 0\r\n\r\n");
    }

    @Test
    void runsAnUnsafeRequestOnceWhoseIdComesAgainAtTheOtherProcess() throws Exception {
        int oldAdminPort = TestBench.freePort();
        int newAdminPort = TestBench.freePort();
        startProxy(oldAdminPort);
        awaitReady(oldAdminPort);
        startProxy(newAdminPort);
        awaitReady(newAdminPort);
        TestBench.Client departed = sendUnsafe("once");
        while (receivedIds.isEmpty()) {
            Thread.sleep(1);
        }
        departed.socket().close();
        for (int i = 0; i < CONNECTIONS_TO_MEET_BOTH; i++) {
            assertEquals(502, sendUnsafe("once").status());
        }
        assertEquals(List.of("once"), receivedIds);
    }

    private static void awaitReadiness(int adminPort, int status) throws Exception {
        while (TestBench.callAdmin(adminPort, "GET", "/ops/readiness", "") != status) {
            Thread.sleep(10);
        }
    }
}
