package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import larkworks.Program;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Descriptors run out while discovery is down: what the reserve is for keeps working. */
@Timeout(120)
class DescriptorReserveTest {

    /** Idle clients that connect and ask nothing. */
    private static final int CROWD = 300;

    @TempDir
    Path folder;

    /** Requests in flight hold every socket there is, none of which may be closed for discovery. */
    @Test
    void reachesDiscoveryThoughRequestsInFlightHoldAllSockets() throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.maxSockets = 8;
            bench.drainGraceUs = 5_000_000;
            bench.start(folder);
            for (int i = 0; i < 6; i++) {
                // Down for some calls: their pauses have grown to most of a second then.
                bench.discovery.next().reply(503, "");
            }
            // Of eight descriptors four are for connections: two clients', and one to each backend.
            TestBench.Client one = bench.client().sendLook("one");
            StubServer.Message first = bench.backends.get(bench.awaitBackendWithRequest()).next();
            TestBench.Client other = bench.client().sendLook("other");
            StubServer.Message second = bench.backends.get(bench.awaitBackendWithRequest()).next();
            StubServer.Message again = bench.discovery.next();
            again.reply(200, TestBench.listJson(2, true, bench.entry(0, "terminating"),
                    bench.entry(1, "terminating")));
            assertTrue(bench.discovery.next().line().contains("index=2"), "the drain was taken");
            first.reply(200, "");
            second.reply(200, "");
            assertEquals(200, one.status(), "was in flight all the time");
            assertEquals(200, other.status(), "was in flight all the time");
        }
    }

    /** A reconnect closes nobody's connection, also where all sockets are taken. */
    @Test
    void connectsToDiscoveryWithoutClosingAnotherConnection() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (StubServer discovery = new StubServer()) {
            Sockets sockets = new Sockets(4, 0);
            sockets.setEvictors(() -> {
                throw new AssertionError("a connection is closed");
            });
            assertTrue(sockets.tryAcquire());
            int before = sockets.openCount();
            Bootstrap bootstrap = new Bootstrap().group(group).channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter());
            var up = group.next().<Boolean>newPromise();
            Channel channel = sockets.connectReserved(bootstrap, group.next(),
                    Config.address(discovery.address()), connected -> up.setSuccess(connected.isSuccess()));
            assertTrue(up.get(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(before, sockets.openCount(), "counted apart");
            channel.close().sync();
            assertEquals(before, sockets.openCount(), "nothing is given back that was not taken");
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /**
     * A process that the system gives no more descriptors than the settings say, with hundreds of idle
     * clients, discovery down and then back with a drain: it hears of it, serves, and answers the operators.
     */
    @Test
    void aCrowdOfIdleClientsKeepsNeitherDiscoveryNorBackendsNorOperatorsOut() throws Exception {
        int descriptors = 128;
        // In service there is one jar; here the system counts each of the tests' own.
        int jars = System.getProperty("java.class.path").split(File.pathSeparator).length;
        int listen = TestBench.freePort();
        int admin = TestBench.freePort();
        try (TestBench bench = new TestBench(2)) {
            bench.maxSockets = descriptors;
            bench.useProxyAt(listen);
            Path config = Files.writeString(folder.resolve("config.json"),
                    bench.configJson(listen, bench.fullList(1)));
            try (Program proxy = new Program("ulimit -n " + (descriptors + jars - 1), Map.of("GW_CONFIG",
                    config.toString(), "GW_ADMIN_ADDR", TestBench.HOST + ":" + admin, "TMPDIR",
                    Files.createDirectories(folder.resolve("own")).toString()), "proxy")) {
                StubServer.Message call = bench.discovery.next();
                call.reply(200, bench.fullList(2));
                StubServer.Message watch = bench.discovery.next();
                Program.await(30, proxy.lines::toString, () -> ready(admin));

                watch.reset();
                crowd(bench);
                StubServer.Message down = bench.discovery.next();
                down.reply(503, "");
                crowd(bench);
                StubServer.Message back = bench.discovery.next();
                back.reply(200, TestBench.listJson(3, true, bench.entry(0, "terminating"),
                        bench.entry(1, "in_service")));
                assertTrue(bench.discovery.next().line().contains("index=3"), "the drain was taken");
                for (int i = 0; i < 5; i++) {
                    assertEquals(1, bench.serveOneRequest());
                }
                assertTrue(ready(admin), "the operators' address answers");
                assertFalse(proxy.lines.toString().contains("Too many open files"), proxy.lines::toString);
            }
        }
    }

    private static void crowd(TestBench bench) throws IOException {
        for (int i = 0; i < CROWD; i++) {
            bench.client();
        }
    }

    private static boolean ready(int admin) {
        try {
            return TestBench.callAdmin(admin, "GET", "/ops/readiness", "") == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
