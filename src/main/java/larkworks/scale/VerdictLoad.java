package larkworks.scale;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Verdicts written at random members and times, and when each other member hears of them. */
final class VerdictLoad {

    private static final class Written {
        final long atUs;
        final BitSet heard = new BitSet();

        Written(long atUs) {
            this.atUs = atUs;
        }
    }

    /** A verdict is known by its server and its end. */
    private record Key(String server, long untilMs) { }

    private final FleetSimulation fleet;
    private final FleetScenario.Load load;
    private final Map<Key, Written> open = new HashMap<>();
    private final Histogram lag = Distribution.histogram();
    private final Histogram toAll = Distribution.histogram();
    private long written;
    private boolean running = true;

    VerdictLoad(FleetSimulation fleet, FleetScenario.Load load) {
        this.fleet = fleet;
        this.load = load;
        next();
    }

    /** At random, as a Poisson process: an even rate would fall in step with the rounds of gossip. */
    private void next() {
        double meanUs = 1e6 / load.verdictsPerS();
        fleet.time().after((long) (-meanUs * Math.log(1 - fleet.random().nextDouble())), () -> {
            if (running) {
                write();
                next();
            }
        });
    }

    private void write() {
        int member = fleet.random().nextInt(fleet.size());
        if (!fleet.up(member)) {
            return;
        }
        String server = FleetSimulation.server((int) (written % load.servers()));
        Written verdict = new Written(fleet.time().nowUs());
        open.put(new Key(server, fleet.time().nowUs() / 1_000 + load.holdMs()), verdict);
        verdict.heard.set(member);
        written++;
        fleet.member(member).hold(server, fleet.time().nowUs() / 1_000 + load.holdMs());
    }

    /** A member was told of a verdict by another. */
    void heard(int member, String server, long untilMs) {
        Key key = new Key(server, untilMs);
        Written verdict = open.get(key);
        if (verdict == null || verdict.heard.get(member)) {
            return;
        }
        verdict.heard.set(member);
        long lagUs = fleet.time().nowUs() - verdict.atUs;
        lag.recordValue(lagUs);
        if (verdict.heard.cardinality() == fleet.size()) {
            toAll.recordValue(lagUs);
            open.remove(key);
        }
    }

    /** Writes no more. */
    void stop() {
        running = false;
    }

    FleetResult.Verdicts result() {
        long nowMs = fleet.time().nowUs() / 1_000;
        long missing = open.keySet().stream().filter(key -> key.untilMs() <= nowMs).count();
        return new FleetResult.Verdicts(written, Distribution.of(lag), Distribution.of(toAll), missing);
    }
}
