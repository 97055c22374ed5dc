package larkworks.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.Consumer;

/**
 * Joins small parts of a body: passed on one by one, a part of a few bytes would take several objects in the
 * write queue. Large parts are passed on without a copy, behind the small ones before them.
 */
final class PartCollector {

    /** A part of at least this size is passed on as it is. */
    private static final int LARGE_PART_BYTES = 2 << 10;
    /** Joined parts are passed on once they have this size. */
    private static final int MAX_JOINED_BYTES = 16 << 10;

    private final Consumer<ByteBuf> output;
    private ByteBuf joined = Unpooled.EMPTY_BUFFER;

    /**
     * Creates a collector.
     *
     * @param output takes ownership of what is passed on
     */
    PartCollector(Consumer<ByteBuf> output) {
        this.output = output;
    }

    /** Takes ownership of the next part. */
    void add(ByteBuf part) {
        if (part.readableBytes() >= LARGE_PART_BYTES) {
            flush();
            output.accept(part);
            return;
        }
        if (joined.capacity() == 0) {
            joined = Unpooled.buffer(LARGE_PART_BYTES);
        }
        joined.writeBytes(part);
        part.release();
        if (joined.readableBytes() >= MAX_JOINED_BYTES) {
            flush();
        }
    }

    /** Passes on all parts that were added. */
    void flush() {
        if (joined.isReadable()) {
            ByteBuf ready = joined;
            joined = Unpooled.EMPTY_BUFFER;
            output.accept(ready);
        }
    }

    /** Drops the parts that were not passed on. */
    void discard() {
        joined.release();
        joined = Unpooled.EMPTY_BUFFER;
    }
}
