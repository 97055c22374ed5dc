package larkworks.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;

/**
 * A list of backends as received from discovery or read from the configuration.
 *
 * @param index version of the list
 * @param isFull whether it is a full list; false if it contains only changes
 * @param entries its backends
 */
record Listing(long index, boolean isFull, List<Entry> entries) {

    /** A backend: its description for the decision module, and its address; null if its status is GONE. */
    record Entry(Server server, InetSocketAddress address) {

        /** Returns an entry for the same backend with status {@code GONE}. */
        Entry asGone() {
            return new Entry(new Server(server.id(), server.startedAtUs(), server.zone(), server.group(),
                    server.weight(), ServerStatus.GONE), null);
        }
    }

    /** Builds an entry from the JSON fields of a backend, given one by one; unknown fields are ignored. */
    static final class EntryBuilder {
        private final List<String> zones;
        private Object name;
        private Object address;
        private Object status;
        private Object zone;
        private Object group;
        private Object weight;
        private Object sinceMs;

        EntryBuilder(List<String> zones) {
            this.zones = zones;
        }

        /** Sets a field, whose value is a string, a number, a boolean or null. */
        void set(String field, Object value) {
            switch (field) {
                case "name" -> name = value;
                case "address" -> address = value;
                case "status" -> status = value;
                case "zone" -> zone = value;
                case "group" -> group = value;
                case "weight" -> weight = value;
                case "since_ms" -> sinceMs = value;
                default -> { }
            }
        }

        /**
         * Returns the entry.
         *
         * @throws IllegalArgumentException if a required field is missing or invalid
         */
        Entry build() {
            if (!(name instanceof String id)) {
                throw new IllegalArgumentException("endpoint without a name: a string is wanted, not '"
                        + name + "'");
            }
            ServerStatus serverStatus = switch (String.valueOf(status)) {
                case "in_service" -> ServerStatus.UP;
                case "terminating" -> ServerStatus.DRAINING;
                case "terminated" -> ServerStatus.GONE;
                default -> throw new IllegalArgumentException("status of " + id
                        + ": in_service, terminating or terminated is wanted, not '" + status + "'");
            };
            double serverWeight = weight instanceof Number number && number.doubleValue() > 0
                    ? number.doubleValue() : 1;
            // A terminated backend may lack an address, as nothing is sent to it.
            InetSocketAddress serverAddress = serverStatus == ServerStatus.GONE ? null
                    : Config.address(address);
            return new Entry(new Server(id, longOrZero(sinceMs) * 1000,
                    Math.max(0, zones.indexOf(String.valueOf(zone))), (int) longOrZero(group), serverWeight,
                    serverStatus), serverAddress);
        }
    }

    /**
     * Returns the list that a parsed JSON document describes.
     *
     * @param zones names of the zones; a zone's position is its number
     * @throws IllegalArgumentException if a required field is missing or invalid
     */
    static Listing of(Map<?, ?> json, List<String> zones) {
        if (!(json.get("index") instanceof Number index)
                || !(json.get("snapshot") instanceof Boolean isFull)
                || !(json.get("endpoints") instanceof List<?> endpoints)) {
            throw new IllegalArgumentException("a number 'index', a boolean 'snapshot' and a list 'endpoints'"
                    + " are wanted");
        }
        List<Entry> entries = new ArrayList<>(endpoints.size());
        for (Object endpoint : endpoints) {
            EntryBuilder builder = new EntryBuilder(zones);
            if (endpoint instanceof Map<?, ?> fields) {
                fields.forEach((field, value) -> builder.set(String.valueOf(field), value));
            }
            entries.add(builder.build());
        }
        return new Listing(index.longValue(), isFull, entries);
    }

    private static long longOrZero(Object value) {
        return value instanceof Number number ? number.longValue() : 0;
    }
}
