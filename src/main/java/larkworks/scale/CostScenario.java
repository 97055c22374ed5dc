package larkworks.scale;

import java.util.List;
import larkworks.platform.Section;

/**
 * What the module and a list cost a proxy's core.
 *
 * @param servers the numbers of servers listed
 * @param calls measured for each number, after as many for warmth
 * @param inFlight calls out at a time
 * @param callsPerS that a proxy takes
 */
public record CostScenario(List<Integer> servers, int calls, int inFlight, double callsPerS) {

    /** Reads the {@code cost} table; what is wrong is noted in it. */
    static CostScenario of(Section cost) {
        return new CostScenario(
                cost.wholes("servers", null, 1, 20_000).stream().map(Long::intValue).toList(),
                (int) cost.whole("calls", 50_000L, 100, 10_000_000),
                (int) cost.whole("in_flight", 4L, 1, 1_000),
                cost.number("calls_per_s", 136.0, 0.1, 1_000_000));
    }
}
