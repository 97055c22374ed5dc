package larkworks.proxy;

import larkworks.Balancer.LoadReport;
import larkworks.Balancer.Outcome;

/**
 * The result of an attempt or a probe.
 *
 * @param body the backend's response body if it served the request and the body was buffered; else null
 * @param contentType the content type of the body, or null
 * @param report the backend's load report, or null
 * @param invalidRequest whether the backend rejected the request as invalid (status 400)
 */
record AttemptResult(Outcome outcome, byte[] body, String contentType, LoadReport report,
        boolean invalidRequest) {

    static AttemptResult of(Outcome outcome) {
        return new AttemptResult(outcome, null, null, null, false);
    }
}
