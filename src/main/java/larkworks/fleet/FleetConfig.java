package larkworks.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import larkworks.proxy.Addresses;

/**
 * What a member is told of its fleet, from DEPLOY's configuration.
 *
 * @param listen {@code peer_listen}, where datagrams come in
 * @param peers one address for each member, own included; the position is the id
 * @param everyone {@code peers_all}, which reaches every member; null where there is none
 * @param self own id
 * @param settings the detector's figures
 */
public record FleetConfig(InetSocketAddress listen, List<InetSocketAddress> peers,
        InetSocketAddress everyone, int self, MembershipSettings settings) {

    private static final Set<String> KEYS = Set.of("probe_interval_ms", "probe_timeout_ms", "indirect_checks",
            "suspicion_alpha", "suspicion_beta", "retransmit_mult", "dead_probe_periods", "health_max",
            "sync_rows");

    /**
     * Reads a proxy's configuration. Membership is off without a {@code membership} object, and where the
     * settings' {@code limits.peers} says no.
     *
     * @return null where membership is off
     * @throws IllegalArgumentException naming everything that is wrong
     */
    public static FleetConfig ofProxy(Map<?, ?> top) {
        boolean forbidden = top.get("settings") instanceof Map<?, ?> settings
                && settings.get("limits") instanceof Map<?, ?> limits
                && Boolean.FALSE.equals(limits.get("peers"));
        return top.get("membership") == null || forbidden ? null : of(top);
    }

    /**
     * Reads {@code peer_listen}, {@code peers}, {@code peers_all}, {@code member} (own id, where its entry
     * in {@code peers} is not {@code peer_listen}, as behind a relay) and {@code membership} (figures, times
     * in ms; what is not given has its default).
     *
     * @throws IllegalArgumentException naming everything that is wrong
     */
    public static FleetConfig of(Map<?, ?> top) {
        List<String> faults = new ArrayList<>();
        InetSocketAddress listen = address(top.get("peer_listen"), "peer_listen", faults);
        InetSocketAddress everyone = top.get("peers_all") == null ? null
                : address(top.get("peers_all"), "peers_all", faults);
        List<InetSocketAddress> peers = peers(top.get("peers"), faults);
        int self = top.get("member") instanceof Number n ? n.intValue() : peers.indexOf(listen);
        if (faults.isEmpty() && (self < 0 || self >= peers.size())) {
            faults.add("member: no entry of peers is this process");
        }
        MembershipSettings settings = settings(top.get("membership"), faults);
        if (!faults.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", faults));
        }
        return new FleetConfig(listen, peers, everyone, self, settings);
    }

    private static List<InetSocketAddress> peers(Object given, List<String> faults) {
        List<InetSocketAddress> peers = new ArrayList<>();
        if (!(given instanceof List<?> listed) || listed.isEmpty()) {
            faults.add("peers: a list of addresses is wanted");
            return peers;
        }
        Set<InetSocketAddress> seen = new HashSet<>();
        for (Object p : listed) {
            InetSocketAddress peer = address(p, "peers", faults);
            if (peer != null && !seen.add(peer)) {
                faults.add("peers: " + p + " stands twice");
            }
            peers.add(peer);
        }
        return peers;
    }

    private static MembershipSettings settings(Object given, List<String> faults) {
        MembershipSettings d = MembershipSettings.defaults();
        if (given == null) {
            return d;
        }
        if (!(given instanceof Map<?, ?> m)) {
            faults.add("membership: an object is wanted");
            return d;
        }
        for (Map.Entry<?, ?> e : m.entrySet()) {
            if (!KEYS.contains(e.getKey())) {
                faults.add("membership." + e.getKey() + ": no such key");
            } else if (!(e.getValue() instanceof Number)) {
                faults.add("membership." + e.getKey() + ": a number is wanted, not '" + e.getValue() + "'");
            }
        }
        try {
            return new MembershipSettings(us(m, "probe_interval_ms", d.probeIntervalUs()),
                    us(m, "probe_timeout_ms", d.probeTimeoutUs()),
                    whole(m, "indirect_checks", d.indirectChecks()),
                    number(m, "suspicion_alpha", d.suspicionAlpha()),
                    number(m, "suspicion_beta", d.suspicionBeta()),
                    whole(m, "retransmit_mult", d.retransmitMult()),
                    whole(m, "dead_probe_periods", d.deadProbePeriods()),
                    whole(m, "health_max", d.healthMost()), whole(m, "sync_rows", d.syncRows()));
        } catch (IllegalArgumentException e) {
            faults.add("membership: " + e.getMessage());
            return d;
        }
    }

    private static long us(Map<?, ?> m, String key, long fallbackUs) {
        return (long) (number(m, key, fallbackUs / 1000.0) * 1000);
    }

    private static int whole(Map<?, ?> m, String key, int fallback) {
        return (int) number(m, key, fallback);
    }

    private static double number(Map<?, ?> m, String key, double fallback) {
        return m.get(key) instanceof Number n ? n.doubleValue() : fallback;
    }

    private static InetSocketAddress address(Object value, String key, List<String> faults) {
        try {
            return Addresses.parse(value);
        } catch (IllegalArgumentException e) {
            faults.add(key + ": '" + value + "' is no address and port");
            return null;
        }
    }
}
