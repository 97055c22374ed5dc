package larkworks.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import larkworks.platform.ConfigFile.Unusable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Scenario files: what is read, and how a wrong one is told. */
class ScenarioTest {

    @TempDir
    private Path folder;

    private Scenario read(String text) throws IOException, Unusable {
        Path file = folder.resolve("s.toml");
        Files.writeString(file, text);
        return Scenario.read(file);
    }

    @Test
    void readsAFleetWithItsFaultsInTheirOrder() throws Exception {
        Scenario scenario = read("""
                name = "s"
                seed = 7
                [fleet]
                members = [10, 20]
                regions = 2
                zones = 5
                [fleet.membership]
                probe_interval_ms = 100
                [fleet.faults.second]
                kind = "cut"
                target = "region"
                for_s = 60
                [fleet.faults.first]
                kind = "kill"
                """);
        assertEquals(7, scenario.seed());
        assertNull(scenario.lists());
        assertEquals(List.of(10, 20), scenario.fleet().members());
        assertEquals(new Topology(2, 5, 20), scenario.fleet().topology());
        assertEquals(100_000, scenario.fleet().membership().probeIntervalUs());
        assertNull(scenario.fleet().shared());
        assertEquals(List.of(new Fault("second", Fault.Kind.CUT, Topology.Scope.REGION, 60, 1, 0),
                new Fault("first", Fault.Kind.KILL, Topology.Scope.ONE, 0, 1, 0)), scenario.fleet().faults());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "[fleet]                          | fleet.members: a list of whole numbers from 2 to 5000 is wanted",
        "[fleet]~members = [1]            | fleet.members: a list of whole numbers from 2 to 5000 is wanted, "
                + "not '[1]'",
        "[fleet]~members = [2]~zones = 0  | fleet.zones: a whole number from 1 to 64 is wanted, not '0'",
        "[fleet]~members = [2]~loss = 1.0 | fleet.loss: a number from 0 to 0.99 is wanted, not '1.0'",
        "[fleet]~members = [2]~rate = 1   | fleet.rate: no such key",
        "[fleet]~members = [2]~[fleet.faults.f]~kind = \"burn\" | fleet.faults.f.kind: one of cut, kill, "
                + "pause, restart is wanted, not 'burn'",
        "[lists]~watchers = [2]~[lists.faults.f]~kind = \"pause\" | lists.faults.f.kind: one of cut, kill, "
                + "restart, service_kill, service_pause is wanted, not 'pause'",
        "[lists]~watchers = [2]~heap_mb = 1 | lists.heap_mb: a whole number from 16 to 4096 is wanted, "
                + "not '1'",
        "[cost]~servers = [0]             | cost.servers: a list of whole numbers from 1 to 20000 is wanted, "
                + "not '[0]'",
        "seed = 1                         | fleet: a table of this name, or lists, cost or path, is wanted",
    })
    void tellsWhatIsWrongWithWhichKey(String text, String fault) throws IOException {
        Unusable thrown = assertThrows(Unusable.class,
                () -> read("name = \"s\"\n" + text.replace('~', '\n')));
        assertTrue(thrown.faults().contains(fault), thrown.getMessage());
    }

    @Test
    void theScenariosOfTheCapacityPageCanBeRead() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("docs/capacity"))) {
            List<Path> scenarios = files.filter(file -> file.toString().endsWith(".toml")).toList();
            assertTrue(scenarios.size() > 5, scenarios.toString());
            for (Path scenario : scenarios) {
                assertEquals(scenario.getFileName().toString(), Scenario.read(scenario).name() + ".toml");
            }
        }
    }
}
