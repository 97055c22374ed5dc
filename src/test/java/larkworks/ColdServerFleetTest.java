package larkworks;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import larkworks.ColdServerFleet.ColdServerLoad;
import larkworks.ColdServerFleet.Scenario;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks rule 4 for a whole tier. In any window of 1.5 s, all copies together send a cold server at most
 * N + 2 x sqrt(N) + 2 requests of mean work, although they share only the list of servers. N is 3 times the
 * work that the server can do in such a window at its capacity at the window's start.
 */
class ColdServerFleetTest {

    private static final int SEEDS = 6;
    /** Traffic before the burst, as a share of the capacity of all servers. */
    private static final double LOAD_BEFORE_BURST = 0.7;
    /** Minimum share of the work possible in the first half of its cold period that a cold server gets. */
    private static final double MIN_SENT_SHARE = 0.2;

    static Stream<Arguments> scenarios() {
        List<Arguments> scenarios = new ArrayList<>();
        double[][] trafficSharesOfScenarios = {
            Scenario.unequalTrafficShares(30), Scenario.unequalTrafficShares(20),
            Scenario.equalTrafficShares(30), Scenario.equalTrafficShares(4), Scenario.equalTrafficShares(2),
            {4, 1}};
        for (double[] trafficShares : trafficSharesOfScenarios) {
            for (double capacityPerSecond : new double[] {5, 60}) {
                for (double burstFactor : new double[] {1.5, 2.2}) {
                    for (boolean canProbe : new boolean[] {true, false}) {
                        scenarios.add(Arguments.of(new Scenario(trafficShares, 12, 4, 2, capacityPerSecond,
                                LOAD_BEFORE_BURST, burstFactor, canProbe)));
                    }
                }
            }
        }
        // With this many copies, each one sends a cold server less than one call per window on average.
        for (int copies : new int[] {60, 100, 200}) {
            for (double capacityPerSecond : new double[] {20, 60}) {
                for (double burstFactor : new double[] {1.5, 2.2}) {
                    scenarios.add(Arguments.of(new Scenario(Scenario.equalTrafficShares(copies), 12, 4, 2,
                            capacityPerSecond, LOAD_BEFORE_BURST, burstFactor, false)));
                }
            }
        }
        // In these two scenarios there are more cold servers than warm ones.
        scenarios.add(Arguments.of(new Scenario(Scenario.unequalTrafficShares(30), 10, 8, 5, 20,
                LOAD_BEFORE_BURST, 1.5, true)));
        scenarios.add(Arguments.of(new Scenario(Scenario.unequalTrafficShares(30), 10, 8, 5, 20,
                LOAD_BEFORE_BURST, 1.5, false)));
        return scenarios.stream();
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void allCopiesTogetherStayWithinTheBudgetOfAColdServer(Scenario scenario) {
        List<Executable> checks = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            for (ColdServerLoad load : ColdServerFleet.simulate(scenario, seed)) {
                String description = "seed " + seed + ", " + load;
                checks.add(() -> assertTrue(load.maxSentInWindow() < load.allowedInWindow(), description));
                checks.add(() -> assertTrue(
                        load.sentInFirstHalf() > MIN_SENT_SHARE * load.possibleInFirstHalf(), description));
            }
        }
        assertAll(checks);
    }
}
