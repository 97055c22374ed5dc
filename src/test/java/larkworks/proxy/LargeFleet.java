package larkworks.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** Builds the server lists and the peer configuration of a large fleet for tests and experiments. */
final class LargeFleet {

    /** Peers in one /24 network; each peer has an IP address of its own, at which nothing listens. */
    private static final int PEERS_PER_NETWORK = 250;

    private LargeFleet() { }

    /**
     * Returns a full list or changes as indented JSON with long names, about 300 bytes for each server;
     * servers whose status is null are omitted.
     */
    static String list(int index, boolean isFull, int size, IntFunction<String> addressOf,
            IntFunction<String> statusOf) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            if (statusOf.apply(i) != null) {
                entries.add(entry(i, addressOf.apply(i), statusOf.apply(i)));
            }
        }
        return "{\n    \"index\": " + index + ",\n    \"snapshot\": " + isFull + ",\n"
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

    /** Returns the JSON settings that make a proxy one of {@code size} members; they end with a comma. */
    static String membership(int size, int ownIndex, String listenAddress) {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            peers.add('"' + (i == ownIndex ? listenAddress
                    : "127.31." + (100 + i / PEERS_PER_NETWORK) + "." + (1 + i % PEERS_PER_NETWORK) + ":7946")
                            + '"');
        }
        return "\"peer_listen\":\"" + listenAddress + "\",\"peers\":[" + String.join(",", peers)
                + "],\"member\":" + ownIndex + ",\"membership\":{},";
    }
}
