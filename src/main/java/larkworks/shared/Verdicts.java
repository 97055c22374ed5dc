package larkworks.shared;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import larkworks.shared.StateMessage.Register;

/**
 * What the fleet holds against servers: a last-writer-wins register for each server and reason (Shapiro et
 * al. 2011, LWW-Register), merged in any order to the same state. Times are Unix milliseconds by the
 * caller's clock.
 */
final class Verdicts {

    /** A stamp so far ahead of this process's clock is no member's: one clock is read by all machines. */
    static final long MOST_AHEAD_MS = 5_000;
    /** Registers held at most: two reasons for some thousand servers. */
    private static final int MOST_HELD = 8_192;

    private record Key(long server, Reason reason) { }

    private static final class Held {
        final Register register;
        int sent;

        Held(Register register) {
            this.register = register;
        }
    }

    private final int self;
    private final long mostMs;
    private final Consumer<Register> changed;
    private final Hlc clock = new Hlc();
    private final Map<Key, Held> held = new HashMap<>();
    private long mostLagMs;
    private long dropped;

    /**
     * @param mostMs a verdict holds so long after its stamp at most, and is remembered so long
     * @param changed hears of each register that another process wrote and that won here
     */
    Verdicts(int self, long mostMs, Consumer<Register> changed) {
        this.self = self;
        this.mostMs = mostMs;
        this.changed = changed;
    }

    /** Writes this process's own verdict; {@code untilMs} of 0 takes back what any process said. */
    void set(long nowMs, long server, Reason reason, long untilMs) {
        Held before = held.get(new Key(server, reason));
        if (untilMs == 0 && (before == null || before.register.untilMs() <= nowMs)) {
            return;  // nothing to take back
        }
        put(new Register(server, reason, Math.min(untilMs, nowMs + mostMs), clock.next(nowMs), self));
    }

    private void put(Register register) {
        held.put(new Key(register.server(), register.reason()), new Held(register));
    }

    /**
     * Takes what another process sent; true where it was news. What no member can have written is dropped.
     */
    boolean merge(long nowMs, Register register) {
        long writtenMs = Hlc.ms(register.stamp());
        Key key = new Key(register.server(), register.reason());
        if (writtenMs > nowMs + MOST_AHEAD_MS || register.untilMs() > writtenMs + mostMs
                || held.size() >= MOST_HELD && !held.containsKey(key)) {
            dropped++;
            return false;
        }
        if (writtenMs + mostMs <= nowMs) {
            return false;  // long over: late or replayed
        }
        clock.heard(register.stamp());
        Held before = held.get(key);
        boolean news = register.supersedes(before == null ? null : before.register);
        if (news) {
            put(register);
            mostLagMs = Math.max(mostLagMs, nowMs - writtenMs);
            if (register.origin() != self) {
                changed.accept(register);
            }
        }
        return news;
    }

    /** Drops what is over; to be called now and then. */
    void expire(long nowMs) {
        held.values().removeIf(h -> Hlc.ms(h.register.stamp()) + mostMs <= nowMs);
    }

    /**
     * Takes up to {@code most} registers to send, the least-sent first, each counted as sent once more.
     *
     * @param eager how often each is sent in each round; those sent more often are left to a round now and
     *     then
     * @param all whether this is such a round
     */
    List<Register> take(int most, int eager, boolean all) {
        List<Held> due = new ArrayList<>();
        for (Held h : held.values()) {
            if (all || h.sent < eager) {
                due.add(h);
            }
        }
        due.sort(Comparator.comparingInt((Held h) -> h.sent).thenComparing(h -> -h.register.stamp()));
        List<Register> taken = new ArrayList<>(Math.min(most, due.size()));
        for (Held h : due.subList(0, Math.min(most, due.size()))) {
            h.sent++;
            taken.add(h.register);
        }
        return taken;
    }

    /** Until when a server is held back for a reason; 0 where it is not. */
    long untilMs(long nowMs, long server, Reason reason) {
        Held h = held.get(new Key(server, reason));
        return h != null && h.register.untilMs() > nowMs ? h.register.untilMs() : 0;
    }

    /** Verdicts in force. */
    List<Register> inForce(long nowMs) {
        return held.values().stream().map(h -> h.register).filter(r -> r.untilMs() > nowMs)
                .sorted(Comparator.comparingLong(Register::server).thenComparing(Register::reason)).toList();
    }

    int size() {
        return held.size();
    }

    /** The longest that a register took to come here. */
    long mostLagMs() {
        return mostLagMs;
    }

    /** Registers that could not have been written by a member. */
    long dropped() {
        return dropped;
    }
}
