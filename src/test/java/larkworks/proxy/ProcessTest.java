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

/** The program as a process of its own. */
@Timeout(120)
class ProcessTest {

    @TempDir
    Path folder;

    private Process start(String config) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "larkworks.cli.Larkworks", "proxy");
        builder.environment().put("GW_CONFIG", file.toString());
        return builder.start();
    }

    @Test
    void finishesWhatItHasTakenAfterSigterm() throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(1)) {
            bench.useProxyAt(port);
            Process process = start(bench.configJson(port, bench.fullList(1)));
            try {
                TestBench.Client probe = connect(bench);
                TestBench.Client client = bench.client().sendLook("in flight");
                StubServer.Message sent = bench.backends.get(0).next();

                process.destroy();
                while (ready(probe) == 200) {
                    // Until the signal has arrived; the answer that says so also ends the connection.
                    Thread.onSpinWait();
                }
                TestBench.Client late = bench.client().sendLook("late");
                StubServer.Message lateSent = bench.backends.get(0).next();
                lateSent.reply(200, "late too");
                StubServer.Message lateAnswer = late.answer();
                assertEquals("late too", lateAnswer.text());
                assertEquals("close", lateAnswer.header("Connection"));
                sent.reply(200, "finished");
                assertEquals("finished", client.answer().text());
                assertTrue(process.waitFor(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** A process whose classes have that deadline, which sets how soon SIGKILL may come. */
    private Process startWithDeadline(TestBench bench, int port, long ms) throws IOException {
        bench.useProxyAt(port);
        return start(bench.configJson(port, bench.fullList(1)).replace("2000000,", "500000,")
                .replace("30000000,\"worth", ms + "000,\"worth"));
    }

    @Test
    void endsNotBeforeTheLastRequestIsDueThoughItsBackendHangs() throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(1)) {
            Process process = startWithDeadline(bench, port, 1_000);
            try {
                TestBench.Client probe = connect(bench);
                TestBench.Client client = bench.client();
                process.destroy();
                while (ready(probe) == 200) {
                    Thread.onSpinWait();
                }
                // Due 1.5 s after the longest deadline: no request that came within 0.7 s is due later than
                // the earliest SIGKILL, but one may well be due later than 0.5 s before it.
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
    void answersBeforeTheEarliestSigkillWhatCameWholeOnlyAfterTheListenerClosed() throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(1)) {
            Process process = startWithDeadline(bench, port, 1_000);
            try {
                connect(bench).socket().close();
                TestBench.Client half = bench.client().send("GET /look HTTP/1.1\r\nHost: x\r\n");
                TestBench.Client silent = bench.client();
                process.destroy();
                // A connection that stays open would be sent to until SIGKILL.
                assertNull(silent.answer());
                half.send("X-Call-Id: late\r\nX-Call-Class: look\r\nX-Budget-Ms: 20000\r\n\r\n");
                StubServer.Message answer = half.answer();
                assertNotNull(answer, "the process ended first");
                assertTrue(answer.line().startsWith("HTTP/1.1 50"), answer.line());
                assertTrue(process.waitFor(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void finishesWhatItHasTakenWhateverSignalsComeTogether() throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(1)) {
            bench.useProxyAt(port);
            Process process = start(bench.configJson(port, bench.fullList(1)));
            try {
                connect(bench).socket().close();
                TestBench.Client client = bench.client().sendLook("in flight");
                StubServer.Message sent = bench.backends.get(0).next();
                TestBench.Client half = bench.client().send("GET /look HTTP/1.1\r\nHost: x\r\n");
                hangUp(process);
                process.destroy();
                process.destroy();
                hangUp(process);
                sent.reply(200, "finished");
                assertEquals("finished", client.answer().text());
                half.send("X-Call-Id: half\r\nX-Call-Class: look\r\n\r\n");
                bench.backends.get(0).next().reply(200, "whole");
                assertEquals("whole", half.answer().text());
                assertTrue(process.waitFor(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void turnsToAnotherDiscoveryAtSighupAndOutlivesABadConfiguration() throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(2); StubServer other = new StubServer()) {
            bench.useProxyAt(port);
            String config = bench.configJson(port, "null");
            Process process = start(config);
            try {
                bench.discovery.next().reply(200, TestBench.listJson(7, true, bench.entry(0, "in_service")));
                StubServer.Message watch = bench.discovery.next();
                connect(bench);

                Files.writeString(folder.resolve("config.json"), "{\"discovery\":\"nowhere\"}");
                hangUp(process);
                assertTrue(process.errorReader().readLine().contains("the old configuration is kept"));
                Files.writeString(folder.resolve("config.json"),
                        config.replace(bench.discovery.address(), other.address()));
                hangUp(process);
                StubServer.Message asked = other.next();
                assertTrue(asked.line().startsWith("GET /registry/instances?index=7&"), asked.line());
                watch.awaitConnectionEnd();
                asked.reply(200, TestBench.listJson(3, true, bench.entry(1, "in_service")));
                assertTrue(other.next().line().contains("?index=3&"));

                TestBench.Client client = bench.client().sendLook("r");
                bench.backends.get(1).next().reply(200, "moved");
                assertEquals("moved", client.answer().text());
                assertTrue(process.isAlive());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Moved, and moved back before the new address has answered: what it says later counts no more. */
    @Test
    void turnsBackToTheOldDiscoveryWhileTheOtherHasNotAnswered() throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(2); StubServer other = new StubServer()) {
            bench.useProxyAt(port);
            String config = bench.configJson(port, "null");
            Process process = start(config);
            try {
                bench.discovery.next().reply(200, TestBench.listJson(7, true, bench.entry(0, "in_service")));
                StubServer.Message watch = bench.discovery.next();
                connect(bench);

                Files.writeString(folder.resolve("config.json"),
                        config.replace(bench.discovery.address(), other.address()));
                hangUp(process);
                StubServer.Message asked = other.next();
                watch.awaitConnectionEnd();
                Files.writeString(folder.resolve("config.json"), config);
                hangUp(process);
                StubServer.Message again = bench.discovery.next();
                assertTrue(again.line().startsWith("GET /registry/instances?index=7&"), again.line());
                // By now it has turned back; an answer before that would have counted.
                asked.awaitConnectionEnd();
                try {
                    asked.reply(200, TestBench.listJson(8, true, bench.entry(1, "in_service")));
                } catch (UncheckedIOException e) {
                    // The connection is closed already.
                }
                assertEquals(0, bench.serveOneRequest(), "the list held stays in force");
                again.reply(200, TestBench.listJson(9, true, bench.entry(0, "in_service")));
                assertTrue(bench.discovery.next().line().contains("?index=9&"));
                assertEquals(0, bench.serveOneRequest());
                assertEquals(0, other.pendingMessages());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static void hangUp(Process process) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "{\"listen\":\"127.0.0.1:0\"}", "{\"settings\":{\"limits\":7}}"})
    void saysInOneLineWhatIsWrongWithTheConfiguration(String config) throws Exception {
        Process process = start(config);
        String said = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertNotEquals(0, process.waitFor());
        assertTrue(said.startsWith("larkworks: "), said);
        assertEquals(1, said.lines().count(), said);
    }

    private static int ready(TestBench.Client client) throws IOException {
        return client.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
    }

    /** Connects as soon as the process listens and is ready. */
    private static TestBench.Client connect(TestBench bench) throws Exception {
        long until = System.nanoTime() + StubServer.TIMEOUT_S * 1_000_000_000L;
        while (true) {
            try {
                TestBench.Client client = bench.client();
                while (ready(client) != 200) {
                    Thread.onSpinWait();
                }
                return client;
            } catch (ConnectException e) {
                if (System.nanoTime() > until) {
                    throw e;
                }
                Thread.sleep(20);
            }
        }
    }
}
