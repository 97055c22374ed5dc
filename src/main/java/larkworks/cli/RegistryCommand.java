package larkworks.cli;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import larkworks.platform.ConfigFile;
import larkworks.platform.ConfigFile.Unusable;
import larkworks.platform.LogSettings;
import larkworks.platform.Logs;
import larkworks.platform.Section;
import larkworks.registry.Registry;
import larkworks.registry.ReplicaSettings;
import larkworks.registry.ReplicatedRegistry;
import org.slf4j.event.Level;
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

    @Option(names = "--replicas", paramLabel = "FILE", description = "TOML with a replicas table: "
            + "this is one of several replicas. Needs the jars of target/lib on the class path.")
    private Path replicas;

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

    /** The engine says at level info what each connection and election does. */
    private static final LogSettings LOGS = new LogSettings(Level.INFO,
            Map.of("org.apache.ratis", Level.ERROR));
    /** The consensus engine; its jars are not part of ours. */
    private static final String ENGINE = "org.apache.ratis.server.RaftServer";

    @Override
    public Integer call() throws Exception {
        want(snapshotBytes >= 1, "--snapshot-bytes: 1 or more is wanted");
        want(maxTombstones >= 0, "--max-tombstones: 0 or more is wanted");
        want(maxNewShare >= 0 && maxNewShare <= 1, "--max-new-share: 0 to 1 is wanted");
        want(rampSteps.stream().allMatch(s -> s > 0 && s <= 1),
                "--ramp-steps: above 0, 1 at most, is wanted");
        want(rampMs >= 0, "--ramp-ms: 0 or more is wanted");
        Registry.Settings settings = new Registry.Settings(listen, data, snapshotBytes, maxTombstones,
                maxNewShare, rampSteps, rampMs);
        ReplicaSettings replica = replicas == null ? null : replica(replicas);
        Logs.start(LOGS, Map.of());
        Shutdown.hook(replica == null ? new Registry(settings) : new ReplicatedRegistry(settings, replica));
        return 0;
    }

    private static ReplicaSettings replica(Path file) throws Unusable {
        Section top = Section.top(ConfigFile.read(file));
        ReplicaSettings replica = ReplicaSettings.of(top.section("replicas"));
        top.refuseUnknown();
        if (!top.faults().isEmpty()) {
            throw new Unusable(file.toString(), top.faults());
        }
        try {
            Class.forName(ENGINE);
        } catch (ClassNotFoundException e) {
            throw new Unusable(file.toString(), List.of("replicas need the jars of target/lib on the class "
                    + "path: java -cp 'target/larkworks.jar:target/lib/*' larkworks.cli.Larkworks registry"));
        }
        return replica;
    }

    private void want(boolean holds, String what) {
        if (!holds) {
            throw new ParameterException(spec.commandLine(), what);
        }
    }
}
