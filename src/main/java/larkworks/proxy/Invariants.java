package larkworks.proxy;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Invariants of request handling, checked at run time independently of the code that maintains them. Each
 * violation is counted and logged with the request's id and state, at most once per second and rule. To be
 * used on the proxy's event loop only.
 */
final class Invariants {

    /** An invariant. */
    enum Rule {
        /** A request is answered at most half a second after its deadline. */
        ANSWERED_IN_TIME,
        /** No attempt starts for a client that is known to have left or that has been answered. */
        ATTEMPT_FOR_WAITING_CLIENT,
        /** No attempt starts at a server whose drain's grace period is over. */
        ATTEMPT_WITHIN_GRACE,
        /**
         * A request that must not run twice is sent again only if its earlier attempts are known not to have
         * run, or if its idempotency key's deduplication window is still open.
         */
        REPEATED_SAFELY,
        /** The time budget sent to a server does not exceed the time that the client has left. */
        DEADLINE_PASSED_ON,
        /** No request is accepted from a connection that is closed or being closed. */
        NO_REQUEST_AFTER_CLOSE,
        /** No count of sockets, connections or bytes is negative. */
        COUNTS_NOT_NEGATIVE,
        /** No requests, client connections or buffered bytes are left when the process ends. */
        NOTHING_LEFT
    }

    private static final Logger LOG = LoggerFactory.getLogger("invariants");
    private static final long LOG_INTERVAL_NS = 1_000_000_000L;

    private final Map<Rule, Long> violations = new EnumMap<>(Rule.class);
    private final Map<Rule, Long> loggedAtNs = new EnumMap<>(Rule.class);
    private Consumer<Rule> onViolation = rule -> { };

    /** Sets the action to run at each violation. */
    void onViolation(Consumer<Rule> action) {
        onViolation = action;
    }

    /**
     * Counts a violation unless the rule holds.
     *
     * @param request the id of the request concerned; empty if there is none
     * @param state describes the state that violates the rule, for the log
     */
    void check(boolean holds, Rule rule, String request, Supplier<String> state) {
        if (holds) {
            return;
        }
        violations.merge(rule, 1L, Long::sum);
        onViolation.accept(rule);
        long nowNs = System.nanoTime();
        Long lastLoggedNs = loggedAtNs.get(rule);
        if (lastLoggedNs == null || nowNs - lastLoggedNs > LOG_INTERVAL_NS) {
            loggedAtNs.put(rule, nowNs);
            LOG.atError().addKeyValue("rule", rule).addKeyValue("request", request)
                    .addKeyValue("violations", violations.get(rule)).addKeyValue("state", state.get())
                    .log("invariant violated");
        }
    }

    /** Returns the number of violations of all rules so far. */
    long violationCount() {
        return violations.values().stream().mapToLong(n -> n).sum();
    }
}
