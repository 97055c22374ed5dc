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

/** A proxy process and our list service's, with a relay between them that fails (issue 10). */
@Timeout(120)
class OutageTest {

    @TempDir
    Path folder;

    private TestBench bench;
    private Program service;
    private Program proxy;
    private TcpRelay relay;
    private Caller caller;

    @BeforeEach
    void prepare() throws Exception {
        bench = new TestBench(2);
        service("data");
        relay = new TcpRelay(address());
        register(0);
    }

    /** Starts the proxy while the service is out of reach; then it is back, and serves as the list says. */
    private void start(String discovery) throws Exception {
        // What is known from before names the second backend only.
        String known = TestBench.listJson(9, true, bench.entry(1, "in_service"));
        bench.useProxyAt(TestBench.freePort());
        Path config = Files.writeString(folder.resolve("config.json"), bench.configJson(bench.port(), known)
                .replace('"' + bench.discovery.address() + '"', discovery));
        relay.refuse(true);
        proxy = new Program("", Map.of("GW_CONFIG", config.toString()), "proxy");
        Program.await(20, proxy.lines::toString, () -> relay.refused.get() > 2);
        assertEquals(1, bench.serveOneRequest(), "from what is known, as the service is down at the start");
        relay.refuse(false);
        awaitServedBy(0);
    }

    @AfterEach
    void end() throws Exception {
        proxy.close();
        service.close();
        relay.close();
        bench.close();
    }

    private void service(String data) throws Exception {
        service = new Program("", Map.of(), "registry", "--listen", "127.0.0.1:0", "--data",
                folder.resolve(data).toString());
        caller = new Caller((String) service.logged("serving").get("address"));
    }

    private InetSocketAddress address() throws Exception {
        return Addresses.parse(service.logged("serving").get("address"));
    }

    private void register(int backend) throws Exception {
        assertEquals(200, caller.register("b" + backend, bench.backends.get(backend).address(), "").status());
    }

    private void awaitServedBy(int backend) throws Exception {
        int[] row = {0};
        Program.await(15, proxy.lines::toString, () -> {
            try {
                row[0] = bench.serveOneRequest() == backend ? row[0] + 1 : 0;
                return row[0] == 5;
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Test
    void servesFromTheLastListThroughAnOutageAndConvergesAfterIt() throws Exception {
        start("[\"127.0.0.1:1\",\"" + relay.address() + "\"]");  // nobody listens at the first
        relay.refuse(true);
        service.kill();
        int before = relay.refused.get();
        // Several attempts with growing pauses: the outage lasts well past the longest.
        Program.await(30, proxy.lines::toString, () -> relay.refused.get() >= before + 7);
        assertEquals(0, bench.serveOneRequest());
        service("data");
        relay.target(address());
        caller.status("b0", "terminating");
        register(1);
        assertEquals(0, bench.serveOneRequest(), "not told yet");
        relay.refuse(false);
        awaitServedBy(1);
    }

    @Test
    void noticesAConnectionGoneSilent() throws Exception {
        start('"' + relay.address() + '"');
        relay.silence();
        register(1);
        caller.status("b0", "terminating");
        awaitServedBy(1);
    }

    @Test
    void takesNoChangesOfAnotherList() throws Exception {
        start('"' + relay.address() + '"');
        relay.refuse(true);
        service.kill();
        service("other");  // the data is lost: its index passes the old one, and b0 was never in it
        caller.register("x", "127.0.0.1:2", "");
        caller.status("x", "terminated");
        register(1);
        relay.target(address());
        relay.refuse(false);
        awaitServedBy(1);
        for (int i = 0; i < 10; i++) {
            assertEquals(1, bench.serveOneRequest(), "b0 stands in no list of this service");
        }
        assertTrue(proxy.lines.toString().contains("do not apply to the list in force"),
                proxy.lines::toString);
    }
}
