package larkworks.registry;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import larkworks.platform.Section;

/**
 * What one replica of a list service is told of itself and the others.
 *
 * @param id its own
 * @param listen where the other replicas connect
 * @param addresses of all replicas by id, as the others reach them
 * @param join whether it is new, and waits to be taken in among the replicas
 * @param electionMs a replica that hears no leader for so long, twice as long at most, stands for election
 * @param staleMs what is served without word of a leader for longer is marked stale, and writes are refused
 * @param snapshotEntries log entries after which a snapshot is written
 * @param segmentBytes length of the parts of the log, which go once a snapshot covers them
 */
public record ReplicaSettings(String id, InetSocketAddress listen, Map<String, InetSocketAddress> addresses,
        boolean join, long electionMs, long staleMs, long snapshotEntries,
        long segmentBytes) {

    private static final int MOST_REPLICAS = 7;
    private static final long ELECTION_MS = 300;
    private static final long STALE_MS = 2_000;
    private static final long SNAPSHOT_ENTRIES = 20_000;
    private static final long SEGMENT_BYTES = 4 << 20;

    /** Whether a replica may have that name. */
    static boolean isId(String id) {
        return id.matches("[A-Za-z0-9_-]{1,32}");
    }

    /** Reads the {@code replicas} table; what is wrong is noted there. */
    public static ReplicaSettings of(Section replicas) {
        Section table = replicas.section("addresses");
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (String id : table.keys()) {
            if (!isId(id)) {
                table.fault(id, "an id of 1 to 32 letters, digits, - and _ is wanted");
            }
            InetSocketAddress address = table.address(id);
            if (address != null && addresses.containsValue(address)) {
                table.fault(id, "another replica has the same address");
            }
            addresses.put(id, address);
        }
        if (addresses.isEmpty() || addresses.size() > MOST_REPLICAS) {
            replicas.fault("addresses", "1 to " + MOST_REPLICAS + " replicas are wanted");
        }
        String id = replicas.text("id", null);
        if (!addresses.containsKey(id)) {
            replicas.fault("id", "one of the replicas' ids is wanted, not '" + id + "'");
        }
        InetSocketAddress listen = replicas.optionalAddress("listen");
        return new ReplicaSettings(id, listen == null ? addresses.get(id) : listen, addresses,
                replicas.flag("join", false),
                replicas.whole("election_ms", ELECTION_MS, 50, 60_000),
                replicas.whole("stale_ms", STALE_MS, 100, 3_600_000),
                replicas.whole("snapshot_entries", SNAPSHOT_ENTRIES, 10, 100_000_000),
                replicas.whole("segment_bytes", SEGMENT_BYTES, 1 << 10, 1 << 30));
    }
}
