package larkworks.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What happened in a run: who sent, received, answered and closed what, and when, in microseconds of one
 * monotonic clock. Written by the soak's one loop; judged by {@link Checker} afterwards.
 */
final class History {

    /** Marks a time at which something has not happened. */
    static final long NEVER = Long.MAX_VALUE;

    /** What a request may do when it is run twice. */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** What a server did about an attempt, so far as it tells whether the request ran. */
    enum Ran { MAYBE, NEVER }

    /** An attempt that arrived whole at a server. */
    record Attempt(String server, long firstByteUs, long wholeUs, long toldMs, Ran ran) { }

    /** A request as its client saw it. */
    static final class Request {
        final String id;
        final Effect effect;
        final int proxy;
        final long budgetUs;
        /** Whether no request went before it on its connection. */
        final boolean firstOnConnection;
        /** When its last byte was given to the system; {@link #NEVER} where it never was. */
        long sentUs = NEVER;
        long firstSentUs;
        long clientLeftUs = NEVER;
        long answeredUs = NEVER;
        int status;
        int answers;
        String body = "";
        /** When the proxy ended the connection with no answer to this request. */
        long cutOffUs = NEVER;
        /** Whether the answer had begun when it was cut off: the client can tell that it is not whole. */
        boolean answerBegun;
        /** All attempts with this id; see {@link #ownAttempts}. */
        final List<Attempt> attempts;
        final Set<String> bodies;
        /** Whether it has a large body. */
        boolean large;
        /** When its client sent the same id again on another connection. */
        long sentAgainUs = NEVER;

        Request(String id, Effect effect, int proxy, long budgetUs, boolean firstOnConnection) {
            this(id, effect, proxy, budgetUs, firstOnConnection, new ArrayList<>(), new HashSet<>());
        }

        private Request(String id, Effect effect, int proxy, long budgetUs, boolean firstOnConnection,
                List<Attempt> attempts, Set<String> bodies) {
            this.attempts = attempts;
            this.bodies = bodies;
            this.id = id;
            this.effect = effect;
            this.proxy = proxy;
            this.budgetUs = budgetUs;
            this.firstOnConnection = firstOnConnection;
        }

        /** The same request as its client sends it once more, on a new connection. */
        Request again(long nowUs) {
            sentAgainUs = nowUs;
            Request again = new Request(id, effect, proxy, budgetUs, true, attempts, bodies);
            again.firstSentUs = nowUs;
            return again;
        }

        /** The attempts that began after this was sent, and before it was sent again. */
        List<Attempt> ownAttempts() {
            return attempts.stream().filter(
                    a -> a.firstByteUs() >= firstSentUs && a.firstByteUs() < sentAgainUs).toList();
        }

        /** Whether its client still waits for it. */
        boolean open() {
            return answers == 0 && cutOffUs == NEVER && clientLeftUs == NEVER;
        }
    }

    /** A process of a proxy. */
    static final class ProxyLife {
        final int proxy;
        final long startedUs;
        long readyUs = NEVER;
        /** When it was told to end by SIGTERM. */
        long toldToEndUs = NEVER;
        /** When it was killed by SIGKILL. */
        long killedUs = NEVER;
        long endedUs = NEVER;

        ProxyLife(int proxy, long startedUs) {
            this.proxy = proxy;
            this.startedUs = startedUs;
        }
    }

    /** Something that a client sent which is no request, and until when it was owed an error or a close. */
    record BadPeer(int proxy, long dueUs, long endedUs, String what) { }

    /** A span of time in which one side stood still, which what it did then is excused by. */
    record Pause(int proxy, long fromUs, long toUs) { }

    /** When a proxy counts as told that a server drains or is gone. */
    record Told(int proxy, String server, long atUs) { }

    /** When discovery had it that a server drains or is gone. */
    record Departure(String server, long atUs) { }

    /** A span in which discovery could not be reached by a proxy; open while it lasts. */
    static final class Outage {
        final int proxy;
        final long fromUs;
        long toUs = NEVER;

        Outage(int proxy, long fromUs) {
            this.proxy = proxy;
            this.fromUs = fromUs;
        }
    }

    /** A server's start, as the list tells it. */
    record ColdStart(String server, long startedUs) { }

    private static final String RUN = "-run";
    private static final String OWN = RUN + ProcessHandle.current().pid();

    private final long startNanos = System.nanoTime();
    final Map<String, Request> requests = new HashMap<>();
    /** Requests that their clients have sent again with the same id since. */
    final List<Request> sentAgain = new ArrayList<>();
    final List<ProxyLife> lives = new ArrayList<>();
    final List<BadPeer> badPeers = new ArrayList<>();
    final List<Pause> pauses = new ArrayList<>();
    /** Spans in which idle connections filled a proxy's descriptors. */
    final List<Pause> crowds = new ArrayList<>();
    final Set<Told> told = new LinkedHashSet<>();
    final List<Departure> departures = new ArrayList<>();
    final List<Outage> outages = new ArrayList<>();
    final List<ColdStart> coldStarts = new ArrayList<>();
    /** Spans in which the soak's own loop was late. */
    final List<Pause> lags = new ArrayList<>();
    /** Attempts with an id that no client sent. */
    final List<String> unknownAttempts = new ArrayList<>();

    /** The id of a proxy's n-th request; no other run that goes on at the same time has it. */
    String requestId(int proxy, int number) {
        return "p" + proxy + "r" + number + OWN;
    }

    /**
     * Whether a request is of another run. Its proxy may come to a port that was its own server's and is one
     * of ours by now.
     */
    static boolean foreign(String id) {
        return id.contains(RUN) && !id.endsWith(OWN);
    }

    long nowUs() {
        return (System.nanoTime() - startNanos) / 1000;
    }
}
