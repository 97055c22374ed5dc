package larkworks.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import larkworks.proxy.Main;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code larkworks proxy}. */
@Command(name = "proxy", description = "Serves as one proxy until SIGTERM.")
final class ProxyCommand extends Common implements Callable<Integer> {

    @Option(names = "--config", paramLabel = "FILE", defaultValue = "${env:GW_CONFIG}",
            description = "The configuration; GW_CONFIG if not given.")
    private Path config;

    @Override
    public Integer call() throws InterruptedException {
        return Main.run(config == null ? null : config.toString());
    }
}
