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

    @TempDir
    Path folder;

    private Bench bench;
    private final List<Process> processes = new ArrayList<>();
    private final AtomicBoolean over = new AtomicBoolean();
    /** Ids of the requests that backends received. */
    private final List<String> ids = Collections.synchronizedList(new ArrayList<>());
    private final List<Thread> threads = new ArrayList<>();

    @BeforeEach
    void prepare() throws Exception {
        bench = new Bench(2);
        bench.at(Bench.freePort());
        bench.list(bench.all(7));
        for (Peer backend : bench.backends) {
            spawn(() -> serve(backend));
        }
        Files.writeString(folder.resolve("config.json"), bench.config(bench.port(), bench.all(7)));
        Files.createDirectory(folder.resolve("tmp"));
    }

    @AfterEach
    void end() throws Exception {
        over.set(true);
        processes.forEach(Process::destroyForcibly);
        for (Thread thread : threads) {
            thread.interrupt();
            thread.join();
        }
        bench.close();
    }

    private interface Job {
        void run() throws Exception;
    }

    private void spawn(Job job) {
        Thread thread = new Thread(() -> {
            try {
                job.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        thread.start();
        threads.add(thread);
    }

    private void serve(Peer backend) throws InterruptedException {
        while (!over.get()) {
            Peer.Message message = backend.next();
            String id = message.header("X-Call-Id");
            ids.add(id);
            message.reply(200, id);
        }
    }

    private Process start(int admin) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "larkworks.cli.Larkworks", "proxy");
        builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("GW_ADMIN_ADDR", Bench.HOST + ":" + admin);
        builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
        builder.redirectError(ProcessBuilder.Redirect.INHERIT);
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    private static void awaitReady(int admin) throws Exception {
        while (Bench.awaitCall(admin, "GET", "/ops/readiness") != 200) {
            Thread.sleep(10);
        }
    }

    /** Sends requests until stopped, on new and on kept-alive connections; asserts that each is served. */
    private void ask(String name, List<String> served, AtomicBoolean stop) throws Exception {
        Bench.Client kept = bench.client();
        for (int i = 0; !stop.get(); i++) {
            String id = name + "-" + i;
            if (i % 3 == 0) {
                kept.socket().close();
                kept = bench.client();
            }
            Peer.Message answer = kept.look(id).answer();
            assertEquals(id, answer == null ? null : answer.text(), "the answer to " + id);
            served.add(id);
            if ("close".equals(answer.header("Connection"))) {
                kept.socket().close();
                kept = bench.client();
            }
        }
        kept.socket().close();
    }

    @Test
    void losesNothingAndDoublesNothingWhileOneProcessReplacesAnother() throws Exception {
        int before = Bench.freePort();
        Process old = start(before);
        awaitReady(before);
        Bench.Client idle = bench.client();
        assertEquals(200, idle.look("first").status());
        AtomicBoolean stop = new AtomicBoolean();
        List<String> served = Collections.synchronizedList(new ArrayList<>());
        List<Throwable> failed = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String name = "c" + i;
            Thread client = new Thread(() -> {
                try {
                    ask(name, served, stop);
                } catch (Throwable e) {
                    failed.add(e);
                }
            });
            client.start();
            clients.add(client);
        }

        int after = Bench.freePort();
        long from = System.nanoTime();
        Process young = start(after);
        awaitReady(after);
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
        old.destroy();
        assertTrue(old.waitFor(Peer.LIMIT_S, TimeUnit.SECONDS));
        int until = served.size();
        while (served.size() < until + 100 && failed.isEmpty()) {
            Thread.sleep(10);
        }
        stop.set(true);
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(List.of(), failed);
        assertTrue(young.isAlive());
        assertTrue(tookMs < 6_000, "took too long to be ready, in ms: " + tookMs);
        assertEquals(ids.size(), new HashSet<>(ids).size(), "no request may reach a backend twice");
        assertTrue(new HashSet<>(ids).containsAll(served));
        assertFalse(ids.contains("warm-up"), "requests of the warm-up must not reach a backend");
    }

    @Test
    void theOldProcessServesOnWhereTheNewOneFailsAtItsStart() throws Exception {
        int admin = Bench.freePort();
        Process old = start(admin);
        awaitReady(admin);
        Process young = start(admin);  // its admin address is in use
        assertTrue(young.waitFor(Peer.LIMIT_S, TimeUnit.SECONDS));
        assertNotEquals(0, young.exitValue());
        assertEquals(200, bench.client().look("on").status());
        assertEquals(200, Bench.call(admin, "GET", "/ops/readiness", ""));
        assertTrue(old.isAlive());
    }

    @Test
    void eachOfTwoLiveProcessesSeesTheCallsThatCameToTheOther() throws Exception {
        int one = Bench.freePort();
        int two = Bench.freePort();
        start(one);
        awaitReady(one);
        assertEquals(200, Bench.call(one, "PUT", "/ops/backends/down", "{\"who\":\"b0\"}"));
        Process young = start(two);
        awaitReady(two);
        assertEquals(200, Bench.call(two, "PUT", "/ops/backends/down", "{\"who\":\"b1\"}"));
        awaitReadiness(one, 503);
        assertEquals(503, Bench.call(two, "GET", "/ops/readiness", ""),
                "both backends are in maintenance, b0 by a command to the other process");
        assertEquals(200, Bench.call(one, "PUT", "/ops/backends/up", "{\"who\":\"b1\"}"));
        awaitReadiness(two, 200);
        assertTrue(young.isAlive());
    }

    private static void awaitReadiness(int admin, int status) throws Exception {
        while (Bench.call(admin, "GET", "/ops/readiness", "") != status) {
            Thread.sleep(10);
        }
    }
}
