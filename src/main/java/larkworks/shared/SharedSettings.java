package larkworks.shared;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import larkworks.platform.Section;

/**
 * The {@code shared} table.
 *
 * @param gossipMs how often state is sent
 * @param fanout to so many members each time
 * @param verdictMaxMs a verdict holds so long after it was written at most
 * @param verdictBoundMs declared: a verdict is with all members present within this time
 * @param cold what all may send a server while it is cold; null for no such budget
 * @param classes what all may take of a class of requests, by its name
 * @param spread servers that a class goes to first; 0 where affinity is off
 */
public record SharedSettings(long gossipMs, int fanout, long verdictMaxMs, long verdictBoundMs, Budget cold,
        Map<String, Budget> classes, int spread) {

    /**
     * A budget: so many requests in any window.
     *
     * @param requests at least {@link Budgets#EPOCHS} + 1, as each epoch has a whole number of them
     */
    public record Budget(long requests, long windowMs) {

        private static Budget of(Section section) {
            return new Budget(section.whole("requests", null, Budgets.EPOCHS + 1, 1_000_000_000),
                    section.whole("window_ms", null, 100, 3_600_000));
        }
    }

    /**
     * Reads the table; what is wrong is noted in it.
     *
     * @param probeIntervalMs membership's, from which the bound's default comes
     * @param known the names of the classes that there are
     */
    public static SharedSettings of(Section shared, long probeIntervalMs, List<String> known) {
        Section classes = shared.optionalSection("classes");
        Map<String, Budget> budgets = new LinkedHashMap<>();
        for (String name : classes.keys()) {
            if (!known.contains(name)) {
                classes.fault(name, "no class of the settings, which are " + String.join(", ", known));
            }
            budgets.put(name, Budget.of(classes.section(name)));
        }
        return new SharedSettings(shared.whole("gossip_ms", 100L, 10, 60_000),
                (int) shared.whole("fanout", 3L, 1, 32),
                shared.whole("verdict_max_ms", 60_000L, 1_000, 3_600_000),
                shared.whole("verdict_bound_ms", 3 * probeIntervalMs, 1, 3_600_000),
                shared.has("cold") ? Budget.of(shared.section("cold")) : null, budgets,
                (int) shared.optionalSection("affinity").whole("spread", 0L, 0, 1_000));
    }
}
