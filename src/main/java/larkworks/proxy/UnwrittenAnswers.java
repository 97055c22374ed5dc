package larkworks.proxy;

import io.netty.channel.ChannelFuture;

/**
 * The answers of one client connection that have been queued and are not written to its socket yet, as the
 * client reads slowly or is cut off. Their memory counts against a budget that all connections share. To be
 * used on the proxy's event loop only.
 */
final class UnwrittenAnswers {

    /** Memory of an answer beside its body: its head, its place in the write queue, its request. */
    private static final int OVERHEAD_BYTES = 1 << 10;

    private final MemoryBudget budget;
    private final Runnable onWritten;
    private int count;

    /**
     * Creates an instance without answers.
     *
     * @param budget counts the memory of the answers of all connections
     * @param onWritten run whenever an answer has been written, or can no longer be written
     */
    UnwrittenAnswers(MemoryBudget budget, Runnable onWritten) {
        this.budget = budget;
        this.onWritten = onWritten;
    }

    /** Counts an answer that holds so many bytes until the write has ended. */
    void add(int bodyBytes, ChannelFuture write) {
        if (write.isDone()) {
            return;
        }
        int bytes = bodyBytes + OVERHEAD_BYTES;
        budget.add(bytes);
        count++;
        write.addListener(done -> {
            budget.remove(bytes);
            count--;
            onWritten.run();
        });
    }

    /**
     * Returns whether the connection may take another request: if the budget is used up, only once all its
     * answers are written, so that each connection adds at most one answer then.
     */
    boolean allowAnotherRequest() {
        return count == 0 || budget.fits(0);
    }
}
