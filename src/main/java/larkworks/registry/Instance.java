package larkworks.registry;

/**
 * One backend as the list service holds it.
 *
 * @param name the same at every proxy, unique among those not terminated
 * @param address {@code host:port}, unique likewise
 * @param zone name of its zone, may be empty
 * @param type name of its machine type, may be empty
 * @param group number of its group
 * @param status whether it takes calls
 * @param weight its share, above 0
 * @param sinceMs Unix time in milliseconds when it last started, 0 for long ago
 * @param ttlMs without a heartbeat for as long it goes terminating; 0 for no lease
 * @param expired whether its lease ended, which a heartbeat undoes as long as it is not terminated
 * @param ramp the step of its admission from 1 on; 0 once it has all its weight; see {@link Admission}
 */
public record Instance(String name, String address, String zone, String type, int group, Status status,
        double weight, long sinceMs, long ttlMs, boolean expired, int ramp) {

    Instance with(Status next, boolean byLease) {
        return new Instance(name, address, zone, type, group, next, weight, sinceMs, ttlMs, byLease, ramp);
    }

    Instance ramped(int step) {
        return new Instance(name, address, zone, type, group, status, weight, sinceMs, ttlMs, expired, step);
    }

    /** As proxies are to see it. */
    Instance shown(Status as, double share) {
        return new Instance(name, address, zone, type, group, as, weight * share, sinceMs, ttlMs, expired,
                ramp);
    }

    boolean gone() {
        return status == Status.TERMINATED;
    }
}
