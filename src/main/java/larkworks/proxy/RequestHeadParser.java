package larkworks.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.HashMap;
import java.util.Map;
import larkworks.Balancer.Effect;
import larkworks.Balancer.RequestClass;
import larkworks.Balancer.Settings;

/** Checks request heads against the protocol and the settings, and reads the protocol's fields from them. */
final class RequestHeadParser {

    /** Times in heads are limited to one day, which avoids overflows. */
    private static final long MAX_NUMBER = 86_400_000;

    private final Settings settings;
    /** Numbers of the request classes, by name. */
    private final Map<String, Integer> requestClassNumbers = new HashMap<>();
    /** Numbers of the tenants, by name. */
    private final Map<String, Integer> tenantNumbers = new HashMap<>();

    RequestHeadParser(Settings settings) {
        this.settings = settings;
        for (int i = 0; i < settings.classes().size(); i++) {
            requestClassNumbers.put(settings.classes().get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenantNumbers.put(settings.tenants().get(i).name(), i);
        }
    }

    /** Checks that the head is valid and its transfer coding, length and Expect header are supported. */
    static void check(HttpRequest request) throws RejectedException {
        if (request.decoderResult().isFailure() || RequestDecoder.hasUnsupportedTransferCoding(request)) {
            throw new RejectedException(HttpResponseStatus.BAD_REQUEST, "broken request");
        }
        if (HttpUtil.getContentLength(request, 0L) > BackendPool.MAX_BODY_BYTES) {
            throw new RejectedException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
        }
        String expected = request.headers().get(HttpHeaderNames.EXPECT);
        if (expected != null && !HttpUtil.is100ContinueExpected(request)) {
            throw new RejectedException(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
        }
    }

    /** Parses a head that {@link #check} has accepted. */
    InboundRequest parse(HttpRequest request) throws RejectedException {
        HttpHeaders headers = request.headers();
        String id = headers.get("X-Call-Id");
        if (id == null || id.isBlank()) {
            throw new RejectedException(HttpResponseStatus.BAD_REQUEST, "no X-Call-Id");
        }
        String name = firstPathSegment(request.uri());
        Integer classNumber = requestClassNumbers.get(name);
        if (classNumber == null || !name.equals(headers.get("X-Call-Class", name))) {
            throw new RejectedException(HttpResponseStatus.BAD_REQUEST, "unknown class");
        }
        RequestClass requestClass = settings.classes().get(classNumber);
        HttpMethod expectedMethod = requestClass.effect() == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!request.method().equals(expectedMethod)) {
            throw new RejectedException(HttpResponseStatus.METHOD_NOT_ALLOWED, "wrong method");
        }
        String key = headers.get("Idempotency-Key");
        if (requestClass.effect() == Effect.KEYED && key == null) {
            throw new RejectedException(HttpResponseStatus.BAD_REQUEST, "no Idempotency-Key");
        }
        long budgetUs = numericHeader(headers, "X-Budget-Ms", requestClass.deadlineUs() / 1000) * 1000;
        return new InboundRequest(id, request.method(), request.uri(), key, null, null,
                headers.get(HttpHeaderNames.CONTENT_TYPE), classNumber,
                tenantNumbers.getOrDefault(headers.get("X-Caller"), 0), budgetUs,
                numericHeader(headers, "X-Call-Cost", 0), "1".equals(headers.get("X-Again")), 0);
    }

    private static long numericHeader(HttpHeaders headers, String name, long defaultValue)
            throws RejectedException {
        String text = headers.get(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            return Math.min(MAX_NUMBER, Math.max(0, Long.parseLong(text.strip())));
        } catch (NumberFormatException e) {
            throw new RejectedException(HttpResponseStatus.BAD_REQUEST, name + " is no whole number");
        }
    }

    private static String firstPathSegment(String uri) {
        int end = 1;
        while (end < uri.length() && "/?".indexOf(uri.charAt(end)) < 0) {
            end++;
        }
        return uri.isEmpty() ? "" : uri.substring(1, end);
    }
}
