package larkworks.shared;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which servers a key goes to first, alike at every process that holds the same list: rendezvous hashing
 * (Thaler and Ravishankar 1998). A server that comes or goes moves only the places it wins or leaves.
 */
final class Affinity {

    private final int spread;
    /** Hashes of the servers' names, reckoned once for all keys. */
    private Map<String, Long> servers = Map.of();

    /** @param spread how many servers each key has */
    Affinity(int spread) {
        this.spread = spread;
    }

    /** The list of servers now. */
    void list(Collection<String> names) {
        Map<String, Long> fresh = new HashMap<>();
        names.forEach(name -> fresh.put(name, Hash.of(name)));
        servers = fresh;
    }

    /** The key's servers, the first choice first; all of them where there are no more than the spread. */
    List<String> of(String key) {
        long hash = Hash.of(key);
        return servers.entrySet().stream()
                .map(s -> Map.entry(Hash.of(hash, s.getValue()), s.getKey()))
                .sorted(Comparator.comparingLong((Map.Entry<Long, String> s) -> s.getKey()).reversed()
                        .thenComparing(Map.Entry::getValue))
                .limit(spread).map(Map.Entry::getValue).toList();
    }
}
