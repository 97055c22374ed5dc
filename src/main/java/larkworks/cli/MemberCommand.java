package larkworks.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import larkworks.adapter.Json;
import larkworks.cli.Larkworks.BadConfiguration;
import larkworks.fleet.Agent;
import larkworks.fleet.FleetConfig;
import larkworks.platform.Logs;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code larkworks member}. */
@Command(name = "member", description = "Takes part in the membership of a fleet, and does nothing else, "
        + "until SIGTERM.")
final class MemberCommand extends Common implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", description = "JSON with peer_listen, peers, and perhaps peers_all, "
            + "member and membership.")
    private Path config;

    @Override
    public Integer call() throws Exception {
        FleetConfig fleet;
        try {
            fleet = FleetConfig.of(Json.object(Files.readAllBytes(config)));
        } catch (IOException | IllegalArgumentException e) {
            throw new BadConfiguration(config + ": " + e.getMessage());
        }
        Logs.start(System.out, Map.of());
        Shutdown.hook(new Agent(fleet));
        return 0;
    }
}
