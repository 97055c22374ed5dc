package larkworks.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import larkworks.platform.WallClock;
import larkworks.shared.SharedState;

/**
 * One process's membership, whole: the state machine, its socket and its ticks, on one event loop, which is
 * also the only one to call it. The proxy and {@link Agent} each hold one.
 */
public final class FleetMember {

    private static final JsonFactory JSON = new JsonFactory();
    /** The detector is moved on so many times a period. */
    private static final int TICKS = 20;
    /** Budgets' epochs begin no later than so much after their time. */
    private static final long SHARED_TICK_US = 10_000;
    /** While another process of this member still holds the address, at its replacement. */
    private static final long REBIND_MS = 500;

    private final EventLoop loop;
    private final FleetConfig config;
    private final Membership membership;
    private final PeerSocket socket;
    private final Map<String, Long> drops = new TreeMap<>();
    private final Consumer<String> trouble;
    /** Null where nothing but membership is shared. */
    private SharedState shared;
    private Future<?> ticking;
    private boolean left;
    /** Replaced whole, for other threads to read. */
    private volatile int[] counts = new int[MemberState.values().length];
    private volatile boolean minority;

    /**
     * @param events what the owner hears; on the loop
     * @param trouble takes a line for the operator where the socket can't be had
     */
    public FleetMember(EventLoop loop, FleetConfig config, Membership.Events events,
            Consumer<String> trouble) {
        this.loop = loop;
        this.config = config;
        this.trouble = trouble;
        membership = new Membership(config.self(), config.peers().size(), config.settings(), new Random(),
                nowUs(), WallClock.unixMs() / 1000, new Counting(events));
        socket = new PeerSocket(loop, config, this::receive);
        counted();
    }

    private void counted() {
        int[] fresh = new int[MemberState.values().length];
        membership.rows().forEach(row -> fresh[row.state().ordinal()]++);
        counts = fresh;
    }

    /** From now on state goes with membership, over the same socket; to be called before the start. */
    public void carry(SharedState state) {
        shared = state;
    }

    /** How the fleet is reached, for shared state. */
    public SharedState.Peers peers() {
        return new SharedState.Peers() {
            @Override
            public void send(int to, byte[] datagram) {
                socket.send(List.of(new Membership.Outgoing(to, datagram)));
            }

            @Override
            public List<Integer> present() {
                return others().map(MemberTable.Row::id).toList();
            }

            @Override
            public long silenceMs() {
                long now = nowUs();
                return others().mapToLong(row -> (now - row.lastHeardUs()) / 1000).max().orElse(0);
            }

            private Stream<MemberTable.Row> others() {
                return membership.rows().stream()
                        .filter(row -> row.id() != config.self() && row.state().probed());
            }
        };
    }

    /**
     * Binds the address and joins; as long as it can't be had it is tried again, since at a replacement the
     * old process of this member holds it until it leaves.
     */
    public void start() {
        if (left) {
            return;
        }
        socket.bind(config.listen()).addListener(bound -> {
            if (!bound.isSuccess()) {
                trouble.accept("members: can't listen at " + config.listen() + ": "
                        + bound.cause().getMessage());
                loop.schedule(this::start, REBIND_MS, TimeUnit.MILLISECONDS);
            } else if (left) {
                socket.close();
            } else {
                membership.join();
                long tickUs = Math.max(1_000, Math.min(config.settings().probeIntervalUs() / TICKS,
                        shared == null ? Long.MAX_VALUE : SHARED_TICK_US));
                ticking = loop.scheduleAtFixedRate(this::tick, 0, tickUs, TimeUnit.MICROSECONDS);
            }
        });
    }

    /** Leaves the membership, and frees the address once the farewells are written. */
    public Future<Void> leave() {
        if (left) {
            return loop.newSucceededFuture(null);
        }
        left = true;
        if (ticking != null) {
            ticking.cancel(false);
            membership.leave();
            socket.send(membership.drain());
        }
        return socket.close();
    }

    /** Members held in a state, as of the last change or tick. Safe to read from any thread. */
    public int count(MemberState state) {
        return counts[state.ordinal()];
    }

    /** See {@link Membership#minority()}. Safe to read from any thread. */
    public boolean minority() {
        return minority;
    }

    /** Own incarnation now. */
    public long incarnation() {
        return membership.incarnation();
    }

    private void tick() {
        membership.tick(nowUs());
        socket.send(membership.drain());
        if (shared != null) {
            shared.tick();
        }
    }

    private void receive(int from, byte[] bytes, int length) {
        if (shared != null && SharedState.isOne(bytes, length)) {
            shared.receive(from, bytes, length);
            return;
        }
        membership.receive(nowUs(), from, bytes, length);
        socket.send(membership.drain());
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    /**
     * The member table as JSON: {@code {"self", "incarnation", "health", "minority", "members": [{"id",
     * "address", "state", "incarnation", "last_heard_ms"}], "datagrams": {"sent", "received", "dropped":
     * {reason: count}}}}; {@code last_heard_ms} is how long ago, 0 for this process itself.
     */
    public String table() {
        StringWriter text = new StringWriter(256 + 128 * config.peers().size());
        try (JsonGenerator g = JSON.createGenerator(text)) {
            g.writeStartObject();
            g.writeNumberField("self", config.self());
            g.writeNumberField("incarnation", membership.incarnation());
            g.writeNumberField("health", membership.health());
            g.writeBooleanField("minority", membership.minority());
            g.writeArrayFieldStart("members");
            long nowUs = nowUs();
            for (MemberTable.Row row : membership.rows()) {
                g.writeStartObject();
                g.writeNumberField("id", row.id());
                g.writeStringField("address", text(config.peers().get(row.id())));
                g.writeStringField("state", name(row.state()));
                g.writeNumberField("incarnation", row.incarnation());
                g.writeNumberField("last_heard_ms",
                        row.id() == config.self() ? 0 : (nowUs - row.lastHeardUs()) / 1000);
                g.writeEndObject();
            }
            g.writeEndArray();
            g.writeObjectFieldStart("datagrams");
            g.writeNumberField("sent", socket.sent());
            g.writeNumberField("received", socket.received());
            g.writeObjectFieldStart("dropped");
            for (Map.Entry<String, Long> e : drops.entrySet()) {
                g.writeNumberField(e.getKey(), e.getValue());
            }
            g.writeEndObject();
            g.writeEndObject();
            g.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);  // a StringWriter raises none
        }
        return text.toString();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** A state's name as logs and the admin address write it. */
    public static String name(MemberState state) {
        return state.name().toLowerCase(Locale.ROOT);
    }

    /** Counts the drops for the table on their way to the owner. */
    private final class Counting implements Membership.Events {
        private final Membership.Events owner;

        Counting(Membership.Events owner) {
            this.owner = owner;
        }

        @Override
        public void changed(int member, MemberState from, MemberState to, long incarnation) {
            counted();
            owner.changed(member, from, to, incarnation);
        }

        @Override
        public void dropped(String why) {
            drops.merge(why, 1L, Long::sum);
            owner.dropped(why);
        }

        @Override
        public void minority(boolean now) {
            minority = now;
            owner.minority(now);
        }
    }
}
