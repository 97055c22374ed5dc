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

/**
 * Tests that discovery, backends and the admin address keep working from the reserved descriptors when
 * descriptors run out.
 */
@Timeout(120)
class DescriptorReserveTest {

    /** The number of clients that connect at a time without sending a request. */
    private static final int IDLE_CLIENT_COUNT = 300;

    @TempDir
    Path folder;

    /**
     * Discovery must stay reachable while requests in flight use all counted sockets, none of which may be
     * closed.
     */
    @Test
    void reachesDiscoveryWhileRequestsInFlightUseAllSockets() throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.maxSockets = 8;
            bench.drainGraceUs = 5_000_000;
            bench.start(folder);
            for (int i = 0; i < 6; i++) {
                // After six failed calls the proxy waits for most of a second before the next one.
                bench.discovery.next().reply(503, "");
            }
            // Connections may use four of the eight descriptors: two from clients, one to each backend.
            TestBench.Client firstClient = bench.client().sendLook("one");
            StubServer.Message firstRequest = bench.backends.get(bench.awaitBackendWithRequest()).next();
            TestBench.Client secondClient = bench.client().sendLook("other");
            StubServer.Message secondRequest = bench.backends.get(bench.awaitBackendWithRequest()).next();
            StubServer.Message recoveredCall = bench.discovery.next();
            recoveredCall.reply(200, TestBench.listJson(2, true, bench.entry(0, "terminating"),
                    bench.entry(1, "terminating")));
            assertTrue(bench.discovery.next().line().contains("index=2"),
                    "the list with the drain must be applied");
            firstRequest.reply(200, "");
            secondRequest.reply(200, "");
            assertEquals(200, firstClient.status(), "the request was in flight during the drain");
            assertEquals(200, secondClient.status(), "the request was in flight during the drain");
        }
    }

    /** A connection to discovery must not close another one, even if all counted sockets are in use. */
    @Test
    void connectsToDiscoveryWithoutClosingAnotherConnection() throws Exception {
        EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (StubServer discovery = new StubServer()) {
            Sockets sockets = new Sockets(4, 0);
            sockets.setEvictors(() -> {
                throw new AssertionError("a connection was closed for the one to discovery");
            });
            assertTrue(sockets.tryAcquire());
            int openBefore = sockets.openCount();
            Bootstrap bootstrap = new Bootstrap().group(eventLoops).channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter());
            var connectedResult = eventLoops.next().<Boolean>newPromise();
            Channel channel = sockets.connectReserved(bootstrap, eventLoops.next(),
                    Config.address(discovery.address()),
                    connected -> connectedResult.setSuccess(connected.isSuccess()));
            assertTrue(connectedResult.get(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(openBefore, sockets.openCount(), "the connection to discovery must not be counted");
            channel.close().sync();
            assertEquals(openBefore, sockets.openCount(),
                    "closing an uncounted connection must not change the count");
        } finally {
            eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /**
     * The process has a descriptor limit equal to its settings and hundreds of idle clients. Discovery fails
     * and then returns with a drain. The process must apply the drain, serve requests and answer on its admin
     * address.
     */
    @Test
    void idleClientsDoNotBlockDiscoveryBackendsOrAdminAddress() throws Exception {
        int descriptorLimit = 128;
        // In production there is one jar on the class path; here each jar needs a descriptor.
        int jarCount = System.getProperty("java.class.path").split(File.pathSeparator).length;
        int listenPort = TestBench.freePort();
        int adminPort = TestBench.freePort();
        try (TestBench bench = new TestBench(2)) {
            bench.maxSockets = descriptorLimit;
            bench.useProxyAt(listenPort);
            Path configFile = Files.writeString(folder.resolve("config.json"),
                    bench.configJson(listenPort, bench.fullList(1)));
            try (Program proxy = new Program("ulimit -n " + (descriptorLimit + jarCount - 1),
                    Map.of("GW_CONFIG", configFile.toString(),
                    "GW_ADMIN_ADDR", TestBench.HOST + ":" + adminPort, "TMPDIR",
                    Files.createDirectories(folder.resolve("own")).toString()), "proxy")) {
                StubServer.Message firstCall = bench.discovery.next();
                firstCall.reply(200, bench.fullList(2));
                StubServer.Message watchCall = bench.discovery.next();
                Program.await(30, proxy.lines::toString, () -> isReady(adminPort));

                watchCall.resetConnection();
                connectIdleClients(bench);
                StubServer.Message failedCall = bench.discovery.next();
                failedCall.reply(503, "");
                connectIdleClients(bench);
                StubServer.Message recoveredCall = bench.discovery.next();
                recoveredCall.reply(200, TestBench.listJson(3, true, bench.entry(0, "terminating"),
                        bench.entry(1, "in_service")));
                assertTrue(bench.discovery.next().line().contains("index=3"),
                        "the list with the drain must be applied");
                for (int i = 0; i < 5; i++) {
                    assertEquals(1, bench.serveOneRequest());
                }
                assertTrue(isReady(adminPort), "the admin address must answer");
                assertFalse(proxy.lines.toString().contains("Too many open files"), proxy.lines::toString);
            }
        }
    }

    private static void connectIdleClients(TestBench bench) throws IOException {
        for (int i = 0; i < IDLE_CLIENT_COUNT; i++) {
            bench.client();
        }
    }

    private static boolean isReady(int adminPort) {
        try {
            return TestBench.callAdmin(adminPort, "GET", "/ops/readiness", "") == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
