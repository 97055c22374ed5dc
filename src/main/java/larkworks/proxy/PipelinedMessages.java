package larkworks.proxy;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

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
    private final MemoryBudget total;
    private int sizeBytes;
    private boolean dropped;

    /**
     * Creates an empty queue.
     *
     * @param total what all connections buffer together
     */
    PipelinedMessages(MemoryBudget total) {
        this.total = total;
    }

    /** Adds a message. Returns false if it is dropped, as are all messages once one has exceeded a limit. */
    boolean add(HttpObject message, long arrivalUs) {
        Entry entry = new Entry(message, arrivalUs);
        if (dropped || sizeBytes + entry.sizeBytes() > MAX_BYTES
                || !total.fits(entry.sizeBytes())) {
            dropped = true;
            ReferenceCountUtil.release(message);
            while (!entries.isEmpty() && !(entries.peekLast().message() instanceof LastHttpContent)) {
                // Drops the queued part of the last request, as the rest of it is dropped too.
                ReferenceCountUtil.release(subtractSize(entries.pollLast()).message());
            }
            return false;
        }
        entries.add(entry);
        sizeBytes += entry.sizeBytes();
        total.add(entry.sizeBytes());
        return true;
    }

    /** Removes and returns the oldest message. */
    Entry poll() {
        return subtractSize(entries.poll());
    }

    private Entry subtractSize(Entry entry) {
        sizeBytes -= entry.sizeBytes();
        total.remove(entry.sizeBytes());
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
