package larkworks.cli;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import larkworks.platform.LogSettings;
import larkworks.platform.Logs;
import larkworks.registry.Registry;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** {@code larkworks registry}. */
@Command(name = "registry", description = "Serves the list of backends until SIGTERM.")
final class RegistryCommand extends Common implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(names = "--listen", required = true, paramLabel = "IP:PORT", converter = AddressConverter.class,
            description = "Where callers connect; port 0 takes a free one, which the log tells.")
    private InetSocketAddress listen;

    @Option(names = "--data", required = true, paramLabel = "DIR",
            description = "The data directory, made where there is none.")
    private Path data;

    @Option(names = "--snapshot-bytes", paramLabel = "N", defaultValue = "4194304",
            description = "Length of the log at which a snapshot is written (${DEFAULT-VALUE}).")
    private long snapshotBytes;

    @Option(names = "--max-tombstones", paramLabel = "N", defaultValue = "10000",
            description = "Removed instances remembered for watches from before (${DEFAULT-VALUE}).")
    private int maxTombstones;

    @Option(names = "--max-new-share", paramLabel = "SHARE", defaultValue = "0", description = "Share of the "
            + "tier that may be new at a time, its weight raised in steps; 0 admits all at once.")
    private double maxNewShare;

    @Option(names = "--ramp-steps", paramLabel = "SHARE", split = ",", defaultValue = "0.1,0.25,0.5",
            description = "Shares of its weight that a new server goes through (${DEFAULT-VALUE}).")
    private List<Double> rampSteps;

    @Option(names = "--ramp-ms", paramLabel = "MS", defaultValue = "5000",
            description = "How long each of these steps lasts (${DEFAULT-VALUE}).")
    private long rampMs;

    @Override
    public Integer call() throws Exception {
        want(snapshotBytes >= 1, "--snapshot-bytes: 1 or more is wanted");
        want(maxTombstones >= 0, "--max-tombstones: 0 or more is wanted");
        want(maxNewShare >= 0 && maxNewShare <= 1, "--max-new-share: 0 to 1 is wanted");
        want(rampSteps.stream().allMatch(s -> s > 0 && s <= 1),
                "--ramp-steps: above 0, 1 at most, is wanted");
        want(rampMs >= 0, "--ramp-ms: 0 or more is wanted");
        Logs.start(LogSettings.defaults(), Map.of());
        Registry registry = new Registry(new Registry.Settings(listen, data, snapshotBytes, maxTombstones,
                maxNewShare, rampSteps, rampMs));
        Shutdown.hook(registry);
        return 0;
    }

    private void want(boolean holds, String what) {
        if (!holds) {
            throw new ParameterException(spec.commandLine(), what);
        }
    }
}
