package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Graceful shutdown of a proxy that has requests in different states. */
@Timeout(120)
class GracefulShutdownTest {

    @TempDir
    Path folder;

    private static void awaitShutdown(CompletableFuture<Void> shutdown) throws Exception {
        shutdown.get(StubServer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    void servesRequestPendingForBackend() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder, TestBench.listJson(1, true))) {
            TestBench.Client client = bench.client().sendLook("held");
            bench.awaitInputProcessed();
            CompletableFuture<Void> shutdown = bench.beginShutdown();
            bench.awaitListenerClosed();
            assertFalse(shutdown.isDone(), "the proxy ended with a pending request");
            bench.discovery.next().reply(200, bench.fullList(2));
            bench.backends.get(0).next().reply(200, "late but served");
            StubServer.Message answer = client.answer();
            assertEquals("late but served", answer.text());
            assertEquals("close", answer.header("Connection"));
            awaitShutdown(shutdown);
        }
    }

    @Test
    void servesRequestPendingForRetry() throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.start(folder, TestBench.listJson(1, true, bench.entry(0, "in_service")));
            TestBench.Client client = bench.client().sendLook("again");
            bench.backends.get(0).next().reply(503, "", "X-Rejected: 1");
            bench.awaitInputProcessed();
            CompletableFuture<Void> shutdown = bench.beginShutdown();
            bench.awaitListenerClosed();
            assertFalse(shutdown.isDone(), "the proxy ended with a request that waits for another attempt");
            bench.discovery.next().reply(200, TestBench.listJson(2, true, bench.entry(1, "in_service")));
            bench.backends.get(1).next().reply(200, "by the other");
            assertEquals("by the other", client.answer().text());
            awaitShutdown(shutdown);
        }
    }

    @Test
    void finishesHalfReceivedAnswer() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("long");
            StubServer.Message request = bench.backends.get(0).next();
            String half = "x".repeat(100_000);
            request.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + half);
            CompletableFuture<Void> shutdown = bench.beginShutdown();
            bench.awaitListenerClosed();
            assertFalse(shutdown.isDone(), "the proxy ended with half of an answer outstanding");
            request.sendRaw(half);
            assertEquals(half + half, client.answer().text());
            awaitShutdown(shutdown);
        }
    }

    @Test
    void endsWhileClientKeepsSendingRequests() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("0");
            CompletableFuture<Void> shutdown = null;
            StubServer.Message answer;
            int answered = 0;
            do {
                bench.backends.get(0).next().reply(200, Integer.toString(answered));
                answer = client.answer();
                assertEquals(Integer.toString(answered), answer.text());
                shutdown = shutdown == null ? bench.beginShutdown() : shutdown;
                answered++;
                if (answer.header("Connection") == null) {
                    client.sendLook(Integer.toString(answered));
                }
            } while (answer.header("Connection") == null);
            assertNull(client.answer(), "the connection was announced to close, but stays open");
            awaitShutdown(shutdown);
        }
    }

    /** More connections than one loop iteration accepts are in the accept queue when the listener closes. */
    @Test
    void servesRequestsInAcceptQueueWhenListenerCloses() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            bench.discovery.next().reply(200, bench.fullList(2));
            CompletableFuture<Void> shutdown = bench.beginShutdown();
            List<TestBench.Client> clients = new ArrayList<>();
            bench.inOneLoopIteration(() -> {
                for (int i = 0; i < 60; i++) {
                    clients.add(bench.client().sendLook(Integer.toString(i)));
                }
                // The listener's closing time passes meanwhile, so the loop closes it in its next iteration.
                Thread.sleep(1_000);
            });
            for (int i = 0; i < clients.size(); i++) {
                StubServer.Message request = bench.backends.get(0).next();
                request.reply(200, request.header("X-Call-Id"));
            }
            for (int i = 0; i < clients.size(); i++) {
                StubServer.Message answer = clients.get(i).answer();
                assertNotNull(answer, "no answer to " + i);
                assertEquals(Integer.toString(i), answer.text());
            }
            awaitShutdown(shutdown);
        }
    }

    /** The event loop runs the shutdown after the warm-up has begun and before it ends. */
    @Test
    void endsWhenShutDownDuringWarmUp() throws Exception {
        try (TestBench bench = new TestBench(1)) {
            bench.startAndShutDown(folder).get(StubServer.TIMEOUT_S, TimeUnit.SECONDS);
        }
    }
}
