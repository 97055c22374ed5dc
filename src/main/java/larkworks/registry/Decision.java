package larkworks.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import larkworks.rollout.RolloutState;

/**
 * What the leader of several replicas decides by its own clock and by what it alone has heard. It is of no
 * force in a log entry of another leader's term: whoever leads then has other knowledge.
 */
sealed interface Decision extends Command {

    /** The term of the leader that decided so. */
    long term();

    /**
     * A leader's first: the rules that hold for all replicas from here on.
     *
     * @param epoch which data it is from now on, where that was never decided before
     * @param admission how new servers are admitted
     * @param maxTombstones removed instances that are remembered
     */
    record Lead(long term, String epoch, Admission.Settings admission, int maxTombstones)
            implements Decision {
        @Override
        public List<Change> grant(Registrar registrar, long nowMs) {
            return List.of();
        }
    }

    /** Leases that ended. */
    record Expire(long term, List<String> names) implements Decision {
        @Override
        public List<Change> grant(Registrar registrar, long nowMs) {
            List<Change> changes = new ArrayList<>();
            for (String name : names) {
                Change change = registrar.expire(name);
                if (change != null) {
                    changes.add(change);
                }
            }
            return changes;
        }
    }

    /**
     * Instances whose admission moves on.
     *
     * @param from the step at which each was judged; one that has moved otherwise since stays
     * @param to its next step
     */
    record Ramp(long term, Map<String, Integer> from, Map<String, Integer> to) implements Decision {
        @Override
        public List<Change> grant(Registrar registrar, long nowMs) {
            List<Change> changes = new ArrayList<>();
            to.forEach((name, step) -> {
                Change change = registrar.ramp(name, from.get(name), step);
                if (change != null) {
                    changes.add(change);
                }
            });
            return changes;
        }
    }

    /**
     * A step of the rollout.
     *
     * @param before the phase in which it was judged; a rollout that has moved otherwise since stays
     * @param beforeWave the wave likewise
     * @param beforeMs since when that was so
     * @param next the state that follows
     */
    record StepRollout(long term, RolloutState.Phase before, int beforeWave, long beforeMs,
            RolloutState next) implements Decision {
        @Override
        public List<Change> grant(Registrar registrar, long nowMs) {
            RolloutState now = registrar.rollout();
            boolean same = now != null && now.version() == next.version() && now.phase() == before
                    && now.wave() == beforeWave && now.sinceMs() == beforeMs;
            return same ? List.of(registrar.rollOut(next)) : List.of();
        }
    }
}
