package larkworks.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import larkworks.fleet.Agent;
import larkworks.fleet.FleetConfig;
import larkworks.platform.ConfigFile;
import larkworks.platform.ConfigFile.Unusable;
import larkworks.platform.LogSettings;
import larkworks.platform.Logs;
import larkworks.platform.Section;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code larkworks member}. */
@Command(name = "member", description = "Takes part in the membership of a fleet, and does nothing else, "
        + "until SIGTERM.")
final class MemberCommand extends Common implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", description = "TOML or JSON with peer_listen, peers, and perhaps "
            + "peers_all, member and membership.")
    private Path config;

    @Override
    public Integer call() throws Unusable, InterruptedException {
        Section top = Section.top(ConfigFile.read(config));
        FleetConfig fleet = FleetConfig.of(top);
        LogSettings logs = LogSettings.of(top.optionalSection("logs"));
        if (!top.faults().isEmpty()) {
            throw new Unusable(config.toString(), top.faults());
        }
        Logs.start(logs, Map.of());
        Shutdown.hook(new Agent(fleet));
        return 0;
    }
}
