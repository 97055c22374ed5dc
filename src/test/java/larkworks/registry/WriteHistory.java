package larkworks.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import larkworks.Program;

/**
 * Writers that register one name after the other, each at the replica that took its last write and at the
 * next one after a failure, and what they were told: a history to check a list against.
 */
final class WriteHistory {

    /** An acknowledged write, by this process' clock in nanoseconds. */
    record Acknowledged(String name, long index, long begunAt, long endedAt) { }

    private final Replicas replicas;
    private final String prefix;
    private final Queue<Acknowledged> acknowledged = new ConcurrentLinkedQueue<>();
    private final Set<String> asked = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private final ExecutorService writers;
    private volatile boolean ended;
    private volatile Throwable failure;

    WriteHistory(Replicas replicas, int count) {
        this(replicas, count, "w");
    }

    /** @param prefix of the names that are registered */
    WriteHistory(Replicas replicas, int count, String prefix) {
        this.replicas = replicas;
        this.prefix = prefix;
        writers = Executors.newFixedThreadPool(count);
        for (int writer = 0; writer < count; writer++) {
            int own = writer;
            writers.execute(() -> {
                try {
                    write(own);
                } catch (RuntimeException | AssertionError e) {
                    failure = e;
                }
            });
        }
    }

    private void write(int writer) {
        int at = writer;
        for (int i = 0; !ended; i++) {
            String name = prefix + writer + "-" + i;
            asked.add(name);
            long begunAt = System.nanoTime();
            try {
                Caller.Answer answer = replicas.caller(replicas.ids().get(at % replicas.ids().size()))
                        .register(name, "10." + Math.floorMod(prefix.hashCode(), 250) + "." + writer + "."
                                + i % 250 + ":" + (1_000 + i), "");
                if (answer.status() == 200) {
                    acknowledged.add(new Acknowledged(name, answer.index(), begunAt, System.nanoTime()));
                    continue;
                }
                assertEquals(503, answer.status(), answer.error());
            } catch (IOException | InterruptedException e) {
                // Killed under us: what was not answered was not acknowledged.
            }
            at++;
        }
    }

    int size() {
        return acknowledged.size();
    }

    /** Waits until so many more are acknowledged. */
    void awaitMore(int more) throws InterruptedException {
        int enough = size() + more;
        Program.await(30, () -> size() + " of " + enough + " acknowledged", () -> size() >= enough);
    }

    /** The longest time in nanoseconds in which no write was acknowledged, from {@code fromAt} on. */
    long longestGap(long fromAt) {
        List<Long> ends = new ArrayList<>(acknowledged.stream().map(Acknowledged::endedAt)
                .filter(at -> at > fromAt).sorted().toList());
        long longest = 0;
        long before = fromAt;
        for (long at : ends) {
            longest = Math.max(longest, at - before);
            before = at;
        }
        return longest;
    }

    void end() throws InterruptedException {
        ended = true;
        writers.shutdown();
        assertTrue(writers.awaitTermination(60, TimeUnit.SECONDS));
        assertEquals(null, failure);
    }

    /** Checks a list that was read after the end, and the versions that the writers were told. */
    void check(Caller.Answer list) {
        Set<String> held = new HashSet<>(list.endpoints());
        Map<Long, String> byIndex = new HashMap<>();
        for (Acknowledged write : acknowledged) {
            assertTrue(held.contains(write.name() + " in_service"), write + " is lost");
            String other = byIndex.put(write.index(), write.name());
            assertTrue(other == null, () -> write + " has the index of " + other);
            assertTrue(write.index() <= list.index(), write + " is after " + list.index());
        }
        for (String entry : list.endpoints()) {
            assertTrue(!entry.startsWith(prefix) || asked.contains(entry.split(" ")[0]),
                    entry + " was never asked for");
        }
        // Whatever began after another was acknowledged has a later index.
        List<Acknowledged> byBegin = acknowledged.stream()
                .sorted(Comparator.comparingLong(Acknowledged::begunAt)).toList();
        List<Acknowledged> byEnd = acknowledged.stream()
                .sorted(Comparator.comparingLong(Acknowledged::endedAt)).toList();
        long highest = 0;
        int ends = 0;
        for (Acknowledged write : byBegin) {
            while (byEnd.get(ends).endedAt() < write.begunAt()) {
                highest = Math.max(highest, byEnd.get(ends++).index());
            }
            assertTrue(write.index() > highest, write + " began after " + highest + " was acknowledged");
        }
    }
}
