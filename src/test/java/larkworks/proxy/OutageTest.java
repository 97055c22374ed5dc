package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import larkworks.Program;
import larkworks.TcpRelay;
import larkworks.platform.Addresses;
import larkworks.registry.Caller;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests a proxy process and a registry process whose connection fails at a relay (issue 10). */
@Timeout(120)
class OutageTest {

    @TempDir
    Path folder;

    private TestBench bench;
    private Program registry;
    private Program proxy;
    private TcpRelay relay;
    private Caller registryClient;

    @BeforeEach
    void setUp() throws Exception {
        bench = new TestBench(2);
        startRegistry("data");
        relay = new TcpRelay(registryAddress());
        register(0);
    }

    /**
     * Starts the proxy while the registry is unreachable. Checks that it serves by the list in its
     * configuration and, once the registry is reachable, by the registry's list.
     */
    private void startProxy(String discoveryJson) throws Exception {
        // The list in the configuration contains the second backend only.
        String knownList = TestBench.listJson(9, true, bench.entry(1, "in_service"));
        bench.useProxyAt(TestBench.freePort());
        Path config = Files.writeString(folder.resolve("config.json"),
                bench.configJson(bench.port(), knownList)
                .replace('"' + bench.discovery.address() + '"', discoveryJson));
        relay.setRefusing(true);
        proxy = new Program("", Map.of("GW_CONFIG", config.toString()), "proxy");
        Program.await(20, proxy.lines::toString, () -> relay.refusedConnections.get() > 2);
        assertEquals(1, bench.serveOneRequest(),
                "must be served by the known list while the registry is unreachable");
        relay.setRefusing(false);
        awaitServedBy(0);
    }

    @AfterEach
    void tearDown() throws Exception {
        proxy.close();
        registry.close();
        relay.close();
        bench.close();
    }

    private void startRegistry(String folderName) throws Exception {
        registry = new Program("", Map.of(), "registry", "--listen", "127.0.0.1:0", "--data",
                folder.resolve(folderName).toString());
        registryClient = new Caller((String) registry.awaitLogLine("serving").get("address"));
    }

    private InetSocketAddress registryAddress() throws Exception {
        return Addresses.parse(registry.awaitLogLine("serving").get("address"));
    }

    private void register(int backend) throws Exception {
        assertEquals(200,
                registryClient.register("b" + backend, bench.backends.get(backend).address(), "").status());
    }

    private void awaitServedBy(int backend) throws Exception {
        int[] servedInARow = {0};
        Program.await(15, proxy.lines::toString, () -> {
            try {
                servedInARow[0] = bench.serveOneRequest() == backend ? servedInARow[0] + 1 : 0;
                return servedInARow[0] == 5;
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Test
    void servesFromTheLastListThroughAnOutageAndConvergesAfterIt() throws Exception {
        startProxy("[\"127.0.0.1:1\",\"" + relay.address() + "\"]");  // nothing listens at the first address
        relay.setRefusing(true);
        registry.kill();
        int refusedCountBefore = relay.refusedConnections.get();
        // The outage lasts for several attempts, until well after the pause between them is at its maximum.
        Program.await(30, proxy.lines::toString,
                () -> relay.refusedConnections.get() >= refusedCountBefore + 7);
        assertEquals(0, bench.serveOneRequest());
        startRegistry("data");
        relay.setTarget(registryAddress());
        registryClient.status("b0", "terminating");
        register(1);
        assertEquals(0, bench.serveOneRequest(), "the proxy has not received the new list yet");
        relay.setRefusing(false);
        awaitServedBy(1);
    }

    @Test
    void appliesChangesThoughAConnectionStopsDelivering() throws Exception {
        startProxy('"' + relay.address() + '"');
        relay.blackholeOpenConnections();
        register(1);
        registryClient.status("b0", "terminating");
        awaitServedBy(1);
    }

    @Test
    void ignoresChangesToAnotherList() throws Exception {
        startProxy('"' + relay.address() + '"');
        relay.setRefusing(true);
        registry.kill();
        startRegistry("other");  // an empty folder: b0 is not in its list, whose index is higher
        registryClient.register("x", "127.0.0.1:2", "");
        registryClient.status("x", "terminated");
        register(1);
        relay.setTarget(registryAddress());
        relay.setRefusing(false);
        awaitServedBy(1);
        for (int i = 0; i < 10; i++) {
            assertEquals(1, bench.serveOneRequest(), "b0 is in no list of the new registry");
        }
        assertTrue(proxy.lines.toString().contains("do not apply to the list in force"),
                proxy.lines::toString);
    }
}
