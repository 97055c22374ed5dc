package larkworks.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** Lists and peers as a proxy of a large fleet is told them, for tests and experiments. */
final class LargeFleet {

    /** Peers stand at addresses of their own, where nobody listens. */
    private static final int PEERS_A_NET = 250;

    private LargeFleet() { }

    /**
     * A whole list, or changes, in a wide form, indented and with long names, some 300 bytes an entry; a
     * server with a status of null is left out.
     */
    static String list(int index, boolean whole, int size, IntFunction<String> address,
            IntFunction<String> status) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            if (status.apply(i) != null) {
                entries.add(entry(i, address.apply(i), status.apply(i)));
            }
        }
        return "{\n    \"index\": " + index + ",\n    \"snapshot\": " + whole + ",\n"
                + "    \"endpoints\": [" + String.join(",", entries) + "\n    ]\n}";
    }

    private static String entry(int server, String address, String status) {
        return String.format("%n        {%n            \"name\": \"service-%03d-of-a-large-fleet-%05d\",%n"
                + "            \"address\": \"%s\",%n            \"zone\": \"a\",%n"
                + "            \"type\": \"m\",%n            \"group\": %d,%n"
                + "            \"status\": \"%s\",%n            \"weight\": 1.0,%n"
                + "            \"since_ms\": 0%n        }",
                server % 190, server, address, server % 7, status);
    }

    /** The configuration's lines that make a proxy a member among so many, each with its comma. */
    static String membership(int size, int own, String listen) {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            peers.add('"' + (i == own ? listen
                    : "127.31." + (100 + i / PEERS_A_NET) + "." + (1 + i % PEERS_A_NET) + ":7946") + '"');
        }
        return "\"peer_listen\":\"" + listen + "\",\"peers\":[" + String.join(",", peers) + "],\"member\":"
                + own + ",\"membership\":{},";
    }
}
