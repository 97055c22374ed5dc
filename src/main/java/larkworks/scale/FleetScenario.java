package larkworks.scale;

import java.util.EnumSet;
import java.util.List;
import larkworks.fleet.MembershipSettings;
import larkworks.platform.Section;
import larkworks.shared.SharedSettings;

/**
 * What hollow members go through, in simulated time.
 *
 * @param members the sizes, run one after the other
 * @param topology where members stand
 * @param network between them
 * @param settleS before anything is measured
 * @param steadyS measured with no fault
 * @param limitS how long a fault's end is waited for
 * @param membership the detector's figures
 * @param shared of shared state; null where there is none
 * @param load on shared state
 * @param faults one after the other, each begun when all agree again after the one before
 */
public record FleetScenario(List<Integer> members, Topology topology, Network network, double settleS,
        double steadyS, double limitS, MembershipSettings membership, SharedSettings shared, Load load,
        List<Fault> faults) {

    /** The class of requests that a fleet's budget is for. */
    static final String CLASS = "calls";
    private static final int MOST_MEMBERS = 5_000;

    /**
     * Times that a datagram takes, each between half and one and a half of these, and its chance to be lost.
     *
     * @param delayUs within a region
     * @param regionDelayUs from one region to another
     * @param loss 0 to below 1
     */
    public record Network(long delayUs, long regionDelayUs, double loss) { }

    /**
     * What the members' modules do.
     *
     * @param verdictsPerS over the whole fleet
     * @param holdMs how long a verdict holds
     * @param servers on the list
     * @param demandPerS requests of the class with a budget, over the whole fleet; 0 for none
     * @param demanding so many members have that demand, all others none; 0 for all
     */
    public record Load(double verdictsPerS, long holdMs, int servers, double demandPerS, int demanding) { }

    /** Reads the {@code fleet} table; what is wrong is noted in it. */
    static FleetScenario of(Section fleet) {
        MembershipSettings membership = MembershipSettings.of(fleet.optionalSection("membership"));
        SharedSettings shared = fleet.has("shared") ? SharedSettings.of(fleet.section("shared"),
                membership.probeIntervalUs() / 1_000, List.of(CLASS)) : null;
        Section load = fleet.optionalSection("load");
        return new FleetScenario(
                fleet.wholes("members", null, 2, MOST_MEMBERS).stream().map(Long::intValue).toList(),
                Topology.of(fleet),
                new Network((long) (1_000 * fleet.number("delay_ms", 0.3, 0.01, 10_000)),
                        (long) (1_000 * fleet.number("region_delay_ms", 10.0, 0.01, 10_000)),
                        fleet.number("loss", 0.0, 0, 0.99)),
                fleet.number("settle_s", 10.0, 0, 3_600), fleet.number("steady_s", 30.0, 1, 86_400),
                fleet.number("limit_s", 600.0, 1, 86_400), membership, shared,
                new Load(load.number("verdicts_per_s", 0.0, 0, 10_000),
                        load.whole("hold_ms", 3_000L, 1, 3_600_000),
                        (int) load.whole("servers", 50L, 1, 10_000),
                        load.number("demand_per_s", 0.0, 0, 1_000_000),
                        (int) load.whole("demanding", 0L, 0, MOST_MEMBERS)),
                Fault.all(fleet.optionalSection("faults"), EnumSet.of(Fault.Kind.KILL, Fault.Kind.PAUSE,
                        Fault.Kind.RESTART, Fault.Kind.CUT)));
    }
}
