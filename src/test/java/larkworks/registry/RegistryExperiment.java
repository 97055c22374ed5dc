package larkworks.registry;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import larkworks.Program;
import larkworks.platform.Addresses;

/**
 * Issue 10's figures, not a test: {@code java -cp target/test-classes:target/larkworks.jar
 * larkworks.registry.RegistryExperiment}. A service process and its callers on this machine: the time from a
 * write's sending until all watches have heard of it, with 10, 100 and 1,000 watches; writes a second
 * acknowledged with fsync; memory a watch; the time to start over logs of growing length.
 */
public final class RegistryExperiment {

    private static final int CHANGES = 200;

    private RegistryExperiment() { }

    /** Runs all of it; prints a line a figure. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("registry");
        try (Program service = start(folder.resolve("watches"), 4 << 20)) {
            String address = (String) service.awaitLogLine("serving").get("address");
            Caller caller = new Caller(address);
            caller.register("b", "10.0.0.1:1", "");
            for (int watches : List.of(10, 100, 1_000)) {
                long before = rss(service);
                try (Watchers watchers = new Watchers(address, watches)) {
                    watchers.hear(caller, 20);  // warm
                    List<Double> ms = watchers.hear(caller, CHANGES);
                    ms.sort(null);
                    System.out.printf("watches=%d changes=%d to-all median=%.2f ms p99=%.2f ms rss +%d KB%n",
                            watches, CHANGES, ms.get(CHANGES / 2), ms.get(CHANGES * 99 / 100 - 1),
                            rss(service) - before);
                }
            }
            for (int callers : List.of(1, 8, 64)) {
                writes(address, callers);
            }
        }
        for (int changes : List.of(1_000, 10_000, 100_000)) {
            Path data = folder.resolve("log" + changes);
            fill(data, changes);
            try (Program service = start(data, 1L << 40)) {
                System.out.printf("log of %d changes, %d KB: start %s ms%n", changes,
                        Files.size(data.resolve("wal-00000000000000000001.log")) >> 10,
                        service.awaitLogLine("serving").get("start_ms"));
            }
        }
    }

    private static Program start(Path data, long snapshotBytes) throws Exception {
        return new Program("", Map.of(), "registry", "--listen", "127.0.0.1:0", "--data", data.toString(),
                "--snapshot-bytes", String.valueOf(snapshotBytes));
    }

    private static long rss(Program service) throws Exception {
        return Files.readAllLines(Path.of("/proc/" + service.process.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS")).mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                .findFirst().orElseThrow();
    }

    private static void writes(String address, int callers) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(callers);
        AtomicInteger done = new AtomicInteger();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        for (int c = 0; c < callers; c++) {
            String name = "w" + c;
            String at = "10.1.0." + c + ":1";
            threads.submit(() -> {
                Caller caller = new Caller(address);
                caller.register(name, at, "");
                for (boolean up = false; System.nanoTime() < until; up = !up) {
                    if (caller.status(name, up ? "in_service" : "terminating").status() == 200) {
                        done.incrementAndGet();
                    }
                }
                return null;
            });
        }
        threads.shutdown();
        threads.awaitTermination(30, TimeUnit.SECONDS);
        System.out.printf("callers=%d acknowledged writes/s=%d%n", callers, done.get() / 5);
    }

    /** A log of so many changes of a tenth as many instances. */
    private static void fill(Path data, int changes) throws Exception {
        Files.createDirectories(data);
        try (Wal wal = Wal.open(data, 0, change -> { })) {
            List<Change> batch = new ArrayList<>();
            for (int i = 1; i <= changes; i++) {
                int one = i % (changes / 10);
                batch.add(new Change(i, new Instance("s-" + one, "10.0." + one / 250 + "." + one % 250 + ":1",
                        "a", "m2", 3, i % 3 == 0 ? Status.TERMINATING : Status.IN_SERVICE, 1, 0, 0, false,
                        0)));
                if (batch.size() == 1_000) {
                    wal.append(batch);
                    batch.clear();
                }
            }
        }
    }

    /** Watches kept up by one event loop, each asking again as soon as it is answered. */
    private static final class Watchers implements AutoCloseable {
        private final MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final List<Channel> channels = new ArrayList<>();
        private final int count;
        private volatile CountDownLatch heard = new CountDownLatch(0);

        Watchers(String address, int count) throws Exception {
            this.count = count;
            Bootstrap bootstrap = new Bootstrap().group(group).channel(NioSocketChannel.class)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new Hearing());
                        }
                    });
            for (int i = 0; i < count; i++) {
                channels.add(bootstrap.connect(Addresses.parse(address)).sync().channel());
            }
        }

        /** Makes changes one after the other and returns how long each took to reach all, in ms. */
        List<Double> hear(Caller caller, int changes) throws Exception {
            List<Double> ms = new ArrayList<>();
            for (int i = 0; i < changes; i++) {
                Caller.Answer status = caller.call("GET", "/registry/v1/status", "");
                long index = status.index();
                channels.forEach(c -> c.writeAndFlush(Unpooled.copiedBuffer("GET /registry/instances?index="
                        + index + "&wait=60000 HTTP/1.1\r\nHost: x\r\n\r\n", StandardCharsets.US_ASCII)));
                Program.await(30, () -> "not all watch", () -> {
                    try {
                        return ((Number) caller.call("GET", "/registry/v1/status", "").body().get("watches"))
                                .intValue() == count;
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                });
                heard = new CountDownLatch(count);
                long begun = System.nanoTime();
                caller.status("b", i % 2 == 0 ? "terminating" : "in_service");
                if (!heard.await(30, TimeUnit.SECONDS)) {
                    throw new IllegalStateException("not all heard");
                }
                ms.add((System.nanoTime() - begun) / 1e6);
            }
            return ms;
        }

        private final class Hearing extends SimpleChannelInboundHandler<ByteBuf> {
            @Override
            protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
                if (bytes.toString(StandardCharsets.US_ASCII).endsWith("]}")) {
                    heard.countDown();
                }
            }
        }

        @Override
        public void close() {
            channels.forEach(channel -> channel.close().syncUninterruptibly());
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
