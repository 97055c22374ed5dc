package larkworks.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;

/**
 * A list of backends in discovery's form.
 *
 * @param index its version
 * @param whole false where it holds only what changed
 */
record Listing(long index, boolean whole, List<Entry> entries) {

    /** A backend: what the module is told of it, and where it listens. */
    record Entry(Server server, InetSocketAddress address) {

        /** The same backend, gone. */
        Entry gone() {
            return new Entry(new Server(server.id(), server.startedAtUs(), server.zone(), server.group(),
                    server.weight(), ServerStatus.GONE), null);
        }
    }

    /** A backend's line whose fields are read one by one; those that mean nothing here are passed over. */
    static final class Line {
        private final List<String> zones;
        private Object name;
        private Object address;
        private Object status;
        private Object zone;
        private Object group;
        private Object weight;
        private Object since;

        Line(List<String> zones) {
            this.zones = zones;
        }

        /** Takes a field: a text, a number or a boolean. */
        void put(String field, Object value) {
            switch (field) {
                case "name" -> name = value;
                case "address" -> address = value;
                case "status" -> status = value;
                case "zone" -> zone = value;
                case "group" -> group = value;
                case "weight" -> weight = value;
                case "since_ms" -> since = value;
                default -> { }
            }
        }

        /**
         * The backend of this line.
         *
         * @throws IllegalArgumentException where a field is missing or makes no sense
         */
        Entry entry() {
            if (!(name instanceof String id)) {
                throw new IllegalArgumentException("a backend without a name");
            }
            ServerStatus told = switch (String.valueOf(status)) {
                case "in_service" -> ServerStatus.UP;
                case "terminating" -> ServerStatus.DRAINING;
                case "terminated" -> ServerStatus.GONE;
                default -> throw new IllegalArgumentException("status of " + id + " is not known");
            };
            double size = weight instanceof Number w && w.doubleValue() > 0 ? w.doubleValue() : 1;
            // One that is gone may come without an address; nothing is sent to it.
            InetSocketAddress at = told == ServerStatus.GONE ? null : Config.address(address);
            return new Entry(new Server(id, whole(since) * 1000,
                    Math.max(0, zones.indexOf(String.valueOf(zone))), (int) whole(group), size, told), at);
        }
    }

    /**
     * Reads a list.
     *
     * @throws IllegalArgumentException where a field is missing or makes no sense
     */
    static Listing of(Map<?, ?> json, List<String> zones) {
        if (!(json.get("index") instanceof Number index)
                || !(json.get("snapshot") instanceof Boolean whole)
                || !(json.get("endpoints") instanceof List<?> endpoints)) {
            throw new IllegalArgumentException("no list of backends");
        }
        List<Entry> entries = new ArrayList<>(endpoints.size());
        for (Object endpoint : endpoints) {
            Line line = new Line(zones);
            if (endpoint instanceof Map<?, ?> fields) {
                fields.forEach((field, value) -> line.put(String.valueOf(field), value));
            }
            entries.add(line.entry());
        }
        return new Listing(index.longValue(), whole, entries);
    }

    private static long whole(Object value) {
        return value instanceof Number n ? n.longValue() : 0;
    }
}
