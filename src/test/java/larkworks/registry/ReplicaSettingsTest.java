package larkworks.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.List;
import java.util.Map;
import larkworks.platform.Section;
import org.junit.jupiter.api.Test;

/** The replicas table of a list service's settings. */
class ReplicaSettingsTest {

    private static ReplicaSettings read(String toml, String... faults) throws Exception {
        Section top = Section.top(new TomlMapper().readValue(toml, Map.class));
        ReplicaSettings settings = ReplicaSettings.of(top.section("replicas"));
        top.refuseUnknown();
        assertEquals(List.of(faults), top.faults());
        return settings;
    }

    @Test
    void aReplicaListensAtItsOwnAddressUnlessToldAnother() throws Exception {
        String table = "[replicas]\nid = \"b\"\n%s\n[replicas.addresses]\n"
                + "a = \"127.0.0.1:1\"\nb = \"127.0.0.1:2\"";
        assertEquals(2, read(table.formatted("")).listen().getPort());
        assertEquals(9, read(table.formatted("listen = \"127.0.0.1:9\"")).listen().getPort());
        assertEquals(700, read(table.formatted("stale_ms = 700")).staleMs());
    }

    @Test
    void allThatIsWrongIsToldAtOnce() throws Exception {
        read("[replicas]\nid = \"z\"\nelection_ms = 1\ncolour = 3\n[replicas.addresses]\n"
                + "a = \"127.0.0.1:1\"\n\"b/c\" = \"127.0.0.1:1\"",
                "replicas.addresses.b/c: an id of 1 to 32 letters, digits, - and _ is wanted",
                "replicas.addresses.b/c: another replica has the same address",
                "replicas.id: one of the replicas' ids is wanted, not 'z'",
                "replicas.election_ms: a whole number from 50 to 60000 is wanted, not '1'",
                "replicas.colour: no such key");
        read("[replicas]\nid = \"a\"", "replicas.addresses: a table is wanted",
                "replicas.addresses: 1 to 7 replicas are wanted",
                "replicas.id: one of the replicas' ids is wanted, not 'a'");
    }
}
