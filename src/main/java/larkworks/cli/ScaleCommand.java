package larkworks.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import larkworks.scale.ScaleResult;
import larkworks.scale.ScaleRun;
import larkworks.scale.Scenario;
import larkworks.scale.Slope;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code larkworks scale}. */
@Command(name = "scale", description = "Runs hollow members, proxies and backends through a scenario and "
        + "writes what they came to: NAME.json and NAME.png.")
final class ScaleCommand extends Common implements Callable<Integer> {

    private static final String LINE =
            "%s: %.6g + %.6g * %s, residual %.3g, worst point %.1f %% off%n";

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The scenario, TOML or JSON; see docs/CAPACITY.md.")
    private Path file;

    @Option(names = "--out", paramLabel = "DIR", defaultValue = ".", description = "Where the results go "
            + "(${DEFAULT-VALUE}).")
    private Path out;

    @Option(names = "--seed", paramLabel = "N", description = "In place of the scenario's.")
    private Long seed;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = Scenario.read(file);
        ScaleResult result = ScaleRun.run(seed == null ? scenario : scenario.seeded(seed),
                line -> spec.commandLine().getErr().println(line));
        ScaleRun.write(result, out);
        for (Slope slope : result.slopes()) {
            spec.commandLine().getOut().printf(LINE, slope.what(), slope.intercept(), slope.slope(),
                    slope.against(), slope.residual(), 100 * slope.worst());
        }
        spec.commandLine().getOut().flush();
        return 0;
    }
}
