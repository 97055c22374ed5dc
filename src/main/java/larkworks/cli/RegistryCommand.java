package larkworks.cli;

import java.net.InetSocketAddress;
import java.nio.file.Path;
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

    @Override
    public Integer call() throws Exception {
        if (snapshotBytes < 1 || maxTombstones < 0) {
            throw new ParameterException(spec.commandLine(),
                    "--snapshot-bytes of 1 or more and --max-tombstones of 0 or more are wanted");
        }
        Logs.start(LogSettings.defaults(), Map.of());
        Registry registry = new Registry(new Registry.Settings(listen, data, snapshotBytes, maxTombstones));
        Shutdown.hook(registry);
        return 0;
    }
}
