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
import larkworks.proxy.CrossingTest.Leaving;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** No attempt begins once its client has disconnected, even if the proxy has not read the disconnect yet. */
@Timeout(120)
class ClientLeavingTest {

    private static final String NOBODY = Bench.list(1, true);
    /** Blocks the event loop until a new server has got its first request, after one aim (2 s) at most. */
    private static final int BEHIND_MS = 2_600;

    @TempDir
    Path folder;

    /** Returns a request of class {@code look} with the given id. */
    private static String look(String id) {
        return "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: look\r\nX-Budget-Ms: 20000\r\n\r\n";
    }

    /** Checks that the next request is served and that no backend has received any other one. */
    private static void assertOthersAlone(Bench bench) throws Exception {
        bench.awaitGone(1);
        bench.served();
        for (Peer backend : bench.backends) {
            assertEquals(0, backend.waiting(), "a request was sent for a client that had disconnected");
        }
    }

    // ---- disconnects while the loop is blocked: the sending timer runs before the disconnect is read

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aRequestThatWaitsForABackendIsNotSentOn(Leaving way) throws Exception {
        try (Bench bench = new Bench(1).start(folder, NOBODY)) {
            Bench.Client client = bench.client().look("gone");
            bench.settle();
            bench.discovery.next().reply(200, bench.all(2));
            bench.discovery.next();
            bench.beforeTimersDueIn(BEHIND_MS, () -> way.leave(client));
            CrossingTest.assertNextIsAnother(bench, 0);
        }
    }

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aRequestThatWaitsForAnotherAttemptIsNotSentOn(Leaving way) throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.start(folder, Bench.list(1, true, bench.entry(0, "in_service")));
            Bench.Client client = bench.client().look("gone");
            bench.backends.get(0).next().reply(503, "", "X-Rejected: 1");
            bench.settle();
            bench.discovery.next().reply(200, Bench.list(2, true, bench.entry(1, "in_service")));
            bench.discovery.next();
            bench.beforeTimersDueIn(BEHIND_MS, () -> way.leave(client));
            CrossingTest.assertNextIsAnother(bench, 1);
        }
    }

    /** The request before it is answered at its deadline, while the disconnect is unread. */
    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aRequestBehindAnotherIsNotSentOn(Leaving way) throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client().send("POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: first\r\n"
                    + "X-Budget-Ms: " + BEHIND_MS + "\r\nContent-Length: 0\r\n\r\n").look("gone");
            assertEquals("first", bench.backends.get(0).next().header("X-Call-Id"));
            bench.beforeTimersDueIn(BEHIND_MS, () -> way.leave(client));
            CrossingTest.assertNextIsAnother(bench, 0);
        }
    }

    /** The rejection that would cause a retry at the other server is read together with the disconnect. */
    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aRequestThatIsTurnedAwayIsNotSentToAnother(Leaving way) throws Exception {
        try (Bench bench = new Bench(2).start(folder)) {
            Bench.Client client = bench.client().look("gone");
            Peer.Message sent = bench.backends.get(bench.awaitBackend()).next();
            bench.inOneTurn(() -> {
                way.leave(client);
                sent.reply(503, "", "X-Rejected: 1");
                Thread.sleep(200);
            });
            assertOthersAlone(bench);
        }
    }

    // ---- large bodies

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aBodyWhoseLastPartComesWithTheLeavingIsNotFinished(Leaving way) throws Exception {
        int size = 100_000;
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client().send("POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: gone\r\n"
                    + "X-Budget-Ms: 20000\r\nContent-Length: " + size + "\r\n\r\n" + "x".repeat(size - 10));
            bench.awaitBackendConnection(0);
            bench.settle();
            bench.inOneTurn(() -> {
                client.send("x".repeat(10));
                way.leave(client);
            });
            bench.awaitGone(1);
            assertTrue(bench.backends.get(0).next().body().length < size, "the body's last byte was sent");
        }
    }

    /** The proxy has received the body whole, and the backend reads it slowly. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aBodyOnItsWayIsNotFinished(boolean cancel) throws Exception {
        int size = 6 << 20;
        try (Bench bench = new Bench(0); ServerSocket backend = new ServerSocket()) {
            backend.setReceiveBufferSize(1 << 12);
            backend.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            bench.cancel = cancel;
            bench.start(folder, NOBODY);
            Bench.Client client = bench.client().post("pay", "gone", "x".repeat(size),
                    "Idempotency-Key: k\r\n");
            bench.settle();
            bench.discovery.next().reply(200, Bench.list(2, true, Bench.entry("b",
                    "127.0.0.1:" + backend.getLocalPort(), "in_service")));
            try (Socket slow = backend.accept()) {
                assertEquals('P', slow.getInputStream().read());
                client.socket().close();
                bench.awaitGone(1);
                assertTrue(readToEnd(slow) < size, "the body's last byte was sent");
            }
        }
    }

    private static int readToEnd(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] part = new byte[1 << 16];
        int all = 0;
        try {
            for (int read = in.read(part); read >= 0; read = in.read(part)) {
                all += read;
            }
        } catch (IOException e) {
            // A reset ends the stream as well.
        }
        return all;
    }

    // ---- many clients at once

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void ofManyClientsThatLeaveAtOnceNoneHasItsRequestSentOn(Leaving way) throws Exception {
        int crowd = 200;
        try (Bench bench = new Bench(1)) {
            bench.sockets = 1024;
            bench.start(folder, NOBODY);
            List<Bench.Client> clients = new ArrayList<>();
            for (int i = 0; i < crowd; i++) {
                clients.add(bench.client().look("gone" + i));
            }
            bench.settle();
            bench.discovery.next().reply(200, bench.all(2));
            bench.discovery.next();
            bench.beforeTimersDueIn(BEHIND_MS, () -> {
                for (Bench.Client client : clients) {
                    way.leave(client);
                }
            });
            bench.awaitGone(crowd);
            CrossingTest.assertNextIsAnother(bench, 0);
        }
    }

    /** A third of the connections sends a request, a third half of one, and a third nothing. */
    @Test
    void connectionsKilledRightAfterTheirAcceptLeaveNothingBehind() throws Exception {
        int crowd = 60;
        try (Bench bench = new Bench(1).start(folder)) {
            String request = look("gone");
            bench.inOneTurn(() -> {
                for (int i = 0; i < crowd; i++) {
                    Bench.Client client = bench.client();
                    client.send(request.substring(0, request.length() * (i % 3) / 2));
                    Leaving.values()[i / 3 % 3].leave(client);
                }
            });
            bench.awaitGone(crowd);
            CrossingTest.assertNextIsAnother(bench, 0);
        }
    }

    // ---- fragmented requests

    /** The fragments are single bytes in the first run, and lines in the second. */
    @ParameterizedTest
    @ValueSource(strings = {"", "(?<=\n)"})
    void requestsInPiecesAreServedInTheirOrder(String between) throws Exception {
        try (Bench bench = new Bench(1).start(folder)) {
            Bench.Client client = bench.client();
            String[] pieces = (look("a") + look("b")).split(between);
            for (int i = 0; i < pieces.length; i++) {
                client.send(pieces[i]);
                if (i % 8 == 0) {
                    bench.awaitTurn();
                }
            }
            for (String id : List.of("a", "b")) {
                Peer.Message sent = bench.backends.get(0).next();
                assertEquals(id, sent.header("X-Call-Id"));
                sent.reply(200, "for " + id);
                assertEquals("for " + id, client.answer().text());
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aRequestInPiecesIsNotSentOnWhereItsClientLeavesBeforeTheLast(Leaving way) throws Exception {
        String request = look("gone");
        try (Bench bench = new Bench(1).start(folder)) {
            for (int sent = 1; sent < request.length(); sent += 7) {
                Bench.Client client = bench.client();
                for (int at = 0; at < sent; at += 7) {
                    client.send(request.substring(at, Math.min(sent, at + 7)));
                }
                bench.settle();
                way.leave(client);
            }
            CrossingTest.assertNextIsAnother(bench, 0);
        }
    }
}
