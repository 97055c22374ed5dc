package larkworks.proxy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import larkworks.Balancer.ListKind;
import larkworks.Balancer.Server;

/**
 * Places servers' starts on this process's clock. The list tells them in Unix time by the clock that all
 * machines read; this process's own may have been wrong when it started, by seconds or an hour, and a start
 * that looks older than it is has a cold server crowded. So a start is bounded by what was seen here: it is
 * not in the future, and one that is told while the list was watched is no older than the list held before.
 * A difference of the clocks that shows this way holds for all starts.
 */
final class StartTimes {

    /** Lists may come some seconds after the starts that they tell, which tells nothing of clocks. */
    private static final long LATE_LIST_US = 30_000_000;

    /** Starts that are remembered, also of servers that no list names for a while. */
    private static final int MOST_STARTS = 16_384;

    /** A line of the list, and its start on this process's clock. */
    private record Start(Server line, long placedUs) {
        Server placed() {
            return new Server(line.id(), placedUs, line.zone(), line.group(), line.weight(), line.status());
        }
    }

    private final long rampUs;
    private final Map<String, Start> starts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > MOST_STARTS;
        }
    };
    /** What has to be added to a told time to have it on this process's clock. */
    private long offsetUs;
    /** Whether a list from before this process's start told of servers. */
    private boolean remembers;

    /** {@code rampUs}: how long after its start a server is cold. */
    StartTimes(long rampUs) {
        this.rampUs = rampUs;
    }

    /**
     * The lines with their starts on this process's clock.
     *
     * @param currentUs when the list held before was known to be current; the least value where it never was
     * @param moved gets the servers told of before whose start shows by these lines to be a later one
     */
    List<Server> place(long nowUs, ListKind kind, List<Server> lines, long currentUs, List<Server> moved) {
        long before = offsetUs;
        for (Server line : lines) {
            Start known = starts.get(line.id());
            boolean same = known != null && known.line.startedAtUs() == line.startedAtUs();
            starts.put(line.id(), new Start(line, same ? known.placedUs
                    : placed(nowUs, kind, line.startedAtUs(), currentUs)));
        }
        remembers |= kind == ListKind.REMEMBERED && !lines.isEmpty();
        if (offsetUs != before) {
            placeAnew(nowUs, moved);
            Set<String> told = lines.stream().map(Server::id).collect(Collectors.toSet());
            moved.removeIf(server -> told.contains(server.id()));
        }
        return lines.stream().map(line -> starts.get(line.id()).placed()).toList();
    }

    private long placed(long nowUs, ListKind kind, long toldUs, long currentUs) {
        if (toldUs <= 0) {
            return toldUs;
        }
        long byClockUs = toldUs + offsetUs;
        if (byClockUs > nowUs) {
            offsetUs = nowUs - toldUs;
            return nowUs;
        }
        if (currentUs != Long.MIN_VALUE) {
            if (currentUs - byClockUs > LATE_LIST_US) {
                offsetUs = currentUs - toldUs;
            }
            return Math.max(byClockUs, currentUs);
        }
        // Not among the servers remembered from before, so it started since; by the clock that was long ago.
        boolean started = kind != ListKind.REMEMBERED && remembers;
        return started && nowUs - byClockUs >= rampUs ? nowUs : byClockUs;
    }

    /** Never to an earlier start than before: what was bounded by sight stays so. */
    private void placeAnew(long nowUs, List<Server> moved) {
        starts.replaceAll((id, start) -> {
            long toldUs = start.line.startedAtUs();
            long placedUs = Math.min(nowUs, toldUs + offsetUs);
            if (toldUs <= 0 || nowUs - placedUs >= rampUs || placedUs <= start.placedUs) {
                return start;
            }
            Start later = new Start(start.line, placedUs);
            moved.add(later.placed());
            return later;
        });
    }
}
