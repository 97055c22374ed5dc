package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The table of requests that a backend may have begun to run. */
@Timeout(60)
class StartedRequestsTest {

    private static final long START_NS = TimeUnit.DAYS.toNanos(3);
    private static final long MAX_ROUNDING_NS = TimeUnit.MILLISECONDS.toNanos(32);

    @TempDir
    Path folder;

    @Test
    void knowsAnIdForLongerThanAnyDeadline() {
        StartedRequests started = StartedRequests.inMemory();
        assertEquals(StartedRequests.NOT_STARTED, started.ageNs("a", START_NS));
        assertTrue(started.add("a", START_NS));
        assertFalse(started.add("a", START_NS));
        long laterNs = START_NS + TimeUnit.SECONDS.toNanos(5);
        assertFalse(started.add("a", laterNs));
        long ageNs = started.ageNs("a", laterNs);
        assertTrue(ageNs >= laterNs - START_NS && ageNs <= laterNs - START_NS + MAX_ROUNDING_NS, "" + ageNs);
        assertEquals(StartedRequests.NOT_STARTED, started.ageNs("b", laterNs));
    }

    @Test
    void forgetsAnIdThatWasNotRun() {
        StartedRequests started = StartedRequests.inMemory();
        started.add("a", START_NS);
        started.remove("b", START_NS);
        assertFalse(started.add("a", START_NS));
        started.remove("a", START_NS);
        assertTrue(started.add("a", START_NS));
    }

    @Test
    void forgetsAnIdAfterSomeTime() {
        StartedRequests started = StartedRequests.inMemory();
        started.add("a", START_NS);
        long muchLaterNs = START_NS + TimeUnit.MINUTES.toNanos(1);
        assertEquals(StartedRequests.NOT_STARTED, started.ageNs("a", muchLaterNs));
        assertTrue(started.add("a", muchLaterNs));
        assertFalse(started.add("a", muchLaterNs));
    }

    @Test
    void keepsTheNewestOfManyIds() {
        StartedRequests started = StartedRequests.inMemory();
        long microsecondNs = TimeUnit.MICROSECONDS.toNanos(1);
        for (int i = 0; i < 1_000_000; i++) {
            assertTrue(started.add("id-" + i, START_NS + i * microsecondNs),
                    "an id was mistaken for another");
        }
        long endNs = START_NS + 1_000_000 * microsecondNs;
        assertTrue(IntStream.range(998_000, 1_000_000)
                .allMatch(i -> started.ageNs("id-" + i, endNs) != StartedRequests.NOT_STARTED));
    }

    @Test
    void isSharedByAllWithTheSameFolder() throws Exception {
        StartedRequests own = StartedRequests.inMemory();
        own.add("early", START_NS);
        StartedRequests first = StartedRequests.shared(folder);
        own.copyTo(first);
        first.add("a", START_NS);
        StartedRequests second = StartedRequests.shared(folder);
        assertFalse(second.add("early", START_NS));
        assertFalse(second.add("a", START_NS));
        assertTrue(second.add("b", START_NS));
        assertFalse(first.add("b", START_NS));
    }

    @RepeatedTest(25)
    void letsOnlyOneOfTwoAddAnId() throws Exception {
        StartedRequests first = StartedRequests.shared(folder);
        StartedRequests second = StartedRequests.shared(folder);
        // So few that no bucket overflows, in which case an id would be forgotten.
        int ids = 4_000;
        AtomicInteger added = new AtomicInteger();
        Thread other = new Thread(() -> addAll(second, ids, added));
        other.start();
        addAll(first, ids, added);
        other.join();
        assertEquals(ids, added.get());
    }

    private static void addAll(StartedRequests started, int ids, AtomicInteger added) {
        for (int i = 0; i < ids; i++) {
            if (started.add("id-" + i, START_NS)) {
                added.incrementAndGet();
            }
        }
    }
}
