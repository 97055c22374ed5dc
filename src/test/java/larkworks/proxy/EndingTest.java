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
class EndingTest {

    @TempDir
    Path folder;

    private static void awaitEnd(CompletableFuture<Void> ended) throws Exception {
        ended.get(Peer.LIMIT_S, TimeUnit.SECONDS);
    }

    @Test
    void servesARequestThatWaitedForABackend() throws Exception {
        try (Bench bench = new Bench(1).start(folder, Bench.list(1, true))) {
            Bench.Client client = bench.client().look("held");
            bench.settle();
            CompletableFuture<Void> ended = bench.end();
            bench.awaitListenerClosed();
            assertFalse(ended.isDone(), "the proxy ended with a pending request");
            bench.discovery.next().reply(200, bench.all(2));
            bench.backends.get(0).next().reply(200, "late but served");
            Peer.Message answer = client.answer();
            assertEquals("late but served", answer.text());
            assertEquals("close", answer.header("Connection"));
            awaitEnd(ended);
        }
    }

    @Test
    void servesARequestThatWaitedForAnotherAttempt() throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.start(folder, Bench.list(1, true, bench.entry(0, "in_service")));
            Bench.Client client = bench.client().look("again");
            bench.backends.get(0).next().reply(503, "", "X-Rejected: 1");
            bench.settle();
            CompletableFuture<Void> ended = bench.end();
            bench.awaitListenerClosed();
            assertFalse(ended.isDone(), "the proxy ended with a request that waits for another attempt");
            bench.discovery.next().reply(200, Bench.list(2, true, bench.entry(1, "in_service")));
            bench.backends.get(1).next().reply(200, "by the other");
            assertEquals("by the other", client.answer().text());
            awaitEnd(ended);
        }
    }

    @Test
    void finishesAnAnswerOfWhichOnlyHalfHasCome() throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client().look("long");
            Peer.Message sent = bench.backends.get(0).next();
            String half = "x".repeat(100_000);
            sent.raw("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + half);
            CompletableFuture<Void> ended = bench.end();
            bench.awaitListenerClosed();
            assertFalse(ended.isDone(), "the proxy ended with half of an answer outstanding");
            sent.raw(half);
            assertEquals(half + half, client.answer().text());
            awaitEnd(ended);
        }
    }

    @Test
    void endsWhereAClientSendsOnUntilItsConnectionIsClosed() throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client().look("0");
            CompletableFuture<Void> ended = null;
            Peer.Message answer;
            int served = 0;
            do {
                bench.backends.get(0).next().reply(200, Integer.toString(served));
                answer = client.answer();
                assertEquals(Integer.toString(served), answer.text());
                ended = ended == null ? bench.end() : ended;
                served++;
                if (answer.header("Connection") == null) {
                    client.look(Integer.toString(served));
                }
            } while (answer.header("Connection") == null);
            assertNull(client.answer(), "the connection was announced to close, but stays open");
            awaitEnd(ended);
        }
    }

    /** More connections than one loop iteration accepts are in the accept queue when the listener closes. */
    @Test
    void servesWhatWaitsInTheListenersQueueWhenItCloses() throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            bench.discovery.next().reply(200, bench.all(2));
            CompletableFuture<Void> ended = bench.end();
            List<Bench.Client> clients = new ArrayList<>();
            bench.inOneTurn(() -> {
                for (int i = 0; i < 60; i++) {
                    clients.add(bench.client().look(Integer.toString(i)));
                }
                // When the loop resumes, the listener's closing time has passed: it closes in that iteration.
                Thread.sleep(1_000);
            });
            for (int i = 0; i < clients.size(); i++) {
                Peer.Message sent = bench.backends.get(0).next();
                sent.reply(200, sent.header("X-Call-Id"));
            }
            for (int i = 0; i < clients.size(); i++) {
                Peer.Message answer = clients.get(i).answer();
                assertNotNull(answer, "no answer to " + i);
                assertEquals(Integer.toString(i), answer.text());
            }
            awaitEnd(ended);
        }
    }

    /** The shutdown is queued in the event loop behind the warm-up's beginning, and before its end. */
    @Test
    void endsWhereItIsToldToDuringItsWarmUp() throws Exception {
        try (Bench bench = new Bench(1)) {
            bench.startAndEnd(folder).get(Peer.LIMIT_S, TimeUnit.SECONDS);
        }
    }
}
