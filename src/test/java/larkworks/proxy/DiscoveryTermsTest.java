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

/** What discovery has counts as told some time later, whatever became of the calls: it has to be heard. */
@Timeout(180)
class DiscoveryTermsTest {

    /** A change counts as told so long after discovery had it in reach, or after a watch fell silent. */
    private static final long TOLD_MS = 6_000;
    /** A busy machine only adds to the times that are measured, so the best of so many tries counts. */
    private static final int TRIES = 3;
    /** The largest number of backends that a deployment is tried with. */
    private static final int MANY = 1_100;

    @TempDir
    Path folder;

    /** Something that takes time. */
    private interface Measured {
        long ms() throws Exception;
    }

    private static void assertWithin(long boundMs, Measured what) throws Exception {
        List<Long> tookMs = new ArrayList<>();
        do {
            tookMs.add(what.ms());
        } while (tookMs.get(tookMs.size() - 1) >= boundMs && tookMs.size() < TRIES);
        assertTrue(tookMs.get(tookMs.size() - 1) < boundMs, "took " + tookMs + " ms");
    }

    private static long sinceMs(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    /** The call that follows once a list was taken. */
    private static StubServer.Message afterTaking(TestBench bench, int index) throws Exception {
        StubServer.Message next = bench.discovery.next();
        assertTrue(next.line().contains("?index=" + index + "&"), next.line());
        return next;
    }

    /** Ends a call without a list. */
    private static void fail(StubServer.Message call, String how) throws Exception {
        switch (how) {
            case "reset" -> call.reset();
            case "end" -> call.socket().close();
            case "empty" -> call.reply(200, "");
            default -> call.reply(Integer.parseInt(how), "");
        }
    }

    private static String drained(TestBench bench, int index) {
        return TestBench.listJson(index, true, bench.entry(0, "terminating"), bench.entry(1, "in_service"));
    }

    private static void assertServedBy(TestBench bench, int backend) throws Exception {
        for (int i = 0; i < 5; i++) {
            assertEquals(backend, bench.serveOneRequest());
        }
    }

    /** Discovery fails for some calls and is back; the first call then gets no answer, the next one does. */
    @ParameterizedTest
    @CsvSource({"pushed,503", "pushed,reset", "on_request,503", "on_request,end"})
    void hearsOfADrainInTimeThoughTheFirstCallAfterAnOutageHangs(String mode, String how) throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.discoveryMode = mode;
            bench.drainGraceUs = 5_000_000;
            bench.askEveryUs = 40_000_000;
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(1));
            int[] index = {1};
            assertWithin(TOLD_MS, () -> {
                for (int i = 0; i < 5; i++) {
                    fail(bench.discovery.next(), how);
                }
                long back = System.nanoTime();
                bench.discovery.next();
                bench.discovery.next().reply(200, drained(bench, ++index[0]));
                StubServer.Message watch = afterTaking(bench, index[0]);
                long tookMs = sinceMs(back);
                assertServedBy(bench, 1);
                watch.reply(200, bench.fullList(++index[0]));
                return tookMs;
            });
        }
    }

    /** Where calls wait in turn, a drain right after the start is told on the only call there is yet. */
    @Test
    void watchesFromTheListInItsConfigurationWhereListsAreAskedFor() throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.discoveryMode = "on_request";
            bench.start(folder, bench.fullList(7));
            StubServer.Message first = afterTaking(bench, 7);
            first.reply(200, TestBench.listJson(8, false, bench.entry(0, "terminating")));
            afterTaking(bench, 8);
            assertServedBy(bench, 1);
        }
    }

    /** The version in the configuration may be one that discovery doesn't know any more. */
    @Test
    void asksForTheWholeListWhereTheVersionInItsConfigurationIsRefused() throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.discoveryMode = "on_request";
            bench.start(folder, bench.fullList(7));
            afterTaking(bench, 7).reply(404, "");
            StubServer.Message whole = bench.discovery.next();
            assertEquals("GET /registry/instances HTTP/1.1", whole.line());
            whole.reply(200, drained(bench, 2));
            afterTaking(bench, 2);
            assertServedBy(bench, 1);
        }
    }

    /** Calls wait in turn at discovery, so that each answer takes long; one must be waited for. */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void waitsForAListFromADiscoveryThatIsSlow(String mode) throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.discoveryMode = mode;
            bench.start(folder);
            bench.discovery.next().awaitConnectionEnd();
            StubServer.Message call = bench.discovery.next();
            // That the answer is so late is what the test is about: by 2 s the first call was given up.
            Thread.sleep(2_600);
            call.reply(200, drained(bench, 2));
            afterTaking(bench, 2);
            assertServedBy(bench, 1);
        }
    }

    /**
     * Some watches are answered, a later one falls silent, and the call that opens it anew is refused. How
     * long the program runs by then makes no difference to it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void hearsInTimeOfWhatALateSilentWatchMissedThoughItsReopeningFails(String mode) throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.discoveryMode = mode;
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(1));
            int[] index = {1};
            assertWithin(TOLD_MS, () -> {
                for (int i = 0; i < 4; i++) {
                    StubServer.Message watch = afterTaking(bench, index[0]);
                    watch.reply(200, TestBench.listJson(++index[0], false));
                }
                StubServer.Message silent = afterTaking(bench, index[0]);
                long fellSilent = System.nanoTime();
                silent.awaitConnectionEnd();
                bench.discovery.next().reply(503, "");
                bench.discovery.next().reply(200, drained(bench, ++index[0]));
                StubServer.Message watch = afterTaking(bench, index[0]);
                long tookMs = sinceMs(fellSilent);
                assertServedBy(bench, 1);
                watch.reply(200, bench.fullList(++index[0]));
                return tookMs;
            });
        }
    }

    /** A watch ends where it should tell of drains; the whole list that follows leaves them out. */
    @ParameterizedTest
    @CsvSource({"pushed,reset", "pushed,end", "pushed,empty", "on_request,reset", "on_request,end",
        "on_request,empty"})
    void sendsNothingMoreToWhatAWholeListLeavesOutAfterAWatchEnded(String mode, String how)
            throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.discoveryMode = mode;
            bench.probesEnabled = true;
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(1));
            StubServer.Message watch = afterTaking(bench, 1);
            TestBench.Client client = bench.client().sendLook("in flight");
            int left = -1;
            StubServer.Message inFlight = null;
            while (inFlight == null) {
                left = bench.awaitBackendWithRequest();
                StubServer.Message came = bench.backends.get(left).next();
                if (came.line().startsWith("GET /stats")) {
                    came.reply(200, "inflight=0");
                } else {
                    inFlight = came;
                }
            }
            fail(watch, how);
            bench.discovery.next().reply(200,
                    TestBench.listJson(2, true, bench.entry(1 - left, "in_service")));
            afterTaking(bench, 2);
            bench.awaitInputProcessed();
            StubServer still = bench.backends.get(left);
            while (still.pendingMessages() > 0) {
                assertTrue(still.next().line().startsWith("GET /stats"), "a probe from before");
            }
            int connections = still.connections();
            for (int i = 0; i < 10; i++) {
                serveByOther(bench, 1 - left, "r" + i);
            }
            assertEquals(0, still.pendingMessages(), "neither requests nor probes");
            assertEquals(connections, still.connections());
            inFlight.reply(200, "finished");
            assertEquals("finished", client.answer().text());
        }
    }

    private static void serveByOther(TestBench bench, int backend, String id) throws Exception {
        TestBench.Client client = bench.client().sendLook(id);
        StubServer.Message came = bench.backends.get(backend).next();
        while (came.line().startsWith("GET /stats")) {
            came.reply(200, "inflight=0");
            came = bench.backends.get(backend).next();
        }
        came.reply(200, "");
        assertEquals(200, client.status());
    }

    /** What is still connecting there goes elsewhere, long before the connect or the grace is over. */
    @ParameterizedTest
    @ValueSource(strings = {"left out", "terminated"})
    void endsAConnectingAttemptToABackendThatIsGone(String how) throws Exception {
        try (TestBench bench = new TestBench(1); FullBacklogServer gone = new FullBacklogServer()) {
            bench.connectTimeoutUs = 25_000_000;
            bench.drainGraceUs = 60_000_000;
            String up = TestBench.listJson(1, true, TestBench.entry("b", gone.address(), "in_service"));
            bench.start(folder, up);
            bench.discovery.next().reply(200, up);
            StubServer.Message watch = afterTaking(bench, 1);
            TestBench.Client client = bench.client().sendLook("r");
            bench.awaitInputProcessed();
            watch.reply(200, how.equals("left out")
                    ? TestBench.listJson(2, true, bench.entry(0, "in_service"))
                    : TestBench.listJson(2, false, TestBench.entry("b", gone.address(), "terminated"),
                            bench.entry(0, "in_service")));
            bench.backends.get(0).next().reply(200, "elsewhere");
            assertEquals("elsewhere", client.answer().text());
        }
    }

    /** All watches are reset some time before backends begin to drain. */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void hearsOfADrainSoonAfterItsWatchWasReset(String mode) throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.discoveryMode = mode;
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(1));
            afterTaking(bench, 1).reset();
            StubServer.Message again = afterTaking(bench, 1);
            again.reply(200, TestBench.listJson(2, false, bench.entry(0, "terminating")));
            afterTaking(bench, 2);
            assertServedBy(bench, 1);
        }
    }

    /** A new configuration moves discovery, whose first answer never comes; drains follow at once. */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void hearsOfDrainsRightAfterAReload(String mode) throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(2); StubServer other = new StubServer()) {
            bench.discoveryMode = mode;
            bench.useProxyAt(port);
            String config = bench.configJson(port, bench.fullList(1));
            Path file = Files.writeString(folder.resolve("config.json"), config);
            try (Program proxy = new Program("", Map.of("GW_CONFIG", file.toString()), "proxy")) {
                bench.discovery.next().reply(200, bench.fullList(1));
                afterTaking(bench, 1);
                int[] index = {1};
                int[] held = {1};
                String[] at = {bench.discovery.address(), other.address()};
                assertWithin(4_000, () -> {
                    String to = at[index[0] % 2];
                    StubServer service = to.equals(other.address()) ? other : bench.discovery;
                    Files.writeString(file, config.replace(bench.discovery.address(), to));
                    proxy.signal("HUP");
                    StubServer.Message swallowed = service.next();
                    long reloaded = System.nanoTime();
                    assertAsksFrom(held[0], swallowed);
                    StubServer.Message again = service.next();
                    assertAsksFrom(held[0], again);
                    again.reply(200, bench.fullList(held[0] + 1));
                    held[0] += 2;
                    service.next().reply(200,
                            TestBench.listJson(held[0], false, bench.entry(0, "terminating")));
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

    private static void assertAsksFrom(int version, StubServer.Message call) {
        assertTrue(call.line().contains("?index=" + version + "&"), call.line());
    }

    /** The service at the address that a reload names counts its versions anew, or refuses the one held. */
    @ParameterizedTest
    @CsvSource({"pushed,lower", "pushed,404", "on_request,lower", "on_request,404"})
    void asksForTheWholeListWhereTheVersionHeldIsNoneOfTheNewAddress(String mode, String how)
            throws Exception {
        int port = TestBench.freePort();
        try (TestBench bench = new TestBench(2); StubServer other = new StubServer()) {
            bench.discoveryMode = mode;
            bench.useProxyAt(port);
            String config = bench.configJson(port, bench.fullList(7));
            Path file = Files.writeString(folder.resolve("config.json"), config);
            try (Program proxy = new Program("", Map.of("GW_CONFIG", file.toString()), "proxy")) {
                bench.discovery.next().reply(200, TestBench.listJson(7, false));
                afterTaking(bench, 7);
                Files.writeString(file, config.replace(bench.discovery.address(), other.address()));
                proxy.signal("HUP");
                StubServer.Message first = other.next();
                assertAsksFrom(7, first);
                if (how.equals("lower")) {
                    first.reply(200, TestBench.listJson(3, false));
                } else {
                    first.reply(Integer.parseInt(how), "");
                }
                StubServer.Message whole = other.next();
                assertEquals("GET /registry/instances HTTP/1.1", whole.line());
                whole.reply(200, drained(bench, 3));
                assertAsksFrom(3, other.next());
                Program.await(20, proxy.lines::toString, () -> listens(bench));
                assertServedBy(bench, 1);
            }
        }
    }

    private static boolean listens(TestBench bench) {
        try {
            return bench.client().send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200;
        } catch (java.io.IOException e) {
            return false;
        }
    }

    /** Written over many lines, in pieces that break it anywhere. */
    @Test
    void takesAListThatIsIndented() throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.start(folder);
            sendIndented(bench.discovery.next(), drained(bench, 2));
            sendIndented(afterTaking(bench, 2), TestBench.listJson(3, false, bench.entry(1, "terminating"),
                    bench.entry(0, "in_service")));
            afterTaking(bench, 3);
            assertServedBy(bench, 0);
        }
    }

    private static void sendIndented(StubServer.Message call, String list) throws Exception {
        String text = list.replace("{", "{\r\n\t  ").replace("[", "[\n").replace(",", " ,\n    ")
                .replace("\":", "\" :\t").replace("}", "\n  }").replace("]", "\n]\n");
        call.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n");
        int pieces = 20;
        for (int i = 0; i < pieces; i++) {
            call.sendRaw(text.substring(text.length() * i / pieces, text.length() * (i + 1) / pieces));
        }
    }

    /** As a whole list, and as changes that take nearly all of them away again. */
    @Test
    void takesAListOfManyBackends() throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.start(folder);
            sendIndented(bench.discovery.next(), many(bench, 2, true, "in_service"));
            sendIndented(afterTaking(bench, 2), many(bench, 3, false, "terminating"));
            afterTaking(bench, 3);
            assertServedBy(bench, 1);
        }
    }

    /** The second backend, and under many names the first, of the given status. */
    private static String many(TestBench bench, int index, boolean whole, String status) {
        String[] entries = new String[MANY + 1];
        for (int i = 0; i < MANY; i++) {
            entries[i] = TestBench.entry("many-" + i, bench.backends.get(0).address(), status);
        }
        entries[MANY] = bench.entry(1, "in_service");
        return TestBench.listJson(index, whole, entries);
    }
}
