package larkworks.proxy;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.function.IntUnaryOperator;

/**
 * The queue of messages that a client sent ahead, behind its current request (HTTP pipelining). It owns the
 * messages until they are polled or dropped. Messages beyond its limit are dropped, as reading can't be
 * paused instead: only reading shows that the client has gone.
 */
final class PipelinedMessages {

    /** Maximum size of one connection's queue. */
    private static final int MAX_BYTES = 64 << 10;
    /** Estimated memory of a request head, on the high side. */
    private static final int HEAD_BYTES = 1 << 10;
    /** Estimated memory of a body part beside its bytes, on the high side. */
    private static final int PART_OVERHEAD_BYTES = 64;

    /** A request head or a part of a request body, with the time of its arrival. */
    record Entry(HttpObject message, long arrivalUs) {
        private int sizeBytes() {
            return message instanceof HttpContent content
                    ? PART_OVERHEAD_BYTES + content.content().readableBytes() : HEAD_BYTES;
        }
    }

    private final ArrayDeque<Entry> entries = new ArrayDeque<>(2);
    private final IntUnaryOperator accountant;
    private int sizeBytes;
    private boolean dropped;

    /**
     * Creates an empty queue.
     *
     * @param accountant adds a change of this queue's size to the total of all connections, and returns how
     *     many bytes are left of the total's limit
     */
    PipelinedMessages(IntUnaryOperator accountant) {
        this.accountant = accountant;
    }

    /** Adds a message; false if it and all later ones are dropped because one has exceeded a limit. */
    boolean add(HttpObject message, long arrivalUs) {
        Entry entry = new Entry(message, arrivalUs);
        if (dropped || sizeBytes + entry.sizeBytes() > MAX_BYTES
                || accountant.applyAsInt(0) < entry.sizeBytes()) {
            dropped = true;
            ReferenceCountUtil.release(message);
            while (!entries.isEmpty() && !(entries.peekLast().message() instanceof LastHttpContent)) {
                // Drops the messages of the last request, which is now incomplete.
                ReferenceCountUtil.release(removed(entries.pollLast()).message());
            }
            return false;
        }
        entries.add(entry);
        sizeBytes += entry.sizeBytes();
        accountant.applyAsInt(entry.sizeBytes());
        return true;
    }

    /** Removes and returns the oldest message. */
    Entry poll() {
        return removed(entries.poll());
    }

    private Entry removed(Entry entry) {
        sizeBytes -= entry.sizeBytes();
        accountant.applyAsInt(-entry.sizeBytes());
        return entry;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns whether messages were dropped; the requests left in the queue are complete and the last. */
    boolean hasDropped() {
        return dropped;
    }

    void clear() {
        while (!entries.isEmpty()) {
            ReferenceCountUtil.release(poll().message());
        }
    }
}
