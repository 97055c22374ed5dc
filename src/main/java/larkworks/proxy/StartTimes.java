package larkworks.proxy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import larkworks.Balancer.ListKind;
import larkworks.Balancer.Server;

/**
 * Converts the start times of servers to this process's clock. Lists give them in Unix time; this process's
 * clock may have been wrong by seconds or an hour when it started, and a server whose start looks too old
 * gets the load of a warm server while it is cold. So a start time is corrected by what this process
 * observed: it is not in the future, and the start of a server that appears while the list is watched is no
 * older than the previous list. A clock offset found this way is applied to all start times.
 */
final class StartTimes {

    /** A list may arrive this long after a server's start without implying that the clocks differ. */
    private static final long LATE_LIST_US = 30_000_000;

    /** Maximum servers whose starts are kept, including servers that are no longer listed. */
    private static final int MOST_STARTS = 16_384;

    /** A server as listed, with its listed start time, and its start on this process's clock. */
    private record Start(Server line, long placedUs) {
        Server placed() {
            return new Server(line.id(), placedUs, line.zone(), line.group(), line.size(), line.status());
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
    /** Difference that converts a listed time to this process's clock. */
    private long offsetUs;
    /** Whether a list remembered from before this process's start contained servers. */
    private boolean remembers;

    /** Creates an empty table; {@code rampUs} is how long a server counts as cold after its start. */
    StartTimes(long rampUs) {
        this.rampUs = rampUs;
    }

    /**
     * Returns the servers with their start times converted to this process's clock.
     *
     * @param lines the servers as listed
     * @param currentUs when the previous list was current; {@code Long.MIN_VALUE} if there is none
     * @param moved receives servers of earlier lists whose start time turns out later than assumed, by a
     *     clock offset that these servers reveal
     */
    List<Server> toLocalClock(long nowUs, ListKind kind, List<Server> lines, long currentUs,
            List<Server> moved) {
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
        // A server that the remembered list lacks started after that list, however old its start looks.
        boolean started = kind != ListKind.REMEMBERED && remembers;
        return started && nowUs - byClockUs >= rampUs ? nowUs : byClockUs;
    }

    /**
     * Applies a new clock offset to the starts kept so far. A start only ever moves to a later time, so that
     * corrections from what this process observed stay in force.
     */
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
