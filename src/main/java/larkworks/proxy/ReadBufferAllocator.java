package larkworks.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Allocates read buffers that grow with the size of recent reads: large enough for large bodies, yet small
 * when many connections are read at once. They are on the heap, whose limit is the larger one: bytes that are
 * not processed at once stay in these buffers, and where memory outside the heap runs out, each allocation
 * first waits for a garbage collection.
 */
final class ReadBufferAllocator extends AdaptiveRecvByteBufAllocator {

    private static final int MIN_BYTES = 512;
    private static final int INITIAL_BYTES = 2 << 10;
    private static final int MAX_BYTES = 32 << 10;
    /**
     * Limit for one read buffer of each open connection together, down to the initial size. It also limits
     * what is read in a turn of the loop, as parts of few bytes take long to process.
     */
    private static final int TOTAL_BYTES = 1 << 20;

    private final IntSupplier openConnections;

    /**
     * Creates an allocator.
     *
     * @param openConnections returns the number of connections whose buffers share the total
     */
    ReadBufferAllocator(IntSupplier openConnections) {
        super(MIN_BYTES, INITIAL_BYTES, MAX_BYTES);
        this.openConnections = openConnections;
    }

    private int maxBytes() {
        return Math.max(INITIAL_BYTES, TOTAL_BYTES / Math.max(1, openConnections.getAsInt()));
    }

    @Override
    @SuppressWarnings("deprecation")  // the channel's interface
    public RecvByteBufAllocator.Handle newHandle() {
        return new HeapHandle(super.newHandle());
    }

    /** Allocates on the heap, and ends a channel's turn once it has read a buffer of the maximum size. */
    @SuppressWarnings("deprecation")
    private final class HeapHandle extends RecvByteBufAllocator.DelegatingHandle {

        private int bytesInTurn;

        HeapHandle(RecvByteBufAllocator.Handle sizes) {
            super(sizes);
        }

        @Override
        public void reset(ChannelConfig config) {
            super.reset(config);
            bytesInTurn = 0;
        }

        @Override
        public void lastBytesRead(int bytes) {
            super.lastBytesRead(bytes);
            bytesInTurn += Math.max(0, bytes);
        }

        @Override
        public boolean continueReading() {
            return bytesInTurn < maxBytes() && super.continueReading();
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.heapBuffer(Math.min(guess(), maxBytes()));
        }
    }
}
