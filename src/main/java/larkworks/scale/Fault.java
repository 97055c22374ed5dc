package larkworks.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import larkworks.platform.Section;

/**
 * A fault of a scenario.
 *
 * @param name its key in the file
 * @param kind what is done
 * @param target to whom; of no account for a fault of the service
 * @param forS how long a pause, an outage or a cut lasts, and how long a restarted member is away
 * @param times how often it is done
 * @param everyS from one time to the next
 */
public record Fault(String name, Kind kind, Topology.Scope target, double forS, int times, double everyS) {

    /** What can be done to hollow members, and to the list service. */
    enum Kind {
        /** A member is gone for good, without a word. */
        KILL,
        /** A member stands still, its sockets open. */
        PAUSE,
        /** A member leaves in order, and another process of it starts later. */
        RESTART,
        /** The target and all others don't reach each other. */
        CUT,
        /** The list service is killed, and started on its data later. */
        SERVICE_KILL,
        /** The list service is stopped and goes on later. */
        SERVICE_PAUSE;

        String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Reads a table of faults by name, in the order of the file; what is wrong is noted in it. */
    static List<Fault> all(Section faults, Set<Kind> possible) {
        List<Fault> all = new ArrayList<>();
        for (String name : faults.keys()) {
            Section fault = faults.section(name);
            all.add(new Fault(name, word(fault, "kind", null, Kind.class, possible),
                    word(fault, "target", "one", Topology.Scope.class, Set.of(Topology.Scope.values())),
                    fault.number("for_s", 0.0, 0, 3_600), (int) fault.whole("times", 1L, 1, 10_000),
                    fault.number("every_s", 0.0, 0, 3_600)));
        }
        return all;
    }

    private static <E extends Enum<E>> E word(Section section, String key, String fallback, Class<E> kind,
            Set<E> possible) {
        String given = section.has(key) || fallback == null ? section.text(key, null) : fallback;
        for (E value : possible) {
            if (value.name().toLowerCase(Locale.ROOT).equals(given)) {
                return value;
            }
        }
        section.fault(key, "one of " + possible.stream().map(v -> v.name().toLowerCase(Locale.ROOT)).sorted()
                .collect(Collectors.joining(", ")) + " is wanted, not '" + given + "'");
        return kind.getEnumConstants()[0];
    }
}
