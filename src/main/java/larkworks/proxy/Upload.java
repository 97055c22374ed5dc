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
 * The body of a request on its way from a client to a backend, too large to be held whole. What came before a
 * backend takes it is kept, and can go to another one until more than a small part was written; what comes
 * then is written as it comes. While it waits for a backend the client is read on, within the common bound of
 * held bodies, as only reading shows that it has gone; else only while there is room.
 */
final class Upload {

    /** A request for a backend whose body follows from an upload. */
    static final class Head extends DefaultHttpRequest {
        private final Upload body;

        Head(HttpVersion version, HttpMethod method, String uri, Upload body) {
            super(version, method, uri);
            this.body = body;
        }

        Upload body() {
            return body;
        }
    }

    private final Channel client;
    private final Flow flow;
    /** Told to the backend; negative where the client tells none. */
    private final long length;
    /** All that has come, or null once it is more than can be held. */
    private ByteBuf held;
    /** The part of it that was written to the backend. */
    private int sent;
    /** The latest write of what is held, or null. */
    private ChannelFuture last;
    private Channel backend;
    private ChannelFutureListener written;
    /** The last part, until it is known that the client has not left with it; else null. */
    private ByteBuf tail;
    private boolean complete;
    private boolean discarded;
    /** Whether the client is not read, since when, and for how long it was not before. */
    private boolean paused;
    private long pausedAt;
    private long pausedNanos;
    private final Runnable onReleased;
    private Runnable onSpent = () -> { };

    /**
     * Takes over what came so far.
     *
     * @param onReleased told when nothing of it is held any more
     */
    Upload(Channel client, Flow flow, long length, ByteBuf held, Runnable onReleased) {
        this.client = client;
        this.flow = flow;
        this.length = length;
        this.held = held;
        this.onReleased = onReleased;
    }

    void onSpent(Runnable action) {
        onSpent = action;
    }

    /** How its length is told to a backend. */
    void describe(HttpHeaders headers) {
        if (length >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
    }

    /**
     * Begins to send to a backend, which the head was just written to; tells when the last byte has left, or
     * that one can't.
     */
    void attach(Channel to, ChannelFutureListener lastWritten) {
        backend = to;
        written = lastWritten;
        flow.begin(to);
        pump();
        regulate();
    }

    /** The backend gets nothing more. */
    void detach(Channel from) {
        if (backend == from && from != null) {
            flow.end(from);
            backend = null;
            sent = 0;
            regulate();
        }
    }

    /** Whether no backend takes it now, so that what comes has to be held. */
    boolean waits() {
        return backend == null && held != null && !discarded;
    }

    /** Takes the next part from the client. */
    void part(ByteBuf content) {
        if (discarded || held == null && backend == null) {
            content.release();
        } else if (held != null) {
            held.writeBytes(content);
            content.release();
            pump();
        } else {
            write(content);
        }
        regulate();
    }

    /** Takes the last part, with which the request would begin at its backend: it is held until completed. */
    void lastPart(ByteBuf content) {
        tail = content;
    }

    /** The client has sent all, and has not left with it. */
    void complete() {
        part(tail);
        tail = null;
        complete = true;
        if (backend != null) {
            finish();
        }
    }

    /** What was written goes out; to be called when nothing more is there to be read from the client. */
    void flush() {
        if (backend != null) {
            backend.flush();
        }
    }

    /** Nobody wants the rest; it is still read, as the client may listen only after it has sent all. */
    void discard() {
        discarded = true;
        if (tail != null) {
            tail.release();
            tail = null;
        }
        release();
        client.config().setAutoRead(true);
    }

    /** Reads from the client only what there is room for. */
    void regulate() {
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

    /** How long the client has been kept waiting by now; 0 while it is read. */
    long pauseMs() {
        return !paused ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - pausedAt);
    }

    /** How long the client was kept waiting altogether. */
    long pausedMs() {
        return TimeUnit.NANOSECONDS.toMillis(pausedNanos) + pauseMs();
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
        } else if (sent > BackendPool.MAX_BUFFERED_BODY_BYTES) {
            release();
            onSpent.run();
        }
        flush();
    }

    /** A part that can't be written is told like the end: no more will come, and this before the closing. */
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
                // Until it has been written the backend's buffer holds it.
                last.addListener(written -> onReleased.run());
            }
        }
    }
}
