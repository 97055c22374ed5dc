package larkworks.fleet;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import larkworks.adapter.Json;
import larkworks.proxy.Addresses;

/**
 * A member process alone: {@code java -cp larkworks.jar larkworks.fleet.Agent CONFIG}. CONFIG is JSON with
 * DEPLOY's {@code peer_listen} and {@code peers}, optionally {@code member} (own id, where its entry in
 * {@code peers} is not {@code peer_listen}, as behind a relay) and {@code membership} (figures in ms).
 * Each change of the view is one JSON line on standard output; exit 2 on a bad configuration.
 */
public final class Agent {

    private static final JsonFactory JSON = new JsonFactory();
    private final PrintStream log = System.out;
    private final int self;
    private long drops;
    private long dropsLogged;

    private Agent(int self) {
        this.self = self;
    }

    /** Runs one member until SIGTERM (leaves) or SIGKILL. */
    public static void main(String[] args) throws InterruptedException {
        Map<String, Object> config;
        InetSocketAddress listen;
        List<InetSocketAddress> peers = new ArrayList<>();
        int self;
        MembershipSettings settings;
        try {
            if (args.length != 1) {
                throw new IllegalArgumentException("usage: Agent CONFIG");
            }
            config = Json.object(Files.readAllBytes(Path.of(args[0])));
            listen = address(config.get("peer_listen"), "peer_listen");
            if (!(config.get("peers") instanceof List<?> listed) || listed.isEmpty()) {
                throw new IllegalArgumentException("peers: a list of addresses is wanted");
            }
            for (Object p : listed) {
                peers.add(address(p, "peers"));
            }
            self = config.get("member") instanceof Number n ? n.intValue() : peers.indexOf(listen);
            if (self < 0 || self >= peers.size()) {
                throw new IllegalArgumentException("member: no entry of peers is this process");
            }
            settings = settings(config.get("membership"));
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("larkworks agent: " + e.getMessage());
            System.exit(2);
            return;
        }
        new Agent(self).run(listen, peers, settings);
    }

    private void run(InetSocketAddress listen, List<InetSocketAddress> peers, MembershipSettings settings)
            throws InterruptedException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        long incarnation = System.currentTimeMillis() / 1000;
        Membership membership = new Membership(self, peers.size(), settings, new Random(),
                Agent.nowUs(), incarnation, new Events());
        PeerSocket socket = new PeerSocket(loop, membership, peers, Agent::nowUs,
                Math.max(1_000, settings.probeIntervalUs() / 20));
        ChannelFuture bound = loop.submit(() -> socket.bind(listen)).sync().getNow();
        bound.await();
        if (!bound.isSuccess()) {
            System.err.println("larkworks agent: can't listen at " + listen + ": "
                    + bound.cause().getMessage());
            System.exit(1);
        }
        line("started", g -> g.writeNumberField("incarnation", incarnation));
        loop.scheduleAtFixedRate(() -> {
            if (drops != dropsLogged) {
                long count = drops;
                line("dropped", g -> g.writeNumberField("count", count));
                dropsLogged = count;
            }
            if (membership.minority(nowUs())) {
                line("minority", g -> { });
            }
        }, 1, 1, TimeUnit.SECONDS);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            loop.submit(socket::leave).syncUninterruptibly();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }));
        group.terminationFuture().sync();
    }

    private final class Events implements Membership.Events {
        @Override
        public void changed(int member, MemberState from, MemberState to, long incarnation) {
            line("changed", g -> {
                g.writeNumberField("about", member);
                g.writeStringField("from", from.name().toLowerCase(java.util.Locale.ROOT));
                g.writeStringField("to", to.name().toLowerCase(java.util.Locale.ROOT));
                g.writeNumberField("incarnation", incarnation);
            });
        }

        @Override
        public void dropped(String why) {
            drops++;
        }
    }

    private interface Fields {
        void write(JsonGenerator g) throws IOException;
    }

    /** One JSON object a line; Jackson escapes quotes, newlines and non-ASCII text. */
    private void line(String message, Fields fields) {
        java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream(160);
        try (JsonGenerator g = JSON.createGenerator(bytes, JsonEncoding.UTF8)) {
            g.writeStartObject();
            g.writeNumberField("ts", System.currentTimeMillis());
            g.writeStringField("level", "INFO");
            g.writeStringField("component", "members");
            g.writeNumberField("member", self);
            g.writeStringField("message", message);
            fields.write(g);
            g.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        synchronized (log) {
            log.println(bytes.toString(java.nio.charset.StandardCharsets.UTF_8));
            log.flush();
        }
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    private static MembershipSettings settings(Object given) {
        MembershipSettings d = MembershipSettings.defaults();
        if (given == null) {
            return d;
        }
        if (!(given instanceof Map<?, ?> m)) {
            throw new IllegalArgumentException("membership: an object is wanted");
        }
        for (Object key : m.keySet()) {
            if (!List.of("probe_interval_ms", "probe_timeout_ms", "indirect_checks", "suspicion_alpha",
                    "suspicion_beta", "retransmit_mult", "dead_probe_periods").contains(key)) {
                throw new IllegalArgumentException("membership." + key + ": no such key");
            }
        }
        return new MembershipSettings(ms(m, "probe_interval_ms", d.probeIntervalUs()),
                ms(m, "probe_timeout_ms", d.probeTimeoutUs()),
                (int) num(m, "indirect_checks", d.indirectChecks()),
                num(m, "suspicion_alpha", d.suspicionAlpha()), num(m, "suspicion_beta", d.suspicionBeta()),
                (int) num(m, "retransmit_mult", d.retransmitMult()),
                (int) num(m, "dead_probe_periods", d.deadProbePeriods()));
    }

    private static long ms(Map<?, ?> m, String key, long fallbackUs) {
        return (long) (num(m, key, fallbackUs / 1000.0) * 1000);
    }

    private static double num(Map<?, ?> m, String key, double fallback) {
        Object v = m.get(key);
        if (v == null) {
            return fallback;
        }
        if (v instanceof Number n) {
            return n.doubleValue();
        }
        throw new IllegalArgumentException("membership." + key + ": a number is wanted, not '" + v + "'");
    }

    private static InetSocketAddress address(Object value, String key) {
        try {
            return Addresses.parse(value);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(key + ": '" + value + "' is no address and port", e);
        }
    }
}
