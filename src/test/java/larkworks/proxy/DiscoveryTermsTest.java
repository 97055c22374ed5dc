package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import larkworks.Program;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that the proxy applies changes at discovery in time: 6 s after a change it counts as delivered to
 * the proxy, even if calls to discovery failed, hung or were reset in between.
 */
@Timeout(180)
class DiscoveryTermsTest {

    /**
     * A change counts as delivered this long after a reachable discovery had it, or after the watch that
     * should have reported it stopped receiving.
     */
    private static final long TOLD_MS = 6_000;
    /** Maximum measurements; the best one counts, as a busy machine only makes a measured time longer. */
    private static final int TRIES = 3;
    /** The number of backends in the largest deployment that is tested. */
    private static final int MANY = 1_100;

    @TempDir
    Path folder;

    /** An action that returns its duration. */
    private interface Measured {
        long ms() throws Exception;
    }

    private static void assertWithin(long boundMs, Measured what) throws Exception {
        List<Long> tookMs = new ArrayList<>();
        do {
            tookMs.add(what.ms());
        } while (tookMs.get(tookMs.size() - 1) >= boundMs && tookMs.size() < TRIES);
        assertTrue(tookMs.get(tookMs.size() - 1) < boundMs, "every try took too long, in ms: " + tookMs);
    }

    private static long sinceMs(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    /** Awaits the call that proves that the list with this index was accepted, and returns it. */
    private static Peer.Message afterTaking(Bench bench, int index) throws Exception {
        Peer.Message next = bench.discovery.next();
        assertTrue(next.line().contains("?index=" + index + "&"), next.line());
        return next;
    }

    /** Makes a call fail: resets or closes its connection, or answers it without a list. */
    private static void fail(Peer.Message call, String how) throws Exception {
        switch (how) {
            case "reset" -> call.reset();
            case "end" -> call.socket().close();
            case "empty" -> call.reply(200, "");
            default -> call.reply(Integer.parseInt(how), "");
        }
    }

    private static String drained(Bench bench, int index) {
        return Bench.list(index, true, bench.entry(0, "terminating"), bench.entry(1, "in_service"));
    }

    private static void assertServedBy(Bench bench, int backend) throws Exception {
        for (int i = 0; i < 5; i++) {
            assertEquals(backend, bench.served());
        }
    }

    /**
     * Discovery fails several calls and recovers. The first call after that gets no answer, the next one
     * gets a list in which a backend drains.
     */
    @ParameterizedTest
    @CsvSource({"pushed,503", "pushed,reset", "on_request,503", "on_request,end"})
    void hearsOfADrainInTimeThoughTheFirstCallAfterAnOutageHangs(String mode, String how) throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.mode = mode;
            bench.drainGraceUs = 5_000_000;
            bench.askEveryUs = 40_000_000;
            bench.start(folder);
            bench.discovery.next().reply(200, bench.all(1));
            int[] index = {1};
            assertWithin(TOLD_MS, () -> {
                for (int i = 0; i < 5; i++) {
                    fail(bench.discovery.next(), how);
                }
                long back = System.nanoTime();
                bench.discovery.next();
                bench.discovery.next().reply(200, drained(bench, ++index[0]));
                Peer.Message watch = afterTaking(bench, index[0]);
                long tookMs = sinceMs(back);
                assertServedBy(bench, 1);
                watch.reply(200, bench.all(++index[0]));
                return tookMs;
            });
        }
    }

    /**
     * Where discovery handles calls one by one, the proxy's first call may be the only one that can report
     * a drain right after the start.
     */
    @Test
    void watchesFromTheListInItsConfigurationWhereListsAreAskedFor() throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.mode = "on_request";
            bench.start(folder, bench.all(7));
            Peer.Message first = afterTaking(bench, 7);
            first.reply(200, Bench.list(8, false, bench.entry(0, "terminating")));
            afterTaking(bench, 8);
            assertServedBy(bench, 1);
        }
    }

    /** Discovery may no longer know the index of the list in the configuration, and then answers 404. */
    @Test
    void asksForTheWholeListWhereTheVersionInItsConfigurationIsRefused() throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.mode = "on_request";
            bench.start(folder, bench.all(7));
            afterTaking(bench, 7).reply(404, "");
            Peer.Message whole = bench.discovery.next();
            assertEquals("GET /registry/instances HTTP/1.1", whole.line());
            whole.reply(200, drained(bench, 2));
            afterTaking(bench, 2);
            assertServedBy(bench, 1);
        }
    }

    /**
     * Discovery handles calls one by one, so that each answer takes long. The proxy must not abandon every
     * call before its answer.
     */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void waitsForAListFromADiscoveryThatIsSlow(String mode) throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.mode = mode;
            bench.start(folder);
            bench.discovery.next().awaitEnd();
            Peer.Message call = bench.discovery.next();
            // The first call timed out after 2 s; the second must still be open after 2.6 s.
            Thread.sleep(2_600);
            call.reply(200, drained(bench, 2));
            afterTaking(bench, 2);
            assertServedBy(bench, 1);
        }
    }

    /**
     * Some watches are answered, a later one hangs, and the call that reopens it is refused. The time limit
     * is the same however long the proxy has been running.
     */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void hearsInTimeOfWhatALateSilentWatchMissedThoughItsReopeningFails(String mode) throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.mode = mode;
            bench.start(folder);
            bench.discovery.next().reply(200, bench.all(1));
            int[] index = {1};
            assertWithin(TOLD_MS, () -> {
                for (int i = 0; i < 4; i++) {
                    Peer.Message watch = afterTaking(bench, index[0]);
                    watch.reply(200, Bench.list(++index[0], false));
                }
                Peer.Message silent = afterTaking(bench, index[0]);
                long fellSilent = System.nanoTime();
                silent.awaitEnd();
                bench.discovery.next().reply(503, "");
                bench.discovery.next().reply(200, drained(bench, ++index[0]));
                Peer.Message watch = afterTaking(bench, index[0]);
                long tookMs = sinceMs(fellSilent);
                assertServedBy(bench, 1);
                watch.reply(200, bench.all(++index[0]));
                return tookMs;
            });
        }
    }

    /**
     * A watch ends instead of reporting that a backend drains, and the full list that follows no longer
     * contains this backend.
     */
    @ParameterizedTest
    @CsvSource({"pushed,reset", "pushed,end", "pushed,empty", "on_request,reset", "on_request,end",
        "on_request,empty"})
    void sendsNothingMoreToWhatAWholeListLeavesOutAfterAWatchEnded(String mode, String how)
            throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.mode = mode;
            bench.probes = true;
            bench.start(folder);
            bench.discovery.next().reply(200, bench.all(1));
            Peer.Message watch = afterTaking(bench, 1);
            Bench.Client client = bench.client().look("in flight");
            int left = -1;
            Peer.Message inFlight = null;
            while (inFlight == null) {
                left = bench.awaitBackend();
                Peer.Message came = bench.backends.get(left).next();
                if (came.line().startsWith("GET /stats")) {
                    came.reply(200, "inflight=0");
                } else {
                    inFlight = came;
                }
            }
            fail(watch, how);
            bench.discovery.next().reply(200, Bench.list(2, true, bench.entry(1 - left, "in_service")));
            afterTaking(bench, 2);
            bench.settle();
            Peer still = bench.backends.get(left);
            while (still.waiting() > 0) {
                assertTrue(still.next().line().startsWith("GET /stats"),
                        "only probes from before the new list may be pending");
            }
            int connections = still.connections();
            for (int i = 0; i < 10; i++) {
                serveByOther(bench, 1 - left, "r" + i);
            }
            assertEquals(0, still.waiting(), "the removed backend must receive neither requests nor probes");
            assertEquals(connections, still.connections());
            inFlight.reply(200, "finished");
            assertEquals("finished", client.answer().text());
        }
    }

    private static void serveByOther(Bench bench, int backend, String id) throws Exception {
        Bench.Client client = bench.client().look(id);
        Peer.Message came = bench.backends.get(backend).next();
        while (came.line().startsWith("GET /stats")) {
            came.reply(200, "inflight=0");
            came = bench.backends.get(backend).next();
        }
        came.reply(200, "");
        assertEquals(200, client.status());
    }

    /**
     * An attempt that is still connecting to a removed backend moves to another one, long before the connect
     * timeout or the drain grace ends.
     */
    @ParameterizedTest
    @ValueSource(strings = {"left out", "terminated"})
    void endsAConnectingAttemptToABackendThatIsGone(String how) throws Exception {
        try (Bench bench = new Bench(1); Hanging gone = new Hanging()) {
            bench.connectTimeoutUs = 25_000_000;
            bench.drainGraceUs = 60_000_000;
            String up = Bench.list(1, true, Bench.entry("b", gone.address(), "in_service"));
            bench.start(folder, up);
            bench.discovery.next().reply(200, up);
            Peer.Message watch = afterTaking(bench, 1);
            Bench.Client client = bench.client().look("r");
            bench.settle();
            watch.reply(200, how.equals("left out") ? Bench.list(2, true, bench.entry(0, "in_service"))
                    : Bench.list(2, false, Bench.entry("b", gone.address(), "terminated"),
                            bench.entry(0, "in_service")));
            bench.backends.get(0).next().reply(200, "elsewhere");
            assertEquals("elsewhere", client.answer().text());
        }
    }

    /** A watch is reset before a backend begins to drain, so only the reopened watch can report the drain. */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void hearsOfADrainSoonAfterItsWatchWasReset(String mode) throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.mode = mode;
            bench.start(folder);
            bench.discovery.next().reply(200, bench.all(1));
            afterTaking(bench, 1).reset();
            Peer.Message again = afterTaking(bench, 1);
            again.reply(200, Bench.list(2, false, bench.entry(0, "terminating")));
            afterTaking(bench, 2);
            assertServedBy(bench, 1);
        }
    }

    /**
     * A new configuration names another discovery service. It never answers the first call there, and a
     * backend drains right after its next answer.
     */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void hearsOfDrainsRightAfterAReload(String mode) throws Exception {
        int port = Bench.freePort();
        try (Bench bench = new Bench(2); Peer other = new Peer()) {
            bench.mode = mode;
            bench.at(port);
            String config = bench.config(port, bench.all(1));
            Path file = Files.writeString(folder.resolve("config.json"), config);
            try (Program proxy = new Program("", Map.of("GW_CONFIG", file.toString()), "proxy")) {
                bench.discovery.next().reply(200, bench.all(1));
                afterTaking(bench, 1);
                int[] index = {1};
                int[] held = {1};
                String[] at = {bench.discovery.address(), other.address()};
                assertWithin(4_000, () -> {
                    String to = at[index[0] % 2];
                    Peer service = to.equals(other.address()) ? other : bench.discovery;
                    Files.writeString(file, config.replace(bench.discovery.address(), to));
                    proxy.signal("HUP");
                    Peer.Message swallowed = service.next();
                    long reloaded = System.nanoTime();
                    assertAsksFrom(held[0], swallowed);
                    Peer.Message again = service.next();
                    assertAsksFrom(held[0], again);
                    again.reply(200, bench.all(held[0] + 1));
                    held[0] += 2;
                    service.next().reply(200,
                            Bench.list(held[0], false, bench.entry(0, "terminating")));
                    service.next();
                    long tookMs = sinceMs(reloaded);
                    Program.await(20, proxy.lines::toString, () -> listens(bench));
                    assertServedBy(bench, 1);
                    index[0]++;
                    return tookMs;
                });
            }
        }
    }

    private static void assertAsksFrom(int version, Peer.Message call) {
        assertTrue(call.line().contains("?index=" + version + "&"), call.line());
    }

    /**
     * The discovery service that a reload names has lower indexes than the proxy's list, or answers 404 to
     * its index.
     */
    @ParameterizedTest
    @CsvSource({"pushed,lower", "pushed,404", "on_request,lower", "on_request,404"})
    void asksForTheWholeListWhereTheVersionHeldIsNoneOfTheNewAddress(String mode, String how)
            throws Exception {
        int port = Bench.freePort();
        try (Bench bench = new Bench(2); Peer other = new Peer()) {
            bench.mode = mode;
            bench.at(port);
            String config = bench.config(port, bench.all(7));
            Path file = Files.writeString(folder.resolve("config.json"), config);
            try (Program proxy = new Program("", Map.of("GW_CONFIG", file.toString()), "proxy")) {
                bench.discovery.next().reply(200, Bench.list(7, false));
                afterTaking(bench, 7);
                Files.writeString(file, config.replace(bench.discovery.address(), other.address()));
                proxy.signal("HUP");
                Peer.Message first = other.next();
                assertAsksFrom(7, first);
                if (how.equals("lower")) {
                    first.reply(200, Bench.list(3, false));
                } else {
                    first.reply(Integer.parseInt(how), "");
                }
                Peer.Message whole = other.next();
                assertEquals("GET /registry/instances HTTP/1.1", whole.line());
                whole.reply(200, drained(bench, 3));
                assertAsksFrom(3, other.next());
                Program.await(20, proxy.lines::toString, () -> listens(bench));
                assertServedBy(bench, 1);
            }
        }
    }

    private static boolean listens(Bench bench) {
        try {
            return bench.client().send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200;
        } catch (java.io.IOException e) {
            return false;
        }
    }

    /** The lists span many lines and arrive in parts whose boundaries may lie within a JSON token. */
    @Test
    void takesAListThatIsIndented() throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.start(folder);
            sendIndented(bench.discovery.next(), drained(bench, 2));
            sendIndented(afterTaking(bench, 2), Bench.list(3, false, bench.entry(1, "terminating"),
                    bench.entry(0, "in_service")));
            afterTaking(bench, 3);
            assertServedBy(bench, 0);
        }
    }

    private static void sendIndented(Peer.Message call, String list) throws Exception {
        String text = list.replace("{", "{\r\n\t  ").replace("[", "[\n").replace(",", " ,\n    ")
                .replace("\":", "\" :\t").replace("}", "\n  }").replace("]", "\n]\n");
        call.raw("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n");
        int pieces = 20;
        for (int i = 0; i < pieces; i++) {
            call.raw(text.substring(text.length() * i / pieces, text.length() * (i + 1) / pieces));
        }
    }

    /** Sends many backends as a full list, and then as changes that drain nearly all of them. */
    @Test
    void takesAListOfManyBackends() throws Exception {
        try (Bench bench = new Bench(2)) {
            bench.start(folder);
            sendIndented(bench.discovery.next(), many(bench, 2, true, "in_service"));
            sendIndented(afterTaking(bench, 2), many(bench, 3, false, "terminating"));
            afterTaking(bench, 3);
            assertServedBy(bench, 1);
        }
    }

    /** A list of the first backend under many names with the given status, and of the second in service. */
    private static String many(Bench bench, int index, boolean whole, String status) {
        String[] entries = new String[MANY + 1];
        for (int i = 0; i < MANY; i++) {
            entries[i] = Bench.entry("many-" + i, bench.backends.get(0).address(), status);
        }
        entries[MANY] = bench.entry(1, "in_service");
        return Bench.list(index, whole, entries);
    }
}
