package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The proxy with fewer file descriptors or less body memory than its clients ask for. */
@Timeout(120)
class ResourceLimitTest {

    @TempDir
    Path folder;

    @Test
    void servesNewConnectionsAmongThousandsWithoutRequest() throws Exception {
        try (TestBench bench = new TestBench(1)) {
            bench.maxSockets = 128;
            bench.start(folder);
            AtomicBoolean stopRequested = new AtomicBoolean();
            List<TestBench.Client> unprovenClients = new ArrayList<>();
            Thread connector = new Thread(() -> {
                try {
                    for (int i = 0; i < 2_000 && !stopRequested.get(); i++) {
                        TestBench.Client unprovenClient = bench.client();
                        unprovenClients.add(unprovenClient);
                        if (i % 2 == 0) {
                            unprovenClient.send("POST /act HTTP/1.1\r\nHost: x\r\n");
                        }
                        Thread.sleep(2);
                    }
                } catch (Exception e) {
                    // The proxy closed the connection during the write, as it may with unproven connections.
                    Thread.currentThread().interrupt();
                }
            });
            connector.start();
            String slowRequest = "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: slow\r\nX-Call-Class: look\r\n"
                    + "X-Budget-Ms: 20000\r\n\r\n";
            TestBench.Client slowClient = bench.client();
            int sentBytes = 0;
            for (int i = 0; i < 40; i++) {
                TestBench.Client client = bench.client().sendLook("r" + i);
                bench.backends.get(0).next().reply(200, "");
                assertEquals(200, client.status());
                int targetSentBytes = i == 39 ? slowRequest.length() : slowRequest.length() * i / 40;
                slowClient.send(slowRequest.substring(sentBytes, targetSentBytes));
                sentBytes = targetSentBytes;
                Thread.sleep(45);
            }
            bench.backends.get(0).next().reply(200, "at last");
            assertEquals("at last", slowClient.answer().text());
            stopRequested.set(true);
            connector.join();
        }
    }

    /**
     * At the limit, the proxy closes the connections that have been silent for longest, or rejects the
     * newest. Without a limit, an incomplete body would stay buffered until its timeout, several seconds
     * later.
     */
    @Test
    void limitsTotalBytesOfBufferedBodies() throws Exception {
        try (TestBench bench = new TestBench(1)) {
            bench.maxSockets = 1024;
            bench.start(folder);
            String incompleteRequest =
                    "POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: %d\r\nX-Call-Class: act\r\n"
                    + "Content-Length: 65000\r\n\r\n" + "x".repeat(60_000);
            List<TestBench.Client> unprovenClients = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                TestBench.Client unprovenClient = bench.client();
                unprovenClients.add(unprovenClient);
                try {
                    unprovenClient.send(String.format(incompleteRequest, i));
                } catch (SocketException e) {
                    // The proxy rejected the connection before the whole request was sent.
                }
            }
            long timeoutAtNs = System.nanoTime() + 1_000_000_000L;
            int openCount = 0;
            for (TestBench.Client unprovenClient : unprovenClients) {
                unprovenClient.socket().setSoTimeout((int) Math.max(1,
                        (timeoutAtNs - System.nanoTime()) / 1_000_000));
                try {
                    unprovenClient.in().read();
                } catch (SocketTimeoutException e) {
                    openCount++;
                } catch (SocketException e) {
                    // The proxy closed the connection without reading all its bytes.
                }
            }
            assertTrue(openCount * 60_000 <= 8 << 20, "connections with a buffered body: " + openCount);
            TestBench.Client client = bench.client().sendLook("r");
            bench.backends.get(0).next().reply(200, "");
            assertEquals(200, client.status());
        }
    }

    @Test
    void usesHalfOfDescriptorsWhileAnotherProcessRuns() {
        Sockets sockets = new Sockets(200, 0);
        List<Integer> idleSockets = new ArrayList<>();
        sockets.setEvictors(() -> {
            if (idleSockets.isEmpty()) {
                return false;
            }
            idleSockets.remove(0);
            sockets.release();
            return true;
        });
        while (idleSockets.size() < 140) {
            assertTrue(sockets.addAccepted());
            idleSockets.add(idleSockets.size());
        }
        sockets.setLimitShared(true);
        assertTrue(idleSockets.size() <= 52, "open sockets exceed half the limit less the reserve: "
                + idleSockets.size());
        sockets.setLimitShared(false);
        int idleCountBefore = idleSockets.size();
        assertTrue(sockets.addAccepted());
        assertEquals(idleCountBefore, idleSockets.size());
    }

    @Test
    void processIsDetectedUntilItCloses() throws Exception {
        ProcessLock first = new ProcessLock(folder);
        assertFalse(first.isOtherProcessAlive());
        ProcessLock second = new ProcessLock(folder);
        assertTrue(first.isOtherProcessAlive());
        assertTrue(second.isOtherProcessAlive());
        second.close();
        assertFalse(first.isOtherProcessAlive());
        first.close();
    }
}
