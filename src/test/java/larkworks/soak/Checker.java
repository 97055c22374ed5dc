package larkworks.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import larkworks.soak.History.Attempt;
import larkworks.soak.History.Effect;
import larkworks.soak.History.ProxyLife;
import larkworks.soak.History.Ran;
import larkworks.soak.History.Request;

/** Judges what happened in a run by the rules that every request and attempt is held to. */
final class Checker {

    private static final long ANSWER_SLACK_US = 500_000;
    private static final long GONE_SLACK_US = 100_000;
    private static final long DEADLINE_SLACK_US = 150_000;
    /** A dying process resets its connections, and the soak's loop sees that some time later. */
    private static final long DEATH_SEEN_US = 300_000;
    /** A departure counts as told so long after discovery had it and could be reached. */
    private static final long TOLD_AFTER_US = 6_000_000;
    /** Requests that come so long after SIGTERM have to be answered by the earliest SIGKILL. */
    private static final long TAKEN_AFTER_TERM_US = 700_000;

    private final History history;
    private final SoakSettings settings;
    private final List<String> broken = new ArrayList<>();

    Checker(History history, SoakSettings settings) {
        this.history = history;
        this.settings = settings;
    }

    /** Every break of a rule, each with the request's id; empty where all were kept. */
    List<String> check() {
        Map<String, Long> told = told();
        history.unknownAttempts.forEach(id -> broken.add("unknown request " + id));
        for (Request request : history.requests.values()) {
            checkAnswer(request);
            checkRepeats(request);
            checkAttempts(request, told);
        }
        for (Request request : history.sentAgain) {
            checkAnswer(request);
            checkAttempts(request, told);
        }
        history.coldStarts.forEach(this::checkColdStart);
        for (History.BadPeer peer : history.badPeers) {
            if (peer.endedUs() > peer.dueUs() + slackUs(peer.proxy(), peer.dueUs(), peer.endedUs())
                    + SoakSettings.SOCKET_SLACK_US && !killedBy(peer)) {
                broken.add("bad peer, " + peer.what() + ", ended " + ms(peer.endedUs() - peer.dueUs())
                        + " late");
            }
        }
        return broken;
    }

    /** When each proxy counts as told of each departure, by the proxy's number and the server's name. */
    private Map<String, Long> told() {
        Map<String, Long> told = new HashMap<>();
        history.told.forEach(t -> told.merge(t.proxy() + " " + t.server(), t.atUs(), Math::min));
        for (int proxy = 0; proxy < settings.proxies(); proxy++) {
            for (History.Departure departure : history.departures) {
                told.merge(proxy + " " + departure.server(),
                        reachableUs(proxy, departure.atUs()) + TOLD_AFTER_US, Math::min);
            }
        }
        return told;
    }

    /** The first time from then on at which the proxy could reach discovery. */
    private long reachableUs(int proxy, long fromUs) {
        long atUs = fromUs;
        for (History.Outage outage : history.outages) {
            if (outage.proxy == proxy && outage.fromUs <= atUs && atUs < outage.toUs) {
                atUs = outage.toUs == History.NEVER ? History.NEVER - TOLD_AFTER_US : outage.toUs;
            }
        }
        return atUs;
    }

    private void checkAnswer(Request request) {
        if (request.sentUs == History.NEVER && request.answers == 0 && request.cutOffUs != History.NEVER
                && request.large && !killedAround(request) && !request.answerBegun) {
            report(request, "its upload was cut off with no answer");
        }
        if (request.sentUs == History.NEVER || request.clientLeftUs != History.NEVER) {
            return;
        }
        long dueUs = request.sentUs + request.budgetUs + ANSWER_SLACK_US;
        if (request.answers > 1) {
            report(request, "answered " + request.answers + " times");
        } else if (request.answers == 1) {
            checkWhole(request, dueUs);
        } else if (request.cutOffUs != History.NEVER) {
            checkCutOff(request);
        } else if (!diedAround(request)) {
            report(request, "never answered");
        }
    }

    private void checkWhole(Request request, long dueUs) {
        if (request.answeredUs > dueUs + slackUs(request.proxy, request.sentUs, request.answeredUs)) {
            report(request, "answered " + ms(request.answeredUs - dueUs) + " after its time and slack");
        }
        if (request.status == 200 && !request.bodies.contains(request.body)) {
            report(request, "served with what no server made: '" + request.body + "'");
        }
        boolean refused = request.status == 503 || request.status == 429;
        if (refused && request.effect == Effect.UNSAFE && mayHaveRun(request) > 0) {
            report(request, "refused though an attempt may have run");
        }
        if (request.status == 400) {
            report(request, "turned away as broken");
        }
    }

    private void checkCutOff(Request request) {
        if (request.answerBegun || killedAround(request)) {
            return;
        }
        if (request.firstOnConnection && request.ownAttempts().isEmpty() && crowded(request)) {
            return;
        }
        if (request.firstOnConnection) {
            report(request, "its connection was closed with no answer");
        } else if (!request.ownAttempts().isEmpty()) {
            report(request, "forwarded, then its connection was closed with no answer");
        }
    }

    /** Whether new connections may be shut unread, as idle ones fill the descriptors. */
    private boolean crowded(Request request) {
        return history.crowds.stream().anyMatch(crowd -> crowd.proxy() == request.proxy
                && request.sentUs >= crowd.fromUs() && request.sentUs < crowd.toUs());
    }

    private void checkRepeats(Request request) {
        long ran = mayHaveRun(request);
        if (request.effect == Effect.UNSAFE && ran > 1) {
            report(request, "may have run " + ran + " times");
        }
        if (request.effect == Effect.KEYED && ran > 1) {
            long first = request.attempts.stream().mapToLong(Attempt::wholeUs).min().orElse(0);
            long last = request.attempts.stream().mapToLong(Attempt::firstByteUs).max().orElse(0);
            if (last - first > SoakSettings.DEDUP_WINDOW_US + SoakSettings.SOCKET_SLACK_US) {
                report(request, "repeated after its key's window");
            }
        }
    }

    private static long mayHaveRun(Request request) {
        return request.attempts.stream().filter(a -> a.ran() == Ran.MAYBE).count();
    }

    private void checkAttempts(Request request, Map<String, Long> told) {
        for (Attempt attempt : request.ownAttempts()) {
            long at = attempt.firstByteUs();
            if (request.clientLeftUs != History.NEVER && at > request.clientLeftUs + GONE_SLACK_US
                    + heldUpUs(request.proxy, request.clientLeftUs, at)) {
                report(request, "attempt at " + attempt.server() + " began "
                        + ms(at - request.clientLeftUs) + " after its client left");
            }
            long leftUs = request.sentUs + request.budgetUs - at;
            long over = attempt.toldMs() * 1000 - leftUs - DEADLINE_SLACK_US;
            if (request.sentUs != History.NEVER && over > heldUpUs(request.proxy, request.sentUs, at)) {
                report(request, "attempt at " + attempt.server() + " was told " + attempt.toldMs()
                        + " ms with " + ms(leftUs) + " left");
            }
            Long toldUs = told.get(request.proxy + " " + attempt.server());
            if (toldUs != null && at > toldUs + SoakSettings.DRAIN_GRACE_US + SoakSettings.SOCKET_SLACK_US
                    + slackUs(request.proxy, toldUs, at)) {
                report(request, "attempt at " + attempt.server() + " began " + ms(at - toldUs)
                        + " after its drain was told");
            }
        }
    }

    /** What reaches a cold server in any time in which too many requests fell it. */
    private void checkColdStart(History.ColdStart start) {
        List<Long> sent = history.requests.values().stream().flatMap(r -> r.attempts.stream())
                .filter(a -> a.server().equals(start.server())).map(Attempt::wholeUs).sorted().toList();
        int first = 0;
        for (int last = 0; last < sent.size(); last++) {
            while (sent.get(last) - sent.get(first) >= SoakSettings.OVERLOAD_US) {
                first++;
            }
            long ageUs = sent.get(last) - start.startedUs();
            if (ageUs < SoakSettings.COLD_US && last - first + 1 > settings.coldBudget(ageUs)) {
                broken.add(start.server() + ", " + ms(ageUs) + " old, was sent " + (last - first + 1)
                        + " requests in " + ms(SoakSettings.OVERLOAD_US) + ", allowed are "
                        + (int) settings.coldBudget(ageUs));
                return;
            }
        }
    }

    /** How long the proxy, or the soak's own loop, stood still in that time. */
    private long slackUs(int proxy, long fromUs, long toUs) {
        long slack = 0;
        for (History.Pause pause : history.pauses) {
            if (pause.proxy() == proxy) {
                slack += overlap(pause, fromUs, toUs);
            }
        }
        for (History.Pause lag : history.lags) {
            slack += overlap(lag, fromUs, toUs);
        }
        return slack;
    }

    private static long overlap(History.Pause pause, long fromUs, long toUs) {
        return Math.max(0, Math.min(pause.toUs(), toUs) - Math.max(pause.fromUs(), fromUs));
    }

    /** The same, where no more than one stop between a look at the clock and a write is excused. */
    private long heldUpUs(int proxy, long fromUs, long toUs) {
        return history.lags.stream().mapToLong(lag -> overlap(lag, fromUs, toUs)).sum()
                + Math.min(SoakSettings.HELD_UP_US, slackUs(proxy, fromUs, toUs));
    }

    private boolean killedBy(History.BadPeer peer) {
        return history.lives.stream().anyMatch(life -> life.proxy == peer.proxy()
                && life.killedUs > peer.dueUs() - DEATH_SEEN_US
                && life.killedUs < peer.dueUs() + settings.deadlineUs());
    }

    private boolean killedAround(Request request) {
        return history.lives.stream().anyMatch(life -> excuses(life, request)
                && Math.abs(life.killedUs - request.cutOffUs) < DEATH_SEEN_US);
    }

    /** Whether a process of the proxy was killed while the request could have been there. */
    private boolean diedAround(Request request) {
        return history.lives.stream().anyMatch(life -> excuses(life, request)
                && life.killedUs > request.sentUs - DEATH_SEEN_US
                && life.killedUs < request.sentUs + settings.deadlineUs());
    }

    /** Whether a kill ended the process and excuses what it left of this request; see the protocol. */
    private static boolean excuses(ProxyLife life, Request request) {
        return life.proxy == request.proxy && life.killedUs != History.NEVER
                && (life.toldToEndUs == History.NEVER
                        || takenUs(request) <= life.toldToEndUs + TAKEN_AFTER_TERM_US);
    }

    /** When the proxy can have taken the request: a large one, from its first bytes on. */
    private static long takenUs(Request request) {
        return request.large ? request.firstSentUs : request.sentUs;
    }

    private void report(Request request, String what) {
        StringBuilder text = new StringBuilder(request.id).append(' ').append(request.effect).append(" at ")
                .append(ms(request.sentUs)).append(": ").append(what);
        for (ProxyLife life : history.lives) {
            if (life.proxy == request.proxy && life.toldToEndUs < request.sentUs + 1_000_000
                    && request.sentUs < life.endedUs + 1_000_000) {
                text.append("; told to end at ").append(ms(life.toldToEndUs)).append(", ended at ")
                        .append(life.endedUs == History.NEVER ? "-" : ms(life.endedUs));
            }
        }
        request.attempts.forEach(a -> text.append("; ").append(a.server()).append('@')
                .append(ms(a.firstByteUs())).append(" told ").append(a.toldMs()).append(" ms"));
        if (request.cutOffUs != History.NEVER) {
            text.append("; cut off at ").append(ms(request.cutOffUs));
        }
        text.append(request.firstOnConnection ? "; first on its connection" : "; not the first");
        broken.add(text.toString());
    }

    private static String ms(long us) {
        return us == History.NEVER ? "-" : us / 1000 + " ms";
    }
}
