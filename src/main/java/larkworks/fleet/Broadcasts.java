package larkworks.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Gossip waiting to be piggybacked: each update is sent {@code limit} times at most, the least-sent first
 * (SWIM section 4.1; memberlist's {@code TransmitLimitedQueue}). A newer update of a member replaces the
 * older, which is then never sent again.
 */
final class Broadcasts {

    private static final class Entry {
        final Update update;
        int sent;
        final long order;

        Entry(Update update, int sent, long order) {
            this.update = update;
            this.sent = sent;
            this.order = order;
        }
    }

    private final Map<Integer, Entry> byMember = new HashMap<>();
    private long added;

    /** Queues an update, dropping what was queued of the same member. */
    void add(Update update) {
        add(update, 0);
    }

    /** Queues an update that counts as sent so often before: it waits behind what is newer to the others. */
    void add(Update update, int sent) {
        byMember.put(update.member(), new Entry(update, sent, added++));
    }

    /**
     * Takes up to {@code most} updates to send now, counting each as sent once more.
     *
     * @param limit how often an update is sent in all: lambda * ceil(log10(n + 1))
     * @param except a member of which nothing is taken, as its receiver hears of it already; -1 for none
     */
    List<Update> take(int most, int limit, int except) {
        if (byMember.isEmpty() || most <= 0) {
            return List.of();
        }
        List<Entry> entries = new ArrayList<>(byMember.values());
        entries.removeIf(e -> e.update.member() == except);
        // The least-sent first, and among those the newest, which has the most to say.
        entries.sort(Comparator.comparingInt((Entry e) -> e.sent).thenComparing(e -> -e.order));
        List<Update> taken = new ArrayList<>(Math.min(most, entries.size()));
        for (Entry e : entries.subList(0, Math.min(most, entries.size()))) {
            taken.add(e.update);
            if (++e.sent >= limit) {
                byMember.remove(e.update.member());
            }
        }
        return taken;
    }

    int size() {
        return byMember.size();
    }
}
