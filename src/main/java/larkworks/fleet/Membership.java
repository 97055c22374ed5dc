package larkworks.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import larkworks.platform.Datagram;

/**
 * One member's SWIM state machine (Das et al. 2002, with Lifeguard's refinements): it takes datagrams and
 * ticks on the caller's clock (microseconds) and leaves datagrams in {@link #drain()}; no I/O, no clock of
 * its own. Members are ids, their positions in {@code peers}; the rim maps addresses to ids. It owns the
 * merge of views; {@link Prober} owns detection.
 */
public final class Membership {

    /**
     * Sends of gossip that are left to an update heard in an announcement, which has reached all but by loss:
     * where a whole fleet joins, full gossip of each join would keep news of a death waiting for minutes.
     */
    private static final int ANNOUNCED_SENDS = 2;

    /** In {@link Outgoing#to()}: for every other member, by {@code peers_all} where there is one. */
    public static final int EVERYONE = -1;

    /** What the owner hears of the table; called on the caller's thread. */
    public interface Events {
        /** A member's state changed in this process's view. */
        void changed(int member, MemberState from, MemberState to, long incarnation);

        /** A datagram was dropped unread; {@code why} names the fault, one of a few fixed texts. */
        void dropped(String why);

        /** This process has come into a minority, or out of it: see {@link #minority()}. */
        default void minority(boolean now) { }
    }

    /**
     * A datagram to send.
     *
     * @param to the member's id, or {@link #EVERYONE}
     * @param bytes at most {@link PeerCodec#MOST_BYTES}
     */
    public record Outgoing(int to, byte[] bytes) { }

    private final int self;
    private final int size;
    private final MembershipSettings settings;
    private final Events events;
    private final MemberTable table;
    private final Broadcasts broadcasts = new Broadcasts();
    private final Map<Integer, Suspicion> suspicions = new HashMap<>();
    private final LocalHealth health;
    private final Prober prober;
    private final PartitionWatch partition;
    private final List<Outgoing> out = new ArrayList<>();
    private long incarnation;
    private long lastTickUs;
    private int nextSynced;
    private boolean minority;
    private boolean leaving;

    /**
     * @param self own id, below {@code size}
     * @param size members in {@code peers}, own included; 1 to 65,534
     * @param incarnation own start incarnation, 0 to 2^32-2: the wall clock in seconds, so that a restart is
     *     newer than its old self
     */
    public Membership(int self, int size, MembershipSettings settings, Random random, long nowUs,
            long incarnation, Events events) {
        if (size < 1 || size >= PeerCodec.NO_MEMBER || self < 0 || self >= size) {
            throw new IllegalArgumentException("member " + self + " of " + size);
        }
        this.self = self;
        this.size = size;
        this.settings = settings;
        this.events = events;
        this.incarnation = incarnation;
        table = new MemberTable(size, nowUs);
        table.set(self, MemberState.ALIVE, incarnation);
        health = new LocalHealth(settings.healthMost());
        prober = new Prober(self, settings, random, table, health, this::send, nowUs);
        partition = new PartitionWatch(table, self, settings.suspicionMaxUs(size),
                2 * settings.probeIntervalUs(), settings.probeIntervalUs());
        broadcasts.add(new Update(self, MemberState.ALIVE, incarnation, self));
        lastTickUs = nowUs;
    }

    /** Takes the datagrams to send since the last call. */
    public List<Outgoing> drain() {
        List<Outgoing> taken = new ArrayList<>(out);
        out.clear();
        return taken;
    }

    /** Own incarnation now. */
    public long incarnation() {
        return incarnation;
    }

    /** The table as held now, own row included. */
    public List<MemberTable.Row> rows() {
        return table.rows();
    }

    /** Lifeguard's local health score: 0 when all is well. */
    public int health() {
        return health.score();
    }

    /**
     * Whether this process reaches fewer than half of the members it last saw alive, as of the last tick:
     * its view is then to be taken as stale.
     */
    public boolean minority() {
        return minority;
    }

    /** Tells every other member of this process, so that a restart is known at once. */
    public void join() {
        announce();
    }

    /** Leaves for good: every other member is told at once, and nothing is probed after. */
    public void leave() {
        leaving = true;
        broadcasts.add(new Update(self, MemberState.LEFT, incarnation, self));
        announce();
    }

    private void announce() {
        out.add(new Outgoing(EVERYONE, PeerCodec.encode(new Message(Message.Type.ANNOUNCE, self, 0,
                PeerCodec.NO_MEMBER, List.of(new Update(self,
                        leaving ? MemberState.LEFT : MemberState.ALIVE, incarnation, self))))));
    }

    /**
     * Takes one datagram.
     *
     * @param from the id whose {@code peers} address it came from, -1 for an address not there
     */
    public void receive(long nowUs, int from, byte[] bytes, int length) {
        Message m;
        try {
            m = PeerCodec.decode(bytes, length);
        } catch (Datagram.Malformed e) {
            events.dropped(e.getMessage());
            return;
        }
        if (m.type() == Message.Type.ANNOUNCE && from == self && m.sender() == self) {
            return;  // peers_all reaches its sender too
        }
        String fault = fault(m, from);
        if (fault != null) {
            events.dropped(fault);
            return;
        }
        table.heard(from, nowUs);
        int sent = m.type() == Message.Type.ANNOUNCE
                ? Math.max(0, settings.retransmits(size) - ANNOUNCED_SENDS) : 0;
        for (Update u : m.updates()) {
            apply(nowUs, u, sent);
        }
        if (leaving) {
            return;  // an answer now would say alive after the farewell
        }
        switch (m.type()) {
            case PING -> send(from, Message.Type.ACK, m.sequence(), self);
            case PING_REQ -> prober.relay(nowUs, from, m.sequence(), m.target());
            case ACK -> prober.ack(m.sequence(), m.target());
            case NACK -> prober.nack(m.sequence(), m.target());
            case ANNOUNCE -> { }
            default -> throw new IllegalStateException(m.type().toString());
        }
    }

    /** Why a well-formed message is not to be believed; null where it is. */
    private String fault(Message m, int from) {
        if (from < 0 || m.sender() != from || from == self) {
            return "sender";
        }
        for (Update u : m.updates()) {
            if (u.member() >= size || u.origin() >= size) {
                return "member id";
            }
        }
        boolean valid = switch (m.type()) {
            case PING -> m.target() == self;
            case PING_REQ -> m.target() < size && m.target() != self;
            default -> true;
        };
        return valid ? null : "target";
    }

    /** Moves the detector on: to be called at least every tenth of a probe interval. */
    public void tick(long nowUs) {
        if (leaving) {
            return;
        }
        long gap = nowUs - lastTickUs;
        lastTickUs = nowUs;
        if (gap > settings.probeIntervalUs()) {
            stoodStill(nowUs, gap);
        }
        int failed = prober.tick(nowUs);
        if (failed >= 0) {
            apply(nowUs, new Update(failed, MemberState.SUSPECT, table.incarnation(failed), self), 0);
        }
        List<Integer> ended = new ArrayList<>();
        suspicions.forEach((member, s) -> {
            if (nowUs >= s.deadlineUs()) {
                ended.add(member);
            }
        });
        for (int member : ended) {
            apply(nowUs, new Update(member, MemberState.DEAD, table.incarnation(member), self), 0);
        }
        boolean now = partition.minority(nowUs);
        if (now != minority) {
            minority = now;
            events.minority(now);
        }
    }

    /**
     * This process was paused (SIGSTOP, a starved core): what it did not hear in that time says nothing of
     * others, so every time that runs against them starts again from where it stood.
     */
    private void stoodStill(long nowUs, long gapUs) {
        suspicions.values().forEach(s -> s.extend(gapUs));
        table.extend(gapUs, nowUs);
        prober.restart(nowUs);
    }

    private void apply(long nowUs, Update u, int sent) {
        int member = u.member();
        if (member == self) {
            accused(u);
            return;
        }
        MemberState held = table.state(member);
        if (u.supersedes(held, table.incarnation(member))) {
            table.set(member, u.state(), u.incarnation());
            if (u.state() == MemberState.SUSPECT) {
                suspicions.put(member, new Suspicion(nowUs, settings.suspicionMinUs(size),
                        settings.suspicionMaxUs(size), Math.min(settings.indirectChecks(), size - 2),
                        u.origin()));
            } else {
                suspicions.remove(member);
            }
            broadcasts.add(u, sent);
            if (held != u.state()) {
                events.changed(member, held, u.state(), u.incarnation());
            }
        } else if (u.state() == MemberState.SUSPECT && held == MemberState.SUSPECT
                && u.incarnation() == table.incarnation(member)) {
            Suspicion s = suspicions.get(member);
            if (s != null && s.confirm(u.origin())) {
                broadcasts.add(u);
            }
        }
    }

    private void accused(Update u) {
        if (u.state() == MemberState.ALIVE || leaving) {
            return;
        }
        // An accusation at an older incarnation comes from a member that missed the refutation, whose
        // gossip may have run out: it is said again, or that member holds this one dead for ever.
        if (u.incarnation() >= incarnation) {
            incarnation = Math.min(u.incarnation() + 1, 0xFFFF_FFFFL);
            table.set(self, MemberState.ALIVE, incarnation);
            health.bad(1);
        }
        broadcasts.add(new Update(self, MemberState.ALIVE, incarnation, self));
    }

    /** Sends with gossip; a member held other than alive hears first what it is held, so it can refute. */
    private void send(int to, Message.Type type, long sequence, int target) {
        List<Update> updates = new ArrayList<>(PeerCodec.MOST_UPDATES);
        boolean told = table.state(to) != MemberState.ALIVE;
        if (told) {
            updates.add(new Update(to, table.state(to), table.incarnation(to), self));
        }
        updates.addAll(broadcasts.take(PeerCodec.MOST_UPDATES - updates.size(),
                settings.retransmits(size), told ? to : -1));
        if (type == Message.Type.PING) {
            sync(updates);
        }
        out.add(new Outgoing(to, PeerCodec.encode(new Message(type, self, sequence, target, updates))));
    }

    /**
     * Adds a few rows of the table in turn (anti-entropy, in place of memberlist's push-pull over TCP): what
     * a member missed while its gossip lasted, or before it started, comes to it in the end.
     */
    private void sync(List<Update> updates) {
        int most = Math.min(settings.syncRows(), PeerCodec.MOST_UPDATES - updates.size());
        for (int tries = 0; tries < size && most > 0; tries++) {
            int id = nextSynced;
            nextSynced = (nextSynced + 1) % size;
            // A suspicion counts by who holds it, so it goes as gossip only; 0 stands for never heard of.
            if (table.state(id) != MemberState.SUSPECT && table.incarnation(id) > 0) {
                updates.add(new Update(id, table.state(id), table.incarnation(id), self));
                most--;
            }
        }
    }
}
