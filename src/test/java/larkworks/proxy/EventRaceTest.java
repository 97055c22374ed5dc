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
class EventRaceTest {

    @TempDir
    Path folder;

    /** The ways in which a client disconnects. */
    enum Disconnect {
        FIN, RESET, HALF_CLOSE;

        void apply(TestBench.Client client) throws IOException {
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

    private static final String EMPTY_LIST = TestBench.listJson(1, true);

    /** Returns a request of class {@code look} with the given id. */
    private static String lookRequest(String id) {
        return "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: look\r\nX-Budget-Ms: 20000\r\n\r\n";
    }

    /**
     * Checks that the proxy has released everything of the client that disconnected, and that the backend's
     * next request is one of another client.
     */
    static void assertNextRequestIsOfAnotherClient(TestBench bench, int backend) throws Exception {
        bench.awaitClientReleased();
        TestBench.Client otherClient = bench.client().sendLook("other");
        StubServer.Message request = bench.backends.get(backend).next();
        assertEquals("other", request.header("X-Call-Id"));
        request.reply(200, "for another");
        assertEquals("for another", otherClient.answer().text());
        assertEquals(0, bench.backends.get(backend).pendingMessages());
    }

    /** Lets the blocked connects complete and checks that the first one carries the request with this id. */
    private static void assertFirstRequestOnBlockedConnect(FullBacklogServer backend, String id,
            TestBench.Client client) throws Exception {
        try (Socket connection = backend.accept()) {
            StubServer.Message request =
                    StubServer.Message.read(new BufferedInputStream(connection.getInputStream()), connection,
                    new CountDownLatch(1));
            assertEquals(id, request.header("X-Call-Id"));
            request.reply(200, "for " + id);
            assertEquals("for " + id, client.answer().text());
        }
    }

    // ---- clients that disconnect while their request is pending

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotSendRequestPendingForBackendAfterDisconnect(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder, EMPTY_LIST)) {
            TestBench.Client client = bench.client().sendLook("gone");
            bench.awaitInputProcessed();
            disconnect.apply(client);
            bench.awaitInputProcessed();
            bench.discovery.next().reply(200, bench.fullList(2));
            bench.discovery.next();
            assertNextRequestIsOfAnotherClient(bench, 0);
        }
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotRetryRequestAfterDisconnect(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.start(folder, TestBench.listJson(1, true, bench.entry(0, "in_service")));
            TestBench.Client client = bench.client().sendLook("gone");
            bench.backends.get(0).next().reply(503, "", "X-Rejected: 1");
            bench.awaitInputProcessed();
            disconnect.apply(client);
            bench.awaitInputProcessed();
            bench.discovery.next().reply(200, TestBench.listJson(2, true, bench.entry(1, "in_service")));
            bench.discovery.next();
            assertNextRequestIsOfAnotherClient(bench, 1);
        }
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotSendLargeBodyPendingForBackendAfterDisconnect(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder, EMPTY_LIST)) {
            TestBench.Client client = bench.client().sendPost("pay", "gone", "x".repeat(1 << 20),
                    "Idempotency-Key: k\r\n");
            bench.awaitInputProcessed();
            disconnect.apply(client);
            bench.awaitInputProcessed();
            bench.discovery.next().reply(200, bench.fullList(2));
            bench.discovery.next();
            assertNextRequestIsOfAnotherClient(bench, 0);
            assertEquals(1, bench.backends.get(0).connections(),
                    "a connection was opened for the client that disconnected");
        }
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotSendIncompleteBodyAfterDisconnect(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client =
                    bench.client().send("POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: gone\r\n"
                    + "X-Call-Class: act\r\nContent-Length: 100\r\n\r\nhalf of it");
            bench.awaitInputProcessed();
            disconnect.apply(client);
            bench.awaitInputProcessed();
            assertNextRequestIsOfAnotherClient(bench, 0);
        }
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void cancelsAttemptOnDisconnectBehindManyPipelinedRequests(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("a");
            StubServer.Message request = bench.backends.get(0).next();
            client.send(lookRequest("b").repeat(2_000));
            disconnect.apply(client);
            // The proxy notices the disconnect only if it reads on past the pipelined requests.
            request.awaitConnectionEnd();
            assertNextRequestIsOfAnotherClient(bench, 0);
        }
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotSendRequestReceivedTogetherWithDisconnect(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            // Request and disconnect arrive together, as from the accept queue when descriptors are scarce.
            bench.inOneLoopIteration(() -> disconnect.apply(bench.client().sendLook("gone")));
            assertNextRequestIsOfAnotherClient(bench, 0);
        }
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotSendNextPipelinedRequestAfterDisconnect(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("a").sendLook("b");
            StubServer.Message request = bench.backends.get(0).next();
            bench.inOneLoopIteration(() -> {
                // The proxy reads the first request's answer and the disconnect in the same loop iteration.
                request.reply(200, "");
                disconnect.apply(client);
            });
            assertNextRequestIsOfAnotherClient(bench, 0);
        }
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotWriteToConnectionEstablishedAfterDisconnect(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(0); FullBacklogServer backend = new FullBacklogServer()) {
            bench.connectTimeoutUs = 25_000_000;
            bench.start(folder, TestBench.listJson(1, true,
                    TestBench.entry("b", backend.address(), "in_service")));
            TestBench.Client client = bench.client().sendLook("gone");
            bench.awaitInputProcessed();
            disconnect.apply(client);
            bench.awaitClientReleased();
            TestBench.Client otherClient = bench.client().sendLook("other");
            assertFirstRequestOnBlockedConnect(backend, "other", otherClient);
        }
    }

    @Test
    void doesNotWriteToConnectionEstablishedAfterAttemptTimeout() throws Exception {
        try (TestBench bench = new TestBench(0); FullBacklogServer backend = new FullBacklogServer()) {
            bench.connectTimeoutUs = 25_000_000;
            bench.start(folder, TestBench.listJson(1, true,
                    TestBench.entry("b", backend.address(), "in_service")));
            TestBench.Client client = bench.client().sendLook("late", 300);
            StubServer.Message answer = client.answer();
            assertTrue(answer.line().startsWith("HTTP/1.1 50"), answer.line());
            client.sendLook("next");
            assertFirstRequestOnBlockedConnect(backend, "next", client);
        }
    }

    // ---- drains

    /** A retry must not go to a server whose drain has passed its grace period. */
    @Test
    void doesNotRetryAtDrainingServer() throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.drainGraceUs = 0;
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(2));
            StubServer.Message watch = bench.discovery.next();
            TestBench.Client client = bench.client().sendLook("r");
            int firstBackend = bench.awaitBackendWithRequest();
            StubServer.Message request = bench.backends.get(firstBackend).next();
            watch.reply(200, TestBench.listJson(3, false, bench.entry(1 - firstBackend, "terminating")));
            bench.discovery.next();
            bench.awaitInputProcessed();
            request.reply(503, "", "X-Rejected: 1");
            assertEquals(503, client.status());
            assertEquals(0, bench.backends.get(1 - firstBackend).pendingMessages());
            assertEquals(0, bench.backends.get(firstBackend).pendingMessages());
        }
    }

    // ---- answers that never end

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 10\r\n\r\nhalf", "Content-Length: 10\r\n\r\n", ""})
    void failsRequestBeforeDeadlineIfBackendAnswerNeverEnds(String partialAnswer) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendPost("act", "r", "x", "X-Budget-Ms: 300\r\n");
            StubServer.Message request = bench.backends.get(0).next();
            request.sendRaw("HTTP/1.1 200 OK\r\n" + partialAnswer);
            assertEquals(502, client.status());
            request.awaitConnectionEnd();
            client.sendLook("next");
            bench.backends.get(0).next().reply(200, "served");
            assertEquals("served", client.answer().text());
        }
    }

    /** An answer of unknown length is streamed as it arrives, and aborted when its client disconnects. */
    @ParameterizedTest
    @ValueSource(strings = {"\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"})
    void endsStreamedAnswerWhenClientDisconnects(String partialAnswer) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("r");
            StubServer.Message request = bench.backends.get(0).next();
            request.sendRaw("HTTP/1.1 200 OK\r\n" + partialAnswer);
            assertEquals(200, client.status());
            client.socket().close();
            request.awaitConnectionEnd();
            assertNextRequestIsOfAnotherClient(bench, 0);
        }
    }

    // ---- a timer and a client's disconnect

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void sendTimerOfPendingRequestFiresAfterDisconnect(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder, EMPTY_LIST)) {
            TestBench.Client client = bench.client().sendLook("gone");
            bench.awaitInputProcessed();
            // A new server gets its first request after at most one aim (2 s); the request waits until then.
            bench.discovery.next().reply(200, bench.fullList(2));
            bench.discovery.next();
            bench.inOneLoopIteration(() -> {
                disconnect.apply(client);
                Thread.sleep(2_500);
            });
            assertNextRequestIsOfAnotherClient(bench, 0);
        }
    }

    // ---- an answer and its deadline

    @Test
    void givesAnswerAtDeadlineAtMostOnce() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("a", 300);
            StubServer.Message request = bench.backends.get(0).next();
            bench.inOneLoopIteration(() -> {
                request.reply(200, "a");
                Thread.sleep(400);
            });
            assertTrue(List.of("200", "502").contains(client.answer().line().split(" ")[1]));
            client.sendLook("b");
            bench.backends.get(0).next().reply(200, "b");
            assertEquals("b", client.answer().text());
        }
    }

    // ---- pipelined requests

    @Test
    void pipelinedRequestReceivedWithFirstAnswerWaitsForSecond() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("a").sendLook("b");
            StubServer.Message firstRequest = bench.backends.get(0).next();
            bench.awaitInputProcessed();
            bench.inOneLoopIteration(() -> {
                firstRequest.reply(200, "a");
                client.sendLook("c");
            });
            assertEquals("a", client.answer().text());
            for (String id : List.of("b", "c")) {
                StubServer.Message request = bench.backends.get(0).next();
                assertEquals(id, request.header("X-Call-Id"));
                request.reply(200, id);
                assertEquals(id, client.answer().text());
            }
        }
    }

    @Test
    void answersFirstOfTooManyPipelinedRequestsThenClosesInOrder() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("0");
            StubServer.Message request = bench.backends.get(0).next();
            StringBuilder pipelined = new StringBuilder();
            for (int i = 1; i < 1_000; i++) {
                pipelined.append(lookRequest(Integer.toString(i)));
            }
            client.send(pipelined.toString());
            bench.awaitInputProcessed();
            int answered = 0;
            String connectionHeader = null;
            while (!"close".equals(connectionHeader)) {
                assertEquals(Integer.toString(answered), request.header("X-Call-Id"));
                request.reply(200, "answer " + answered);
                StubServer.Message answer = client.answer();
                assertEquals("answer " + answered++, answer.text());
                connectionHeader = answer.header("Connection");
                request = "close".equals(connectionHeader) ? request : bench.backends.get(0).next();
            }
            assertTrue(answered > 16 && answered < 1_000, answered + " requests were answered");
            assertNull(client.answer());
            assertEquals(0, bench.backends.get(0).pendingMessages());
        }
    }
}
