package larkworks.proxy;

import larkworks.Balancer.LoadReport;
import larkworks.Balancer.Outcome;

/**
 * The result of an attempt or a probe.
 *
 * @param body the backend's response body if it served the request and the body was buffered; else null
 * @param type the content type of the body, or null
 * @param report the backend's load report, or null
 * @param improper whether the backend rejected the request as invalid (status 400)
 */
record Answer(Outcome outcome, byte[] body, String type, LoadReport report, boolean improper) {

    static Answer of(Outcome outcome) {
        return new Answer(outcome, null, null, null, false);
    }
}
