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

/** Descriptors where they run short. */
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
                    // Closed under its hands, as strangers may be.
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

    /** The longest silent go, or the newest are turned away; a body that stops may else stay for seconds. */
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
                    // Turned away before it had sent all.
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
                    // Closed with its bytes unread.
                }
            }
            assertTrue(left * 60_000 <= 8 << 20, "bodies held: " + left);
            Bench.Client client = bench.client().look("r");
            bench.backends.get(0).next().reply(200, "");
            assertEquals(200, client.status());
        }
    }

    @Test
    void makesDoWithHalfOfTheDescriptorsWhileAnotherProcessLives() {
        Sockets sockets = new Sockets(200, 0);
        List<Integer> idle = new ArrayList<>();
        sockets.setEvictors(() -> {
            if (idle.isEmpty()) {
                return false;
            }
            idle.remove(0);
            sockets.release();
            return true;
        });
        while (idle.size() < 140) {
            assertTrue(sockets.addAccepted());
            idle.add(idle.size());
        }
        sockets.setLimitShared(true);
        assertTrue(idle.size() <= 52, "half of the limit less the reserve: " + idle.size());
        sockets.setLimitShared(false);
        int before = idle.size();
        assertTrue(sockets.addAccepted());
        assertEquals(before, idle.size());
    }

    @Test
    void aProcessIsSeenAsLongAsItLives() throws Exception {
        ProcessLock one = new ProcessLock(folder);
        assertFalse(one.isOtherProcessAlive());
        ProcessLock two = new ProcessLock(folder);
        assertTrue(one.isOtherProcessAlive());
        assertTrue(two.isOtherProcessAlive());
        two.close();
        assertFalse(one.isOtherProcessAlive());
        one.close();
    }
}
