package larkworks.fleet;

import larkworks.platform.Section;

/**
 * The failure detector's figures; times in microseconds on the caller's clock.
 *
 * @param probeIntervalUs one probe a member each period (SWIM's T')
 * @param probeTimeoutUs no ack by then asks {@code indirectChecks} others to probe
 * @param indirectChecks SWIM's k, and Lifeguard's expected confirmations of a suspicion
 * @param suspicionAlpha the least suspicion time is alpha * max(1, log10 n) periods
 * @param suspicionBeta the longest is beta times the least, before any confirmation
 * @param retransmitMult lambda: an update is sent lambda * ceil(log10(n + 1)) times
 * @param deadProbePeriods every so many periods one dead member is pinged, so that a healed partition
 *     converges
 * @param healthMost Lifeguard's highest local health score; times grow up to {@code healthMost + 1} fold
 * @param syncRows rows of the table sent along with each ping, in turn
 */
public record MembershipSettings(long probeIntervalUs, long probeTimeoutUs, int indirectChecks,
        double suspicionAlpha, double suspicionBeta, int retransmitMult, int deadProbePeriods,
        int healthMost, int syncRows) {

    private static final double MOST_MS = 600_000;

    /**
     * Checks the figures.
     *
     * @throws IllegalArgumentException naming the first figure out of range
     */
    public MembershipSettings {
        if (probeIntervalUs < 1_000) {
            throw new IllegalArgumentException("probe_interval_ms must be 1 or more");
        }
        if (probeTimeoutUs <= 0 || probeTimeoutUs >= probeIntervalUs) {
            throw new IllegalArgumentException("probe_timeout_ms must be above 0 and below the interval");
        }
        if (indirectChecks < 0 || suspicionAlpha <= 0 || suspicionBeta < 1 || retransmitMult < 1
                || deadProbePeriods < 1 || healthMost < 0 || syncRows < 0) {
            throw new IllegalArgumentException("indirect_checks >= 0, suspicion_alpha > 0, "
                    + "suspicion_beta >= 1, retransmit_mult >= 1, dead_probe_periods >= 1, health_max >= 0, "
                    + "sync_rows >= 0 are wanted");
        }
    }

    /**
     * memberlist's LAN figures, halved in time as all members share one machine: 500 ms periods, 200 ms
     * time-out, k = 3, alpha 5, beta 6, lambda 4. What grows with the fleet is derived from n at use:
     * the suspicion time (log10 n) and the retransmits (log10(n + 1)); the load a member bears does not.
     */
    public static MembershipSettings defaults() {
        return new MembershipSettings(500_000, 200_000, 3, 5, 6, 4, 4, 8, 4);
    }

    /** Reads the {@code membership} table; what is wrong is noted in it. */
    public static MembershipSettings of(Section m) {
        MembershipSettings d = defaults();
        double interval = m.number("probe_interval_ms", d.probeIntervalUs() / 1e3, 1, MOST_MS);
        double timeout = m.number("probe_timeout_ms", Math.min(d.probeTimeoutUs() / 1e3, interval * 0.4),
                0.1, MOST_MS);
        if (timeout >= interval) {
            m.fault("probe_timeout_ms", "less than the interval of " + interval + " ms is wanted");
            timeout = interval / 2;
        }
        return new MembershipSettings((long) (interval * 1000), (long) (timeout * 1000),
                (int) m.whole("indirect_checks", (long) d.indirectChecks(), 0, 32),
                m.number("suspicion_alpha", d.suspicionAlpha(), 0.1, 1000),
                m.number("suspicion_beta", d.suspicionBeta(), 1, 1000),
                (int) m.whole("retransmit_mult", (long) d.retransmitMult(), 1, 100),
                (int) m.whole("dead_probe_periods", (long) d.deadProbePeriods(), 1, 1000),
                (int) m.whole("health_max", (long) d.healthMost(), 0, 64),
                (int) m.whole("sync_rows", (long) d.syncRows(), 0, PeerCodec.MOST_UPDATES));
    }

    /** Least suspicion time for {@code n} members. */
    long suspicionMinUs(int n) {
        return (long) (suspicionAlpha * Math.max(1, Math.log10(n)) * probeIntervalUs);
    }

    long suspicionMaxUs(int n) {
        return (long) (suspicionBeta * suspicionMinUs(n));
    }

    int retransmits(int n) {
        return retransmitMult * (int) Math.ceil(Math.log10(n + 1));
    }
}
