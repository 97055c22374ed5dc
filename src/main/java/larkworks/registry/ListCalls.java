package larkworks.registry;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import larkworks.rollout.Report;

/**
 * What the HTTP side asks of a list service, be it a process alone or one of several replicas. All calls are
 * made on the service's event loop, and answered there.
 */
interface ListCalls {

    /** The lists and watches served here. */
    Watches lists();

    /** Sets the headers that say whose list it is and how old. */
    void describe(HttpHeaders headers);

    /**
     * Checks that there is a list to be read.
     *
     * @throws Refusal 503 where none was ever begun
     */
    void checkReadable() throws Refusal;

    /**
     * What a caller is told that has a newer version than the one held here.
     *
     * @param waited whether the list here had some time to come to that version
     * @return null where it may come to it still
     */
    Refusal ahead(long from, boolean waited);

    /**
     * Makes a write; answered with the list's version once it is in force for good.
     *
     * @throws Refusal where it is known at once that it can't be granted
     */
    void write(Command command, Answer<Long> answer) throws Refusal;

    /**
     * Takes a heartbeat; answered with the list's version.
     *
     * @throws Refusal where it is known at once that it can't be granted
     */
    void heartbeat(String name, Answer<Long> answer) throws Refusal;

    /** Lets the servers that were taken out with their stage of admission wait anew. */
    void resumeAdmission(Answer<Long> answer) throws Refusal;

    /** Takes a proxy's report on a rollout; answered with what it should run, as JSON. */
    void report(String proxy, Report report, Answer<byte[]> answer) throws Refusal;

    /** Answered with the rollout as it stands and what the proxies report, as JSON. */
    void rollout(Answer<byte[]> answer) throws Refusal;

    /**
     * Has the list service kept by these replicas from now on; answered with the list's version.
     *
     * @param addresses of all replicas by id, as they reach each other
     * @throws Refusal 404 where there are no replicas, 400 or 409 where these can't follow the present ones
     */
    void setReplicas(Map<String, String> addresses, Answer<Long> answer) throws Refusal;

    /** Figures for the operator. */
    Map<String, Object> figures();
}
