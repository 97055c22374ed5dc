package larkworks.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * One member's SWIM state machine (Das et al. 2002, with Lifeguard's suspicion): it takes datagrams and
 * ticks on the caller's clock (microseconds) and leaves datagrams in {@link #drain()}; no I/O, no clock of
 * its own. Members are ids, their positions in {@code peers}; the rim maps addresses to ids.
 */
public final class Membership {

    /** What the owner hears of the table; called on the caller's thread. */
    public interface Events {
        /** A member's state changed in this process's view. */
        void changed(int member, MemberState from, MemberState to, long incarnation);

        /** A datagram was dropped unread; {@code why} names the fault. */
        void dropped(String why);
    }

    /**
     * A datagram to send.
     *
     * @param to the member's id
     * @param bytes at most {@link PeerCodec#MOST_BYTES}
     */
    public record Outgoing(int to, byte[] bytes) { }

    private record Relayed(int origin, long originSequence, long untilUs) { }

    private final int self;
    private final int size;
    private final MembershipSettings settings;
    private final Random random;
    private final Events events;
    private final MemberTable table;
    private final Broadcasts broadcasts = new Broadcasts();
    private final Map<Integer, Suspicion> suspicions = new HashMap<>();
    private final Map<Long, Relayed> relayed = new HashMap<>();
    private final List<Outgoing> out = new ArrayList<>();
    private final List<Integer> order = new ArrayList<>();
    /** (time, members present) for the last longest suspicion time: the base of the minority test. */
    private final Deque<long[]> presence = new ArrayDeque<>();
    private long incarnation;
    private long sequence;
    private long nextPeriodUs;
    private int periods;
    private int probeTarget = -1;
    private long probeSequence;
    private long probeStartUs;
    private boolean acked;
    private boolean askedOthers;
    private boolean leaving;

    /**
     * @param self own id, below {@code size}
     * @param size members in {@code peers}, own included; 1 to 65,535
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
        this.random = random;
        this.events = events;
        this.incarnation = incarnation;
        table = new MemberTable(size, nowUs);
        table.set(self, MemberState.ALIVE, incarnation);
        broadcasts.add(new Update(self, MemberState.ALIVE, incarnation, self));
        nextPeriodUs = nowUs;
        presence.add(new long[] {nowUs, table.present()});
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

    /**
     * Whether this process heard, within the longest suspicion time, from fewer than half of the members
     * its view held present in that time: its view is then to be taken as stale.
     */
    public boolean minority(long nowUs) {
        long window = settings.suspicionMaxUs(size);
        int heard = 1;
        for (int i = 0; i < size; i++) {
            heard += i != self && nowUs - table.heardUs(i) <= window ? 1 : 0;
        }
        long base = table.present();
        for (long[] p : presence) {
            base = Math.max(base, p[1]);
        }
        return heard * 2L < base;
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
        } catch (PeerCodec.Malformed e) {
            events.dropped(e.getMessage());
            return;
        }
        if (from < 0 || m.sender() != from || from == self) {
            events.dropped("sender");
            return;
        }
        for (Update u : m.updates()) {
            if (u.member() >= size || u.origin() >= size) {
                events.dropped("member id");
                return;
            }
        }
        boolean forUs = m.type() != Message.Type.PING || m.target() == self;
        boolean validTarget = m.type() != Message.Type.PING_REQ || m.target() < size && m.target() != self;
        if (!forUs || !validTarget) {
            events.dropped("target");
            return;
        }
        table.heard(from, nowUs);
        for (Update u : m.updates()) {
            apply(nowUs, u);
        }
        switch (m.type()) {
            case PING -> send(from, Message.Type.ACK, m.sequence(), self);
            case PING_REQ -> {
                long own = nextSequence();
                relayed.put(own, new Relayed(from, m.sequence(), nowUs + settings.probeIntervalUs()));
                send(m.target(), Message.Type.PING, own, m.target());
            }
            case ACK -> {
                if (probeTarget >= 0 && m.sequence() == probeSequence) {
                    acked = true;
                } else {
                    Relayed r = relayed.remove(m.sequence());
                    if (r != null) {
                        send(r.origin(), Message.Type.ACK, r.originSequence(), m.target());
                    }
                }
            }
            default -> throw new IllegalStateException(m.type().toString());
        }
    }

    /** Moves the detector on: to be called at least every tenth of a probe interval. */
    public void tick(long nowUs) {
        if (leaving) {
            return;
        }
        if (probeTarget >= 0 && !acked && !askedOthers && nowUs - probeStartUs >= settings.probeTimeoutUs()) {
            askedOthers = true;
            for (int helper : pick(settings.indirectChecks(), probeTarget)) {
                send(helper, Message.Type.PING_REQ, probeSequence, probeTarget);
            }
        }
        if (nowUs >= nextPeriodUs) {
            endPeriod(nowUs);
            nextPeriodUs = Math.max(nextPeriodUs + settings.probeIntervalUs(), nowUs + 1);
        }
        for (Iterator<Map.Entry<Integer, Suspicion>> it = suspicions.entrySet().iterator(); it.hasNext();) {
            Map.Entry<Integer, Suspicion> e = it.next();
            if (nowUs >= e.getValue().deadlineUs()) {
                it.remove();
                int member = e.getKey();
                apply(nowUs, new Update(member, MemberState.DEAD, table.incarnation(member), self));
            }
        }
        relayed.values().removeIf(r -> nowUs > r.untilUs());
        long window = settings.suspicionMaxUs(size);
        while (presence.size() > 1 && nowUs - presence.peekFirst()[0] > window) {
            presence.removeFirst();
        }
    }

    /** Leaves for good: every other member is told at once, and nothing is probed after. */
    public void leave() {
        leaving = true;
        broadcasts.add(new Update(self, MemberState.LEFT, incarnation, self));
        for (int i = 0; i < size; i++) {
            if (i != self) {
                send(i, Message.Type.PING, nextSequence(), i);
            }
        }
    }

    private void endPeriod(long nowUs) {
        if (probeTarget >= 0 && !acked && table.state(probeTarget) == MemberState.ALIVE) {
            apply(nowUs, new Update(probeTarget, MemberState.SUSPECT, table.incarnation(probeTarget), self));
        }
        probeTarget = nextTarget();
        if (probeTarget >= 0) {
            probeSequence = nextSequence();
            probeStartUs = nowUs;
            acked = false;
            askedOthers = false;
            send(probeTarget, Message.Type.PING, probeSequence, probeTarget);
        }
        if (++periods % settings.deadProbePeriods() == 0) {
            List<Integer> dead = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                if (table.state(i) == MemberState.DEAD) {
                    dead.add(i);
                }
            }
            if (!dead.isEmpty()) {
                int member = dead.get(random.nextInt(dead.size()));
                send(member, Message.Type.PING, nextSequence(), member);
            }
        }
    }

    /** Round robin over a shuffled order of the others, shuffled anew each round (SWIM section 4.3). */
    private int nextTarget() {
        for (int tries = 0; tries < 2; tries++) {
            while (!order.isEmpty()) {
                int next = order.remove(order.size() - 1);
                if (table.state(next).probed()) {
                    return next;
                }
            }
            for (int i = 0; i < size; i++) {
                if (i != self) {
                    order.add(i);
                }
            }
            Collections.shuffle(order, random);
        }
        return -1;
    }

    private List<Integer> pick(int most, int except) {
        List<Integer> candidates = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            if (i != self && i != except && table.state(i) == MemberState.ALIVE) {
                candidates.add(i);
            }
        }
        Collections.shuffle(candidates, random);
        return candidates.subList(0, Math.min(most, candidates.size()));
    }

    private void apply(long nowUs, Update u) {
        int member = u.member();
        if (member == self) {
            if (u.state() == MemberState.ALIVE || leaving) {
                return;
            }
            // An accusation at an older incarnation comes from a member that missed the refutation, whose
            // gossip may have run out: it is said again, or that member holds this one dead for ever.
            if (u.incarnation() >= incarnation) {
                incarnation = Math.min(u.incarnation() + 1, 0xFFFF_FFFFL);
                table.set(self, MemberState.ALIVE, incarnation);
            }
            broadcasts.add(new Update(self, MemberState.ALIVE, incarnation, self));
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
            broadcasts.add(u);
            if (held != u.state()) {
                events.changed(member, held, u.state(), u.incarnation());
                presence.add(new long[] {nowUs, table.present()});
            }
        } else if (u.state() == MemberState.SUSPECT && held == MemberState.SUSPECT
                && u.incarnation() == table.incarnation(member)) {
            Suspicion s = suspicions.get(member);
            if (s != null && s.confirm(u.origin())) {
                broadcasts.add(u);
            }
        }
    }

    /** Sends with gossip; a member held other than alive hears first what it is held, so it can refute. */
    private void send(int to, Message.Type type, long seq, int target) {
        List<Update> updates = new ArrayList<>(PeerCodec.MOST_UPDATES);
        if (table.state(to) != MemberState.ALIVE) {
            updates.add(new Update(to, table.state(to), table.incarnation(to), self));
        }
        int room = PeerCodec.MOST_UPDATES - updates.size();
        for (Update u : broadcasts.take(room, settings.retransmits(size))) {
            if (u.member() != to || updates.isEmpty()) {
                updates.add(u);
            }
        }
        out.add(new Outgoing(to, PeerCodec.encode(new Message(type, self, seq, target, updates))));
    }

    private long nextSequence() {
        sequence = (sequence + 1) & 0xFFFF_FFFFL;
        return sequence;
    }
}
