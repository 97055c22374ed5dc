package larkworks.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.Future;
import larkworks.Balancer.LoadReport;
import larkworks.Balancer.Outcome;

/** An answer that is being received from a backend. */
final class IncomingAnswer {

    private static final int INITIAL_BUFFER_BYTES = 256;

    private final HttpResponse head;
    private final MemoryBudget budget;
    /** The declared length of the body in bytes; negative if not declared. */
    final long length;
    /** The body received so far; empty once the answer has a sink. */
    private ByteBuf buffered = Unpooled.buffer(INITIAL_BUFFER_BYTES);
    /** The number of bytes received of a body that is discarded because the status is not 200. */
    long discardedBytes;
    BackendPool.AnswerSink sink;
    /** Timer that limits how long the answer is buffered; null if it is not limited. */
    Future<?> bufferingTimer;

    /**
     * Creates an answer without a body.
     *
     * @param budget counts the bytes that are buffered
     */
    IncomingAnswer(HttpResponse head, MemoryBudget budget) {
        this.head = head;
        this.budget = budget;
        this.length = HttpFraming.bodyLength(head);
    }

    boolean hasStatusOk() {
        return head.status().code() == 200;
    }

    String contentType() {
        return head.headers().get(HttpHeaderNames.CONTENT_TYPE);
    }

    /** Appends a part of the body to the buffer. */
    void buffer(ByteBuf part) {
        budget.add(part.readableBytes());
        buffered.writeBytes(part);
    }

    int bufferedBytes() {
        return buffered.readableBytes();
    }

    /** Returns the buffered part of the body, which the caller has to release. */
    ByteBuf takeBuffered() {
        ByteBuf taken = buffered;
        budget.remove(taken.readableBytes());
        buffered = Unpooled.EMPTY_BUFFER;
        return taken;
    }

    /** Returns the result of the attempt, given that all of the answer has been received. */
    AttemptResult result() {
        HttpResponseStatus status = head.status();
        LoadReport load = BackendPool.parseLoadReport(head.headers().get("X-Load-Report"));
        if (hasStatusOk()) {
            return new AttemptResult(Outcome.OK, sink == null ? ByteBufUtil.getBytes(buffered) : null,
                    contentType(), load, false);
        }
        // Only this header proves that the request never ran; otherwise it may have taken effect.
        boolean rejected = (status.code() == 503 || status.code() == 504)
                && "1".equals(head.headers().get("X-Rejected"));
        return new AttemptResult(rejected ? Outcome.FULL : Outcome.ERROR, null, null, load,
                status.equals(HttpResponseStatus.BAD_REQUEST));
    }

    /** Releases the buffered body and cancels the timer that limits how long it is buffered. */
    void release() {
        takeBuffered().release();
        if (bufferingTimer != null) {
            bufferingTimer.cancel(false);
        }
    }
}
