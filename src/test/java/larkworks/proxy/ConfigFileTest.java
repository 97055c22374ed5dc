package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import larkworks.platform.ConfigFile.Unusable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.event.Level;

/** Tests that a proxy's TOML configuration is read, and that all errors in it are reported at once. */
class ConfigFileTest {

    private static final String VALID_CONFIG = """
            name = "n3"
            listen = "127.0.0.1:9000"
            discovery = ["127.0.0.1:8500", "127.0.0.2:8500"]
            seed = "8c1f30d27a5be964"
            admin_addr = "127.0.0.1:9001"
            peer_listen = "127.0.0.1:7946"
            peers = ["127.0.0.1:7946", "127.0.0.2:7946"]

            [limits]
            sockets = 4096

            [membership]
            probe_interval_ms = 250

            [logs]
            level = "warn"
            levels = {members = "debug"}

            [metrics]
            enabled = true

            [settings]
            balancers = 2
            me = 0
            fees = {probe = 0.0}
            dcs = ["a"]
            categories = [
              {name = "look", effect = "pure", goalTimeUs = 200000, deadlineUs = 1000000, worth = 1}]

            [settings.limits]
            connectTimeoutUs = 150000
            keepaliveUs = 10000000
            maxAttempts = 3

            [settings.rules]
            drainGraceUs = 1000000
            coldFrom = 0.5
            coldUs = 1000000
            tipMultiple = 2.5
            """;

    @TempDir
    Path folder;

    private Config read(String text, Map<String, String> environment, Map<String, String> flags)
            throws Exception {
        Path file = Files.writeString(folder.resolve("proxy.toml"), text);
        return Config.read(file.toString(), environment, flags);
    }

    @Test
    void readsTomlWithOverridesFromFlagsAndTheEnvironment() throws Exception {
        Config config = read(VALID_CONFIG, Map.of("GW_ADMIN_ADDR", "127.0.0.1:7", "GW_LISTEN", "127.0.0.1:8"),
                Map.of("discovery", "127.0.0.1:9"));
        assertEquals(7, config.adminAddress().getPort());
        assertEquals(9000, config.listen().getPort(),
                "GW_LISTEN applies only where the file has no listen address");
        assertEquals(List.of(9), config.discovery().stream().map(a -> a.getPort()).toList());
        assertEquals(250_000, config.fleet().settings().probeIntervalUs());
        assertEquals(100_000, config.fleet().settings().probeTimeoutUs(), "derived from the interval");
        assertEquals(Level.DEBUG, config.logs().levels().get("members"));
        String configWithoutListen = VALID_CONFIG.replaceFirst("listen.*\n", "");
        assertEquals(8,
                read(configWithoutListen, Map.of("GW_LISTEN", "127.0.0.1:8"), Map.of()).listen().getPort());
    }

    @Test
    void findsItselfAmongThePeersByAddressOrElseByItsIndexInTheSettings() throws Exception {
        assertEquals(0, read(VALID_CONFIG, Map.of(), Map.of()).fleet().self());
        String configWithOtherAddress = VALID_CONFIG.replace("peer_listen = \"127.0.0.1:7946\"",
                "peer_listen = \"127.0.0.9:1\"");
        assertEquals(1,
                read(configWithOtherAddress.replace("me = 0", "me = 1"), Map.of(), Map.of()).fleet().self());
    }

    @Test
    void reportsAllErrorsAtOnce() {
        String invalidConfig = VALID_CONFIG.replace("listen = \"127.0.0.1:9000\"", "listen = \"here\"")
                .replace("sockets = 4096", "sockets = \"many\"\nsocks = 1")
                .replace("probe_interval_ms = 250", "probe_interval_ms = 0\nprobe_interval = 5")
                .replace("127.0.0.2:7946", "127.0.0.1:7946").replace("\"warn\"", "\"loud\"")
                .replace("coldFrom = 0.5", "coldFrom = 7");
        List<String> faults = assertThrows(Unusable.class, () -> read(invalidConfig, Map.of(), Map.of()))
                .faults();
        for (String expected : List.of("listen: IP:PORT is wanted, not 'here'",
                "limits.sockets: a whole number from 1 to 2147483647 is wanted, not 'many'",
                "limits.socks: no such key",
                "membership.probe_interval_ms: a number from 1 to 600000 is wanted, not '0'",
                "membership.probe_interval: no such key", "peers: 127.0.0.1:7946 stands twice",
                "logs.level: one of trace, debug, info, warn, error is wanted, not 'loud'")) {
            assertTrue(faults.contains(expected), expected + " is not in " + String.join("\n", faults));
        }
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("settings: ") && f.contains("coldFrom")),
                faults.toString());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "name = [                     | line 1, column",
        "{\"name\": \"n\"}            | line 1, column",
        "name = \"a\" ~ name = \"b\"   | line 2",
    })
    void reportsWhereAFileIsInvalidToml(String text, String expectedPosition) {
        Unusable e = assertThrows(Unusable.class, () -> read(text.replace("~", "\n"), Map.of(), Map.of()));
        assertTrue(e.faults().get(0).contains(expectedPosition), e.getMessage());
        assertEquals(1, e.getMessage().lines().count(), e.getMessage());
    }
}
