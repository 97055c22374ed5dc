package larkworks.proxy;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.function.IntUnaryOperator;

/**
 * What a client sent behind the request in hand, in its order. It owns the parts until they are taken or
 * dropped. It is bounded by refusing: the client must be read all the same, as only reading shows that it has
 * gone.
 */
final class Backlog {

    /** What one connection may have here. */
    private static final int MOST = 64 << 10;
    /** What a head fills in memory, and a part of a body beside its bytes; rough, and rather too much. */
    private static final int HEAD = 1 << 10;
    private static final int PART = 64;

    /** A part and when it came. */
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
     * An empty one.
     *
     * @param account told by how much what is held here grows or shrinks; returns how much more may come
     */
    Backlog(IntUnaryOperator account) {
        this.account = account;
    }

    /** Takes a part over; false from the first on that is too much: it and all others are dropped. */
    boolean add(HttpObject object, long atUs) {
        Part part = new Part(object, atUs);
        if (overrun || size + part.size() > MOST || account.applyAsInt(0) < part.size()) {
            overrun = true;
            ReferenceCountUtil.release(object);
            while (!parts.isEmpty() && !(parts.peekLast().object() instanceof LastHttpContent)) {
                // Of a request whose rest is dropped.
                ReferenceCountUtil.release(removed(parts.pollLast()).object());
            }
            return false;
        }
        parts.add(part);
        size += part.size();
        account.applyAsInt(part.size());
        return true;
    }

    /** Hands over the part that came first. */
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

    /** Whether something was dropped: what is still here is whole, and nothing comes behind it. */
    boolean overrun() {
        return overrun;
    }

    void clear() {
        while (!parts.isEmpty()) {
            ReferenceCountUtil.release(poll().object());
        }
    }
}
