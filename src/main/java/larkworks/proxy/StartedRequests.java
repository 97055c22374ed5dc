package larkworks.proxy;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.channels.FileChannel.MapMode;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;

/**
 * A table of the requests that a backend may have begun to run, by the ids that clients gave them. An id that
 * comes again belongs to the same request, which a client sends once more if its connection has ended.
 *
 * <p>The processes of a proxy share the table as a mapped file, so an id is also recognized by the process
 * that replaces the one that sent it, and after a restart that keeps the folder. Times are by
 * {@link System#nanoTime}, which all processes of a machine share. An entry is a fingerprint of the id and
 * its time in one word, written by compare-and-set; each id has a bucket of entries, in which a new id
 * replaces the oldest.
 */
final class StartedRequests {

    /** Returned instead of an age if the table does not contain the id. */
    static final long NOT_STARTED = -1;

    private static final String FILE_NAME = "started-requests";
    private static final int BUCKETS = 4_096;
    private static final int BUCKET_ENTRIES = 8;
    private static final int SIZE_BYTES = BUCKETS * BUCKET_ENTRIES * Long.BYTES;
    /** Ids are forgotten after this time, which exceeds the longest deadline by far. */
    private static final long RETENTION_NS = TimeUnit.SECONDS.toNanos(30);
    /** Unit of the time in an entry. */
    private static final long TICK_NS = TimeUnit.MILLISECONDS.toNanos(16);
    /**
     * Number of an entry's bits that hold its time, which wraps after some hours; the rest holds the
     * fingerprint.
     */
    private static final int TIME_BITS = 20;
    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    private static final long EMPTY = 0;
    private static final VarHandle ENTRY =
            MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FACTOR = 0xff51afd7ed558ccdL;
    private static final int MIX_SHIFT = 33;

    private final ByteBuffer entries;

    private StartedRequests(ByteBuffer entries) {
        this.entries = entries;
    }

    /** Creates an empty table that no other process shares. */
    static StartedRequests inMemory() {
        return new StartedRequests(ByteBuffer.allocateDirect(SIZE_BYTES));
    }

    /** Opens the table that the processes with this state folder share. */
    static StartedRequests shared(Path folder) throws IOException {
        try (FileChannel file = FileChannel.open(folder.resolve(FILE_NAME), StandardOpenOption.CREATE,
                StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            // Blocks are allocated by writing: a write to a mapped hole would fail on a full disk.
            long size = file.size();
            while (size < SIZE_BYTES) {
                size += file.write(ByteBuffer.allocate((int) (SIZE_BYTES - size)), size);
            }
            return new StartedRequests(file.map(MapMode.READ_WRITE, 0, SIZE_BYTES));
        }
    }

    /** Adds an id; returns whether the table did not contain it. */
    boolean add(String id, long nowNs) {
        long hash = hash(id);
        while (true) {
            int offset = replaceableOffset(hash, nowNs);
            long previous = entry(offset);
            if (isOf(previous, hash) && !isExpired(previous, nowNs)) {
                return false;
            }
            if (ENTRY.compareAndSet(entries, offset, previous, newEntry(hash, nowNs))) {
                return true;
            }
        }
    }

    /** Returns the maximum time since the id was added, in nanoseconds; {@link #NOT_STARTED} if it wasn't. */
    long ageNs(String id, long nowNs) {
        long hash = hash(id);
        long found = entry(replaceableOffset(hash, nowNs));
        return isOf(found, hash) && !isExpired(found, nowNs) ? (ageTicks(found, nowNs) + 1) * TICK_NS
                : NOT_STARTED;
    }

    /** Removes an id, as it is known by now that no backend has run the request. */
    void remove(String id, long nowNs) {
        long hash = hash(id);
        int offset = replaceableOffset(hash, nowNs);
        long found = entry(offset);
        if (isOf(found, hash)) {
            ENTRY.compareAndSet(entries, offset, found, EMPTY);
        }
    }

    /** Copies the entries into another table, except those whose place is taken there. */
    void copyTo(StartedRequests other) {
        for (int offset = 0; offset < SIZE_BYTES; offset += Long.BYTES) {
            long copied = entry(offset);
            if (copied != EMPTY) {
                ENTRY.compareAndSet(other.entries, offset, EMPTY, copied);
            }
        }
    }

    /** Returns the offset of the id's entry, else that of an entry of its bucket that may be replaced. */
    private int replaceableOffset(long hash, long nowNs) {
        int start = (int) Long.remainderUnsigned(hash, BUCKETS) * BUCKET_ENTRIES * Long.BYTES;
        int oldest = start;
        long oldestTicks = -1;
        for (int i = 0; i < BUCKET_ENTRIES; i++) {
            int offset = start + i * Long.BYTES;
            long current = entry(offset);
            if (isOf(current, hash)) {
                return offset;
            }
            long ticks = current == EMPTY ? TIME_MASK + 1 : ageTicks(current, nowNs);
            if (ticks > oldestTicks) {
                oldest = offset;
                oldestTicks = ticks;
            }
        }
        return oldest;
    }

    private long entry(int offset) {
        return (long) ENTRY.getVolatile(entries, offset);
    }

    private static long newEntry(long hash, long nowNs) {
        return fingerprint(hash) << TIME_BITS | ticks(nowNs);
    }

    /** Returns the bits of the hash that an entry holds; never 0, so that no entry looks empty. */
    private static long fingerprint(long hash) {
        return Math.max(1, hash >>> TIME_BITS);
    }

    private static boolean isOf(long entry, long hash) {
        return entry >>> TIME_BITS == fingerprint(hash);
    }

    private static boolean isExpired(long entry, long nowNs) {
        return ageTicks(entry, nowNs) * TICK_NS >= RETENTION_NS;
    }

    private static long ageTicks(long entry, long nowNs) {
        return ticks(nowNs) - entry & TIME_MASK;
    }

    private static long ticks(long nowNs) {
        return Math.floorDiv(nowNs, TICK_NS) & TIME_MASK;
    }

    private static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> MIX_SHIFT) * MIX_FACTOR;
        return hash ^ hash >>> MIX_SHIFT;
    }
}
