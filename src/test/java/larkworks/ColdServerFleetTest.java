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
 * Rule 4 over a whole tier: copies that share nothing but the list send each cold server, together, no more
 * than N + 2 x root of N + 2 requests of mean work in any stretch of the stated length, N being the multiple
 * of what it can do at the beginning of that stretch.
 */
class ColdServerFleetTest {

    private static final int SEEDS = 6;
    /** Normal traffic, of what all servers can do; the bursts multiply it. */
    private static final double LOAD = 0.7;
    /** The least part of what a server can do that it must get while it is coldest. */
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
        // Many copies, each of which expects less than one call at a cold server in the stated time.
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
    void allCopiesTogetherKeepToTheBudgetOfAColdServer(Scenario scenario) {
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
