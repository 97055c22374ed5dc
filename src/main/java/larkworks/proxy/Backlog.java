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
final class Backlog {

    /** Maximum size of one connection's queue. */
    private static final int MOST = 64 << 10;
    /** Estimated memory of a request head, on the high side. */
    private static final int HEAD = 1 << 10;
    /** Estimated memory of a body part beside its bytes, on the high side. */
    private static final int PART = 64;

    /** A request head or a part of a body, with the time of its arrival. */
    record Part(HttpObject object, long atUs) {
        private int size() {
            return object instanceof HttpContent content ? PART + content.content().readableBytes() : HEAD;
        }
    }

    private final ArrayDeque<Part> parts = new ArrayDeque<>(2);
    private final IntUnaryOperator account;
    private int size;
    private boolean overrun;

    /**
     * Creates an empty queue.
     *
     * @param account adds a change of this queue's size to the total of all connections, and returns how many
     *     bytes are left of the total's limit
     */
    Backlog(IntUnaryOperator account) {
        this.account = account;
    }

    /** Adds a part; false if it and all later ones are dropped because one has exceeded a limit. */
    boolean add(HttpObject object, long atUs) {
        Part part = new Part(object, atUs);
        if (overrun || size + part.size() > MOST || account.applyAsInt(0) < part.size()) {
            overrun = true;
            ReferenceCountUtil.release(object);
            while (!parts.isEmpty() && !(parts.peekLast().object() instanceof LastHttpContent)) {
                // Drops the parts of the request that is now incomplete.
                ReferenceCountUtil.release(removed(parts.pollLast()).object());
            }
            return false;
        }
        parts.add(part);
        size += part.size();
        account.applyAsInt(part.size());
        return true;
    }

    /** Removes and returns the oldest part. */
    Part poll() {
        return removed(parts.poll());
    }

    private Part removed(Part part) {
        size -= part.size();
        account.applyAsInt(-part.size());
        return part;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Returns whether parts were dropped; the requests still in the queue are complete and the last ones. */
    boolean overrun() {
        return overrun;
    }

    void clear() {
        while (!parts.isEmpty()) {
            ReferenceCountUtil.release(poll().object());
        }
    }
}
