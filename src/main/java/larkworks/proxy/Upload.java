package larkworks.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A request body that is too large to be buffered whole, passed from a client to a backend as it arrives. The
 * bytes received before a backend is attached are buffered, and can be sent again to another backend until
 * more than {@link BackendPool#MAX_BUFFERED_BODY_BYTES} bytes of an incomplete body were written to one;
 * later bytes are written as they arrive. Each attached backend is sent the body from its beginning. While
 * none is attached the client is still read, as only reading shows that it has gone; the limit of buffered
 * bytes that all connections share applies. Otherwise the client is read only while the backends' channels
 * are writable.
 */
final class Upload {

    /** The head of a request to a backend whose body is an upload. */
    static final class RequestHead extends DefaultHttpRequest {
        private final Upload body;

        RequestHead(HttpVersion version, HttpMethod method, String uri, Upload body) {
            super(version, method, uri);
            this.body = body;
        }

        Upload body() {
            return body;
        }
    }

    /**
     * The transfer of the body on one attempt's channel. It keeps what belongs to that attempt, since a write
     * that fails at once ends the attempt, and the next one may be attached before that write returns.
     */
    private final class Transfer {
        private final Channel channel;
        /** Notified when the last byte was written to the channel or a write has failed. */
        private final ChannelFutureListener onWritten;
        /** Number of buffered bytes that were written to the channel. */
        private int sentBytes;

        Transfer(Channel channel, ChannelFutureListener onWritten) {
            this.channel = channel;
            this.onWritten = onWritten;
        }

        /** Returns whether the body is still to be sent on this channel. */
        boolean isAttached() {
            return transfers.contains(this);
        }

        /** Writes the buffered bytes that were not written to this channel yet. */
        void writeBuffered() {
            if (buffered == null) {
                return;
            }
            while (buffered != null && isAttached() && sentBytes < buffered.writerIndex()) {
                int from = sentBytes;
                sentBytes = Math.min(buffered.writerIndex(), from + MAX_WRITE_BYTES);
                unwrittenBuffers++;
                write(buffered.retainedSlice(from, sentBytes - from)).addListener(done -> {
                    unwrittenBuffers--;
                    notifyIfReleased();
                });
            }
        }

        /** Writes a part. A failed write notifies {@link #onWritten}, before the channel's close is seen. */
        ChannelFuture write(ByteBuf part) {
            return channel.write(new DefaultHttpContent(part)).addListener((ChannelFuture done) -> {
                if (!done.isSuccess()) {
                    onWritten.operationComplete(done);
                }
            });
        }

        /** Writes the end of the body. */
        void writeEnd() {
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(onWritten);
        }
    }

    /** Buffered bytes are written once there are so many, and in writes of this size. */
    private static final int MAX_WRITE_BYTES = 16 << 10;

    private final Channel client;
    private final WriteBufferShares writeBufferShares;
    /** The body's length as given by the client; negative for a chunked body. */
    private final long length;
    /** All bytes received so far; null once too many were written for the body to be sent again. */
    private ByteBuf buffered;
    /** Number of buffered bytes that the attached backends were written. */
    private int writtenBytes;
    /** Joins small parts, once bytes are not buffered any more. */
    private final PartCollector collector = new PartCollector(this::writePart);
    /** Number of writes of buffered bytes that the channels' write buffers still hold. */
    private int unwrittenBuffers;
    /** The transfers to the attached backends: one, or two while a hedged attempt is in flight. */
    private final List<Transfer> transfers = new ArrayList<>(1);
    /** The last part, until it is known that the client didn't close its connection behind it; else null. */
    private ByteBuf lastPart;
    /** Whether the client has sent the whole body. */
    private boolean complete;
    private boolean discarded;
    /** Whether reading from the client is paused. */
    private boolean readingPaused;
    /** When the current pause in reading from the client began; valid only during a pause. */
    private long pauseStartNs;
    /** Duration of all earlier pauses in reading from the client. */
    private long earlierPausesNs;
    private final Runnable onReleased;
    private Runnable onNotRepeatable = () -> { };
    private Consumer<Boolean> onReadingChanged = paused -> { };
    /** When reading from the client last went on after a pause. */
    private long resumedNs = System.nanoTime();

    /**
     * Takes ownership of the bytes received so far.
     *
     * @param onReleased run when the memory of the buffered bytes has been released
     */
    Upload(Channel client, WriteBufferShares writeBufferShares, long length, ByteBuf buffered,
            Runnable onReleased) {
        this.client = client;
        this.writeBufferShares = writeBufferShares;
        this.length = length;
        this.buffered = buffered;
        this.onReleased = onReleased;
    }

    /** Sets the action to run once the body can't be sent to another backend any more. */
    void onNotRepeatable(Runnable action) {
        onNotRepeatable = action;
    }

    /** Sets the action to run when reading from the client is paused (true) or goes on (false). */
    void onReadingChanged(Consumer<Boolean> action) {
        onReadingChanged = action;
    }

    /** Sets the header that gives the backend the body's length or its transfer coding. */
    void setLengthHeader(HttpHeaders headers) {
        if (length >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
    }

    /**
     * Starts to send the body to a backend, to which the request head has just been written.
     *
     * @param writeListener notified when the last byte was written or a write has failed
     */
    void attach(Channel channel, ChannelFutureListener writeListener) {
        if (!isRepeatable()) {
            channel.newFailedFuture(new IllegalStateException("the beginning of the body is released"))
                    .addListener(writeListener);
            return;
        }
        Transfer transfer = new Transfer(channel, writeListener);
        transfers.add(transfer);
        writeBufferShares.add(channel);
        writeBuffered();
        if (complete && transfer.isAttached()) {
            transfer.writeEnd();
        }
        flush();
    }

    /** Stops sending the body on this channel; has no effect if the body is not being sent on it. */
    void detach(Channel channel) {
        if (transfers.removeIf(transfer -> transfer.channel == channel)) {
            writeBufferShares.remove(channel);
            updateReading();
        }
    }

    /** Returns whether the body can be sent to a backend from its beginning. */
    boolean isRepeatable() {
        return buffered != null;
    }

    /** Returns whether no backend is attached, so that received bytes are buffered. */
    boolean isWaitingForBackend() {
        return transfers.isEmpty() && buffered != null;
    }

    /** Takes ownership of the next part of the body; it is written at the latest at {@link #flush}. */
    void addPart(ByteBuf content) {
        if (discarded) {
            content.release();
            return;
        }
        if (buffered == null) {
            collector.add(content);
        } else {
            buffered.writeBytes(content);
            content.release();
            if (buffered.writerIndex() - writtenBytes >= MAX_WRITE_BYTES) {
                writeBuffered();
                updateReading();
            }
        }
    }

    /** Writes the buffered bytes to the attached backends, and releases them if there were too many. */
    private void writeBuffered() {
        if (buffered != null) {
            writtenBytes = buffered.writerIndex();
            forEachTransfer(Transfer::writeBuffered);
            releaseIfSent();
        }
    }

    /** Writes a part to the attached backends. */
    private void writePart(ByteBuf part) {
        forEachTransfer(transfer -> transfer.write(part.retainedDuplicate()));
        part.release();
        updateReading();
    }

    /** Holds the last part back until {@link #complete}: a backend starts the request when it receives it. */
    void setLastPart(ByteBuf content) {
        lastPart = content;
    }

    /** Sends the last part: the client has sent the whole body and is still connected. */
    void complete() {
        // Taken out first: a write that fails at once may end the request, which discards the body.
        ByteBuf part = lastPart;
        lastPart = null;
        addPart(part);
        writePending();
        complete = true;
        forEachTransfer(Transfer::writeEnd);
    }

    /** Flushes the writes to the backend; to be called after each batch of reads from the client. */
    void flush() {
        writePending();
        forEachTransfer(transfer -> transfer.channel.flush());
        updateReading();
    }

    private void writePending() {
        writeBuffered();
        collector.flush();
    }

    /**
     * Drops the rest of the body. The client is still read, as it may read the answer only after it has sent
     * the whole body.
     */
    void discard() {
        discarded = true;
        if (lastPart != null) {
            lastPart.release();
            lastPart = null;
        }
        collector.discard();
        releaseBuffered();
        client.config().setAutoRead(true);
    }

    /** Pauses or resumes reading from the client, depending on whether the backend's channel is writable. */
    void updateReading() {
        if (discarded) {
            return;
        }
        boolean writable = transfers.stream().allMatch(transfer -> transfer.channel.isWritable());
        boolean changes = writable == readingPaused;
        if (changes && writable) {
            resumedNs = System.nanoTime();
            earlierPausesNs += resumedNs - pauseStartNs;
        } else if (changes) {
            pauseStartNs = System.nanoTime();
        }
        readingPaused = !writable;
        client.config().setAutoRead(writable);
        if (changes) {
            onReadingChanged.accept(readingPaused);
        }
    }

    /** Returns whether reading from the client is paused. */
    boolean isReadingPaused() {
        return readingPaused;
    }

    /** Returns for how long the client has been read since the last pause; 0 during a pause. */
    long readingForMs() {
        return readingPaused ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - resumedNs);
    }

    /** Returns the duration of the current pause in reading from the client; 0 if reading is not paused. */
    long currentPauseMs() {
        return !readingPaused ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - pauseStartNs);
    }

    /** Returns the duration of all pauses in reading from the client, including the current one. */
    long totalPauseMs() {
        return TimeUnit.NANOSECONDS.toMillis(earlierPausesNs) + currentPauseMs();
    }

    /** Runs an action for each attached backend. A write that fails at once may detach any of them. */
    private void forEachTransfer(Consumer<Transfer> action) {
        for (Transfer transfer : List.copyOf(transfers)) {
            if (transfer.isAttached()) {
                action.accept(transfer);
            }
        }
    }

    /** Releases the buffered bytes of an incomplete body once too many of them were written to a backend. */
    private void releaseIfSent() {
        if (buffered != null && !complete && !transfers.isEmpty()
                && buffered.writerIndex() > BackendPool.MAX_BUFFERED_BODY_BYTES) {
            releaseBuffered();
            onNotRepeatable.run();
        }
    }

    private void releaseBuffered() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
            notifyIfReleased();
        }
    }

    /** Notifies the memory's owner once the buffered bytes are released and no write buffer holds any. */
    private void notifyIfReleased() {
        if (buffered == null && unwrittenBuffers == 0) {
            onReleased.run();
        }
    }
}
