package larkworks;

import java.util.TreeSet;

/**
 * All servers, and separately those of the subset, the least recently assigned first. Nearly every choice
 * takes one of the first servers, so that the cost of a choice does not grow with the fleet.
 */
final class AssignmentOrder {

    private final TreeSet<Backend> all = new TreeSet<>(Backend.TURN);
    private final TreeSet<Backend> subset = new TreeSet<>(Backend.TURN);

    /** Adds a server, or moves it to another place in the order. */
    void place(Backend server, long turnAtUs) {
        all.remove(server);
        subset.remove(server);
        server.turnAtUs = turnAtUs;
        all.add(server);
        if (server.inSubset) {
            subset.add(server);
        }
    }

    /** Removes a server. */
    void remove(Backend server) {
        all.remove(server);
        subset.remove(server);
    }

    /** Adds a server to the subset, or removes it from the subset. */
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

    /** Returns all servers, the least recently assigned first. */
    Iterable<Backend> all() {
        return all::iterator;
    }

    /** Returns the servers of the subset, the least recently assigned first. */
    Iterable<Backend> subset() {
        return subset::iterator;
    }
}
