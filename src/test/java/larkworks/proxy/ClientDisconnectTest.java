package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import larkworks.proxy.EventRaceTest.Disconnect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** No attempt begins once its client has disconnected, even if the proxy has not read the disconnect yet. */
@Timeout(120)
class ClientDisconnectTest {

    private static final String EMPTY_LIST = TestBench.listJson(1, true);
    /** How long the loop is blocked: longer than a request may wait for a new server (one aim, 2 s). */
    private static final int LOOP_BLOCKED_MS = 2_600;

    @TempDir
    Path folder;

    /** Returns a request of class {@code look} with the given id. */
    private static String lookRequest(String id) {
        return "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: look\r\nX-Budget-Ms: 20000\r\n\r\n";
    }

    /** Checks that the next request is served and that no backend has received any other one. */
    private static void assertNoOtherRequestSent(TestBench bench) throws Exception {
        bench.awaitClientsReleased(1);
        bench.serveOneRequest();
        for (StubServer backend : bench.backends) {
            assertEquals(0, backend.pendingMessages(),
                    "a request was sent for a client that had disconnected");
        }
    }

    // ---- disconnects while the loop is blocked: the send timer runs before the disconnect is read

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotSendRequestPendingForBackend(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder, EMPTY_LIST)) {
            TestBench.Client client = bench.client().sendLook("gone");
            bench.awaitInputProcessed();
            bench.discovery.next().reply(200, bench.fullList(2));
            bench.discovery.next();
            bench.beforeTimersDueWithin(LOOP_BLOCKED_MS, () -> disconnect.apply(client));
            EventRaceTest.assertNextRequestIsOfAnotherClient(bench, 0);
        }
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotRetryRequest(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.start(folder, TestBench.listJson(1, true, bench.entry(0, "in_service")));
            TestBench.Client client = bench.client().sendLook("gone");
            bench.backends.get(0).next().reply(503, "", "X-Rejected: 1");
            bench.awaitInputProcessed();
            bench.discovery.next().reply(200, TestBench.listJson(2, true, bench.entry(1, "in_service")));
            bench.discovery.next();
            bench.beforeTimersDueWithin(LOOP_BLOCKED_MS, () -> disconnect.apply(client));
            EventRaceTest.assertNextRequestIsOfAnotherClient(bench, 1);
        }
    }

    /**
     * The deadline of the first request passes before the proxy reads the disconnect. The proxy answers that
     * request and must not send the pipelined one to a backend.
     */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotSendPipelinedRequest(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client =
                    bench.client().send("POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: first\r\n"
                    + "X-Budget-Ms: " + LOOP_BLOCKED_MS + "\r\nContent-Length: 0\r\n\r\n").sendLook("gone");
            assertEquals("first", bench.backends.get(0).next().header("X-Call-Id"));
            bench.beforeTimersDueWithin(LOOP_BLOCKED_MS, () -> disconnect.apply(client));
            EventRaceTest.assertNextRequestIsOfAnotherClient(bench, 0);
        }
    }

    /** The rejection that would cause a retry at the other server is read together with the disconnect. */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotRetryRejectedRequestAtOtherServer(Disconnect disconnect) throws Exception {
        try (TestBench bench = new TestBench(2).start(folder)) {
            TestBench.Client client = bench.client().sendLook("gone");
            StubServer.Message request = bench.backends.get(bench.awaitBackendWithRequest()).next();
            bench.inOneLoopIteration(() -> {
                disconnect.apply(client);
                request.reply(503, "", "X-Rejected: 1");
                Thread.sleep(200);
            });
            assertNoOtherRequestSent(bench);
        }
    }

    // ---- large bodies

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotFinishBodyWhoseLastPartArrivesWithDisconnect(Disconnect disconnect) throws Exception {
        int bodyBytes = 100_000;
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client =
                    bench.client().send("POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: gone\r\n"
                    + "X-Budget-Ms: 20000\r\nContent-Length: " + bodyBytes + "\r\n\r\n"
                    + "x".repeat(bodyBytes - 10));
            bench.awaitBackendConnection(0);
            bench.awaitInputProcessed();
            bench.inOneLoopIteration(() -> {
                client.send("x".repeat(10));
                disconnect.apply(client);
            });
            bench.awaitClientsReleased(1);
            assertTrue(bench.backends.get(0).next().body().length < bodyBytes,
                    "the body's last byte was sent");
        }
    }

    /** The proxy has received the body whole, and the backend reads it slowly. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void doesNotFinishBodyBeingSent(boolean cancel) throws Exception {
        int bodyBytes = 6 << 20;
        try (TestBench bench = new TestBench(0); ServerSocket backend = new ServerSocket()) {
            backend.setReceiveBufferSize(1 << 12);
            backend.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            bench.cancelEnabled = cancel;
            bench.start(folder, EMPTY_LIST);
            TestBench.Client client = bench.client().sendPost("pay", "gone", "x".repeat(bodyBytes),
                    "Idempotency-Key: k\r\n");
            bench.awaitInputProcessed();
            bench.discovery.next().reply(200, TestBench.listJson(2, true, TestBench.entry("b",
                    "127.0.0.1:" + backend.getLocalPort(), "in_service")));
            try (Socket slowConnection = backend.accept()) {
                assertEquals('P', slowConnection.getInputStream().read());
                client.socket().close();
                bench.awaitClientsReleased(1);
                assertTrue(readToEnd(slowConnection) < bodyBytes, "the body's last byte was sent");
            }
        }
    }

    /** Reads until the other side ends the connection, by FIN or reset; returns the number of bytes read. */
    private static int readToEnd(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[1 << 16];
        int totalBytes = 0;
        try {
            for (int readBytes = in.read(buffer); readBytes >= 0; readBytes = in.read(buffer)) {
                totalBytes += readBytes;
            }
        } catch (IOException e) {
            // A reset ends the stream as well.
        }
        return totalBytes;
    }

    // ---- many clients at once

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void sendsNoRequestOfManyClientsThatDisconnectAtOnce(Disconnect disconnect) throws Exception {
        int clientCount = 200;
        try (TestBench bench = new TestBench(1)) {
            bench.maxSockets = 1024;
            bench.start(folder, EMPTY_LIST);
            List<TestBench.Client> clients = new ArrayList<>();
            for (int i = 0; i < clientCount; i++) {
                clients.add(bench.client().sendLook("gone" + i));
            }
            bench.awaitInputProcessed();
            bench.discovery.next().reply(200, bench.fullList(2));
            bench.discovery.next();
            bench.beforeTimersDueWithin(LOOP_BLOCKED_MS, () -> {
                for (TestBench.Client client : clients) {
                    disconnect.apply(client);
                }
            });
            bench.awaitClientsReleased(clientCount);
            EventRaceTest.assertNextRequestIsOfAnotherClient(bench, 0);
        }
    }

    /** A third of the connections sends a request, a third half of one, and a third nothing. */
    @Test
    void releasesConnectionsClosedRightAfterAccept() throws Exception {
        int clientCount = 60;
        try (TestBench bench = new TestBench(1).start(folder)) {
            String request = lookRequest("gone");
            bench.inOneLoopIteration(() -> {
                for (int i = 0; i < clientCount; i++) {
                    TestBench.Client client = bench.client();
                    client.send(request.substring(0, request.length() * (i % 3) / 2));
                    Disconnect.values()[i / 3 % 3].apply(client);
                }
            });
            bench.awaitClientsReleased(clientCount);
            EventRaceTest.assertNextRequestIsOfAnotherClient(bench, 0);
        }
    }

    // ---- fragmented requests

    /** The fragments are single bytes in the first run, and lines in the second. */
    @ParameterizedTest
    @ValueSource(strings = {"", "(?<=\n)"})
    void servesFragmentedRequestsInOrder(String separator) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client();
            String[] fragments = (lookRequest("a") + lookRequest("b")).split(separator);
            for (int i = 0; i < fragments.length; i++) {
                client.send(fragments[i]);
                if (i % 8 == 0) {
                    bench.awaitLoopIteration();
                }
            }
            for (String id : List.of("a", "b")) {
                StubServer.Message request = bench.backends.get(0).next();
                assertEquals(id, request.header("X-Call-Id"));
                request.reply(200, "for " + id);
                assertEquals("for " + id, client.answer().text());
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void doesNotSendFragmentedRequestWithoutItsLastFragment(Disconnect disconnect) throws Exception {
        String request = lookRequest("gone");
        try (TestBench bench = new TestBench(1).start(folder)) {
            for (int sentBytes = 1; sentBytes < request.length(); sentBytes += 7) {
                TestBench.Client client = bench.client();
                for (int offset = 0; offset < sentBytes; offset += 7) {
                    client.send(request.substring(offset, Math.min(sentBytes, offset + 7)));
                }
                bench.awaitInputProcessed();
                disconnect.apply(client);
            }
            EventRaceTest.assertNextRequestIsOfAnotherClient(bench, 0);
        }
    }
}
