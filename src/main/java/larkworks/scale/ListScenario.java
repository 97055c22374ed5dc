package larkworks.scale;

import java.util.EnumSet;
import java.util.List;
import larkworks.platform.Section;

/**
 * What a list service goes through, in real time.
 *
 * @param watchers the numbers of hollow proxies, run one after the other
 * @param backends hollow backends; 0 for as many as there are watchers
 * @param topology where hollow proxies stand
 * @param waitMs how long a watch may wait
 * @param ttlMs a backend's lease
 * @param heartbeatMs from one heartbeat of a backend to the next
 * @param forget whether a hollow proxy asks for the whole list after a failure, as one does that knows
 *     several addresses
 * @param warmChanges made before anything is measured
 * @param steadyS measured with no change of the list
 * @param changes one after the other at {@code changesPerS}; 0 for none
 * @param burst changes at once; 0 for none
 * @param reportMs each hollow proxy reports for rollouts so often; 0 for never
 * @param rollout brought to all that report
 * @param heapMb the service's
 * @param limitS how long the end of each part is waited for
 * @param faults one after the other
 */
public record ListScenario(List<Integer> watchers, int backends, Topology topology, long waitMs, long ttlMs,
        long heartbeatMs, boolean forget, int warmChanges, double steadyS, int changes, double changesPerS,
        int burst, long reportMs, Rollout rollout, int heapMb, double limitS, List<Fault> faults) {

    private static final int MOST = 5_000;

    /**
     * A rollout.
     *
     * @param patchBytes of its patch
     * @param wavePercents the shares of its waves
     * @param bakeMs how long each wave is watched
     */
    public record Rollout(int patchBytes, List<Long> wavePercents, long bakeMs) { }

    /** Reads the {@code lists} table; what is wrong is noted in it. */
    static ListScenario of(Section lists) {
        return new ListScenario(
                lists.wholes("watchers", null, 1, MOST).stream().map(Long::intValue).toList(),
                (int) lists.whole("backends", 0L, 0, MOST), Topology.of(lists),
                lists.whole("wait_ms", 3_500L, 10, 60_000), lists.whole("ttl_ms", 10_000L, 500, 600_000),
                lists.whole("heartbeat_ms", 3_000L, 50, 600_000), lists.flag("forget", false),
                (int) lists.whole("warm_changes", 0L, 0, 100_000),
                lists.number("steady_s", 10.0, 0.1, 3_600), (int) lists.whole("changes", 0L, 0, 100_000),
                lists.number("changes_per_s", 5.0, 0.01, 10_000), (int) lists.whole("burst", 0L, 0, 100_000),
                lists.whole("report_ms", 0L, 0, 60_000),
                new Rollout((int) lists.whole("patch_bytes", 1_000L, 10, 32_000),
                        lists.wholes("wave_percents", List.of(100L), 1, 100),
                        lists.whole("bake_ms", 0L, 0, 600_000)),
                (int) lists.whole("heap_mb", 128L, 16, 4_096), lists.number("limit_s", 60.0, 1, 3_600),
                Fault.all(lists.optionalSection("faults"), EnumSet.of(Fault.Kind.SERVICE_KILL,
                        Fault.Kind.SERVICE_PAUSE, Fault.Kind.CUT, Fault.Kind.KILL, Fault.Kind.RESTART)));
    }
}
