package larkworks;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import larkworks.ColdServerFleet.Scenario;
import larkworks.ColdServerFleet.Verdict;
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
    private static final double LOAD = 0.7;
    /** Minimum share of the work that a server can do in the first half of its cold time that it must get. */
    private static final double LEAST_USE = 0.2;

    static Stream<Arguments> fleets() {
        List<Arguments> all = new ArrayList<>();
        double[][] traffics = {
            Scenario.unequal(30), Scenario.unequal(20), Scenario.equal(30), Scenario.equal(4),
            Scenario.equal(2), {4, 1}};
        for (double[] traffic : traffics) {
            for (double capacity : new double[] {5, 60}) {
                for (double burst : new double[] {1.5, 2.2}) {
                    for (boolean probes : new boolean[] {true, false}) {
                        all.add(Arguments.of(new Scenario(traffic, 12, 4, 2, capacity, LOAD, burst, probes)));
                    }
                }
            }
        }
        // So many copies that each sends a cold server less than one call per window on average.
        for (int copies : new int[] {60, 100, 200}) {
            for (double capacity : new double[] {20, 60}) {
                for (double burst : new double[] {1.5, 2.2}) {
                    all.add(Arguments.of(new Scenario(Scenario.equal(copies), 12, 4, 2, capacity, LOAD, burst,
                            false)));
                }
            }
        }
        // More cold servers than warm ones.
        all.add(Arguments.of(new Scenario(Scenario.unequal(30), 10, 8, 5, 20, LOAD, 1.5, true)));
        all.add(Arguments.of(new Scenario(Scenario.unequal(30), 10, 8, 5, 20, LOAD, 1.5, false)));
        return all.stream();
    }

    @ParameterizedTest
    @MethodSource("fleets")
    void allCopiesTogetherStayWithinTheBudgetOfAColdServer(Scenario scenario) {
        List<Executable> checks = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            for (Verdict verdict : ColdServerFleet.play(scenario, seed)) {
                String what = "seed " + seed + ", " + verdict;
                checks.add(() -> assertTrue(verdict.mostSent() < verdict.allowed(), what));
                checks.add(() -> assertTrue(verdict.sentFirst() > LEAST_USE * verdict.doneFirst(), what));
            }
        }
        assertAll(checks);
    }
}
