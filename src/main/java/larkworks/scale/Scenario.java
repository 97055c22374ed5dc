package larkworks.scale;

import java.nio.file.Path;
import larkworks.platform.ConfigFile;
import larkworks.platform.ConfigFile.Unusable;
import larkworks.platform.Section;

/**
 * A scenario file: {@code name}, {@code seed}, and the tables of what is to be run.
 *
 * @param fleet null where there is no such table
 * @param lists null where there is no such table
 * @param cost null where there is no such table
 * @param path null where there is no such table
 */
public record Scenario(String name, long seed, FleetScenario fleet, ListScenario lists, CostScenario cost,
        PathScenario path) {

    /**
     * Reads a file.
     *
     * @throws Unusable naming everything that is wrong with it
     */
    public static Scenario read(Path file) throws Unusable {
        Section top = Section.top(ConfigFile.read(file));
        Scenario scenario = new Scenario(top.text("name", null), top.whole("seed", 1L, 0, Long.MAX_VALUE),
                top.has("fleet") ? FleetScenario.of(top.section("fleet")) : null,
                top.has("lists") ? ListScenario.of(top.section("lists")) : null,
                top.has("cost") ? CostScenario.of(top.section("cost")) : null,
                top.has("path") ? PathScenario.of(top.section("path")) : null);
        if (scenario.fleet == null && scenario.lists == null && scenario.cost == null
                && scenario.path == null) {
            top.fault("fleet", "a table of this name, or lists, cost or path, is wanted");
        }
        top.refuseUnknown();
        if (!top.faults().isEmpty()) {
            throw new Unusable(file.toString(), top.faults());
        }
        return scenario;
    }

    /** The same with another seed. */
    public Scenario seeded(long other) {
        return new Scenario(name, other, fleet, lists, cost, path);
    }
}
