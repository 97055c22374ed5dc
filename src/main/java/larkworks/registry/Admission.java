package larkworks.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Admits new servers in stages: a share of the tier at a time, each raised to its weight in steps; a server
 * on the ramp that a proxy rests stops it all. No I/O; times are Unix milliseconds by the caller's clock.
 */
final class Admission {

    /** Waits to be admitted. */
    static final int WAITS = -1;
    /** Was taken out with its stage, until an operator says so. */
    static final int STOPPED = -2;
    /** Has all its weight. */
    static final int FULL = 0;

    /**
     * How servers are admitted.
     *
     * @param maxNewShare of the tier on the ramp at a time, above 0 to 1; 0 where all are admitted at once
     * @param steps shares of its weight, one after the other, before all of it
     * @param stepMs how long each lasts
     */
    record Settings(double maxNewShare, List<Double> steps, long stepMs) {

        boolean on() {
            return maxNewShare > 0;
        }
    }

    private Settings settings;
    /** Since when an instance is at its step. */
    private final Map<String, Long> sinceMs = new HashMap<>();

    Admission(Settings settings) {
        this.settings = settings;
    }

    /** How servers are admitted now. */
    Settings settings() {
        return settings;
    }

    /** Admits by other settings from now on. */
    void use(Settings others) {
        settings = others;
    }

    /** Whether servers are admitted in stages. */
    boolean on() {
        return settings.on();
    }

    /**
     * A registration as it comes into the list: a server that started just now waits, others keep their
     * step.
     */
    Instance entering(Instance next, Instance held, long nowMs) {
        boolean known = held != null && !held.gone() && held.sinceMs() == next.sinceMs();
        if (known || !settings.on()) {
            return next.ramped(known ? held.ramp() : FULL);
        }
        long ramp = settings.stepMs() * settings.steps().size();
        return next.ramped(next.sinceMs() > 0 && nowMs - next.sinceMs() < ramp ? WAITS : FULL);
    }

    /**
     * What proxies are told of an instance among the changes; out of the whole list it is left while held
     * back.
     */
    Instance shown(Instance instance) {
        if (instance.gone() || instance.ramp() == FULL) {
            return instance;
        }
        if (instance.ramp() < 0) {
            return instance.shown(Status.TERMINATING, 1);
        }
        int step = Math.min(instance.ramp(), settings.steps().size());
        return instance.shown(instance.status(), step == 0 ? 1 : settings.steps().get(step - 1));
    }

    /** Whether the whole list holds an instance. */
    static boolean listed(Instance instance) {
        return instance.ramp() >= 0;
    }

    /**
     * The instances that change now by themselves.
     *
     * @param live all that are not terminated
     * @param resting names of servers that some proxy rests
     */
    List<Instance> step(Collection<Instance> live, Set<String> resting, long nowMs) {
        List<Instance> ramping = live.stream().filter(i -> i.ramp() > 0).toList();
        if (ramping.stream().anyMatch(i -> resting.contains(i.name()))) {
            return ramping.stream().map(i -> i.ramped(STOPPED)).toList();
        }
        List<Instance> changes = new ArrayList<>();
        for (Instance i : ramping) {
            if (nowMs - sinceMs.computeIfAbsent(i.name(), name -> nowMs) >= settings.stepMs()) {
                sinceMs.put(i.name(), nowMs);
                changes.add(i.ramped(i.ramp() < settings.steps().size() ? i.ramp() + 1 : FULL));
            }
        }
        if (live.stream().noneMatch(i -> i.ramp() == STOPPED)) {
            long inUse = live.stream().filter(i -> i.ramp() >= 0).count();
            long room = Math.max(1, (long) (settings.maxNewShare() * inUse)) - ramping.size();
            live.stream().filter(i -> i.ramp() == WAITS).limit(Math.max(0, room)).forEach(i -> {
                sinceMs.put(i.name(), nowMs);
                changes.add(i.ramped(settings.steps().isEmpty() ? FULL : 1));
            });
        }
        return changes;
    }

    /** What an operator's resume changes: those taken out wait anew. */
    static List<Instance> resumed(Collection<Instance> live) {
        return live.stream().filter(i -> i.ramp() == STOPPED).map(i -> i.ramped(WAITS)).toList();
    }
}
