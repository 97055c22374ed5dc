package larkworks.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import larkworks.platform.Datagram;
import larkworks.shared.StateMessage.Ask;
import larkworks.shared.StateMessage.Gossip;
import larkworks.shared.StateMessage.Grant;
import larkworks.shared.StateMessage.Register;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/** The state machines alone, against any order, loss and repetition of what they send (issue 11). */
class SharedPropertiesTest {

    private static final long NOW = 1_700_000_000_000L;
    private static final long MOST_MS = 60_000;

    @Provide
    Arbitrary<Register> registers() {
        return Combinators.combine(Arbitraries.longs().between(1, 3), Arbitraries.of(Reason.class),
                Arbitraries.longs().between(0, 30_000), Arbitraries.longs().between(-50_000, 4_000),
                Arbitraries.integers().between(0, 3)).as((server, reason, until, age, origin) -> new Register(
                        server, reason, until == 0 ? 0 : NOW + age + until, NOW + age << 16 | until & 3,
                        origin));
    }

    @Provide
    Arbitrary<StateMessage> messages() {
        Arbitrary<Long> u32 = Arbitraries.longs().between(0, 0xFFFF_FFFFL);
        Arbitrary<Integer> u16 = Arbitraries.integers().between(0, 0xFFFF);
        return Arbitraries.oneOf(registers().list().ofMaxSize(StateCodec.MOST_REGISTERS)
                        .map(list -> (StateMessage) new Gossip(7, list)),
                Combinators.combine(u16, Arbitraries.longs(), u32, u32, u16)
                        .as((s, k, e, n, t) -> (StateMessage) new Ask(s, k, e, n, t)),
                Combinators.combine(u16, Arbitraries.longs(), u32, u32, u16)
                        .as((s, k, e, n, t) -> (StateMessage) new Grant(s, k, e, n, t)));
    }

    @Property
    void everyMessageFitsReadsBackAndAFlippedBitIsCaught(@ForAll("messages") StateMessage m,
            @ForAll @IntRange(min = 0, max = 2047) int bit) throws Datagram.Malformed {
        byte[] bytes = StateCodec.encode(m);
        assertTrue(bytes.length <= StateCodec.MOST_BYTES);
        assertEquals(m, StateCodec.decode(bytes, bytes.length));
        bytes[bit / 8 % bytes.length] ^= (byte) (1 << bit % 8);
        assertThrows(Datagram.Malformed.class, () -> StateCodec.decode(bytes, bytes.length));
    }

    private static List<Register> merged(List<Register> registers) {
        Verdicts verdicts = new Verdicts(9, MOST_MS, told -> { });
        registers.forEach(r -> verdicts.merge(NOW, r));
        verdicts.expire(NOW);
        return verdicts.inForce(NOW);
    }

    /** Any order, with repeats, ends in the same state everywhere; nothing holds beyond its own time. */
    @Property
    void verdictsMergeAlikeInAnyOrder(@ForAll("lists") List<Register> registers, @ForAll long seed) {
        List<Register> other = new ArrayList<>(registers);
        other.addAll(registers.subList(0, registers.size() / 2));
        Collections.shuffle(other, new Random(seed));
        List<Register> state = merged(registers);
        // Two writes of one process never have one stamp; where the generator made some, either may stand.
        if (registers.stream().map(r -> List.of(r.server(), r.reason(), r.stamp(), r.origin())).distinct()
                .count() == registers.stream().distinct().count()) {
            assertEquals(state, merged(other));
        }
        assertTrue(state.stream().allMatch(r -> r.untilMs() > NOW
                && r.untilMs() <= Hlc.ms(r.stamp()) + MOST_MS));
    }

    @Provide
    Arbitrary<List<Register>> lists() {
        return registers().list().ofMaxSize(12);
    }

    @Example
    void anOldDatagramDoesNotBringBackWhatWasTakenBackAndTheFutureIsDropped() {
        List<Register> told = new ArrayList<>();
        Verdicts here = new Verdicts(0, MOST_MS, told::add);
        Register set = new Register(5, Reason.RESTS, NOW + 20_000, NOW << 16, 1);
        here.merge(NOW, set);
        here.set(NOW + 10, 5, Reason.RESTS, 0);
        here.merge(NOW + 20, set);
        assertEquals(0, here.untilMs(NOW + 20, 5, Reason.RESTS));
        here.merge(NOW, new Register(6, Reason.RESTS, NOW + 9_000, NOW + 8_000 << 16, 1));
        assertEquals(List.of(set), told);
        assertEquals(1, here.dropped());
    }

    /** A fleet in simulated time: its members' budgets, and datagrams that are lost, late and doubled. */
    private static final class Simulation {
        private static final long BUDGET = 60;
        private static final long WINDOW_MS = 400;
        private final Random random;
        private final int size;
        private final Budgets[] members;
        private final long[] left;
        private final long[] untilMs;
        private final boolean[] cut;
        private final TreeMap<Long, List<Runnable>> later = new TreeMap<>();
        private final List<Long> spends = new ArrayList<>();
        private long now = NOW;
        private final double loss;
        private final int delayMs;
        private int spentByFirst;

        Simulation(int size, double loss, int delayMs, long seed) {
            this.size = size;
            this.delayMs = delayMs;
            this.loss = loss;
            random = new Random(seed);
            members = new Budgets[size];
            left = new long[size];
            untilMs = new long[size];
            cut = new boolean[size];
            IntStream.range(0, size).forEach(this::start);
        }

        private void start(int i) {
            left[i] = 0;
            members[i] = new Budgets(i, size, now, new Random(random.nextLong()), new Budgets.Owner() {
                @Override
                public void left(String key, long tokens, long until) {
                    left[i] = tokens;
                    untilMs[i] = until;
                }

                @Override
                public void send(int to, StateMessage message) {
                    for (int copy = random.nextInt(4) == 0 ? 2 : 1; copy > 0; copy--) {
                        if (random.nextDouble() >= loss && !cut[i] && !cut[to]) {
                            later.computeIfAbsent(now + 1 + random.nextInt(delayMs), t -> new ArrayList<>())
                                    .add(() -> deliver(to, message));
                        }
                    }
                }

                @Override
                public List<Integer> others() {
                    return IntStream.range(0, size).filter(other -> other != i).boxed().toList();
                }
            });
            members[i].open(now, "k", BUDGET, WINDOW_MS);
        }

        private void deliver(int to, StateMessage message) {
            if (message instanceof Ask ask) {
                members[to].receive(now, ask);
            } else if (message instanceof Grant grant) {
                members[to].receive(now, grant);
            }
        }

        /**
         * The first member wants far more than its part, the others one each so many ms; the most in a
         * window.
         */
        long run(int others, boolean faults) {
            for (int step = 0; step < 4_000; step++) {
                now++;
                List<Runnable> due = later.remove(now);
                if (due != null) {
                    due.forEach(Runnable::run);
                }
                for (int i = 0; i < size; i++) {
                    if (now % 10 == i % 10) {
                        members[i].tick(now);
                    }
                    if (random.nextInt(i == 0 ? 1 : others) == 0) {
                        want(i);
                    }
                }
                if (faults && random.nextInt(200) == 0) {
                    cut[random.nextInt(size)] ^= true;
                }
                if (faults && random.nextInt(500) == 0) {
                    start(random.nextInt(size));  // killed, and there again at once
                }
                if (step % 50 == 0) {
                    for (Budgets member : members) {
                        member.giveUpAsks();
                    }
                }
            }
            long most = 0;
            for (int from = 0, to = 0; to < spends.size(); to++) {
                while (spends.get(to) - spends.get(from) >= WINDOW_MS) {
                    from++;
                }
                most = Math.max(most, to - from + 1);
            }
            return most;
        }

        private void want(int i) {
            if (left[i] > 0 && now < untilMs[i]) {
                left[i]--;
                members[i].spent(now, "k");
                spends.add(now);
                spentByFirst += i == 0 ? 1 : 0;
            } else {
                members[i].wanting(now, "k");
            }
        }
    }

    @Property(tries = 60)
    void noWindowEverHoldsMoreThanTheBudget(@ForAll long seed,
            @ForAll @IntRange(min = 1, max = 12) int size,
            @ForAll @IntRange(min = 0, max = 9) int lossTenths,
            @ForAll @IntRange(min = 1, max = 2_000) int others) {
        long most = new Simulation(size, lossTenths / 10.0, 60, seed).run(others, true);
        assertTrue(most <= Simulation.BUDGET, most + " in a window");
    }

    @Example
    void tokensGoToWhoNeedsThem() {
        Simulation simulation = new Simulation(10, 0.1, 3, 4);
        simulation.run(2_000, false);
        // In 40 epochs its own part is 48 tokens of the 480 that there are.
        assertTrue(simulation.spentByFirst > 120, simulation.spentByFirst + " spent");
    }

    @Property(tries = 50)
    void aServerThatJoinsMovesOnlyTheKeysItWins(@ForAll @IntRange(min = 2, max = 60) int servers) {
        List<String> names = IntStream.range(0, servers).mapToObj(i -> "s-" + i).toList();
        Affinity before = new Affinity(1);
        before.list(names);
        Affinity after = new Affinity(1);
        List<String> more = new ArrayList<>(names);
        more.add("s-new");
        Collections.shuffle(more, new Random(servers));
        after.list(more);
        int moved = 0;
        for (int key = 0; key < 2_000; key++) {
            String was = before.of("k" + key).get(0);
            String is = after.of("k" + key).get(0);
            assertTrue(is.equals(was) || is.equals("s-new"), "a key moved between old servers");
            moved += is.equals(was) ? 0 : 1;
        }
        double fair = 2_000.0 / (servers + 1);
        assertTrue(Math.abs(moved - fair) < 5 * Math.sqrt(fair), moved + " moved, 1/n is " + fair);
    }
}
