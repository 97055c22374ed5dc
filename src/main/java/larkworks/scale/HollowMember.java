package larkworks.scale;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongSupplier;
import larkworks.Balancer.Server;
import larkworks.Balancer.Verdict;
import larkworks.fleet.MemberState;
import larkworks.fleet.MemberTable;
import larkworks.fleet.Membership;
import larkworks.fleet.MembershipSettings;
import larkworks.shared.SharedSettings;
import larkworks.shared.SharedState;

/**
 * One member without a proxy: the real state machines of membership and shared state, put together as
 * {@link larkworks.fleet.FleetMember} does, with the simulation in place of its socket.
 */
final class HollowMember {

    /** The simulation's side. */
    interface Owner {
        /** A datagram of this member's; {@code to} may be {@link Membership#EVERYONE}. */
        void send(HollowMember from, int to, byte[] bytes);

        /** This member's view of another changed. */
        void changed(HollowMember observer, int about, MemberState to);

        /** This member's module was told of a server by another member. */
        void verdict(HollowMember observer, String server, long untilMs);
    }

    /** Datagrams kept for a member that stands still: about what a socket's buffer holds. */
    static final int MOST_KEPT = 256;

    final int id;
    /** Where its traffic is counted; the simulation gives another for each part of the run. */
    Traffic.Counter traffic;
    /** What came while it stood still; null while it runs. */
    Deque<Datagram> kept;
    private final Owner owner;
    private final LongSupplier nowUs;
    private final Membership membership;
    private final SharedState shared;
    private final Map<String, long[]> budgets = new HashMap<>();

    /** A datagram on its way. */
    record Datagram(int from, byte[] bytes) { }

    /**
     * @param nowUs simulated Unix time in microseconds
     * @param settings of shared state; null for none
     * @param list the servers that the module knows
     */
    HollowMember(int id, int size, MembershipSettings membershipSettings, SharedSettings settings,
            Collection<Server> list, Random random, LongSupplier nowUs, Traffic.Counter traffic,
            Owner owner) {
        this.id = id;
        this.owner = owner;
        this.nowUs = nowUs;
        this.traffic = traffic;
        membership = new Membership(id, size, membershipSettings, random, nowUs.getAsLong(),
                nowUs.getAsLong() / 1_000_000, new Events());
        if (settings == null) {
            shared = null;
        } else {
            shared = new SharedState(settings, id, size, List.of(FleetScenario.CLASS), 0,
                    () -> nowUs.getAsLong() / 1_000, random, new Peers(), new Module());
            shared.start();
            shared.listed(false, list);
            shared.known();
        }
    }

    void join() {
        membership.join();
        flush();
    }

    void leave() {
        membership.leave();
        flush();
    }

    void tick() {
        membership.tick(nowUs.getAsLong());
        flush();
        if (shared != null) {
            shared.tick();
        }
    }

    void receive(Datagram datagram) {
        byte[] bytes = datagram.bytes();
        traffic.datagramsIn++;
        traffic.bytesIn += bytes.length;
        if (shared != null && SharedState.isOne(bytes, bytes.length)) {
            shared.receive(datagram.from(), bytes, bytes.length);
        } else {
            membership.receive(nowUs.getAsLong(), datagram.from(), bytes, bytes.length);
            flush();
        }
    }

    /** Its module holds this against a server. */
    void hold(String server, long untilMs) {
        shared.held(server, Verdict.RESTS, untilMs);
    }

    /** A request of the class with a budget comes; true where it is taken. */
    boolean take() {
        long[] left = budgets.get(FleetScenario.CLASS);
        boolean taken = left != null && left[0] > 0 && nowUs.getAsLong() / 1_000 < left[1];
        if (taken) {
            left[0]--;
            shared.classSpent(FleetScenario.CLASS);
        } else {
            shared.classWanting(FleetScenario.CLASS);
        }
        return taken;
    }

    private void flush() {
        for (Membership.Outgoing o : membership.drain()) {
            owner.send(this, o.to(), o.bytes());
        }
    }

    private final class Events implements Membership.Events {
        @Override
        public void changed(int about, MemberState from, MemberState to, long incarnation) {
            owner.changed(HollowMember.this, about, to);
        }

        @Override
        public void dropped(String why) {
            throw new IllegalStateException("member " + id + " dropped a datagram: " + why);
        }
    }

    /** As {@link larkworks.fleet.FleetMember#peers()}, so that it costs as much. */
    private final class Peers implements SharedState.Peers {
        @Override
        public void send(int to, byte[] datagram) {
            traffic.sharedDatagramsOut++;
            traffic.sharedBytesOut += datagram.length;
            owner.send(HollowMember.this, to, datagram);
        }

        @Override
        public List<Integer> present() {
            return membership.rows().stream().filter(row -> row.id() != id
                    && (row.state() == MemberState.ALIVE || row.state() == MemberState.SUSPECT))
                    .map(MemberTable.Row::id).toList();
        }

        @Override
        public long silenceMs() {
            return 0;
        }
    }

    private final class Module implements SharedState.Module {
        @Override
        public void verdict(String server, Verdict verdict, long untilMs) {
            owner.verdict(HollowMember.this, server, untilMs);
        }

        @Override
        public void serverBudget(String server, long left, long untilMs) { }

        @Override
        public void classBudget(String name, long left, long untilMs) {
            budgets.put(name, new long[] {left, untilMs});
        }

        @Override
        public void affinity(String name, Collection<String> servers) { }
    }

    /** Stands still: what comes is kept. */
    void pause() {
        kept = new ArrayDeque<>();
    }

    /** Goes on, with what was kept. */
    void resume() {
        Deque<Datagram> waiting = kept;
        kept = null;
        tick();
        waiting.forEach(this::receive);
    }
}
