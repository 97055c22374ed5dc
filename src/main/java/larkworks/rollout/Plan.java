package larkworks.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A rollout as an operator publishes it.
 *
 * @param name for people
 * @param patch merge patch (RFC 7396) to a proxy's configuration; only {@code settings} may stand in it
 * @param waves one after the other; who is in none of them follows with the end of the last
 * @param bakeMs a wave is watched so long after all of it runs the new version
 * @param waitMs a wave that is not through after so long pauses the rollout
 * @param maxErrorShare of a wave's requests, so many may not be served, 0 to 1
 * @param minRequests fewer requests tell nothing
 */
public record Plan(String name, JsonNode patch, List<Wave> waves, long bakeMs, long waitMs,
        double maxErrorShare, long minRequests) {

    /**
     * The proxies of a stage.
     *
     * @param share of those that report, above 0 to 1; the waves before are part of it; null where names
     *     are given
     * @param names of the proxies; null where a share is given
     */
    public record Wave(Double share, List<String> names) { }

    /**
     * Checks what an operator sent.
     *
     * @throws IllegalArgumentException naming the first field that makes no sense
     */
    public void check() {
        want(name != null && !name.isBlank() && name.length() <= 128,
                "name: up to 128 characters are wanted");
        want(patch != null && patch.isObject() && patch.path("settings").isObject() && patch.size() == 1,
                "patch: an object with 'settings' alone is wanted");
        want(waves != null && !waves.isEmpty() && waves.size() <= 100, "waves: 1 to 100 are wanted");
        Set<String> seen = new HashSet<>();
        double share = 0;
        for (int i = 0; i < waves.size(); i++) {
            Wave wave = waves.get(i);
            want(wave != null && (wave.share() == null) != (wave.names() == null),
                    "waves[" + i + "]: either share or names is wanted");
            if (wave.share() != null) {
                want(wave.share() > share && wave.share() <= 1,
                        "waves[" + i + "].share: more than the wave before, 1 at most, is wanted");
                share = wave.share();
            } else {
                want(!wave.names().isEmpty(), "waves[" + i + "].names: at least one is wanted");
                for (String proxy : wave.names()) {
                    want(proxy != null && seen.add(proxy),
                            "waves[" + i + "].names: '" + proxy + "' stands twice");
                }
            }
        }
        want(bakeMs >= 0 && bakeMs <= 86_400_000, "bake_ms: 0 to a day is wanted");
        want(waitMs >= 1_000 && waitMs <= 604_800_000, "wait_ms: 1000 to a week is wanted");
        want(waitMs > bakeMs, "wait_ms: more than bake_ms is wanted");
        want(maxErrorShare >= 0 && maxErrorShare < 1, "max_error_share: 0 to less than 1 is wanted");
        want(minRequests >= 0, "min_requests: 0 or more is wanted");
    }

    private static void want(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }
}
