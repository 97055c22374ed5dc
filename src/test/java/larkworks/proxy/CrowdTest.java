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
class CrowdTest {

    @TempDir
    Path folder;

    @Test
    void servesRequestsOnNewConnectionsAmongThousandsThatAskNothing() throws Exception {
        try (Bench bench = new Bench(1)) {
            bench.sockets = 128;
            bench.start(folder);
            AtomicBoolean over = new AtomicBoolean();
            List<Bench.Client> crowd = new ArrayList<>();
            Thread crowding = new Thread(() -> {
                try {
                    for (int i = 0; i < 2_000 && !over.get(); i++) {
                        Bench.Client stranger = bench.client();
                        crowd.add(stranger);
                        if (i % 2 == 0) {
                            stranger.send("POST /act HTTP/1.1\r\nHost: x\r\n");
                        }
                        Thread.sleep(2);
                    }
                } catch (Exception e) {
                    // The proxy closed the connection during the write, as it may with unproven connections.
                    Thread.currentThread().interrupt();
                }
            });
            crowding.start();
            String slow = "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: slow\r\nX-Call-Class: look\r\n"
                    + "X-Budget-Ms: 20000\r\n\r\n";
            Bench.Client patient = bench.client();
            int at = 0;
            for (int i = 0; i < 40; i++) {
                Bench.Client client = bench.client().look("r" + i);
                bench.backends.get(0).next().reply(200, "");
                assertEquals(200, client.status());
                int to = i == 39 ? slow.length() : slow.length() * i / 40;
                patient.send(slow.substring(at, to));
                at = to;
                Thread.sleep(45);
            }
            bench.backends.get(0).next().reply(200, "at last");
            assertEquals("at last", patient.answer().text());
            over.set(true);
            crowding.join();
        }
    }

    /**
     * The proxy closes the connections that are silent for longest, or rejects the newest. Otherwise an
     * incomplete body stays buffered until its timeout, which is seconds.
     */
    @Test
    void holdsNoMoreOfBodiesThanTheirCommonBound() throws Exception {
        try (Bench bench = new Bench(1)) {
            bench.sockets = 1024;
            bench.start(folder);
            String half = "POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: %d\r\nX-Call-Class: act\r\n"
                    + "Content-Length: 65000\r\n\r\n" + "x".repeat(60_000);
            List<Bench.Client> crowd = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                Bench.Client stranger = bench.client();
                crowd.add(stranger);
                try {
                    stranger.send(String.format(half, i));
                } catch (SocketException e) {
                    // The proxy rejected the connection before the whole request was sent.
                }
            }
            long until = System.nanoTime() + 1_000_000_000L;
            int left = 0;
            for (Bench.Client stranger : crowd) {
                stranger.socket().setSoTimeout((int) Math.max(1, (until - System.nanoTime()) / 1_000_000));
                try {
                    stranger.in().read();
                } catch (SocketTimeoutException e) {
                    left++;
                } catch (SocketException e) {
                    // The proxy closed the connection without reading all its bytes.
                }
            }
            assertTrue(left * 60_000 <= 8 << 20, "connections with a buffered body: " + left);
            Bench.Client client = bench.client().look("r");
            bench.backends.get(0).next().reply(200, "");
            assertEquals(200, client.status());
        }
    }

    @Test
    void makesDoWithHalfOfTheDescriptorsWhileAnotherProcessLives() {
        Sockets sockets = new Sockets(200, 0);
        List<Integer> idle = new ArrayList<>();
        sockets.evictors(() -> {
            if (idle.isEmpty()) {
                return false;
            }
            idle.remove(0);
            sockets.release();
            return true;
        });
        while (idle.size() < 140) {
            assertTrue(sockets.accepted());
            idle.add(idle.size());
        }
        sockets.share(true);
        assertTrue(idle.size() <= 52, "open sockets exceed half the limit less the reserve: " + idle.size());
        sockets.share(false);
        int before = idle.size();
        assertTrue(sockets.accepted());
        assertEquals(before, idle.size());
    }

    @Test
    void aProcessIsSeenAsLongAsItLives() throws Exception {
        Presence one = new Presence(folder);
        assertFalse(one.accompanied());
        Presence two = new Presence(folder);
        assertTrue(one.accompanied());
        assertTrue(two.accompanied());
        two.close();
        assertFalse(one.accompanied());
        one.close();
    }
}
