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
import java.util.concurrent.TimeUnit;

/**
 * A request body that is too large to be buffered whole, passed from a client to a backend as it arrives. The
 * bytes received before a backend is attached are buffered, and can be sent again to another backend until
 * more than {@link BackendPool#MOST_BODY} bytes were written to one; later bytes are written as they arrive.
 * While no backend is attached the client is still read, within the common limit of buffered bodies, as only
 * reading shows that it has gone. Otherwise the client is read only while the backend's channel is writable.
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

    private final Channel client;
    private final WriteBufferShares writeBufferShares;
    /** The body's length as given by the client; negative for a chunked body. */
    private final long length;
    /** All bytes received so far; null once too many were written for the body to be sent again. */
    private ByteBuf held;
    /** Number of buffered bytes that were written to the current backend. */
    private int sent;
    /** The latest write of buffered bytes, or null. */
    private ChannelFuture last;
    private Channel backend;
    private ChannelFutureListener written;
    /** The last part, until it is known that the client didn't close its connection behind it; else null. */
    private ByteBuf tail;
    private boolean complete;
    private boolean discarded;
    /** Whether reading from the client is paused. */
    private boolean paused;
    /** When the current pause began. */
    private long pausedAt;
    /** Duration of all earlier pauses. */
    private long pausedNanos;
    private final Runnable onReleased;
    private Runnable onNotRepeatable = () -> { };

    /**
     * Takes ownership of the bytes received so far.
     *
     * @param onReleased run when the memory of the buffered bytes has been released
     */
    Upload(Channel client, WriteBufferShares writeBufferShares, long length, ByteBuf held,
            Runnable onReleased) {
        this.client = client;
        this.writeBufferShares = writeBufferShares;
        this.length = length;
        this.held = held;
        this.onReleased = onReleased;
    }

    /** Sets the action to run once the body can't be sent to another backend any more. */
    void onNotRepeatable(Runnable action) {
        onNotRepeatable = action;
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
     * @param lastWritten notified when the last byte was written or a write has failed
     */
    void attach(Channel to, ChannelFutureListener lastWritten) {
        backend = to;
        written = lastWritten;
        writeBufferShares.add(to);
        pump();
        updateReading();
    }

    /** Stops sending to the backend. */
    void detach(Channel from) {
        if (backend == from && from != null) {
            writeBufferShares.remove(from);
            backend = null;
            sent = 0;
            updateReading();
        }
    }

    /** Returns whether no backend is attached, so that received bytes are buffered. */
    boolean isWaitingForBackend() {
        return backend == null && held != null && !discarded;
    }

    /** Takes ownership of the next part of the body. */
    void addPart(ByteBuf content) {
        if (discarded || held == null && backend == null) {
            content.release();
        } else if (held != null) {
            held.writeBytes(content);
            content.release();
            pump();
        } else {
            write(content);
        }
        updateReading();
    }

    /** Keeps the last part until {@link #complete}, as the backend starts the request once it receives it. */
    void setLastPart(ByteBuf content) {
        tail = content;
    }

    /** Sends the last part: the client has sent the whole body and is still connected. */
    void complete() {
        addPart(tail);
        tail = null;
        complete = true;
        if (backend != null) {
            finish();
        }
    }

    /** Flushes the writes to the backend; to be called after each batch of reads from the client. */
    void flush() {
        if (backend != null) {
            backend.flush();
        }
    }

    /**
     * Drops the rest of the body. The client is still read, as it may read the answer only after it has sent
     * the whole body.
     */
    void discard() {
        discarded = true;
        if (tail != null) {
            tail.release();
            tail = null;
        }
        release();
        client.config().setAutoRead(true);
    }

    /** Pauses reading from the client while the backend's channel is not writable. */
    void updateReading() {
        if (discarded) {
            return;
        }
        boolean room = backend == null || backend.isWritable();
        if (room && paused) {
            pausedNanos += System.nanoTime() - pausedAt;
        } else if (!room && !paused) {
            pausedAt = System.nanoTime();
        }
        paused = !room;
        client.config().setAutoRead(room);
    }

    /** Returns the duration of the current pause; 0 while the client is read. */
    long currentPauseMs() {
        return !paused ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - pausedAt);
    }

    /** Returns the duration of all pauses, including the current one. */
    long totalPauseMs() {
        return TimeUnit.NANOSECONDS.toMillis(pausedNanos) + currentPauseMs();
    }

    private void pump() {
        if (backend == null || held == null) {
            return;
        }
        if (sent < held.writerIndex()) {
            last = write(held.retainedSlice(sent, held.writerIndex() - sent));
            sent = held.writerIndex();
        }
        if (complete) {
            finish();
        } else if (sent > BackendPool.MOST_BODY) {
            release();
            onNotRepeatable.run();
        }
        flush();
    }

    /** Writes a part. A failed write notifies {@link #written}, before the channel's close is seen. */
    private ChannelFuture write(ByteBuf part) {
        ChannelFutureListener own = written;
        return backend.write(new DefaultHttpContent(part)).addListener((ChannelFuture done) -> {
            if (!done.isSuccess()) {
                own.operationComplete(done);
            }
        });
    }

    private void finish() {
        backend.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(written);
    }

    private void release() {
        if (held != null) {
            held.release();
            held = null;
            if (last == null) {
                onReleased.run();
            } else {
                // The backend channel's write buffer holds the bytes until they are written.
                last.addListener(written -> onReleased.run());
            }
        }
    }
}
