package larkworks;

import java.util.TreeSet;

/**
 * All servers, and separately those of the subset, the least recently assigned first. Nearly every choice
 * takes one of the first servers, so that the cost of a choice does not grow with the fleet.
 */
final class AssignmentOrder {

    private final TreeSet<Backend> all = new TreeSet<>(Backend.ASSIGNMENT_ORDER);
    private final TreeSet<Backend> subset = new TreeSet<>(Backend.ASSIGNMENT_ORDER);

    /** Adds a server, or moves it to another place in the order. */
    void put(Backend server, long assignedAtUs) {
        all.remove(server);
        subset.remove(server);
        server.assignedAtUs = assignedAtUs;
        all.add(server);
        if (server.isInSubset) {
            subset.add(server);
        }
    }

    /** Removes a server. */
    void remove(Backend server) {
        all.remove(server);
        subset.remove(server);
    }

    /** Adds a server to the subset, or removes it from the subset. */
    void setInSubset(Backend server, boolean isInSubset) {
        if (server.isInSubset != isInSubset) {
            server.isInSubset = isInSubset;
            if (isInSubset) {
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
