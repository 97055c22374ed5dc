package larkworks.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import io.netty.util.ByteProcessor;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Decodes requests strictly. Decoding fails for messages that two implementations could read as different
 * requests (request smuggling): Content-Length beside Transfer-Encoding, or a field name that is not directly
 * followed by its colon. Callers reject other transfer codings than chunked, see
 * {@link #hasUnsupportedTransferCoding}.
 *
 * <p>What a client sends ahead, behind a request that is not answered yet (HTTP pipelining), is kept as bytes
 * and decoded by {@link #resume} once the connection takes another request. Bytes beyond the limits are
 * dropped, as reading can't be paused instead: only reading shows that the client has gone.
 */
final class RequestDecoder extends HttpRequestDecoder {

    /** Maximum size of a body part that is passed on as one message. */
    private static final int MAX_PART_BYTES = 32 << 10;
    /** Maximum number of bytes sent ahead on one connection. */
    private static final int MAX_AHEAD_BYTES = 64 << 10;
    private static final int MAX_ARRIVALS = 64;
    private static final HttpHeadersFactory HEADERS = RelevantHeaders.keeping(List.of(
            HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.CONNECTION,
            HttpHeaderNames.EXPECT, HttpHeaderNames.CONTENT_TYPE, "Idempotency-Key", "X-Call-Id",
            "X-Call-Class", "X-Caller", "X-Budget-Ms", "X-Call-Cost", "X-Again"));
    private static final HttpHeadersFactory TRAILERS = RelevantHeaders.keeping(List.of());

    /** The bytes of one read. */
    private record Arrival(long endOffset, long arrivalUs) { }

    private final BooleanSupplier takesMessages;
    private final LongSupplier arrivalClockUs;
    private final MemoryBudget budget;
    private ChannelHandlerContext context;
    private long receivedBytes;
    /** When the undecoded bytes arrived, the earliest first. */
    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>(2);
    /** Bytes of the budget that are counted for this connection. */
    private int countedBytes;
    private boolean dropped;

    /** Creates a decoder whose connection always takes messages. */
    RequestDecoder() {
        this(() -> true, () -> 0, new MemoryBudget(Integer.MAX_VALUE));
    }

    /**
     * Creates a decoder.
     *
     * @param takesMessages whether the connection takes another message now
     * @param arrivalClockUs returns when bytes that are read now arrived
     * @param budget counts the memory of the bytes that are kept undecoded
     */
    RequestDecoder(BooleanSupplier takesMessages, LongSupplier arrivalClockUs, MemoryBudget budget) {
        super(new HttpDecoderConfig().setMaxChunkSize(MAX_PART_BYTES).setHeadersFactory(HEADERS)
                .setTrailersFactory(TRAILERS));
        this.takesMessages = takesMessages;
        this.arrivalClockUs = arrivalClockUs;
        this.budget = budget;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext addedContext) {
        context = addedContext;
        // The connection counts as closed from then on, before its handlers are notified.
        context.channel().closeFuture().addListener(closed -> {
            budget.remove(countedBytes);
            countedBytes = 0;
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext channelContext, Object bytes) throws Exception {
        noteArrival(((ByteBuf) bytes).readableBytes());
        super.channelRead(channelContext, bytes);
        countBytes();
        if (!dropped && !context.isRemoved() && !takesMessages.getAsBoolean()
                && (undecodedBytes() > MAX_AHEAD_BYTES || !budget.fits(0))) {
            // Further bytes are read and dropped undecoded.
            dropped = true;
            channelContext.pipeline().addBefore(channelContext.name(), null,
                    new LingeringClose.DiscardHandler());
        }
    }

    private void noteArrival(int bytes) {
        if (bytes == 0) {
            return;
        }
        receivedBytes += bytes;
        // With many small reads the last entries are merged: the bytes count from the earlier arrival.
        Arrival latest = arrivals.size() < MAX_ARRIVALS ? null : arrivals.pollLast();
        arrivals.add(new Arrival(receivedBytes,
                latest == null ? arrivalClockUs.getAsLong() : latest.arrivalUs));
    }

    /** Returns when the last byte that was decoded arrived, or an earlier time. */
    long decodedArrivalUs() {
        long decodedBytes = receivedBytes - undecodedBytes();
        while (arrivals.size() > 1 && arrivals.peek().endOffset < decodedBytes) {
            arrivals.remove();
        }
        return arrivals.isEmpty() ? arrivalClockUs.getAsLong() : arrivals.peek().arrivalUs;
    }

    /** Counts the memory that undecoded bytes take: their buffer may be twice as large as they are. */
    private void countBytes() {
        boolean holdsBytes = !context.isRemoved() && context.channel().isOpen() && undecodedBytes() > 0;
        int heldBytes = holdsBytes ? internalBuffer().capacity() : 0;
        budget.add(heldBytes - countedBytes);
        countedBytes = heldBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext channelContext, ByteBuf in, List<Object> out)
            throws Exception {
        if (takesMessages.getAsBoolean()) {
            super.decode(channelContext, in, out);
        }
    }

    /** Decodes what was sent ahead, as far as the connection takes it. */
    void resume() throws Exception {
        if (!context.isRemoved()) {
            channelRead(context, Unpooled.EMPTY_BUFFER);
            channelReadComplete(context);
        }
    }

    /** Returns how many received bytes are not decoded yet. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Returns whether bytes were dropped: the last bytes that are kept may be a part of a request. */
    boolean hasDropped() {
        return dropped;
    }

    /** Returns whether a whole request head is among the undecoded bytes. */
    boolean hasWholeHead() {
        return internalBuffer().forEachByte(new BlankLineFinder()) >= 0;
    }

    /** Stops at the end of the first line that is blank and follows another line. */
    private static final class BlankLineFinder implements ByteProcessor {
        private boolean lineSeen;
        private int lineBytes;

        @Override
        public boolean process(byte value) {
            if (value == '\n') {
                if (lineBytes == 0 && lineSeen) {
                    return false;
                }
                lineSeen |= lineBytes > 0;
                lineBytes = 0;
            } else if (value != '\r') {
                lineBytes++;
            }
            return true;
        }
    }

    /** Releases all received bytes; the caller drops those that come from now on. */
    void discard() {
        if (!context.isRemoved()) {
            internalBuffer().skipBytes(undecodedBytes());
            context.pipeline().remove(this);
        }
        countBytes();
    }

    @Override
    public void channelInactive(ChannelHandlerContext channelContext) throws Exception {
        super.channelInactive(channelContext);
        countBytes();
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HttpFraming.requireColon(line, start, length);
        return super.splitHeaderName(line, start, length);
    }

    /** Returns whether the transfer coding is not chunked, or not defined for the request's HTTP version. */
    static boolean hasUnsupportedTransferCoding(HttpMessage request) {
        return HttpFraming.hasUnsupportedTransferCoding(request)
                || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && !request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }
}
