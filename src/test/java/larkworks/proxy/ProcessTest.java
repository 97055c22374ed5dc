package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the proxy as a real process: signals, reloads and configuration errors. */
@Timeout(120)
class ProcessTest {

    @TempDir
    Path folder;

    private Process startProxy(String config) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "larkworks.cli.Larkworks", "proxy");
        builder.environment().put("GW_CONFIG", file.toString());
        return builder.start();
    }

    @Test
    void finishesItsRequestsAfterSigterm() throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(1)) {
            bench.useProxyAt(port);
            Process process = startProxy(bench.configJson(port, bench.fullList(1)));
            try {
                TestBench.Client readinessClient = connectWhenReady(bench);
                TestBench.Client client = bench.client().sendLook("in flight");
                StubServer.Message backendRequest = bench.backends.get(0).next();

                process.destroy();
                while (readinessStatus(readinessClient) == 200) {
                    // Wait for the signal to arrive; the first answer after it closes the connection.
                    Thread.onSpinWait();
                }
                TestBench.Client lateClient = bench.client().sendLook("late");
                StubServer.Message lateBackendRequest = bench.backends.get(0).next();
                lateBackendRequest.reply(200, "late too");
                StubServer.Message lateAnswer = lateClient.answer();
                assertEquals("late too", lateAnswer.text());
                assertEquals("close", lateAnswer.header("Connection"));
                backendRequest.reply(200, "finished");
                assertEquals("finished", client.answer().text());
                assertTrue(process.waitFor(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Starts a process with this deadline for all classes; it sets how soon SIGKILL may follow SIGTERM. */
    private Process startWithDeadline(TestBench bench, int port, long deadlineMs) throws IOException {
        bench.useProxyAt(port);
        return startProxy(bench.configJson(port, bench.fullList(1)).replace("2000000,", "500000,")
                .replace("30000000,\"worth", deadlineMs + "000,\"worth"));
    }

    @Test
    void waitsForTheLastRequestsDeadlineThoughItsBackendHangs() throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(1)) {
            Process process = startWithDeadline(bench, port, 1_000);
            try {
                TestBench.Client readinessClient = connectWhenReady(bench);
                TestBench.Client client = bench.client();
                process.destroy();
                while (readinessStatus(readinessClient) == 200) {
                    Thread.onSpinWait();
                }
                // The shutdown's budget ends 1.5 s after the longest deadline. A request that arrives within
                // 0.7 s of SIGTERM has its deadline before the earliest SIGKILL, but possibly less than 0.5 s
                // before.
                client.sendLook("hung", 2_500);
                bench.backends.get(0).next();
                StubServer.Message answer = client.answer();
                assertNotNull(answer, "the process ended first");
                assertEquals(502, Integer.parseInt(answer.line().split(" ")[1]));
                assertTrue(process.waitFor(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void answersBeforeTheEarliestSigkillARequestCompletedAfterTheListenerClosed() throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(1)) {
            Process process = startWithDeadline(bench, port, 1_000);
            try {
                connectWhenReady(bench).socket().close();
                TestBench.Client slowClient = bench.client().send("GET /look HTTP/1.1\r\nHost: x\r\n");
                TestBench.Client idleClient = bench.client();
                process.destroy();
                // On an idle connection that the proxy left open, a client would send requests until SIGKILL.
                assertNull(idleClient.answer());
                slowClient.send("X-Call-Id: late\r\nX-Call-Class: look\r\nX-Budget-Ms: 20000\r\n\r\n");
                StubServer.Message answer = slowClient.answer();
                assertNotNull(answer, "the process ended first");
                assertTrue(answer.line().startsWith("HTTP/1.1 50"), answer.line());
                assertTrue(process.waitFor(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void finishesItsRequestsWhateverSignalsArriveTogether() throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(1)) {
            bench.useProxyAt(port);
            Process process = startProxy(bench.configJson(port, bench.fullList(1)));
            try {
                connectWhenReady(bench).socket().close();
                TestBench.Client client = bench.client().sendLook("in flight");
                StubServer.Message backendRequest = bench.backends.get(0).next();
                TestBench.Client slowClient = bench.client().send("GET /look HTTP/1.1\r\nHost: x\r\n");
                sendSighup(process);
                process.destroy();
                process.destroy();
                sendSighup(process);
                backendRequest.reply(200, "finished");
                assertEquals("finished", client.answer().text());
                slowClient.send("X-Call-Id: half\r\nX-Call-Class: look\r\n\r\n");
                bench.backends.get(0).next().reply(200, "whole");
                assertEquals("whole", slowClient.answer().text());
                assertTrue(process.waitFor(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void switchesDiscoveryAtSighupAndSurvivesABadConfiguration() throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(2); StubServer otherDiscovery = new StubServer()) {
            bench.useProxyAt(port);
            String config = bench.configJson(port, "null");
            Process process = startProxy(config);
            try {
                bench.discovery.next().reply(200, TestBench.listJson(7, true, bench.entry(0, "in_service")));
                StubServer.Message watch = bench.discovery.next();
                connectWhenReady(bench);

                Files.writeString(folder.resolve("config.json"), "{\"discovery\":\"nowhere\"}");
                sendSighup(process);
                assertTrue(process.errorReader().readLine().contains("the old configuration is kept"));
                Files.writeString(folder.resolve("config.json"),
                        config.replace(bench.discovery.address(), otherDiscovery.address()));
                sendSighup(process);
                StubServer.Message call = otherDiscovery.next();
                assertTrue(call.line().startsWith("GET /registry/instances?index=7&"), call.line());
                watch.awaitConnectionEnd();
                call.reply(200, TestBench.listJson(3, true, bench.entry(1, "in_service")));
                assertTrue(otherDiscovery.next().line().contains("?index=3&"));

                TestBench.Client client = bench.client().sendLook("r");
                bench.backends.get(1).next().reply(200, "moved");
                assertEquals("moved", client.answer().text());
                assertTrue(process.isAlive());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * Two reloads move discovery to another address and back before that address has answered. Its late
     * answer must be ignored.
     */
    @Test
    void switchesBackToTheOldDiscoveryBeforeTheNewOneAnswers() throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(2); StubServer otherDiscovery = new StubServer()) {
            bench.useProxyAt(port);
            String config = bench.configJson(port, "null");
            Process process = startProxy(config);
            try {
                bench.discovery.next().reply(200, TestBench.listJson(7, true, bench.entry(0, "in_service")));
                StubServer.Message watch = bench.discovery.next();
                connectWhenReady(bench);

                Files.writeString(folder.resolve("config.json"),
                        config.replace(bench.discovery.address(), otherDiscovery.address()));
                sendSighup(process);
                StubServer.Message call = otherDiscovery.next();
                watch.awaitConnectionEnd();
                Files.writeString(folder.resolve("config.json"), config);
                sendSighup(process);
                StubServer.Message repeatedCall = bench.discovery.next();
                assertTrue(repeatedCall.line().startsWith("GET /registry/instances?index=7&"),
                        repeatedCall.line());
                // Answer only after the proxy has closed this call and thereby switched back to the old
                // discovery; before that, it would rightly apply the answer.
                call.awaitConnectionEnd();
                try {
                    call.reply(200, TestBench.listJson(8, true, bench.entry(1, "in_service")));
                } catch (UncheckedIOException e) {
                    // The proxy has closed the connection already.
                }
                assertEquals(0, bench.serveOneRequest(), "the current list must stay in force");
                repeatedCall.reply(200, TestBench.listJson(9, true, bench.entry(0, "in_service")));
                assertTrue(bench.discovery.next().line().contains("?index=9&"));
                assertEquals(0, bench.serveOneRequest());
                assertEquals(0, otherDiscovery.pendingMessages());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static void sendSighup(Process process) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "{\"listen\":\"127.0.0.1:0\"}", "{\"settings\":{\"limits\":7}}"})
    void reportsAConfigurationErrorInOneLine(String config) throws Exception {
        Process process = startProxy(config);
        String errorOutput = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertNotEquals(0, process.waitFor());
        assertTrue(errorOutput.startsWith("larkworks: "), errorOutput);
        assertEquals(1, errorOutput.lines().count(), errorOutput);
    }

    private static int readinessStatus(TestBench.Client client) throws IOException {
        return client.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
    }

    /** Returns a connection to the process as soon as it listens and is ready. */
    private static TestBench.Client connectWhenReady(TestBench bench) throws Exception {
        long deadlineNs = System.nanoTime() + StubServer.TIMEOUT_S * 1_000_000_000L;
        while (true) {
            try {
                TestBench.Client client = bench.client();
                while (readinessStatus(client) != 200) {
                    Thread.onSpinWait();
                }
                return client;
            } catch (ConnectException e) {
                if (System.nanoTime() > deadlineNs) {
                    throw e;
                }
                Thread.sleep(20);
            }
        }
    }
}
