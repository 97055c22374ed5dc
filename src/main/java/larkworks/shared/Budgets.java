package larkworks.shared;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import larkworks.shared.StateMessage.Ask;
import larkworks.shared.StateMessage.Grant;

/**
 * Fleet-wide budgets: what all processes together may spend on a key in any window. An epoch's tokens each
 * belong to one process by a rule all know; they move only from a process that has taken them off its own
 * count, and end with their epoch. So the sum spent never exceeds the budget, whatever is lost, late,
 * repeated or cut off. Times are Unix milliseconds by the clock that all machines read.
 */
final class Budgets {

    /** Epochs in a window; a window touches one more, and each of them has as much of the budget. */
    static final int EPOCHS = 4;
    /** Tokens are asked of so many others at a time. */
    private static final int ASKED = 2;
    /** In each epoch others are asked so many times at most. */
    private static final int MOST_ASKS = 8;
    /** Weight of the last epoch in what this process expects to need. */
    private static final double DEMAND_WEIGHT = 0.5;

    /** What the owner does for this. */
    interface Owner {
        /** So many tokens are left here for a key, until the epoch ends at {@code untilMs}. */
        void left(String key, long tokens, long untilMs);

        /** Sends a message to a member. */
        void send(int to, StateMessage message);

        /** Other members held present, in any order. */
        List<Integer> others();
    }

    private final class Budget {
        final String name;
        final long key;
        final long perEpoch;
        final long epochMs;
        long epoch = -1;
        long left;
        long spent;
        long wanting;
        double demand;
        int asks;
        long lent;
        long borrowed;
        /** Calls of this process that are open, each with whom it went to. */
        final Map<Long, Integer> asked = new HashMap<>();
        /** Calls answered in this epoch: a repeated one gets nothing. */
        final Set<Long> answered = new HashSet<>();

        Budget(String name, long budget, long windowMs) {
            this.name = name;
            this.key = Hash.of(name);
            this.perEpoch = budget / (EPOCHS + 1);
            this.epochMs = Math.max(1, windowMs / EPOCHS);
        }

        void advance(long nowMs) {
            long now = nowMs / epochMs;
            if (now <= epoch) {
                return;
            }
            if (epoch >= 0) {
                demand += DEMAND_WEIGHT * (Math.min(perEpoch, spent + wanting) - demand);
            }
            epoch = now;
            // In the first epoch that this process sees its old self may have spent the tokens.
            left = now > fromMs / epochMs ? own() : 0;
            spent = 0;
            wanting = 0;
            asks = 0;
            asked.clear();
            answered.clear();
            tell();
        }

        void tell() {
            owner.left(name, left, (epoch + 1) * epochMs);
        }

        /**
         * This process's part: an equal one, and of the rest a token each to as many, in another order each
         * time.
         */
        long own() {
            long rest = perEpoch % members;
            long place = Math.floorMod(self + Hash.of(key, epoch), (long) members);
            return perEpoch / members + (place < rest ? 1 : 0);
        }

        /** What this process expects to need itself until the epoch ends. */
        long reserve(long nowMs) {
            double ahead = 1 - (double) (nowMs % epochMs) / epochMs;
            return (long) Math.ceil(Math.max(0, demand * ahead));
        }
    }

    private final int self;
    private final int members;
    private final long fromMs;
    private final Random random;
    private final Owner owner;
    private final Map<String, Budget> byName = new HashMap<>();
    private final Map<Long, Budget> byKey = new HashMap<>();
    private long nonce;

    /**
     * @param members of the fleet, present or not: a part is kept for each, as one cut off goes on spending
     *     its own
     * @param nowMs the start of this process, which spends nothing before the epoch after
     */
    Budgets(int self, int members, long nowMs, Random random, Owner owner) {
        this.self = self;
        this.members = members;
        this.fromMs = nowMs;
        this.random = random;
        this.owner = owner;
        this.nonce = random.nextInt() & 0xFFFF_FFFFL;
    }

    /** From now on a key has this budget in each window; what was set before for it holds on. */
    void open(long nowMs, String name, long budget, long windowMs) {
        if (!byName.containsKey(name)) {
            Budget b = new Budget(name, budget, windowMs);
            byName.put(name, b);
            byKey.put(b.key, b);
            b.advance(nowMs);
        }
    }

    /** The key has no budget any more. */
    void close(String name) {
        Budget b = byName.remove(name);
        if (b != null) {
            byKey.remove(b.key);
        }
    }

    Set<String> names() {
        return Set.copyOf(byName.keySet());
    }

    /** Begins the epochs that are due. */
    void tick(long nowMs) {
        List.copyOf(byName.values()).forEach(b -> b.advance(nowMs));
    }

    /** Tells the owner once more what is left of each. */
    void tellAll() {
        byName.values().forEach(Budget::tell);
    }

    /** One token of a key was spent, of those that the owner was told are left. */
    void spent(long nowMs, String name) {
        Budget b = byName.get(name);
        if (b != null) {
            b.spent++;
            b.left--;
        }
    }

    /** One more would be spent, but none is left: others are asked. */
    void wanting(long nowMs, String name) {
        Budget b = byName.get(name);
        if (b == null) {
            return;
        }
        if (nowMs / b.epochMs != b.epoch) {
            // The tick begins the next epoch, as the owner can't be told from within its own call.
            return;
        }
        b.wanting++;
        boolean asleep = nowMs / b.epochMs <= fromMs / b.epochMs;
        if (b.left > 0 || !b.asked.isEmpty() || b.asks >= MOST_ASKS || asleep) {
            return;
        }
        b.asks++;
        List<Integer> others = new ArrayList<>(owner.others());
        Collections.shuffle(others, random);
        int tokens = (int) Math.min(0xFFFF, Math.max(1, Math.max(b.wanting, b.reserve(nowMs))));
        for (int to : others.subList(0, Math.min(ASKED, others.size()))) {
            nonce = (nonce + 1) & 0xFFFF_FFFFL;
            b.asked.put(nonce, to);
            owner.send(to, new Ask(self, b.key, b.epoch & 0xFFFF_FFFFL, nonce, tokens));
        }
    }

    /** Lends what this process does not expect to need, half of it at most to one. */
    void receive(long nowMs, Ask ask) {
        Budget b = byKey.get(ask.key());
        if (b == null) {
            return;
        }
        b.advance(nowMs);
        // Ids of members are below 2^16, so sender and nonce fit one number.
        if ((b.epoch & 0xFFFF_FFFFL) != ask.epoch()
                || !b.answered.add((long) ask.sender() << 32 | ask.nonce())) {
            return;
        }
        long spare = Math.max(0, b.left - b.reserve(nowMs));
        long given = Math.min(ask.tokens(), spare - spare / 2);
        b.left -= given;
        b.lent += given;
        if (given > 0) {
            b.tell();
        }
        owner.send(ask.sender(), new Grant(self, ask.key(), ask.epoch(), ask.nonce(), (int) given));
    }

    /** Takes tokens that this process asked for, once, and only in their epoch. */
    void receive(long nowMs, Grant grant) {
        Budget b = byKey.get(grant.key());
        if (b == null) {
            return;
        }
        b.advance(nowMs);
        if ((b.epoch & 0xFFFF_FFFFL) == grant.epoch()
                && b.asked.remove(grant.nonce(), Integer.valueOf(grant.sender())) && grant.tokens() > 0) {
            b.left += grant.tokens();
            b.borrowed += grant.tokens();
            b.tell();
        }
    }

    /** A call that was never answered must not keep this process from asking again in this epoch. */
    void giveUpAsks() {
        byName.values().forEach(b -> b.asked.clear());
    }

    /**
     * A budget as it stands here.
     *
     * @param own tokens that are this process's by right in an epoch
     * @param left of them and of those borrowed
     * @param spent in this epoch
     * @param lent since the start
     * @param borrowed since the start
     */
    record Figures(String name, long perEpoch, long epochMs, long own, long left, long spent, long lent,
            long borrowed) { }

    List<Figures> figures() {
        return byName.values().stream().map(b -> new Figures(b.name, b.perEpoch, b.epochMs, b.own(), b.left,
                b.spent, b.lent, b.borrowed)).toList();
    }
}
