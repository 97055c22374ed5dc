package larkworks.proxy;

/**
 * Counts the bytes that peers make this process hold, against a limit. To be used on the proxy's event loop
 * only, except {@link #usedBytes}.
 */
final class MemoryBudget {

    private final int limitBytes;
    /** Changed on the loop only; read by the metrics thread as well. */
    private volatile int usedBytes;

    MemoryBudget(int limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns whether so many further bytes are within the limit. */
    boolean fits(int bytes) {
        return usedBytes + bytes <= limitBytes;
    }

    /** Counts bytes that are held from now on, also beyond the limit: callers check {@link #fits} first. */
    void add(int bytes) {
        usedBytes += bytes;
    }

    /** Ends the counting of bytes that are not held any more. */
    void remove(int bytes) {
        usedBytes -= bytes;
    }

    /** Returns the number of bytes held now. */
    int usedBytes() {
        return usedBytes;
    }
}
