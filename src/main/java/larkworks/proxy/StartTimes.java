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

    /** Maximum delay from a server's start to the list with it; a longer one is taken as a clock offset. */
    private static final long MAX_LIST_DELAY_US = 30_000_000;

    /** Maximum servers whose starts are kept, including servers that are no longer listed. */
    private static final int MAX_SERVERS = 16_384;

    /** A server as listed, with its listed start time, and its start on this process's clock. */
    private record KnownStart(Server listed, long localStartUs) {
        Server withLocalStart() {
            return new Server(listed.id(), localStartUs, listed.zone(), listed.group(), listed.weight(),
                    listed.status());
        }
    }

    private final long coldUs;
    private final Map<String, KnownStart> knownStarts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, KnownStart> eldest) {
            return size() > MAX_SERVERS;
        }
    };
    /** Added to a listed time to convert it to this process's clock. */
    private long clockOffsetUs;
    /** Whether a list remembered from before this process's start contained servers. */
    private boolean hasRememberedServers;

    /** Creates an empty table; {@code coldUs} is how long a server is cold after its start. */
    StartTimes(long coldUs) {
        this.coldUs = coldUs;
    }

    /**
     * Returns the servers with their start times converted to this process's clock.
     *
     * @param servers the servers as listed
     * @param previousListUs when the previous list was current; {@code Long.MIN_VALUE} if there is none
     * @param corrected receives the servers of earlier lists whose start time moves to a later time, because
     *     the listed servers show that the clock offset differs from the assumed one
     */
    List<Server> toLocalClock(long nowUs, ListKind kind, List<Server> servers, long previousListUs,
            List<Server> corrected) {
        long previousClockOffsetUs = clockOffsetUs;
        for (Server server : servers) {
            KnownStart known = knownStarts.get(server.id());
            boolean isUnchanged = known != null && known.listed.startedAtUs() == server.startedAtUs();
            knownStarts.put(server.id(), new KnownStart(server, isUnchanged ? known.localStartUs
                    : localStartUs(nowUs, kind, server.startedAtUs(), previousListUs)));
        }
        hasRememberedServers |= kind == ListKind.REMEMBERED && !servers.isEmpty();
        if (clockOffsetUs != previousClockOffsetUs) {
            applyClockOffset(nowUs, corrected);
            Set<String> listedIds = servers.stream().map(Server::id).collect(Collectors.toSet());
            corrected.removeIf(server -> listedIds.contains(server.id()));
        }
        return servers.stream().map(server -> knownStarts.get(server.id()).withLocalStart()).toList();
    }

    private long localStartUs(long nowUs, ListKind kind, long listedStartUs, long previousListUs) {
        if (listedStartUs <= 0) {
            return listedStartUs;
        }
        long convertedUs = listedStartUs + clockOffsetUs;
        if (convertedUs > nowUs) {
            clockOffsetUs = nowUs - listedStartUs;
            return nowUs;
        }
        if (previousListUs != Long.MIN_VALUE) {
            if (previousListUs - convertedUs > MAX_LIST_DELAY_US) {
                clockOffsetUs = previousListUs - listedStartUs;
            }
            return Math.max(convertedUs, previousListUs);
        }
        // A server that the remembered list lacks started after that list, however old its start looks.
        boolean startedLater = kind != ListKind.REMEMBERED && hasRememberedServers;
        return startedLater && nowUs - convertedUs >= coldUs ? nowUs : convertedUs;
    }

    /**
     * Applies a new clock offset to the starts kept so far. A start only ever moves to a later time, so that
     * corrections from what this process observed stay in force.
     */
    private void applyClockOffset(long nowUs, List<Server> corrected) {
        knownStarts.replaceAll((id, knownStart) -> {
            long listedStartUs = knownStart.listed.startedAtUs();
            long localStartUs = Math.min(nowUs, listedStartUs + clockOffsetUs);
            if (listedStartUs <= 0 || nowUs - localStartUs >= coldUs
                    || localStartUs <= knownStart.localStartUs) {
                return knownStart;
            }
            KnownStart correctedStart = new KnownStart(knownStart.listed, localStartUs);
            corrected.add(correctedStart.withLocalStart());
            return correctedStart;
        });
    }
}
