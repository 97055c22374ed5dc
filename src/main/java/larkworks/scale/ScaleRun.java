package larkworks.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Runs a scenario and writes its result and plots. */
public final class ScaleRun {

    private ScaleRun() { }

    /** Runs all parts of a scenario; {@code progress} takes a line now and then. */
    public static ScaleResult run(Scenario scenario, Consumer<String> progress) throws Exception {
        List<FleetResult> fleet = null;
        if (scenario.fleet() != null) {
            fleet = new ArrayList<>();
            for (int members : scenario.fleet().members()) {
                fleet.add(new FleetRun(scenario.fleet(), scenario.seed(), progress).run(members));
            }
        }
        List<ListResult> lists = null;
        if (scenario.lists() != null) {
            lists = new ArrayList<>();
            for (int watchers : scenario.lists().watchers()) {
                try (ListRun run = new ListRun(scenario.lists(), watchers, scenario.seed(), progress)) {
                    lists.add(run.run());
                }
            }
        }
        List<CostResult> cost = null;
        if (scenario.cost() != null) {
            cost = new ArrayList<>();
            for (int servers : scenario.cost().servers()) {
                cost.add(new CostRun(scenario.cost(), scenario.seed()).run(servers));
                progress.accept(servers + " servers: cost measured");
            }
        }
        List<PathResult> path = null;
        if (scenario.path() != null) {
            path = new ArrayList<>();
            for (int rate : scenario.path().callsPerS()) {
                try (PathRun run = new PathRun(scenario.path(), scenario.seed())) {
                    path.add(run.run(rate));
                }
                progress.accept(rate + " calls a second: measured");
            }
        }
        return ScaleResult.of(scenario, fleet, lists, cost, path);
    }

    /** Writes {@code NAME.json} and {@code NAME.png} to a folder, made where there is none. */
    public static void write(ScaleResult result, Path folder) throws IOException {
        Files.createDirectories(folder);
        result.write(folder.resolve(result.scenario() + ".json"));
        Plots.write(result, folder.resolve(result.scenario() + ".png"));
    }
}
