package larkworks.registry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import larkworks.Program;

/**
 * Issue 21's figures, not a test: {@code java -cp "target/test-classes:target/larkworks.jar:target/lib/*"
 * larkworks.registry.ReplicaExperiment}, with the tests' own libraries on the class path too. Acknowledged
 * writes a second and their time with one process as by default, one replica and three; the time without an
 * acknowledged write after a leader's kill, with the history of each checked.
 */
public final class ReplicaExperiment {

    private static final int SECONDS = 5;
    private static final int KILLS = 20;
    private static final int WRITERS = 4;

    private ReplicaExperiment() { }

    /** Runs all of it; prints a line a figure. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("replicas");
        try (Program alone = new Program("", Map.of(), "registry", "--listen", "127.0.0.1:0", "--data",
                folder.resolve("alone").toString())) {
            Caller caller = new Caller((String) alone.awaitLogLine("serving").get("address"));
            writes("one process", caller);
        }
        for (int count : List.of(1, 3)) {
            Path own = Files.createDirectory(folder.resolve("r" + count));
            try (Replicas replicas = new Replicas(own, count, false, "")) {
                String leader = replicas.awaitLeader(replicas.ids());
                writes(count + " replicas, at the leader", replicas.caller(leader));
                if (count > 1) {
                    writes(count + " replicas, at a follower",
                            replicas.caller(replicas.others(leader).get(0)));
                }
            }
        }
        kills(Files.createDirectory(folder.resolve("kills")));
    }

    private static void writes(String what, Caller caller) throws Exception {
        writes(caller, 64, SECONDS);  // warm
        for (int callers : List.of(1, 8, 64)) {
            List<Long> tookNs = writes(caller, callers, SECONDS);
            System.out.printf("%s: callers=%d acknowledged writes/s=%d median=%.1f ms p99=%.1f ms%n", what,
                    callers, tookNs.size() / SECONDS, tookNs.get(tookNs.size() / 2) / 1e6,
                    tookNs.get(tookNs.size() * 99 / 100) / 1e6);
        }
    }

    /** How long each acknowledged write took, the shortest first. */
    private static List<Long> writes(Caller caller, int callers, int seconds) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(callers);
        Queue<Long> tookNs = new ConcurrentLinkedQueue<>();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (int c = 0; c < callers; c++) {
            String name = "w" + c;
            String at = "10.1.0." + c + ":1";
            threads.submit(() -> {
                caller.register(name, at, "");
                for (boolean up = false; System.nanoTime() < until; up = !up) {
                    long begunAt = System.nanoTime();
                    if (caller.status(name, up ? "in_service" : "terminating").status() == 200) {
                        tookNs.add(System.nanoTime() - begunAt);
                    }
                }
                return null;
            });
        }
        threads.shutdown();
        if (!threads.awaitTermination(60, TimeUnit.SECONDS)) {
            throw new IOException("the callers did not end");
        }
        return tookNs.stream().sorted().toList();
    }

    private static void kills(Path folder) throws Exception {
        List<Long> gapsNs = new ArrayList<>();
        int acknowledged = 0;
        try (Replicas replicas = new Replicas(folder, 3, false, "")) {
            replicas.awaitSame(replicas.ids());
            List<WriteHistory> histories = new ArrayList<>();
            for (int kill = 0; kill < KILLS; kill++) {
                String leader = replicas.awaitLeader(replicas.ids());
                WriteHistory history = new WriteHistory(replicas, WRITERS, "k" + kill + "-");
                histories.add(history);
                history.awaitMore(50);
                long killedAt = System.nanoTime();
                replicas.kill(leader);
                history.awaitMore(50);
                history.end();
                gapsNs.add(history.longestGap(killedAt));
                acknowledged += history.size();
                replicas.start(leader, "");
                history.check(replicas.awaitSame(replicas.ids()));
            }
            Caller.Answer list = replicas.awaitSame(replicas.ids());
            histories.forEach(history -> history.check(list));
        }
        gapsNs.sort(null);
        System.out.printf("kills of the leader=%d acknowledged writes=%d lost=0 time without writes: "
                + "median=%.0f ms p99=%.0f ms all=%s ms%n", KILLS, acknowledged, gapsNs.get(KILLS / 2) / 1e6,
                gapsNs.get(KILLS - 1) / 1e6, gapsNs.stream().map(ns -> ns / 1_000_000).toList());
    }
}
