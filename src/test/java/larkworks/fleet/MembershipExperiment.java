package larkworks.fleet;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Issue 9's figures, not a test (with TRIALS negative: as many partitions of 6 s into halves, and the time
 * from each healing until all hold all alive): {@code java -cp target/test-classes:target/larkworks.jar
 * larkworks.fleet.MembershipExperiment N TRIALS LOSS}. Starts N member processes with the default figures
 * behind the relay at the given loss, kills one at random with SIGKILL in each trial, times until every
 * survivor logs it dead, starts it again and waits until all hold it alive. Prints one line of figures.
 */
public final class MembershipExperiment {

    private MembershipExperiment() { }

    private static void heal(Fleet fleet, int n, int times, double loss) throws Exception {
        List<Double> seconds = new ArrayList<>();
        List<Integer> all = IntStream.range(0, n).boxed().toList();
        int[] halves = IntStream.range(0, n).map(i -> i % 2).toArray();
        for (int t = 0; t < times; t++) {
            fleet.relay.partition(halves);
            Thread.sleep(6_000);
            fleet.relay.heal();
            long healed = System.nanoTime();
            if (!Fleet.await(120_000, () -> all.stream().allMatch(i -> fleet.allHold(all, i, "alive")))) {
                throw new IllegalStateException("never healed: " + fleet.views());
            }
            seconds.add((System.nanoTime() - healed) / 1e9);
        }
        seconds.sort(null);
        System.out.printf("n=%d loss=%.2f partitions of 6 s=%d: converged after median=%.2fs max=%.2fs%n",
                n, loss, times, seconds.get(times / 2), seconds.get(times - 1));
    }

    /** Runs the experiment; arguments as above. */
    public static void main(String[] args) throws Exception {
        int n = Integer.parseInt(args[0]);
        int trials = Integer.parseInt(args[1]);
        double loss = Double.parseDouble(args[2]);
        Path folder = Files.createTempDirectory("members");
        Random random = new Random(11);
        List<Double> detections = new ArrayList<>();
        long falseDead = 0;
        List<long[]> kills = new ArrayList<>();
        try (Fleet fleet = new Fleet(n, "{}", folder)) {
            if (!Fleet.await(60_000, () -> fleet.started() == n)) {
                throw new IllegalStateException("only " + fleet.started() + " of " + n + " started");
            }
            fleet.relay.loss(loss);
            if (trials < 0) {
                heal(fleet, n, -trials, loss);
                return;
            }
            long startNs = System.nanoTime();
            long datagrams0 = fleet.relay.datagrams.get();
            long bytes0 = fleet.relay.bytes.get();
            for (int t = 0; t < trials; t++) {
                int victim = random.nextInt(n);
                List<Integer> survivors = IntStream.range(0, n).filter(i -> i != victim).boxed().toList();
                long killedNs = System.nanoTime();
                kills.add(new long[] {killedNs, victim});
                fleet.kill(victim);
                if (!Fleet.await(60_000, () -> fleet.allHold(survivors, victim, "dead"))) {
                    throw new IllegalStateException("trial " + t + ": not dead everywhere: " + fleet.views());
                }
                long last = fleet.lines.stream().filter(l -> "changed".equals(l.get("message"))
                        && "dead".equals(l.get("to")) && ((Number) l.get("about")).intValue() == victim)
                        .mapToLong(l -> (Long) l.get("at")).filter(at -> at > killedNs).max().orElseThrow();
                detections.add((last - killedNs) / 1e9);
                fleet.start(victim);
                if (!Fleet.await(60_000, () -> fleet.allHold(survivors, victim, "alive"))) {
                    throw new IllegalStateException("trial " + t + ": never back: " + fleet.views());
                }
            }
            double seconds = (System.nanoTime() - startNs) / 1e9;
            for (Map<String, Object> l : fleet.lines) {
                if ("changed".equals(l.get("message")) && "dead".equals(l.get("to"))) {
                    // A death is false unless it is of the member killed last before it was logged.
                    long at = (Long) l.get("at");
                    long victim = kills.stream().filter(k -> k[0] < at).mapToLong(k -> k[1])
                            .reduce((a, b) -> b).orElse(-1);
                    falseDead += ((Number) l.get("about")).intValue() == victim ? 0 : 1;
                }
            }
            double perMember = seconds * n;
            detections.sort(null);
            int p99 = (int) Math.min(detections.size() - 1, Math.ceil(0.99 * detections.size()) - 1);
            System.out.printf("n=%d trials=%d loss=%.2f span=%.0fs median=%.2fs p99=%.2fs max=%.2fs "
                    + "false-dead=%d over %.2f member-hours datagrams/member/s=%.1f bytes/member/s=%.0f%n",
                    n, trials, loss, seconds, detections.get(detections.size() / 2), detections.get(p99),
                    detections.get(detections.size() - 1), falseDead, perMember / 3600,
                    (fleet.relay.datagrams.get() - datagrams0) / perMember,
                    (fleet.relay.bytes.get() - bytes0) / perMember);
        }
    }
}
