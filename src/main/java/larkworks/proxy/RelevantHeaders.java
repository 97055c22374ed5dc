package larkworks.proxy;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Header fields of a message that is being decoded, of which only those that the proxy reads are kept: a
 * field of four bytes takes over a hundred bytes of memory. All fields are validated.
 */
final class RelevantHeaders extends DefaultHttpHeaders {

    /** Maximum number of fields kept; a message repeats none of them so often. */
    private static final int MAX_FIELDS = 64;

    private final HttpHeaders relevantNames;
    private int fields;

    private RelevantHeaders(HttpHeaders relevantNames) {
        this.relevantNames = relevantNames;
    }

    /** Returns a factory of headers that keep the fields with these names only, in any case of letters. */
    static HttpHeadersFactory keeping(Iterable<? extends CharSequence> names) {
        HttpHeaders relevantNames = new DefaultHttpHeaders();
        for (CharSequence name : names) {
            relevantNames.add(name, "");
        }
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new RelevantHeaders(relevantNames);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new RelevantHeaders(relevantNames);
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (!relevantNames.contains(name)) {
            validate(name, value);
            return this;
        }
        if (++fields > MAX_FIELDS) {
            throw new IllegalArgumentException("more than " + MAX_FIELDS + " relevant header fields");
        }
        return super.add(name, value);
    }

    private static void validate(CharSequence name, Object value) {
        if (name.length() == 0 || HttpHeaderValidationUtil.validateToken(name) >= 0) {
            throw new IllegalArgumentException("invalid header field name");
        }
        if (HttpHeaderValidationUtil.validateValidHeaderValue((CharSequence) value) >= 0) {
            throw new IllegalArgumentException("invalid header field value");
        }
    }
}
