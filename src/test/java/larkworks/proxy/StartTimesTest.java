package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import larkworks.Balancer.ListKind;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;
import org.junit.jupiter.api.Test;

/** Starts told by a clock that differs from this process's by an hour. */
class StartTimesTest {

    private static final long S = 1_000_000;
    private static final long HOUR = 3_600 * S;
    private static final long NOW = 1_000_000 * S;
    private static final long NEVER = Long.MIN_VALUE;

    private final StartTimes starts = new StartTimes(20 * S);
    private final List<Server> moved = new ArrayList<>();

    private static Server server(String id, long startedAtUs) {
        return new Server(id, startedAtUs, 0, 0, 1, ServerStatus.UP);
    }

    private long placed(long nowUs, ListKind kind, long currentUs, Server line) {
        return starts.toLocalClock(nowUs, kind, List.of(line), currentUs, moved).get(0).startedAtUs();
    }

    @Test
    void aStartInTheFutureIsNowAndStaysWhereItWas() {
        assertEquals(NOW, placed(NOW, ListKind.WHOLE, NEVER, server("a", NOW + HOUR)));
        assertEquals(NOW, placed(NOW + 5 * S, ListKind.CHANGES, NOW, server("a", NOW + HOUR)));
        assertEquals(NOW + 5 * S, placed(NOW + 6 * S, ListKind.CHANGES, NOW, server("b", NOW + HOUR + 5 * S)),
                "by the difference that the first start showed");
    }

    @Test
    void aStartToldWhileTheListWasWatchedIsNoOlderThanTheListHeldBefore() {
        placed(NOW, ListKind.WHOLE, NEVER, server("a", 0));
        assertEquals(NOW - S, placed(NOW + S, ListKind.CHANGES, NOW - S, server("b", NOW - HOUR)));
    }

    @Test
    void oneSuchStartShowsTheDifferenceForAllOthersThatAreStillCold() {
        assertEquals(NOW - HOUR, placed(NOW, ListKind.WHOLE, NEVER, server("a", NOW - HOUR)));
        placed(NOW + 2 * S, ListKind.CHANGES, NOW, server("b", NOW + S - HOUR));
        assertEquals(List.of(server("a", NOW - S)), moved);
    }

    @Test
    void aLateListTellsNothingOfTheClocks() {
        placed(NOW, ListKind.WHOLE, NEVER, server("a", NOW - 5 * S));
        assertEquals(NOW, placed(NOW + 9 * S, ListKind.CHANGES, NOW, server("b", NOW - 4 * S)));
        assertEquals(List.of(), moved);
        assertEquals(NOW + 8 * S, placed(NOW + 9 * S, ListKind.CHANGES, NOW, server("c", NOW + 8 * S)));
    }

    @Test
    void aServerThatTheRememberedListDoesNotHoldHasStartedSince() {
        placed(NOW, ListKind.REMEMBERED, NEVER, server("a", NOW - HOUR));
        assertEquals(NOW - HOUR, placed(NOW + S, ListKind.WHOLE, NEVER, server("a", NOW - HOUR)));
        assertEquals(NOW + S, placed(NOW + S, ListKind.WHOLE, NEVER, server("b", NOW - HOUR)));
        assertEquals(NOW - 3 * S, placed(NOW + S, ListKind.WHOLE, NEVER, server("c", NOW - 3 * S)));
    }
}
