package larkworks.cli;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Callable;
import larkworks.platform.ConfigFile.Unusable;
import larkworks.proxy.Main;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;

/** {@code larkworks proxy}. */
@Command(name = "proxy", description = "Serves as one proxy until SIGTERM.")
final class ProxyCommand extends Common implements Callable<Integer> {

    @Option(names = "--config", paramLabel = "FILE", defaultValue = "${env:GW_CONFIG}",
            description = "The configuration, TOML or the platform's JSON; GW_CONFIG if not given.")
    private Path config;

    @Option(names = "--listen", paramLabel = "IP:PORT", description = "Goes before the file's listen.")
    private String listen;

    @Option(names = "--discovery", paramLabel = "IP:PORT", description = "Goes before the file's discovery.")
    private String discovery;

    @Option(names = "--admin", paramLabel = "IP:PORT",
            description = "The operators' address; goes before GW_ADMIN_ADDR and the file's admin_addr.")
    private String admin;

    @Override
    public Integer call() throws Unusable, InterruptedException {
        Map<String, String> flags = new HashMap<>();
        flags.put("listen", listen);
        flags.put("discovery", discovery);
        flags.put("admin_addr", admin);
        flags.values().removeIf(Objects::isNull);
        Main.run(config == null ? null : config.toString(), flags);
        return ExitCode.OK;
    }

    /** The platform's start, without a command line to read: its file is the environment's. */
    static int start() {
        try {
            Main.run(System.getenv("GW_CONFIG"), Map.of());
            return ExitCode.OK;
        } catch (Unusable | InterruptedException | RuntimeException e) {
            System.err.println(Larkworks.told(e));
            return Larkworks.status(e);
        }
    }
}
