package larkworks.proxy;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rules that hold whatever happens, checked at run time, apart from the code that keeps them. A violation is
 * counted and, once a rule and second, logged with the request's id and state. For the proxy's loop only.
 */
final class Invariants {

    /** What must hold. */
    enum Rule {
        /** A request gets its answer by its deadline and the half second after it. */
        ANSWERED_IN_TIME,
        /** No attempt begins for a client that is known to have left, or whose answer is given. */
        ATTEMPT_FOR_WAITING_CLIENT,
        /** No attempt begins at a server past the grace of its drain. */
        ATTEMPT_WITHIN_GRACE,
        /** A request that may not run twice begins where each earlier attempt is known not to have run. */
        REPEATED_SAFELY,
        /** An attempt tells its server no more time than its client has left. */
        DEADLINE_PASSED_ON,
        /** Nothing is taken for a request once the sending on its connection has ended. */
        NO_REQUEST_AFTER_CLOSE,
        /** No count of sockets, connections or bytes is below zero. */
        COUNTS_NOT_NEGATIVE,
        /** Nothing is left of requests and clients when the process ends. */
        NOTHING_LEFT
    }

    private static final Logger LOG = LoggerFactory.getLogger("invariants");
    private static final long LOG_EVERY_NS = 1_000_000_000L;

    private final Map<Rule, Long> violations = new EnumMap<>(Rule.class);
    private final Map<Rule, Long> loggedAtNs = new EnumMap<>(Rule.class);
    private Consumer<Rule> onViolation = rule -> { };

    /** Has each violation told. */
    void onViolation(Consumer<Rule> told) {
        onViolation = told;
    }

    /** Counts a violation where the rule does not hold; {@code state} says in words what it was about. */
    void check(boolean holds, Rule rule, String request, Supplier<String> state) {
        if (holds) {
            return;
        }
        violations.merge(rule, 1L, Long::sum);
        onViolation.accept(rule);
        long now = System.nanoTime();
        Long before = loggedAtNs.get(rule);
        if (before == null || now - before > LOG_EVERY_NS) {
            loggedAtNs.put(rule, now);
            LOG.atError().addKeyValue("rule", rule).addKeyValue("request", request)
                    .addKeyValue("violations", violations.get(rule)).addKeyValue("state", state.get())
                    .log("invariant violated");
        }
    }

    /** Violations so far, of all rules. */
    long count() {
        return violations.values().stream().mapToLong(n -> n).sum();
    }
}
