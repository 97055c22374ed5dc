package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import larkworks.Balancer.ListKind;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;
import org.junit.jupiter.api.Test;

/** Tests the start times of servers where the list's clock and this process's differ by an hour. */
class StartTimesTest {

    private static final long SECOND_US = 1_000_000;
    private static final long HOUR_US = 3_600 * SECOND_US;
    private static final long NOW_US = 1_000_000 * SECOND_US;
    private static final long NO_PREVIOUS_LIST = Long.MIN_VALUE;

    private final StartTimes starts = new StartTimes(20 * SECOND_US);
    private final List<Server> corrected = new ArrayList<>();

    private static Server server(String id, long startedAtUs) {
        return new Server(id, startedAtUs, 0, 0, 1, ServerStatus.UP);
    }

    private long localStartUs(long nowUs, ListKind kind, long previousListUs, Server server) {
        return starts.toLocalClock(nowUs, kind, List.of(server), previousListUs, corrected).get(0)
                .startedAtUs();
    }

    @Test
    void aStartInTheFutureBecomesNowAndStaysThere() {
        assertEquals(NOW_US,
                localStartUs(NOW_US, ListKind.WHOLE, NO_PREVIOUS_LIST, server("a", NOW_US + HOUR_US)));
        assertEquals(NOW_US, localStartUs(NOW_US + 5 * SECOND_US, ListKind.CHANGES, NOW_US,
                server("a", NOW_US + HOUR_US)));
        assertEquals(NOW_US + 5 * SECOND_US, localStartUs(NOW_US + 6 * SECOND_US, ListKind.CHANGES, NOW_US,
                server("b", NOW_US + HOUR_US + 5 * SECOND_US)),
                "corrected by the clock offset that the first start revealed");
    }

    @Test
    void aStartSeenWhileWatchingIsNoOlderThanThePreviousList() {
        localStartUs(NOW_US, ListKind.WHOLE, NO_PREVIOUS_LIST, server("a", 0));
        assertEquals(NOW_US - SECOND_US, localStartUs(NOW_US + SECOND_US, ListKind.CHANGES,
                NOW_US - SECOND_US, server("b", NOW_US - HOUR_US)));
    }

    @Test
    void oneCorrectedStartRevealsTheClockOffsetForAllColdServers() {
        assertEquals(NOW_US - HOUR_US,
                localStartUs(NOW_US, ListKind.WHOLE, NO_PREVIOUS_LIST, server("a", NOW_US - HOUR_US)));
        localStartUs(NOW_US + 2 * SECOND_US, ListKind.CHANGES, NOW_US,
                server("b", NOW_US + SECOND_US - HOUR_US));
        assertEquals(List.of(server("a", NOW_US - SECOND_US)), corrected);
    }

    @Test
    void aLateListRevealsNoClockOffset() {
        localStartUs(NOW_US, ListKind.WHOLE, NO_PREVIOUS_LIST, server("a", NOW_US - 5 * SECOND_US));
        assertEquals(NOW_US, localStartUs(NOW_US + 9 * SECOND_US, ListKind.CHANGES, NOW_US,
                server("b", NOW_US - 4 * SECOND_US)));
        assertEquals(List.of(), corrected);
        assertEquals(NOW_US + 8 * SECOND_US, localStartUs(NOW_US + 9 * SECOND_US, ListKind.CHANGES, NOW_US,
                server("c", NOW_US + 8 * SECOND_US)));
    }

    @Test
    void aServerMissingFromTheRememberedListHasStartedSince() {
        localStartUs(NOW_US, ListKind.REMEMBERED, NO_PREVIOUS_LIST, server("a", NOW_US - HOUR_US));
        assertEquals(NOW_US - HOUR_US, localStartUs(NOW_US + SECOND_US, ListKind.WHOLE, NO_PREVIOUS_LIST,
                server("a", NOW_US - HOUR_US)));
        assertEquals(NOW_US + SECOND_US, localStartUs(NOW_US + SECOND_US, ListKind.WHOLE, NO_PREVIOUS_LIST,
                server("b", NOW_US - HOUR_US)));
        assertEquals(NOW_US - 3 * SECOND_US, localStartUs(NOW_US + SECOND_US, ListKind.WHOLE,
                NO_PREVIOUS_LIST, server("c", NOW_US - 3 * SECOND_US)));
    }
}
