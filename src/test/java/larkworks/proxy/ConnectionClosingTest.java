package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Client connections that the proxy closes: no byte of an answer may be lost, no unread request dropped. */
@Timeout(120)
class ConnectionClosingTest {

    /** Size of an answer that exceeds a client's small receive buffer, but that the proxy buffers whole. */
    private static final int HELD = 40_000;
    /** Size of an answer that the proxy streams instead of buffering it. */
    private static final int LARGE = 66_000;
    /** Blocks the event loop past an unproven connection's request timeout and a request's deadline. */
    private static final int BEHIND_MS = 2_600;

    @TempDir
    Path folder;

    /** The reasons for which a connection closes after an answer. */
    enum Reason {
        DRAIN, ASKED, OLD_CLIENT;

        private String request(String method, String id, int budgetMs) {
            return method + " HTTP/1." + (this == OLD_CLIENT ? 0 : 1) + "\r\nHost: x\r\nX-Call-Id: " + id
                    + "\r\nX-Budget-Ms: " + budgetMs + "\r\nContent-Length: 0\r\n"
                    + (this == ASKED ? "Connection: close\r\n" : "") + "\r\n";
        }

        private void come(Bench bench) throws Exception {
            if (this == DRAIN) {
                bench.end();
            }
        }
    }

    private static void assertEndsAndSentNothing(Bench bench, Bench.Client client) throws IOException {
        assertNull(client.answer(), "the connection was not closed in order");
        assertEquals(0, bench.backends.get(0).waiting(), "a request behind the last answer was sent on");
    }

    // ---- unread bytes in the proxy's socket when the last answer is written

    /** When the connection closes, most of the last but one answer is still in the kernel's send buffer. */
    @ParameterizedTest
    @EnumSource(Reason.class)
    void allAnswersArriveThoughTheNextRequestIsOnItsWay(Reason why) throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.slowReader().look("first")
                    .send(why.request("POST /act", "last", BEHIND_MS));
            bench.backends.get(0).next().reply(200, "x".repeat(HELD));
            assertEquals("last", bench.backends.get(0).next().header("X-Call-Id"));
            why.come(bench);
            // The last request is answered at its deadline, while the next request is unread.
            bench.beforeTimersDueIn(BEHIND_MS, () -> client.look("next"));
            bench.awaitTurn();
            assertEquals("x".repeat(HELD), client.answer().text());
            assertEquals(502, client.status());
            assertEndsAndSentNothing(bench, client);
        }
    }

    @ParameterizedTest
    @EnumSource(Reason.class)
    void aLargeLastAnswerArrivesWholeThoughTheNextRequestIsOnItsWay(Reason why) throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            // If both connections are readable the older one is read first: the backend's must be older.
            bench.connectBackend(0);
            Bench.Client client = bench.slowReader().send(why.request("GET /look", "last", 20_000));
            Peer.Message sent = bench.backends.get(0).next();
            why.come(bench);
            sent.raw("HTTP/1.1 200 OK\r\nContent-Length: " + LARGE + "\r\n\r\n" + "x".repeat(LARGE - HELD));
            bench.settle();
            bench.inOneTurn(() -> {
                sent.raw("x".repeat(HELD));
                client.look("next");
            });
            bench.awaitTurn();
            assertEquals("x".repeat(LARGE), client.answer().text());
            assertEndsAndSentNothing(bench, client);
        }
    }

    @Test
    void allThatCameOfABrokenAnswerArrivesThoughTheNextRequestIsOnItsWay() throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            bench.connectBackend(0);
            Bench.Client client = bench.slowReader().look("broken");
            Peer.Message sent = bench.backends.get(0).next();
            String head = "HTTP/1.1 200 OK\r\nContent-Length: " + LARGE + "\r\n\r\n";
            bench.inOneTurn(() -> {
                sent.raw(head + "x".repeat(HELD));
                sent.socket().close();
                client.look("next");
            });
            bench.awaitTurn();
            String came = new String(client.in().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals("x".repeat(HELD), came.substring(came.indexOf("\r\n\r\n") + 4));
            assertEquals(0, bench.backends.get(0).waiting());
        }
    }

    // ---- connections without a request for a while

    /** The answers exceed the kernel's send buffer; the proxy keeps the rest while no request follows. */
    @Test
    void answersStillGoingOutAreFinishedBeforeTheirConnectionCountsAsUnused() throws Exception {
        int answers = 200;
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.slowReader();
            for (int i = 0; i < answers; i++) {
                client.look(Integer.toString(i));
                bench.backends.get(0).next().reply(200, "x".repeat(HELD));
            }
            bench.settle();
            CompletableFuture<Void> ended = bench.end();
            bench.awaitListenerClosed();
            for (int i = 0; i < answers; i++) {
                assertEquals("x".repeat(HELD), client.answer().text());
            }
            assertEndsAndSentNothing(bench, client);
            ended.get(Peer.LIMIT_S, TimeUnit.SECONDS);
        }
    }

    @Test
    void theProcessEndsThoughClientsKeepTheirConnectionsOpen() throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client unused = bench.client().look("0");
            bench.backends.get(0).next().reply(200, "");
            assertEquals(200, unused.status());
            Bench.Client answered = bench.client().look("1");
            Peer.Message sent = bench.backends.get(0).next();
            CompletableFuture<Void> ended = bench.end();
            sent.reply(200, "");
            assertEquals(200, answered.status());
            ended.get(Peer.LIMIT_S, TimeUnit.SECONDS);
        }
    }

    @Test
    void aStrangersRequestIsServedThoughTheLoopReadsItOnlyAfterItsTime() throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client();
            bench.settle();
            bench.beforeTimersDueIn(BEHIND_MS, () -> client.look("late to be read"));
            bench.backends.get(0).next().reply(200, "served");
            assertEquals("served", client.answer().text());
        }
    }

    // ---- descriptors

    @Test
    void connectionsThatOnlyWaitForTheirClientsToCloseTakeNoDescriptorFromOthers() throws Exception {
        try (Bench bench = new Bench(1)) {
            bench.sockets = 64;
            bench.start(folder);
            List<Bench.Client> lingering = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                Bench.Client client = bench.client();
                lingering.add(client);
                client.send(Reason.ASKED.request("GET /look", Integer.toString(i), 20_000));
                bench.backends.get(0).next().reply(200, "");
                assertEquals(200, client.status());
            }
        }
    }

    /** All clients connect at once and send their requests before the proxy accepts their connections. */
    @Test
    void noRequestThatLiesUnreadIsClosedToMakeRoomForOthers() throws Exception {
        try (Bench bench = new Bench(1)) {
            bench.sockets = 64;
            bench.start(folder);
            List<Bench.Client> crowd = new ArrayList<>();
            bench.inOneTurn(() -> {
                for (int i = 0; i < 48; i++) {
                    crowd.add(bench.client().look(Integer.toString(i)));
                }
            });
            Thread backend = new Thread(() -> {
                try {
                    while (true) {
                        bench.backends.get(0).next().reply(200, "");
                    }
                } catch (InterruptedException | AssertionError | RuntimeException e) {
                    // The test is over.
                }
            });
            backend.setDaemon(true);
            backend.start();
            for (int i = 0; i < crowd.size(); i++) {
                assertNotNull(crowd.get(i).answer(), "closed without an answer: " + i);
                crowd.get(i).socket().close();
            }
        }
    }
}
