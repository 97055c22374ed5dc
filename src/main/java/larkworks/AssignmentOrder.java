package larkworks;

import java.util.TreeSet;

/**
 * Servers in the order of their turns, the earliest assigned first, and those of them that are in the subset
 * apart. In nearly every choice one of the first will do, so that a choice does not grow with the fleet.
 */
final class AssignmentOrder {

    private final TreeSet<Backend> all = new TreeSet<>(Backend.TURN);
    private final TreeSet<Backend> subset = new TreeSet<>(Backend.TURN);

    /** Takes up a server, or gives it another turn. */
    void place(Backend server, long turnAtUs) {
        all.remove(server);
        subset.remove(server);
        server.turnAtUs = turnAtUs;
        all.add(server);
        if (server.inSubset) {
            subset.add(server);
        }
    }

    /** Forgets a server. */
    void remove(Backend server) {
        all.remove(server);
        subset.remove(server);
    }

    /** Has a server be in the subset, or not any more. */
    void member(Backend server, boolean within) {
        if (server.inSubset != within) {
            server.inSubset = within;
            if (within) {
                subset.add(server);
            } else {
                subset.remove(server);
            }
        }
    }

    /** All servers. */
    Iterable<Backend> all() {
        return all::iterator;
    }

    /** Those of the subset. */
    Iterable<Backend> subset() {
        return subset::iterator;
    }
}
