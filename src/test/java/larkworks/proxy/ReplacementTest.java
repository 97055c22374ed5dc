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

/** Two processes at one address for clients, with one folder that both keep things in. */
@Timeout(180)
class ReplacementTest {

    @TempDir
    Path folder;

    private TestBench bench;
    private final List<Process> processes = new ArrayList<>();
    private final AtomicBoolean over = new AtomicBoolean();
    /** Ids of the requests that came to backends. */
    private final List<String> ids = Collections.synchronizedList(new ArrayList<>());
    private final List<Thread> threads = new ArrayList<>();

    @BeforeEach
    void prepare() throws Exception {
        bench = new TestBench(2);
        bench.useProxyAt(TestBench.freePort());
        bench.answerDiscoveryWith(bench.fullList(7));
        for (StubServer backend : bench.backends) {
            spawn(() -> serve(backend));
        }
        Files.writeString(folder.resolve("config.json"), bench.configJson(bench.port(), bench.fullList(7)));
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

    private void serve(StubServer backend) throws InterruptedException {
        while (!over.get()) {
            StubServer.Message message = backend.next();
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
        builder.environment().put("GW_ADMIN_ADDR", TestBench.HOST + ":" + admin);
        builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
        builder.redirectError(ProcessBuilder.Redirect.INHERIT);
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    private static void awaitReady(int admin) throws Exception {
        while (TestBench.awaitAdminCall(admin, "GET", "/ops/readiness") != 200) {
            Thread.sleep(10);
        }
    }

    /** Requests until told to stop, some on fresh connections and some on kept ones; each must be served. */
    private void ask(String name, List<String> served, AtomicBoolean stop) throws Exception {
        TestBench.Client kept = bench.client();
        for (int i = 0; !stop.get(); i++) {
            String id = name + "-" + i;
            if (i % 3 == 0) {
                kept.socket().close();
                kept = bench.client();
            }
            StubServer.Message answer = kept.sendLook(id).answer();
            assertEquals(id, answer == null ? null : answer.text(), "the answer of " + id);
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
        int before = TestBench.freePort();
        Process old = start(before);
        awaitReady(before);
        TestBench.Client idle = bench.client();
        assertEquals(200, idle.sendLook("first").status());
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

        int after = TestBench.freePort();
        long from = System.nanoTime();
        Process young = start(after);
        awaitReady(after);
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
        old.destroy();
        assertTrue(old.waitFor(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
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
        assertTrue(tookMs < 6_000, "ready after ms: " + tookMs);
        assertEquals(ids.size(), new HashSet<>(ids).size(), "no request came twice");
        assertTrue(new HashSet<>(ids).containsAll(served));
        assertFalse(ids.contains("warm-up"), "warming up reaches no backend");
    }

    @Test
    void theOldProcessServesOnWhereTheNewOneFailsAtItsStart() throws Exception {
        int admin = TestBench.freePort();
        Process old = start(admin);
        awaitReady(admin);
        Process young = start(admin);  // its second address is in use
        assertTrue(young.waitFor(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
        assertNotEquals(0, young.exitValue());
        assertEquals(200, bench.client().sendLook("on").status());
        assertEquals(200, TestBench.callAdmin(admin, "GET", "/ops/readiness", ""));
        assertTrue(old.isAlive());
    }

    @Test
    void eachOfTwoLiveProcessesSeesTheCallsThatCameToTheOther() throws Exception {
        int one = TestBench.freePort();
        int two = TestBench.freePort();
        start(one);
        awaitReady(one);
        assertEquals(200, TestBench.callAdmin(one, "PUT", "/ops/backends/down", "{\"who\":\"b0\"}"));
        Process young = start(two);
        awaitReady(two);
        assertEquals(200, TestBench.callAdmin(two, "PUT", "/ops/backends/down", "{\"who\":\"b1\"}"));
        awaitReadiness(one, 503);
        assertEquals(503, TestBench.callAdmin(two, "GET", "/ops/readiness", ""),
                "b0 was called out at the other");
        assertEquals(200, TestBench.callAdmin(one, "PUT", "/ops/backends/up", "{\"who\":\"b1\"}"));
        awaitReadiness(two, 200);
        assertTrue(young.isAlive());
    }

    private static void awaitReadiness(int admin, int status) throws Exception {
        while (TestBench.callAdmin(admin, "GET", "/ops/readiness", "") != status) {
            Thread.sleep(10);
        }
    }
}
