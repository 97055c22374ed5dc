package larkworks.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import larkworks.rollout.RolloutState;

/**
 * The list as it is on disk, and what changed since any version still known: instances in the order of their
 * last change, so that the changes since N are the tail behind N, each instance once in its latest state.
 * Removed instances stay as tombstones until there are too many. No I/O, no clock; one thread.
 */
public final class Catalog {

    private int maxTombstones;
    private final Map<String, Change> byName = new HashMap<>();
    private final Map<String, String> holders = new HashMap<>();
    private final TreeMap<Long, Instance> byIndex = new TreeMap<>();
    private final Deque<Long> tombstones = new ArrayDeque<>();
    private int gone;
    private RolloutState rollout;
    private long index;
    private long compacted;

    /** @param maxTombstones removed instances that are remembered for those who watch from before */
    public Catalog(int maxTombstones) {
        this.maxTombstones = maxTombstones;
    }

    /** Remembers so many removed instances from the next change on. */
    void limitTombstones(int most) {
        maxTombstones = most;
    }

    /** How many removed instances are remembered. */
    int maxTombstones() {
        return maxTombstones;
    }

    /** Everything held, to be written down whole. */
    record Image(long index, long compacted, List<Change> changes, RolloutState rollout) { }

    /** Takes up what was written down, in an empty catalog. */
    void restore(Image image) {
        image.changes().forEach(this::hold);
        index = image.index();
        compacted = image.compacted();
        rollout = image.rollout();
    }

    Image image() {
        List<Change> changes = new ArrayList<>(byIndex.size());
        byIndex.forEach((at, instance) -> changes.add(new Change(at, instance)));
        return new Image(index, compacted, changes, rollout);
    }

    /**
     * Applies the next change.
     *
     * @throws IllegalStateException where it does not follow the version held
     */
    public void apply(Change change) {
        if (change.index() != index + 1) {
            throw new IllegalStateException("change " + change.index() + " after version " + index);
        }
        index = change.index();
        if (change.instance() == null) {
            rollout = change.rollout();
            return;
        }
        hold(change);
        while (gone > maxTombstones) {
            long oldest = tombstones.removeFirst();
            Instance dropped = byIndex.get(oldest);
            // Whoever was registered anew in the meantime is no tombstone any more.
            if (dropped != null && dropped.gone()) {
                byIndex.remove(oldest);
                byName.remove(dropped.name());
                gone--;
                compacted = oldest;
            }
        }
    }

    private void hold(Change change) {
        Instance next = change.instance();
        Change before = byName.put(next.name(), change);
        if (before != null) {
            byIndex.remove(before.index());
            gone -= before.instance().gone() ? 1 : 0;
            holders.remove(before.instance().address(), next.name());
        }
        byIndex.put(change.index(), next);
        if (next.gone()) {
            gone++;
            tombstones.addLast(change.index());
        } else {
            holders.put(next.address(), next.name());
        }
    }

    /** The version held; 0 before the first change. */
    public long index() {
        return index;
    }

    /** The oldest version from which changes are still known. */
    public long compacted() {
        return compacted;
    }

    /** The last rollout; null where there never was one. */
    public RolloutState rollout() {
        return rollout;
    }

    /** Instances not terminated. */
    public int size() {
        return byIndex.size() - gone;
    }

    /** The instance of that name, a tombstone included; null where none is known. */
    Instance get(String name) {
        Change held = byName.get(name);
        return held == null ? null : held.instance();
    }

    /** Who listens at that address; null for nobody. */
    String holder(String address) {
        return holders.get(address);
    }

    /** Whether the changes since that version are all known still. */
    public boolean knows(long version) {
        return version >= compacted && version <= index;
    }

    /** What changed since a version that is {@linkplain #knows known}, the oldest change first. */
    public Collection<Instance> since(long version) {
        return byIndex.tailMap(version, false).values();
    }

    /** The whole list, without the terminated. */
    public List<Instance> live() {
        return byIndex.values().stream().filter(i -> !i.gone()).toList();
    }
}
