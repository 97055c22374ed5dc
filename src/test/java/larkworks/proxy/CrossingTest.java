package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Race conditions between clients, backends, discovery and timers; each test forces one order of events. */
@Timeout(120)
class CrossingTest {

    @TempDir
    Path folder;

    /** The ways in which a client disconnects. */
    enum Leaving {
        FIN, RESET, HALF_CLOSE;

        void leave(Bench.Client client) throws IOException {
            if (this == HALF_CLOSE) {
                client.socket().shutdownOutput();
                return;
            }
            if (this == RESET) {
                client.socket().setSoLinger(true, 0);
            }
            client.socket().close();
        }
    }

    private static final String NOBODY = Bench.list(1, true);

    private static String look(String id) {
        return "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: look\r\nX-Budget-Ms: 20000\r\n\r\n";
    }

    /**
     * Checks that the proxy has released everything of the client that disconnected, and that the backend's
     * next request is one of another client.
     */
    static void assertNextIsAnother(Bench bench, int backend) throws Exception {
        bench.awaitOneGone();
        Bench.Client other = bench.client().look("other");
        Peer.Message sent = bench.backends.get(backend).next();
        assertEquals("other", sent.header("X-Call-Id"));
        sent.reply(200, "for another");
        assertEquals("for another", other.answer().text());
        assertEquals(0, bench.backends.get(backend).waiting());
    }

    /** Lets the blocked connects complete and checks that the first one carries the request with this id. */
    private static void assertServesFirst(Hanging backend, String id, Bench.Client client)
            throws Exception {
        try (Socket came = backend.accept()) {
            Peer.Message sent = Peer.Message.read(new BufferedInputStream(came.getInputStream()), came,
                    new CountDownLatch(1));
            assertEquals(id, sent.header("X-Call-Id"));
            sent.reply(200, "for " + id);
            assertEquals("for " + id, client.answer().text());
        }
    }

    // ---- clients that disconnect while their request is pending

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aRequestThatWaitsForABackendIsNotSentOnAfterItsClientLeft(Leaving way) throws Exception {
        try (Bench bench = new Bench(1).start(folder, NOBODY)) {
            Bench.Client client = bench.client().look("gone");
            bench.settle();
            way.leave(client);
            bench.settle();
            bench.discovery.next().reply(200, bench.all(2));
            bench.discovery.next();
            assertNextIsAnother(bench, 0);
        }
    }

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aRequestThatWaitsForAnotherAttemptIsNotSentOnAfterItsClientLeft(Leaving way) throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.start(folder, Bench.list(1, true, bench.entry(0, "in_service")));
            Bench.Client client = bench.client().look("gone");
            bench.backends.get(0).next().reply(503, "", "X-Rejected: 1");
            bench.settle();
            way.leave(client);
            bench.settle();
            bench.discovery.next().reply(200, Bench.list(2, true, bench.entry(1, "in_service")));
            bench.discovery.next();
            assertNextIsAnother(bench, 1);
        }
    }

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aLargeBodyThatWaitsForABackendIsNotSentOnAfterItsClientLeft(Leaving way) throws Exception {
        try (Bench bench = new Bench(1).start(folder, NOBODY)) {
            Bench.Client client = bench.client().post("pay", "gone", "x".repeat(1 << 20),
                    "Idempotency-Key: k\r\n");
            bench.settle();
            way.leave(client);
            bench.settle();
            bench.discovery.next().reply(200, bench.all(2));
            bench.discovery.next();
            assertNextIsAnother(bench, 0);
            assertEquals(1, bench.backends.get(0).connections(),
                    "a connection was opened for the client that disconnected");
        }
    }

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aClientThatLeavesWhileItsBodyComesHasNothingSentOn(Leaving way) throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client().send("POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: gone\r\n"
                    + "X-Call-Class: act\r\nContent-Length: 100\r\n\r\nhalf of it");
            bench.settle();
            way.leave(client);
            bench.settle();
            assertNextIsAnother(bench, 0);
        }
    }

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aClientThatSendsMuchAtOnceAndLeavesHasItsAttemptEndedAndNothingElseSent(Leaving way)
            throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client().look("a");
            Peer.Message sent = bench.backends.get(0).next();
            client.send(look("b").repeat(2_000));
            way.leave(client);
            // The proxy notices the disconnect only if it continues reading behind the pipelined requests.
            sent.awaitEnd();
            assertNextIsAnother(bench, 0);
        }
    }

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aRequestThatCameTogetherWithItsClientsLeavingIsNotSentOn(Leaving way) throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            // As from the listener's accept queue, where both wait while descriptors are scarce.
            bench.inOneTurn(() -> way.leave(bench.client().look("gone")));
            assertNextIsAnother(bench, 0);
        }
    }

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void theNextOfSeveralRequestsIsNotSentOnAfterTheClientLeft(Leaving way) throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client().look("a").look("b");
            Peer.Message sent = bench.backends.get(0).next();
            bench.inOneTurn(() -> {
                // The proxy reads the first request's answer and the disconnect in the same loop iteration.
                sent.reply(200, "");
                way.leave(client);
            });
            assertNextIsAnother(bench, 0);
        }
    }

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aConnectionThatComesUpAfterTheClientLeftIsNotWrittenTo(Leaving way) throws Exception {
        try (Bench bench = new Bench(0); Hanging backend = new Hanging()) {
            bench.connectTimeoutUs = 25_000_000;
            bench.start(folder, Bench.list(1, true, Bench.entry("b", backend.address(), "in_service")));
            Bench.Client client = bench.client().look("gone");
            bench.settle();
            way.leave(client);
            bench.awaitOneGone();
            Bench.Client other = bench.client().look("other");
            assertServesFirst(backend, "other", other);
        }
    }

    @Test
    void aConnectionThatComesUpAfterItsAttemptTimedOutIsNotWrittenTo() throws Exception {
        try (Bench bench = new Bench(0); Hanging backend = new Hanging()) {
            bench.connectTimeoutUs = 25_000_000;
            bench.start(folder, Bench.list(1, true, Bench.entry("b", backend.address(), "in_service")));
            Bench.Client client = bench.client().look("late", 300);
            Peer.Message answer = client.answer();
            assertTrue(answer.line().startsWith("HTTP/1.1 50"), answer.line());
            client.look("next");
            assertServesFirst(backend, "next", client);
        }
    }

    // ---- drains

    /** A retry must not go to a server whose drain has passed its grace period. */
    @Test
    void aRequestThatIsRetriedGoesToNoServerThatDrains() throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.drainGraceUs = 0;
            bench.start(folder);
            bench.discovery.next().reply(200, bench.all(2));
            Peer.Message watch = bench.discovery.next();
            Bench.Client client = bench.client().look("r");
            int first = bench.awaitBackend();
            Peer.Message sent = bench.backends.get(first).next();
            watch.reply(200, Bench.list(3, false, bench.entry(1 - first, "terminating")));
            bench.discovery.next();
            bench.settle();
            sent.reply(503, "", "X-Rejected: 1");
            assertEquals(503, client.status());
            assertEquals(0, bench.backends.get(1 - first).waiting());
            assertEquals(0, bench.backends.get(first).waiting());
        }
    }

    // ---- answers that never end

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 10\r\n\r\nhalf", "Content-Length: 10\r\n\r\n", ""})
    void anAnswerThatNeverEndsIsAnsweredForInTimeAndItsConnectionClosed(String came) throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client().post("act", "r", "x", "X-Budget-Ms: 300\r\n");
            Peer.Message sent = bench.backends.get(0).next();
            sent.raw("HTTP/1.1 200 OK\r\n" + came);
            assertEquals(502, client.status());
            sent.awaitEnd();
            client.look("next");
            bench.backends.get(0).next().reply(200, "served");
            assertEquals("served", client.answer().text());
        }
    }

    /** An answer of unknown length is streamed as it arrives; it ends when its client disconnects. */
    @ParameterizedTest
    @ValueSource(strings = {"\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"})
    void anAnswerThatIsPassedOnAndNeverEndsIsEndedAsItsClientLeaves(String came) throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client().look("r");
            Peer.Message sent = bench.backends.get(0).next();
            sent.raw("HTTP/1.1 200 OK\r\n" + came);
            assertEquals(200, client.status());
            client.socket().close();
            sent.awaitEnd();
            assertNextIsAnother(bench, 0);
        }
    }

    // ---- a timer and a client's disconnect

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void theTimerOfARequestThatWaitsFindsItsClientGone(Leaving way) throws Exception {
        try (Bench bench = new Bench(1).start(folder, NOBODY)) {
            Bench.Client client = bench.client().look("gone");
            bench.settle();
            // A new server gets its first request after at most one aim (2 s); the request waits until then.
            bench.discovery.next().reply(200, bench.all(2));
            bench.discovery.next();
            bench.inOneTurn(() -> {
                way.leave(client);
                Thread.sleep(2_500);
            });
            assertNextIsAnother(bench, 0);
        }
    }

    // ---- an answer and its deadline

    @Test
    void anAnswerThatComesAsItsTimeEndsIsGivenOnceOrNotAtAll() throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client().look("a", 300);
            Peer.Message sent = bench.backends.get(0).next();
            bench.inOneTurn(() -> {
                sent.reply(200, "a");
                Thread.sleep(400);
            });
            assertTrue(List.of("200", "502").contains(client.answer().line().split(" ")[1]));
            client.look("b");
            bench.backends.get(0).next().reply(200, "b");
            assertEquals("b", client.answer().text());
        }
    }

    // ---- pipelined requests

    @Test
    void aRequestThatComesWithTheAnswerToTheFirstWaitsForTheSecond() throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client().look("a").look("b");
            Peer.Message first = bench.backends.get(0).next();
            bench.settle();
            bench.inOneTurn(() -> {
                first.reply(200, "a");
                client.look("c");
            });
            assertEquals("a", client.answer().text());
            for (String id : List.of("b", "c")) {
                Peer.Message sent = bench.backends.get(0).next();
                assertEquals(id, sent.header("X-Call-Id"));
                sent.reply(200, id);
                assertEquals(id, client.answer().text());
            }
        }
    }

    @Test
    void ofRequestsThatAreTooManyTheFirstAreAnsweredAndTheConnectionEndsInOrder() throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client().look("0");
            Peer.Message sent = bench.backends.get(0).next();
            StringBuilder many = new StringBuilder();
            for (int i = 1; i < 1_000; i++) {
                many.append(look(Integer.toString(i)));
            }
            client.send(many.toString());
            bench.settle();
            int next = 0;
            String connection = null;
            while (!"close".equals(connection)) {
                assertEquals(Integer.toString(next), sent.header("X-Call-Id"));
                sent.reply(200, "answer " + next);
                Peer.Message answer = client.answer();
                assertEquals("answer " + next++, answer.text());
                connection = answer.header("Connection");
                sent = "close".equals(connection) ? sent : bench.backends.get(0).next();
            }
            assertTrue(next > 16 && next < 1_000, next + " were answered");
            assertNull(client.answer());
            assertEquals(0, bench.backends.get(0).waiting());
        }
    }
}
