package larkworks.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import larkworks.rollout.Plan;
import larkworks.rollout.RolloutState;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** The replicas' state machine: one log makes one list, whatever restarts and snapshots come between. */
class ListStateMachinePropertyTest {

    private static final long BEGUN_MS = 1_800_000_000_000L;

    /** One entry of a log. */
    record Entry(Command command, long nowMs, long term) { }

    private static Arbitrary<String> names() {
        return Arbitraries.of("a", "b", "c", "d", "e", "f");
    }

    private static Arbitrary<Long> terms() {
        return Arbitraries.longs().between(1, 3);
    }

    private static Plan plan() {
        ObjectNode patch = JsonNodeFactory.instance.objectNode();
        patch.putObject("settings").put("retries", 2);
        return new Plan("p", patch, List.of(new Plan.Wave(0.5, null)), 0, 1_000, 0.1, 1);
    }

    private static RolloutState state(long version, int wave, long sinceMs) {
        return new RolloutState(version, plan(), RolloutState.Phase.RUNNING, wave, sinceMs, "", 0, null);
    }

    private static Arbitrary<Command> commands() {
        Arbitrary<String> addresses = Arbitraries.integers().between(1, 7).map(i -> "10.0.0.1:" + i);
        Arbitrary<Long> started = Arbitraries.longs().between(0, 4_000).map(i -> i == 0 ? 0 : BEGUN_MS + i);
        return Arbitraries.oneOf(List.of(
                Combinators.combine(names(), addresses, started, Arbitraries.of(0L, 1_000L))
                        .as((name, address, since, ttl) -> new Command.Register(name,
                                new Registration(address, "z", "t", 1, 1.0, since, ttl))),
                Combinators.combine(names(), Arbitraries.of(Status.values()))
                        .as(Command.SetStatus::new),
                names().map(Command.Heartbeat::new),
                Arbitraries.just(new Command.ResumeAdmission()),
                Arbitraries.just(new Command.Publish(plan())),
                Arbitraries.of("pause", "resume", "rollback").map(Command.Steer::new),
                Combinators.combine(terms(), Arbitraries.of(0, 2, 5), Arbitraries.of(0.0, 0.5))
                        .as((term, tombstones, share) -> new Decision.Lead(term, "epoch" + term,
                                new Admission.Settings(share, List.of(0.5), 1_000), tombstones)),
                Combinators.combine(terms(), names().list().ofMinSize(1).ofMaxSize(3))
                        .as(Decision.Expire::new),
                Combinators.combine(terms(), names(), Arbitraries.of(-2, -1, 0, 1),
                        Arbitraries.of(-2, -1, 0, 1)).as((term, name, from, to) ->
                                new Decision.Ramp(term, Map.of(name, from), Map.of(name, to))),
                Combinators.combine(terms(), Arbitraries.longs().between(1, 20),
                        Arbitraries.longs().between(0, 20_000)).as((term, version, at) ->
                                new Decision.StepRollout(term, RolloutState.Phase.RUNNING, 0, BEGUN_MS + at,
                                        state(version, 1, BEGUN_MS + at)))));
    }

    @Provide
    Arbitrary<List<Entry>> logs() {
        return Combinators.combine(commands(), Arbitraries.longs().between(0, 20_000), terms())
                .as((command, at, term) -> new Entry(command, BEGUN_MS + at, term))
                .list().ofMaxSize(120).map(entries -> {
                    List<Entry> log = new ArrayList<>();
                    log.add(new Entry(new Decision.Lead(1, "first", new Admission.Settings(0.5,
                            List.of(0.5), 1_000), 3), BEGUN_MS, 1));
                    log.addAll(entries);
                    return log;
                });
    }

    private static ListStateMachine restarted(ListStateMachine before) {
        try {
            Path file = Files.createTempFile("snapshot", "");
            try {
                ByteBuffer bytes = ReplicaSnapshot.bytes(before.image());
                Files.write(file, bytes.array());
                ListStateMachine after = new ListStateMachine();
                after.restore(ReplicaSnapshot.read(file));
                return after;
            } finally {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Property(tries = 300)
    void oneLogMakesOneListWhateverSnapshotsAndRestartsComeBetween(@ForAll("logs") List<Entry> log,
            @ForAll Set<Integer> restarts) throws IOException {
        ListStateMachine straight = new ListStateMachine();
        ListStateMachine other = new ListStateMachine();
        for (int i = 0; i < log.size(); i++) {
            if (restarts.contains(i)) {
                other = restarted(other);
            }
            Entry entry = log.get(i);
            // As the log holds it: what does not survive that would differ at a restart.
            Command read = Words.record(Words.bytes(entry.command()), Command.class);
            List<Change> told = new ArrayList<>();
            List<Change> toldOther = new ArrayList<>();
            assertEquals(straight.apply(entry.command(), entry.nowMs(), entry.term(), told::add),
                    other.apply(read, entry.nowMs(), entry.term(), toldOther::add));
            assertEquals(told, toldOther);
            assertEquals(straight.image(), other.image());
        }
        for (long from = 0; from <= straight.catalog().index(); from++) {
            assertEquals(straight.catalog().knows(from), other.catalog().knows(from));
            assertEquals(List.copyOf(straight.catalog().since(from)),
                    List.copyOf(other.catalog().since(from)));
        }
    }

    @Property(tries = 200)
    void eachChangeGetsTheNextIndexAndARefusalNone(@ForAll("logs") List<Entry> log) {
        ListStateMachine machine = new ListStateMachine();
        long index = 0;
        for (Entry entry : log) {
            List<Change> told = new ArrayList<>();
            Outcome outcome = machine.apply(entry.command(), entry.nowMs(), entry.term(), told::add);
            for (Change change : told) {
                assertEquals(++index, change.index());
            }
            assertEquals(index, outcome.index());
            assertTrue(outcome.status() == 0 || told.isEmpty(), outcome.toString());
            long listening = machine.catalog().live().stream().map(Instance::address).distinct().count();
            assertEquals(machine.catalog().size(), listening, "two listen at one address");
        }
    }

    @Example
    void aDecisionOfAnotherTermIsOfNoForceAndTheFirstEpochStays() {
        ListStateMachine machine = new ListStateMachine();
        Registration registration = new Registration("10.0.0.1:1", "", "", 1, 1.0, 0L, 1_000L);
        assertEquals(503, machine.apply(new Command.Register("a", registration), BEGUN_MS, 1, c -> { })
                .status());
        Admission.Settings atOnce = new Admission.Settings(0, List.of(), 0);
        machine.apply(new Decision.Lead(1, "one", atOnce, 9), BEGUN_MS, 1, c -> { });
        machine.apply(new Command.Register("a", registration), BEGUN_MS, 1, c -> { });
        // Sent by the leader of term 1, and taken into the log by the one of term 2.
        assertEquals(409, machine.apply(new Decision.Expire(1, List.of("a")), BEGUN_MS, 2, c -> { })
                .status());
        assertEquals(Status.IN_SERVICE, machine.catalog().get("a").status());
        machine.apply(new Decision.Lead(2, "two", atOnce, 9), BEGUN_MS, 2, c -> { });
        assertEquals("one", machine.epoch());
        assertEquals(0, machine.apply(new Decision.Expire(2, List.of("a")), BEGUN_MS, 2, c -> { }).status());
        assertEquals(Status.TERMINATING, machine.catalog().get("a").status());
    }

    @Example
    void aSnapshotCutOffIsRefusedWithItsName() throws IOException {
        Path file = Files.createTempFile("snapshot", "");
        try {
            byte[] whole = ReplicaSnapshot.bytes(new ListStateMachine().image()).array();
            for (int length = 0; length < whole.length; length++) {
                Files.write(file, java.util.Arrays.copyOf(whole, length));
                IOException told = assertThrows(IOException.class, () -> ReplicaSnapshot.read(file));
                assertTrue(told.getMessage().startsWith(file + ": "), told.getMessage());
            }
        } finally {
            Files.delete(file);
        }
    }
}
