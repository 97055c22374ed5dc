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
 */
public record Instance(String name, String address, String zone, String type, int group, Status status,
        double weight, long sinceMs, long ttlMs, boolean expired) {

    Instance with(Status next, boolean byLease) {
        return new Instance(name, address, zone, type, group, next, weight, sinceMs, ttlMs, byLease);
    }

    boolean gone() {
        return status == Status.TERMINATED;
    }
}
