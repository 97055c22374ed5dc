package larkworks.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import larkworks.rollout.Plan.Wave;
import larkworks.rollout.RolloutState.Phase;

/**
 * The steps of a rollout: what commands and the proxies' reports make of its state. It holds the reports,
 * and for each proxy which version it should run; the state itself is its owner's, who has it on disk.
 * Times are milliseconds by the caller's clock, which must never step.
 */
public final class Rollouts {

    /** A proxy that has not reported for so long is not counted among those of a share. */
    private static final long PRESENT_MS = 10_000;

    private record Heard(Report report, long atMs, long versionSinceMs) { }

    /**
     * What a proxy should run.
     *
     * @param version 0 for its own file alone
     * @param patch to its file; null for none
     */
    public record Target(long version, JsonNode patch) {
        /** A patch of null in JSON is none. */
        public Target {
            patch = patch == null || patch.isNull() ? null : patch;
        }
    }

    /** At a start nobody has reported yet, and the first to do so are not all there are. */
    private static final long SETTLE_MS = 3_000;

    private final Map<String, Heard> heard = new HashMap<>();
    private final long startedMs;
    private final long settledMs;
    /** The wave of which the state tells a time to come, and when that was seen first. */
    private RolloutState aheadState;
    private long aheadSeenMs;

    /** @param nowMs the start of the service, which knows what proxies run only some seconds later */
    public Rollouts(long nowMs) {
        startedMs = nowMs;
        settledMs = nowMs + SETTLE_MS;
    }

    /**
     * When the wave began, as far as this service can tell: what was stored may be of another process, whose
     * clock differed by any amount. So it is no earlier than the start of this one, and never to come.
     */
    private long beganMs(RolloutState state, long nowMs) {
        if (state.sinceMs() <= nowMs) {
            return Math.max(state.sinceMs(), startedMs);
        }
        if (aheadState != state) {
            aheadState = state;
            aheadSeenMs = nowMs;
        }
        return aheadSeenMs;
    }

    /** Takes a proxy's report. */
    public void report(String proxy, Report report, long nowMs) {
        Heard before = heard.get(proxy);
        boolean same = before != null && before.report.version() == report.version();
        heard.put(proxy, new Heard(report, nowMs, same ? before.versionSinceMs : nowMs));
    }

    /**
     * A rollout as published, at the start of its first wave.
     *
     * @param state before; null where there never was one
     * @param version the index that the change gets
     * @throws Conflict where another is not over
     */
    public static RolloutState publish(RolloutState state, Plan plan, long version, long nowMs)
            throws Conflict {
        if (state != null && !state.phase().over()) {
            throw new Conflict("rollout '" + state.plan().name() + "' is " + state.phase().wire());
        }
        boolean kept = state != null && state.phase() == Phase.DONE;
        return new RolloutState(version, plan, Phase.RUNNING, 0, nowMs, "",
                kept ? state.version() : state == null ? 0 : state.baseVersion(),
                kept ? merged(state.basePatch(), state.plan().patch())
                        : state == null ? null : state.basePatch());
    }

    /**
     * An operator's command.
     *
     * @param command {@code pause}, {@code resume} or {@code rollback}
     * @throws Conflict where it does not fit the phase, or there is no rollout
     */
    public static RolloutState command(RolloutState state, String command, long nowMs) throws Conflict {
        if (state == null) {
            throw new Conflict("there is no rollout");
        }
        Phase phase = state.phase();
        Phase next = switch (command) {
            case "pause" -> phase == Phase.RUNNING ? Phase.PAUSED : null;
            case "resume" -> phase == Phase.PAUSED ? Phase.RUNNING : null;
            case "rollback" -> phase == Phase.ROLLED_BACK ? null : Phase.ROLLED_BACK;
            default -> throw new IllegalArgumentException("no command '" + command + "'");
        };
        if (next == null) {
            throw new Conflict("can't " + command + ": rollout '" + state.plan().name() + "' is "
                    + phase.wire());
        }
        return state.at(next, state.wave(), nowMs, "by command");
    }

    /** What a proxy should run now. */
    public Target target(RolloutState state, String proxy, long nowMs) {
        if (state == null) {
            return new Target(0, null);
        }
        boolean adopts = state.phase() == Phase.DONE || state.phase() != Phase.ROLLED_BACK
                && (runs(proxy, state)
                        || nowMs >= settledMs && members(state, state.wave(), nowMs).contains(proxy));
        return adopts ? new Target(state.version(), merged(state.basePatch(), state.plan().patch()))
                : new Target(state.baseVersion(), state.basePatch());
    }

    /**
     * The state that follows now by itself, the same one where none does. To be called a few times a second.
     */
    public RolloutState step(RolloutState state, long nowMs) {
        if (state == null || state.phase() != Phase.RUNNING || nowMs < settledMs) {
            return state;
        }
        Set<String> members = members(state, state.wave(), nowMs);
        long requests = 0;
        long failures = 0;
        boolean all = !members.isEmpty();
        long lastMs = beganMs(state, nowMs);
        for (String proxy : members) {
            Heard h = heard.get(proxy);
            if (h != null && h.report.refused() == state.version()) {
                return state.at(Phase.ROLLED_BACK, state.wave(), nowMs, proxy + " can't take it up: "
                        + h.report.why());
            }
            if (h == null || h.report.version() != state.version() || nowMs - h.atMs > PRESENT_MS) {
                all = false;
                continue;
            }
            requests += h.report.requests();
            failures += h.report.failures();
            lastMs = Math.max(lastMs, h.versionSinceMs);
        }
        if (requests >= Math.max(1, state.plan().minRequests())
                && failures > state.plan().maxErrorShare() * requests) {
            return state.at(Phase.ROLLED_BACK, state.wave(), nowMs, "wave " + (state.wave() + 1) + ": "
                    + failures + " of " + requests + " requests were not served");
        }
        if (all && requests >= state.plan().minRequests() && nowMs - lastMs >= state.plan().bakeMs()) {
            boolean last = state.wave() + 1 >= state.plan().waves().size();
            return state.at(last ? Phase.DONE : Phase.RUNNING, state.wave() + 1, nowMs, "");
        }
        if (nowMs - beganMs(state, nowMs) >= state.plan().waitMs()) {
            return state.at(Phase.PAUSED, state.wave(), nowMs, "wave " + (state.wave() + 1)
                    + " is not through after " + state.plan().waitMs() + " ms: "
                    + missing(state, members, nowMs));
        }
        return state;
    }

    private boolean runs(String proxy, RolloutState state) {
        Heard h = heard.get(proxy);
        return h != null && h.report.version() == state.version();
    }

    private String missing(RolloutState state, Set<String> members, long nowMs) {
        List<String> silent = members.stream().filter(proxy -> {
            Heard h = heard.get(proxy);
            return h == null || h.report.version() != state.version() || nowMs - h.atMs > PRESENT_MS;
        }).sorted().toList();
        return silent.isEmpty() ? "too few requests"
                : "no word of the version from " + String.join(", ", silent);
    }

    /** The proxies of all waves up to this one; who runs the version stays, whoever comes after. */
    private Set<String> members(RolloutState state, int upTo, long nowMs) {
        Set<String> members = new HashSet<>();
        heard.keySet().stream().filter(proxy -> runs(proxy, state)).forEach(members::add);
        List<Wave> waves = state.plan().waves();
        for (Wave wave : waves.subList(0, Math.min(upTo + 1, waves.size()))) {
            if (wave.names() != null) {
                members.addAll(wave.names());
            } else {
                List<String> order = new ArrayList<>(present(nowMs));
                order.sort(Comparator.comparingInt((String proxy) -> Objects.hash(proxy, state.version()))
                        .thenComparing(proxy -> proxy));
                members.addAll(order.subList(0, (int) Math.ceil(wave.share() * order.size())));
            }
        }
        return members;
    }

    /** Proxies that report. One whose wave has come stays in it while silent: it may run the version. */
    private Collection<String> present(long nowMs) {
        return heard.entrySet().stream()
                .filter(h -> nowMs - h.getValue().atMs <= PRESENT_MS || h.getValue().report.version() > 0)
                .map(Map.Entry::getKey).toList();
    }

    /** Servers that some proxy rests, by reports that are not old. */
    public Set<String> resting(long nowMs) {
        Set<String> resting = new HashSet<>();
        heard.values().stream().filter(h -> nowMs - h.atMs <= PRESENT_MS)
                .forEach(h -> resting.addAll(h.report.resting()));
        return resting;
    }

    /** The proxies heard, by version run: for the operator. */
    public Map<String, Report> reports() {
        Map<String, Report> reports = new java.util.TreeMap<>();
        heard.forEach((proxy, h) -> reports.put(proxy, h.report));
        return reports;
    }

    /** One patch that does what both do, the second after the first; RFC 7396. */
    static JsonNode merged(JsonNode first, JsonNode second) {
        if (first == null || !first.isObject() || !second.isObject()) {
            return second;
        }
        ObjectNode both = first.deepCopy();
        second.properties().forEach(field -> both.set(field.getKey(), field.getValue().isObject()
                ? merged(both.path(field.getKey()), field.getValue()) : field.getValue()));
        return both;
    }

    /** A document with a merge patch applied; RFC 7396, section 2. */
    public static JsonNode patched(JsonNode document, JsonNode patch) {
        if (patch == null) {
            return document;
        }
        if (!patch.isObject()) {
            return patch;
        }
        ObjectNode result = document != null && document.isObject() ? document.deepCopy()
                : JsonNodeFactory.instance.objectNode();
        patch.properties().forEach(field -> {
            if (field.getValue().isNull()) {
                result.remove(field.getKey());
            } else {
                result.set(field.getKey(), patched(result.get(field.getKey()), field.getValue()));
            }
        });
        return result;
    }
}
