package larkworks.proxy;

import io.netty.handler.codec.http.HttpResponseStatus;

/** Thrown for a request that is invalid or exceeds a limit; holds the status to answer it with. */
final class RejectedException extends Exception {

    private static final long serialVersionUID = 1L;
    private final transient HttpResponseStatus status;

    RejectedException(HttpResponseStatus status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** Returns the status of the answer. */
    HttpResponseStatus status() {
        return status;
    }
}
