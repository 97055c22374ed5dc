package larkworks.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The failure detector: one probe a period, round robin over a shuffled order of the others (SWIM sections
 * 3.1 and 4.3), through {@code indirectChecks} others where no ack comes in time, with Lifeguard's nacks and
 * local health. It also carries out the indirect probes that others ask for.
 */
final class Prober {

    /** Sends one message of the detector, gossip added. */
    interface Wire {
        void send(int to, Message.Type type, long sequence, int target);
    }

    /** An indirect probe carried out for another member. */
    private static final class Relayed {
        final int origin;
        final long originSequence;
        final int target;
        final long nackUs;
        final long untilUs;
        boolean nacked;

        Relayed(int origin, long originSequence, int target, long nackUs, long untilUs) {
            this.origin = origin;
            this.originSequence = originSequence;
            this.target = target;
            this.nackUs = nackUs;
            this.untilUs = untilUs;
        }
    }

    private final int self;
    private final MembershipSettings settings;
    private final Random random;
    private final MemberTable table;
    private final LocalHealth health;
    private final Wire wire;
    private final Map<Long, Relayed> relayed = new HashMap<>();
    private final List<Integer> order = new ArrayList<>();
    private long sequence;
    private long periodEndUs;
    private int periods;
    private int target = -1;
    private long targetSequence;
    private long startUs;
    private boolean acked;
    private boolean askedOthers;
    private int nacksExpected;
    private int nacks;

    Prober(int self, MembershipSettings settings, Random random, MemberTable table, LocalHealth health,
            Wire wire, long nowUs) {
        this.self = self;
        this.settings = settings;
        this.random = random;
        this.table = table;
        this.health = health;
        this.wire = wire;
        periodEndUs = nowUs;
    }

    /**
     * Takes an ack.
     *
     * @param about the member that answered: the one probed, or whom this process probes for another
     */
    void ack(long acknowledged, int about) {
        if (target == about && acknowledged == targetSequence) {
            acked = true;
            return;
        }
        Relayed r = relayed.get(acknowledged);
        if (r != null && r.target == about) {
            relayed.remove(acknowledged);
            wire.send(r.origin, Message.Type.ACK, r.originSequence, about);
        }
    }

    /** A helper says that the member probed has not answered it either; so this process hears well. */
    void nack(long refused, int about) {
        if (target == about && refused == targetSequence) {
            nacks++;
        }
    }

    /** Probes a member for another. */
    void relay(long nowUs, int origin, long originSequence, int about) {
        long own = nextSequence();
        relayed.put(own, new Relayed(origin, originSequence, about, nowUs + settings.probeTimeoutUs(),
                nowUs + 2 * settings.probeIntervalUs()));
        wire.send(about, Message.Type.PING, own, about);
    }

    /** Drops the probe under way, of which nothing can be said: this process itself stood still. */
    void restart(long nowUs) {
        target = -1;
        periodEndUs = nowUs;
        relayed.clear();
    }

    /** Moves on; returns the member whose probe has come to nothing in this call, -1 for none. */
    int tick(long nowUs) {
        answerHelped(nowUs);
        if (target >= 0 && !acked && !askedOthers
                && nowUs - startUs >= health.scale(settings.probeTimeoutUs())) {
            askedOthers = true;
            List<Integer> helpers = pick(settings.indirectChecks(), target);
            nacksExpected = helpers.size();
            helpers.forEach(helper -> wire.send(helper, Message.Type.PING_REQ, targetSequence, target));
        }
        if (nowUs < periodEndUs) {
            return -1;
        }
        int failed = target >= 0 && !acked ? target : -1;
        if (failed >= 0) {
            health.bad(nacksExpected > 0 ? Math.max(0, nacksExpected - nacks) : 1);
        } else if (target >= 0) {
            health.good();
        }
        begin(nowUs);
        return failed;
    }

    private void begin(long nowUs) {
        periodEndUs = Math.max(periodEndUs + health.scale(settings.probeIntervalUs()), nowUs + 1);
        target = next();
        if (target >= 0) {
            targetSequence = nextSequence();
            startUs = nowUs;
            acked = false;
            askedOthers = false;
            nacksExpected = 0;
            nacks = 0;
            wire.send(target, Message.Type.PING, targetSequence, target);
        }
        if (++periods % settings.deadProbePeriods() == 0) {
            pingOneDead();
        }
    }

    /** Else two halves of a healed partition, each holding the other dead, would never speak again. */
    private void pingOneDead() {
        List<Integer> dead = new ArrayList<>();
        for (int i = 0; i < table.size(); i++) {
            if (table.state(i) == MemberState.DEAD) {
                dead.add(i);
            }
        }
        if (!dead.isEmpty()) {
            int member = dead.get(random.nextInt(dead.size()));
            wire.send(member, Message.Type.PING, nextSequence(), member);
        }
    }

    private void answerHelped(long nowUs) {
        for (Iterator<Relayed> it = relayed.values().iterator(); it.hasNext();) {
            Relayed r = it.next();
            if (!r.nacked && nowUs >= r.nackUs) {
                r.nacked = true;
                wire.send(r.origin, Message.Type.NACK, r.originSequence, r.target);
            }
            if (nowUs > r.untilUs) {
                it.remove();
            }
        }
    }

    private int next() {
        for (int tries = 0; tries < 2; tries++) {
            while (!order.isEmpty()) {
                int candidate = order.remove(order.size() - 1);
                if (table.state(candidate).probed()) {
                    return candidate;
                }
            }
            for (int i = 0; i < table.size(); i++) {
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
        for (int i = 0; i < table.size(); i++) {
            if (i != self && i != except && table.state(i) == MemberState.ALIVE) {
                candidates.add(i);
            }
        }
        Collections.shuffle(candidates, random);
        return candidates.subList(0, Math.min(most, candidates.size()));
    }

    private long nextSequence() {
        sequence = (sequence + 1) & 0xFFFF_FFFFL;
        return sequence;
    }
}
