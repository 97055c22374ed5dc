package larkworks.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import larkworks.platform.ConfigFile.Unusable;
import larkworks.proxy.Config;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code larkworks check-config}. */
@Command(name = "check-config", description = "Says whether a proxy could start with a configuration, and "
        + "what is wrong with it, a line each.")
final class CheckConfigCommand extends Common implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The configuration, TOML or the platform's JSON.")
    private Path file;

    @Override
    public Integer call() {
        try {
            Config.read(file.toString(), System.getenv(), Map.of());
            spec.commandLine().getOut().println(file + ": ok");
            return ExitCode.OK;
        } catch (Unusable e) {
            e.faults().forEach(fault -> spec.commandLine().getErr().println(file + ": " + fault));
            return ExitCode.USAGE;
        }
    }
}
