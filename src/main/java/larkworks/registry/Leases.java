package larkworks.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** When each instance's lease ends, on the caller's clock in milliseconds; kept in memory only. */
final class Leases {

    private final Map<String, Long> ends = new HashMap<>();

    /** Begins the lease of an instance anew, or drops it where it has none. */
    void renew(Instance instance, long nowMs) {
        if (instance.ttlMs() > 0 && !instance.gone()) {
            ends.put(instance.name(), nowMs + instance.ttlMs());
        } else {
            ends.remove(instance.name());
        }
    }

    /** Names whose lease has ended; they are asked for again at {@code againMs} unless renewed or dropped. */
    List<String> due(long nowMs, long againMs) {
        List<String> due = new ArrayList<>();
        for (Map.Entry<String, Long> lease : ends.entrySet()) {
            if (lease.getValue() <= nowMs) {
                due.add(lease.getKey());
                lease.setValue(againMs);
            }
        }
        return due;
    }

    int size() {
        return ends.size();
    }
}
