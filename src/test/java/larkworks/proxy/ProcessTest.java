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
        int port = Bench.freePort();
        try (Bench bench = new Bench(1)) {
            bench.at(port);
            Process process = start(bench.config(port, bench.all(1)));
            try {
                Bench.Client probe = connect(bench);
                Bench.Client client = bench.client().look("in flight");
                Peer.Message sent = bench.backends.get(0).next();

                process.destroy();
                while (ready(probe) == 200) {
                    // Wait for the signal to arrive; the first answer after it closes the connection.
                    Thread.onSpinWait();
                }
                Bench.Client late = bench.client().look("late");
                Peer.Message lateSent = bench.backends.get(0).next();
                lateSent.reply(200, "late too");
                Peer.Message lateAnswer = late.answer();
                assertEquals("late too", lateAnswer.text());
                assertEquals("close", lateAnswer.header("Connection"));
                sent.reply(200, "finished");
                assertEquals("finished", client.answer().text());
                assertTrue(process.waitFor(Peer.LIMIT_S, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Starts a process with this deadline for all classes; it sets how soon SIGKILL may follow SIGTERM. */
    private Process startWithDeadline(Bench bench, int port, long ms) throws IOException {
        bench.at(port);
        return start(bench.config(port, bench.all(1)).replace("2000000,", "500000,")
                .replace("30000000,\"worth", ms + "000,\"worth"));
    }

    @Test
    void endsNotBeforeTheLastRequestIsDueThoughItsBackendHangs() throws Exception {
        int port = Bench.freePort();
        try (Bench bench = new Bench(1)) {
            Process process = startWithDeadline(bench, port, 1_000);
            try {
                Bench.Client probe = connect(bench);
                Bench.Client client = bench.client();
                process.destroy();
                while (ready(probe) == 200) {
                    Thread.onSpinWait();
                }
                // Its budget ends 1.5 s after the longest deadline. A request that arrives within 0.7 s of
                // SIGTERM has its deadline before the earliest SIGKILL, but possibly less than 0.5 s before.
                client.look("hung", 2_500);
                bench.backends.get(0).next();
                Peer.Message answer = client.answer();
                assertNotNull(answer, "the process ended first");
                assertEquals(502, Integer.parseInt(answer.line().split(" ")[1]));
                assertTrue(process.waitFor(Peer.LIMIT_S, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void answersBeforeTheEarliestSigkillWhatCameWholeOnlyAfterTheListenerClosed() throws Exception {
        int port = Bench.freePort();
        try (Bench bench = new Bench(1)) {
            Process process = startWithDeadline(bench, port, 1_000);
            try {
                connect(bench).socket().close();
                Bench.Client half = bench.client().send("GET /look HTTP/1.1\r\nHost: x\r\n");
                Bench.Client silent = bench.client();
                process.destroy();
                // A client would send requests on an idle connection left open, until SIGKILL.
                assertNull(silent.answer());
                half.send("X-Call-Id: late\r\nX-Call-Class: look\r\nX-Budget-Ms: 20000\r\n\r\n");
                Peer.Message answer = half.answer();
                assertNotNull(answer, "the process ended first");
                assertTrue(answer.line().startsWith("HTTP/1.1 50"), answer.line());
                assertTrue(process.waitFor(Peer.LIMIT_S, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void finishesWhatItHasTakenWhateverSignalsComeTogether() throws Exception {
        int port = Bench.freePort();
        try (Bench bench = new Bench(1)) {
            bench.at(port);
            Process process = start(bench.config(port, bench.all(1)));
            try {
                connect(bench).socket().close();
                Bench.Client client = bench.client().look("in flight");
                Peer.Message sent = bench.backends.get(0).next();
                Bench.Client half = bench.client().send("GET /look HTTP/1.1\r\nHost: x\r\n");
                hangUp(process);
                process.destroy();
                process.destroy();
                hangUp(process);
                sent.reply(200, "finished");
                assertEquals("finished", client.answer().text());
                half.send("X-Call-Id: half\r\nX-Call-Class: look\r\n\r\n");
                bench.backends.get(0).next().reply(200, "whole");
                assertEquals("whole", half.answer().text());
                assertTrue(process.waitFor(Peer.LIMIT_S, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void turnsToAnotherDiscoveryAtSighupAndOutlivesABadConfiguration() throws Exception {
        int port = Bench.freePort();
        try (Bench bench = new Bench(2); Peer other = new Peer()) {
            bench.at(port);
            String config = bench.config(port, "null");
            Process process = start(config);
            try {
                bench.discovery.next().reply(200, Bench.list(7, true, bench.entry(0, "in_service")));
                Peer.Message watch = bench.discovery.next();
                connect(bench);

                Files.writeString(folder.resolve("config.json"), "{\"discovery\":\"nowhere\"}");
                hangUp(process);
                assertTrue(process.errorReader().readLine().contains("the old configuration is kept"));
                Files.writeString(folder.resolve("config.json"),
                        config.replace(bench.discovery.address(), other.address()));
                hangUp(process);
                Peer.Message asked = other.next();
                assertTrue(asked.line().startsWith("GET /registry/instances?index=7&"), asked.line());
                watch.awaitEnd();
                asked.reply(200, Bench.list(3, true, bench.entry(1, "in_service")));
                assertTrue(other.next().line().contains("?index=3&"));

                Bench.Client client = bench.client().look("r");
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
    void turnsBackToTheOldDiscoveryWhileTheOtherHasNotAnswered() throws Exception {
        int port = Bench.freePort();
        try (Bench bench = new Bench(2); Peer other = new Peer()) {
            bench.at(port);
            String config = bench.config(port, "null");
            Process process = start(config);
            try {
                bench.discovery.next().reply(200, Bench.list(7, true, bench.entry(0, "in_service")));
                Peer.Message watch = bench.discovery.next();
                connect(bench);

                Files.writeString(folder.resolve("config.json"),
                        config.replace(bench.discovery.address(), other.address()));
                hangUp(process);
                Peer.Message asked = other.next();
                watch.awaitEnd();
                Files.writeString(folder.resolve("config.json"), config);
                hangUp(process);
                Peer.Message again = bench.discovery.next();
                assertTrue(again.line().startsWith("GET /registry/instances?index=7&"), again.line());
                // Once this call has ended, the proxy has moved back; an earlier answer would be applied.
                asked.awaitEnd();
                try {
                    asked.reply(200, Bench.list(8, true, bench.entry(1, "in_service")));
                } catch (UncheckedIOException e) {
                    // The proxy has closed the connection already.
                }
                assertEquals(0, bench.served(), "the current list must stay in force");
                again.reply(200, Bench.list(9, true, bench.entry(0, "in_service")));
                assertTrue(bench.discovery.next().line().contains("?index=9&"));
                assertEquals(0, bench.served());
                assertEquals(0, other.waiting());
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

    private static int ready(Bench.Client client) throws IOException {
        return client.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
    }

    /** Returns a connection to the process as soon as it listens and is ready. */
    private static Bench.Client connect(Bench bench) throws Exception {
        long until = System.nanoTime() + Peer.LIMIT_S * 1_000_000_000L;
        while (true) {
            try {
                Bench.Client client = bench.client();
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
