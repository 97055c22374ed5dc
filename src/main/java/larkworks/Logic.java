package larkworks;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * The implementation of the decision module. Its types, events and actions are in {@link Balancer}.
 *
 * <p>Without failures a call goes to a server with none of this copy's calls in flight, else to the one with
 * the fewest, and among equals to the least recently assigned; see {@link #better}. The rest of this class
 * handles failures and limits.
 */
public final class Logic implements Balancer {

    /**
     * Consecutive connection failures after which a server is ejected: one may be chance, the second confirms
     * it.
     */
    private static final int MAX_FAILS = 2;
    /**
     * How long a server is demoted, or ejected for the first time: a few attempts a minute do no harm, and a
     * restart takes some seconds.
     */
    private static final long FAIL_TIMEOUT_US = 3_000_000;
    /** Retry tokens added by each request, so that retries add at most a tenth to the load over time. */
    private static final double RETRY_EARNED = 0.1;
    /** Retry tokens that may be saved up for a burst of failures. */
    private static final double RETRY_SAVED = 5;
    /**
     * The delay before a failed watch is repeated. The current list may be used for four times this long at
     * least, so that there is no hurry.
     */
    private static final long NEW_WATCH_US = 1_000_000;
    /** The maximum random delay added to that before discovery is queried; doubled at each failure. */
    private static final long ASK_AGAIN_US = 250_000;
    /**
     * The part of the total worth that probes may cost over all tiers. No probe is sent where two of them for
     * each call would cost more.
     */
    private static final double PROBE_SPEND = 0.02;
    /** Probes in one round before a call: one may be lost or slow, a third would rarely be of use. */
    private static final int PROBES_AT_ONCE = 2;
    /** The mean load in calls in flight per server, below which one probe in a round is mostly enough. */
    private static final double LIGHT_LOAD = 0.25;
    /** Maximum rounds of probes before a call is sent to the best server known. */
    private static final int PROBE_ROUNDS = 3;
    /** A call waits for its probes only while probes take no more than this part of the aim. */
    private static final double PROBE_SHARE_OF_AIM = 0.02;
    /** A probe counts as unanswered after this many times the mean duration of probes. */
    private static final double OVERDUE = 3;
    /**
     * The load report of a busy server is valid for this part of the mean duration of its calls in flight, as
     * most of their work is still to do.
     */
    private static final double BUSY_HOLDS = 0.25;
    /** The weight of a call's hinted work beyond the mean: hints err, and not all of its time is work. */
    private static final double HOPE = 0.5;
    /**
     * A server may be chosen if its expected time is at most this part of the time left, as a call can take
     * far longer than the mean.
     */
    private static final double CROWD = 0.45;
    /** A server is assigned calls at most this many times less often, or more often, than the mean. */
    private static final double MOST_SLOWNESS = 20;
    /** A reported load changes the assignment interval at most by this factor, as reports are inexact. */
    private static final double MOST_CROWD = 3;
    /** The part of the load under which a cold server would fail that all copies together may send to it. */
    private static final double COLD_MARGIN = 0.6;
    /** A call is given up if its time left is below this quantile of the durations of calls. */
    private static final double QUICK = 0.3;
    /** The mean duration of calls is capped at this multiple of that quantile. */
    private static final double USUAL = 2;
    /** A queued call is sent only with this multiple of the mean duration left: else half would be late. */
    private static final double HELD_MARGIN = 1.4;
    /** The relative step by which the estimate of that quantile moves at each answer. */
    private static final double QUICK_STEP = 0.05;
    /** The ejection time doubles at each further failure, at most this many times. */
    private static final int MOST_DOUBLINGS = 4;
    /** An attempt counts as stalled after this many times its expected duration, as durations vary widely. */
    private static final double CALL_OVERDUE = 5;
    /** Consecutive stalled attempts, or unanswered probes, after which a server is ejected. */
    private static final int SILENCES = 2;
    /** Rounds by which the next call to a server of another zone is delayed where that has a price. */
    private static final double FAR_ROUNDS = 1;
    /** The weight of the latest answer in a server's share of errors. */
    private static final double ERROR_WEIGHT = 0.2;
    /** The share of errors above which a server may be ejected for them. */
    private static final double ERRORS = 0.35;
    /** The longest delay of a slow server's next call, as the server may have recovered. */
    private static final double MOST_LATE_US = 24_000_000;
    /**
     * Requests that a tenant may send in a burst above its rate, as the tenant's requests are spread over the
     * copies by chance.
     */
    private static final double SHARE_SAVED = 8;
    /** The load in calls in flight that is assumed for a server that rejected a call as full. */
    private static final int FULL_LOAD = 1000;
    /** Calls admitted for each call served in time; the excess over 1 is what congestion may waste. */
    private static final double BEGUN_PER_SERVED = 1.5;
    /** Calls admitted beyond that, so that an occasional call shows whether congestion has cleared. */
    private static final double BEGUN_FREE = 1;
    /** The minimum size of a copy's subset of servers: enough that most remain when several fail together. */
    private static final int SUBSET = 10;
    /**
     * The minimum size of the subset where calls can probe servers: an idle server is found sooner among more
     * servers, and each is still used again before its idle connections expire.
     */
    private static final int PROBED_SUBSET = 48;
    /** The minimum number of copies whose subsets contain a given server: with fewer, loads are uneven. */
    private static final int COVER = 4;
    /** The maximum delay until a server gets a call after maintenance: half of the 5 s allowed for that. */
    private static final long RETURN_US = 2_500_000;
    /** The weight of the latest value in a running mean. */
    private static final double MEAN_WEIGHT = 0.1;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, Backend> byId = new HashMap<>();
    /** All servers, in the order of the ring ({@link Backend#RING}). */
    private final List<Backend> servers = new ArrayList<>();
    private final AssignmentOrder order = new AssignmentOrder();
    /** The servers that this copy uses, see {@link #chooseSubset}; others serve while none of these can. */
    private final List<Backend> subset = new ArrayList<>();
    /** The cold servers of the subset. */
    private final List<Backend> cold = new ArrayList<>();
    /** Servers that were idle by their answer to a probe, while that answer is valid. */
    private final List<Backend> foundIdle = new ArrayList<>();
    /** The number of servers examined so far in all choices of a server for a call or a probe. */
    private long serversExamined;
    /** Whether servers were added, removed or changed their weight since the subset was chosen. */
    private boolean reshaped = true;
    /** When the next unavailable server can be used again; computed at most once per event. */
    private long nextReturnAtUs;
    private boolean nextReturnKnown;
    /** Servers in maintenance, with their entry in the list; null for a server that is not listed as up. */
    private final Map<String, Server> out = new HashMap<>();
    /** When the maintenance of a server ended. */
    private final Map<String, Long> returns = new HashMap<>();
    private final Map<String, Call> calls = new HashMap<>();
    /** Calls that wait for a server or for probes, oldest first. */
    private final List<Call> waiting = new ArrayList<>();
    /** Attempts in the order in which they were started, to find those that stall. */
    private final ArrayDeque<Attempt> sent = new ArrayDeque<>();
    /** The number of servers in the subset, where a server at its end counts in part. */
    private double turns;
    private double meanSize = 1;
    private double meanCrowd;
    /** Calls sent and not yet counted in the recent calls, oldest first. */
    private final ArrayDeque<Call> pending = new ArrayDeque<>();
    private final RecentCallCounts tally;
    private boolean jam;
    /** The share of errors among the latest answers of all servers. */
    private double errors;
    private double retries = RETRY_SAVED;
    private long wakeAtUs = Long.MAX_VALUE;
    private boolean begun;
    private boolean watching;
    private long askAtUs = Long.MAX_VALUE;
    private int askFailures;
    /** The probes that the price allows for each call, and the probes saved up. */
    private final double probesEarned;
    private double probes;
    private double probeUs;
    /** The mean load reported to probes: the load assumed for a server without a valid report. */
    private double reportedLoad;
    /** The mean duration of calls per call in flight at the server, over all servers. */
    private double callUs;
    /** The quantile {@link #QUICK} of the durations of calls per call in flight at the server. */
    private double quickUs;
    /** The number of calls whose duration was measured. */
    private long timed;
    private double tookUs;
    private double ahead;
    private double workUs;
    /** The mean durations of the calls of each class, and of all classes. */
    private final double[] kindUs;
    private double anyUs;
    /** The time that a client allowed for the latest request that was a first try. */
    private double firstTryUs;
    /** For each tenant, until when its requests so far have used up its quota at the quota's rate. */
    private final double[] sharesAtUs;
    /** Budgets by server, also for unlisted ones; budgets by class; the preferred servers by class. */
    private final Map<String, BudgetShare> serverBudgets = new HashMap<>();
    private final BudgetShare[] classBudgets;
    private final List<Collection<String>> affinities = new ArrayList<>();
    private double gapUs;
    private long lastSendUs = Long.MIN_VALUE;
    /** The mean interval at which a warm server serves calls of this copy, and when the last was served. */
    private double servedUs;
    private long servedAtUs = Long.MIN_VALUE;

    /**
     * Creates an instance without any servers.
     *
     * @throws IllegalArgumentException with the name of the first setting that is missing or invalid
     */
    public Logic(Settings settings, long seed, Actions actions) {
        SettingsCheck.check(settings);
        this.settings = settings;
        this.actions = Objects.requireNonNull(actions, "actions");
        this.random = new SplittableRandom(seed);
        this.kindUs = new double[settings.classes().size()];
        this.classBudgets = new BudgetShare[settings.classes().size()];
        settings.classes().forEach(c -> affinities.add(List.of()));
        this.sharesAtUs = new double[settings.tenants().size()];
        Arrays.fill(sharesAtUs, Long.MIN_VALUE);
        this.tally = new RecentCallCounts(
                settings.classes().stream().mapToLong(RequestClass::aimUs).max().orElseThrow());
        double price = settings.probePrice() * settings.tiers();
        double affordable = price > 0 ? PROBE_SPEND / price : PROBES_AT_ONCE * PROBE_ROUNDS;
        this.probesEarned = settings.limits().canProbe() && affordable >= PROBES_AT_ONCE
                ? Math.min(affordable, PROBES_AT_ONCE * PROBE_ROUNDS) : 0;
        this.probes = probesEarned * PROBE_ROUNDS;
        this.probeUs = settings.tickUs();
    }

    // ---- the list of servers

    @Override
    public void serversChanged(long nowUs, ListKind kind, List<Server> list) {
        if (kind != ListKind.CHANGES) {
            reshaped |= !servers.isEmpty();
            servers.forEach(s -> s.up = false);
            out.replaceAll((id, line) -> null);
        }
        list.forEach(line -> learn(nowUs, line));
        settle(nowUs);
        if (!begun) {
            begun = true;
            askAtUs = settings.watchesDiscovery() ? nowUs : Long.MAX_VALUE;
        } else if (settings.watchesDiscovery()) {
            watching = true;
            askFailures = 0;
            askAtUs = Long.MAX_VALUE;
        }
        advance(nowUs);
    }

    /** Removes the servers that are not up any more, and chooses the subset again if it is outdated. */
    private void settle(long nowUs) {
        if (!reshaped) {
            return;
        }
        reshaped = false;
        servers.removeIf(s -> !s.up && forget(s));
        chooseSubset();
        cold.clear();
        subset.stream().filter(s -> share(s, nowUs) < 1).forEach(cold::add);
        meanSize = servers.stream().mapToDouble(s -> s.size).average().orElse(1);
    }

    private boolean forget(Backend s) {
        order.remove(s);
        foundIdle.remove(s);
        return byId.remove(s.id, s);
    }

    /** Adds a server at its place on the ring. */
    private void enter(Backend s) {
        byId.put(s.id, s);
        servers.add(-1 - Collections.binarySearch(servers, s, Backend.RING), s);
        order.place(s, Long.MIN_VALUE + random.nextLong(1L << 32));
        reshaped = true;
    }

    private void leave(Backend s) {
        s.up = false;
        reshaped = true;
    }

    @Override
    public void maintenanceChanged(long nowUs, String id, boolean inMaintenance) {
        if (inMaintenance == out.containsKey(id)) {
            return;
        }
        Backend s = byId.get(id);
        if (inMaintenance) {
            out.put(id, s == null ? null
                    : new Server(id, s.startedAtUs, s.zone, s.group, s.size, ServerStatus.UP));
            if (s != null) {
                leave(s);
            }
        } else {
            Server line = out.remove(id);
            returns.values().removeIf(at -> nowUs - at > settings.rules().coldUs());
            returns.put(id, nowUs);
            if (line != null) {
                learn(nowUs, line);
                byId.get(id).entryByUs = nowUs + random.nextLong(RETURN_US);
            }
        }
        settle(nowUs);
        actions.log("server " + id + (inMaintenance ? " is in maintenance" : " has left maintenance")
                + " by the operator's command");
        advance(nowUs);
    }

    private void learn(long nowUs, Server line) {
        if (out.containsKey(line.id())) {
            out.put(line.id(), line.status() == ServerStatus.UP ? line : null);
            return;
        }
        Backend s = byId.get(line.id());
        // The list may show the restart made during the maintenance only after the maintenance has ended.
        boolean restarted = s != null && line.startedAtUs() != s.startedAtUs
                && (s.returnedAtUs == 0 || line.startedAtUs() > s.returnedAtUs);
        if (line.status() != ServerStatus.UP) {
            if (s != null) {
                leave(s);
            }
            return;
        }
        boolean fresh = s == null || restarted;
        if (fresh) {
            if (s != null) {
                servers.remove(s);
                forget(s);
            }
            s = new Backend(line.id());
            s.returnedAtUs = returns.getOrDefault(line.id(), 0L);
            s.budget = serverBudgets.get(line.id());
            enter(s);
        }
        reshaped |= s.size != line.weight();
        s.startedAtUs = line.startedAtUs();
        s.zone = line.zone();
        s.group = line.group();
        s.size = line.weight();
        if (fresh && (begun || share(s, nowUs) < 1)) {
            s.entryFromUs = nowUs;
            s.entryTurns = random.nextDouble();
        }
        s.up = true;
    }

    /**
     * Chooses the subset of servers that this copy uses. In a large fleet a copy with few calls would
     * otherwise measure too few calls at each server, and keep a connection to every one. All copies order
     * the servers on the same ring by a hash. Each copy takes an arc that starts at its own point of the
     * ring; a server across the end of the arc counts in part. So servers of equal weight serve equally many
     * copies, and a server added or removed shifts an arc by one place. A small fleet, or one with few
     * copies, is used whole; the limit is higher where calls can probe servers.
     */
    private void chooseSubset() {
        subset.clear();
        turns = servers.size();
        int wanted = Math.max(probesEarned > 0 ? PROBED_SUBSET : SUBSET,
                COVER * servers.size() / settings.copies());
        if (wanted >= servers.size()) {
            subset.addAll(servers);
            servers.forEach(s -> {
                s.part = 1;
                order.member(s, true);
            });
            return;
        }
        double whole = servers.stream().mapToDouble(s -> s.size).sum();
        double arcs = Math.rint((double) settings.copies() * wanted / servers.size());
        double arc = arcs / settings.copies() * whole;
        double at = -whole * settings.copy() / settings.copies();
        turns = 0;
        for (Backend s : servers) {
            double within = overlap(at, s.size, arc) + overlap(at + whole, s.size, arc);
            s.part = within > 0 ? within / s.size : 1;
            order.member(s, within > 0);
            if (within > 0) {
                subset.add(s);
                turns += s.part;
            }
            at += s.size;
        }
    }

    /** Returns how much of the interval of {@code length} from {@code at} lies between 0 and {@code end}. */
    private static double overlap(double at, double length, double end) {
        return Math.max(0, Math.min(at + length, end) - Math.max(at, 0));
    }

    /** Returns the share of its full capacity that a server has by now (slow start). */
    private double share(Backend s, long nowUs) {
        Rules rules = settings.rules();
        long fromUs = Math.max(s.startedAtUs, s.returnedAtUs);
        long age = nowUs - fromUs;
        return fromUs <= 0 || age >= rules.coldUs() ? 1
                : rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, age) / rules.coldUs();
    }

    /**
     * Returns the minimum interval between two calls of this copy to a server. If every copy keeps it, a cold
     * server gets no more than a safe part of the load under which it would fail, on the assumption that a
     * warm server's capacity is at least what it serves now. Calls served are the measure rather than calls
     * sent, as a rejected call is sent again to further servers.
     */
    private double turnUs(Backend s, long nowUs) {
        double share = share(s, nowUs);
        double safeUs = share == 1 ? 0 : (servedUs > 0 ? servedUs : paceUs())
                / (share * settings.rules().tipMultiple() * COLD_MARGIN);
        return Math.max(paceUs(), safeUs) / s.part;
    }

    /** Updates the mean interval at which a warm server serves calls; a cold server counts in part. */
    private void countServed(long nowUs) {
        cold.removeIf(s -> share(s, nowUs) == 1);
        double warm = turns - cold.stream().mapToDouble(s -> s.part * (1 - share(s, nowUs))).sum();
        double each = (nowUs - servedAtUs) * warm;
        servedUs += servedAtUs == Long.MIN_VALUE ? 0 : (each - servedUs) * (servedUs == 0 ? 1 : MEAN_WEIGHT);
        servedAtUs = nowUs;
    }

    /** Returns the time in which this copy sends one call to each server of the subset. */
    private double paceUs() {
        return (gapUs > 0 ? gapUs : settings.classes().get(0).aimUs()) * Math.max(1, turns);
    }

    /**
     * Returns how many times longer than the mean the server's calls take. It moves the server's place in the
     * assignment order, which is what decides among idle servers.
     */
    private double slowness(Backend s) {
        double seen = s.ahead == 0 || callUs == 0 ? 1
                : Math.min(MOST_SLOWNESS, Math.max(1 / MOST_SLOWNESS, s.callUs() / callUs));
        // A copy with few calls measures a server's speed too late, and durations include waiting in other
        // tiers. So the registered weight goes first; a measured duration counts only above the mean.
        double slow = s.size == meanSize ? seen
                : seen > 1 ? Math.max(seen, meanSize / s.size) : meanSize / s.size;
        return slow * (s.reports ? Math.min(MOST_CROWD, Math.max(1 / MOST_CROWD, s.crowd / meanCrowd)) : 1);
    }

    /**
     * Records the load report of an answer. It is outdated when the server is next in the assignment order,
     * so it changes only the server's place there.
     */
    private void loadTold(Backend s, LoadReport report) {
        if (report != null && report.inFlight() >= 0) {
            s.reports = true;
            s.crowd = 1 + report.inFlight();
            meanCrowd += (s.crowd - meanCrowd) * (meanCrowd == 0 ? 1 : MEAN_WEIGHT);
        }
    }

    @Override
    public void discoveryFailed(long nowUs) {
        watching = false;
        long pause = ASK_AGAIN_US << Math.min(askFailures++, 6);
        long maxIntervalUs = settings.rules().maxDiscoveryIntervalUs();
        long most = maxIntervalUs > 0 ? maxIntervalUs / 4 : pause;
        askAtUs = nowUs + NEW_WATCH_US + (long) (Math.min(pause, most) * random.nextDouble());
        advance(nowUs);
    }

    // ---- state shared by the fleet

    /**
     * Ejects a server that another copy ejected, but only demotes it where it answered this copy recently.
     * Another copy cannot withdraw this copy's demotion of a server that failed here.
     */
    @Override
    public void peerVerdict(long nowUs, String id, Verdict verdict, long untilUs) {
        Backend s = byId.get(id);
        if (s == null) {
            return;
        }
        boolean well = s.failures == 0 && s.silences == 0;
        if (untilUs <= nowUs) {
            s.demotedUntilUs = well && verdict == Verdict.DEMOTED ? Long.MIN_VALUE : s.demotedUntilUs;
        } else if (verdict == Verdict.RESTS && !(well && s.callSeenUs > nowUs - FAIL_TIMEOUT_US)
                && mostStay(nowUs)) {
            s.restUntilUs = Math.max(s.restUntilUs, untilUs);
        } else {
            s.demotedUntilUs = Math.max(s.demotedUntilUs, Math.min(untilUs, nowUs + FAIL_TIMEOUT_US));
        }
        advance(nowUs);
    }

    @Override
    public void serverBudgetChanged(long nowUs, String id, long left, long untilUs) {
        BudgetShare budget = untilUs == 0 ? null : new BudgetShare(left, untilUs);
        serverBudgets.compute(id, (key, before) -> budget);
        if (byId.containsKey(id)) {
            byId.get(id).budget = budget;
            advance(nowUs);
        }
    }

    @Override
    public void classBudgetChanged(long nowUs, int requestClass, long left, long untilUs) {
        classBudgets[requestClass] = new BudgetShare(left, untilUs);
    }

    @Override
    public void affinityChanged(long nowUs, int requestClass, Collection<String> ids) {
        affinities.set(requestClass, List.copyOf(ids));
    }

    /** Takes a request from this copy's share of its class's budget; returns true if that is used up. */
    private boolean beyondBudget(long nowUs, int requestClass) {
        BudgetShare budget = classBudgets[requestClass];
        boolean taken = budget == null || budget.take(nowUs);
        if (budget != null) {
            actions.reportClassBudgetUse(requestClass, taken);
        }
        return !taken;
    }

    // ---- requests and their attempts

    @Override
    public void request(long nowUs, Request request) {
        RequestClass kind = settings.classes().get(request.requestClass());
        double size = 1;
        if (request.workUs() > 0) {
            workUs += (request.workUs() - workUs) * (workUs == 0 ? 1 : MEAN_WEIGHT / 2);
            size = request.workUs() / workUs;
        } else if (kindUs[request.requestClass()] > 0) {
            size = kindUs[request.requestClass()] / anyUs;
        }
        size = size > 1 ? 1 + (size - 1) * HOPE : size;
        long usefulUs = kind.lateWorth() > 0 ? kind.deadlineUs() : kind.aimUs();
        if (!request.isClientRetry()) {
            firstTryUs = request.timeLeftUs();
        } else if (Math.abs(request.timeLeftUs() - firstTryUs) > settings.tickUs() * 10) {
            // The aim counts from the first try, and a client's last try has all of its remaining time.
            usefulUs -= kind.deadlineUs() - request.timeLeftUs();
        }
        Call call = new Call(request, kind, nowUs, nowUs + Math.min(request.timeLeftUs(), usefulUs), size);
        if (overloaded(nowUs) || beyondBudget(nowUs, request.requestClass())) {
            giveUp(nowUs, call);
            return;
        }
        call.beyondShare = beyondShare(nowUs, request.tenant());
        nextReturnKnown = false;
        calls.put(request.id(), call);
        retries = Math.min(RETRY_SAVED, retries + RETRY_EARNED);
        probes = Math.min(probes + probesEarned, probesEarned * PROBE_ROUNDS);
        dispatch(nowUs, call);
    }

    /**
     * Decides whether to refuse a request because too few of the recent calls were served in time. Under
     * congestion servers work for clients that have gone, and each further call prolongs the congestion. So
     * only about as many calls are admitted as are served; each copy that detects congestion limits its own
     * calls.
     */
    private boolean overloaded(long nowUs) {
        while (!pending.isEmpty() && (pending.peek().ended || pending.peek().endAtUs <= nowUs)) {
            tally.count(nowUs, pending.poll(), false);
        }
        tally.age(nowUs);
        double excess = tally.tried() - BEGUN_PER_SERVED * tally.served() - BEGUN_FREE;
        boolean refused = excess > 0 && random.nextDouble() * tally.tried() < excess;
        tally.countRefused(refused);
        if (jam ? excess <= 0 : excess > tally.tried() / 2) {
            jam = !jam;
            actions.log(jam ? "congestion: too few calls are served in time, calls are refused"
                    : "congestion has cleared");
        }
        return refused;
    }

    /**
     * Returns whether a request exceeds this copy's part of its tenant's quota, and counts it if it does not.
     * Such a request is worth little, so it is given up while no server is idle. Without probes it is always
     * given up, as to a copy with few calls servers look idle until they are overloaded. Below the first tier
     * no request is given up for its quota, as work was already done for it.
     */
    private boolean beyondShare(long nowUs, int tenant) {
        if (settings.tier() > 0 || settings.overQuotaWorth() >= 1 || tenant >= sharesAtUs.length) {
            return false;
        }
        double quota = settings.tenants().get(tenant).quotaPerSecond() / settings.copies();
        if (quota > 0 && sharesAtUs[tenant] > nowUs + SHARE_SAVED * 1e6 / quota) {
            return true;
        }
        sharesAtUs[tenant] = Math.max(sharesAtUs[tenant], nowUs) + (quota > 0 ? 1e6 / quota : 0);
        return false;
    }

    /** Sends a call to the best server, queues it if none can be used now, or gives it up. */
    private void dispatch(long nowUs, Call call) {
        // While the call was queued, the dedup window of its idempotency key may have passed.
        long leftUs = call.leftUs(nowUs);
        if (leastUs(call) > leftUs || leftUs <= 0
                || !call.attempts.isEmpty() && !mayRepeat(nowUs, call)) {
            if (!call.held) {
                // Without this, one slow period could have all later calls given up, with none measured.
                quickUs *= 1 - QUICK_STEP * QUICK;
            }
            giveUp(nowUs, call);
            return;
        }
        Backend s = probesEarned > 0 ? pick(nowUs, call, true) : null;
        if (s == null && asks(nowUs, call)) {
            waiting.add(call);
            wake(Math.min(call.probeUntilUs, call.endAtUs));
            return;
        }
        s = s == null ? pick(nowUs, call, false) : s;
        if (call.beyondShare && (probesEarned == 0 || s == null || load(nowUs, s) > 0)) {
            giveUp(nowUs, call);
        } else if (s == null) {
            call.held = !call.uploading;
            call.probeRounds = 0;
            waiting.add(call);
            wake(Math.min(nextReturn(nowUs), nowUs + leftUs - (long) leastUs(call)));
        } else {
            send(nowUs, call, s);
        }
    }

    /**
     * Sends probes for a call, and returns whether the call waits for their answers. With few calls of its
     * own in flight a copy sees every server as idle, also one that is busy with other copies' calls, stalled
     * or slow. So the least recently assigned servers are probed, and the first that reports to be idle gets
     * the call. Calls wait only where probes are cheap and fast. While they are slow, one is sent along with
     * each call, as nothing else would show that they are fast again.
     */
    private boolean asks(long nowUs, Call call) {
        boolean quick = probeUs <= call.kind.aimUs() * PROBE_SHARE_OF_AIM;
        if (probesEarned == 0 || nowUs < call.probeUntilUs) {
            return probesEarned > 0 && quick;
        }
        int sent = 0;
        int atOnce = reportedLoad < LIGHT_LOAD || !quick ? 1 : PROBES_AT_ONCE;
        while (call.probeRounds < PROBE_ROUNDS && sent < atOnce && probes >= 1) {
            Backend s = best(nowUs, order.subset(), b -> b.probedAtUs == Long.MIN_VALUE
                    && b.reportUntilUs <= nowUs && open(nowUs, call, b));
            if (s == null) {
                break;
            }
            s.probedAtUs = nowUs;
            probes--;
            sent++;
            actions.probe(s.id);
        }
        call.probeRounds++;
        call.probeUntilUs = nowUs + (long) (OVERDUE * probeUs) + settings.tickUs();
        return quick && sent > 0;
    }

    private void send(long nowUs, Call call, Backend s) {
        if (lastSendUs != Long.MIN_VALUE) {
            long gap = nowUs - lastSendUs;
            gapUs += (gap - gapUs) * (gapUs == 0 ? 1 : MEAN_WEIGHT);
        }
        lastSendUs = nowUs;
        Attempt attempt = new Attempt(call, s, nowUs, load(nowUs, s) + call.size,
                probesEarned == 0 || s.reportUntilUs > nowUs);
        if (call.attempts.isEmpty() && !call.uploading) {
            pending.add(call);
        }
        call.attempts.add(attempt);
        if (!call.uploading) {
            begin(nowUs, attempt);
        }
        call.out++;
        if (s.budget != null) {
            actions.reportServerBudgetUse(s.id, s.budget.take(nowUs));
        }
        double late = Math.min(paceUs() * (slowness(s) / s.part - 1), MOST_LATE_US);
        late += settings.crossZonePrice() > 0 && s.zone != settings.zone() ? paceUs() * FAR_ROUNDS : 0;
        order.place(s, nowUs + (long) late);
        s.entryFromUs = nowUs;
        s.entryByUs = Long.MAX_VALUE;
        s.entryTurns = turnUs(s, nowUs) > paceUs() / s.part ? 0.5 + random.nextDouble() : 0;
        actions.send(call.request.id(), s.id, call.deadlineUs - nowUs);
    }

    /** Marks that the server works on an attempt from now on, and sets when the attempt counts as stalled. */
    private void begin(long nowUs, Attempt attempt) {
        attempt.work();
        if (callUs > 0) {
            attempt.overdueAtUs = nowUs + (long) (CALL_OVERDUE * callUs * attempt.ahead);
            sent.add(attempt);
            wake(sent.peek().overdueAtUs);
        }
    }

    @Override
    public void uploadCompleted(long nowUs, String id) {
        Call call = calls.get(id);
        if (call == null || !call.uploading) {
            return;
        }
        call.uploaded(nowUs);
        if (!call.attempts.isEmpty() && !call.ended) {
            pending.add(call);
        }
        call.attempts.stream().filter(a -> a.out && !a.answering).forEach(a -> begin(nowUs, a));
        advance(nowUs);
    }

    @Override
    public void bodyDiscarded(long nowUs, String id) {
        Call call = calls.get(id);
        if (call != null) {
            call.spent = true;
        }
    }

    /**
     * Returns the best server that the call may use, or null. With {@code found} only the preferred servers
     * of its class and those that a probe found idle are considered.
     */
    private Backend pick(long nowUs, Call call, boolean found) {
        Collection<String> first = affinities.get(call.request.requestClass());
        Backend best = first.isEmpty() ? null : best(nowUs, order.all(), s -> first.contains(s.id)
                && load(nowUs, s) == 0 && !demoted(nowUs, s) && usable(nowUs, call, s));
        if (best == null && found) {
            return bestFoundIdle(nowUs, call);
        }
        if (best == null) {
            best = best(nowUs, order.subset(), s -> usable(nowUs, call, s));
        }
        if (best == null && subset.size() < servers.size()) {
            // A cold server outside the subset is not used: calls of all copies together would overload it.
            best = best(nowUs, order.all(), s -> share(s, nowUs) == 1 && usable(nowUs, call, s));
        }
        return best;
    }

    /** Returns the best server that a probe found idle and that got no call since, or null. */
    private Backend bestFoundIdle(long nowUs, Call call) {
        foundIdle.removeIf(s -> s.reportUntilUs <= nowUs || s.reported > 0);
        Backend best = null;
        for (Backend s : foundIdle) {
            boolean idle = s.inSubset && load(nowUs, s) == 0 && !demoted(nowUs, s);
            if (idle && usable(nowUs, call, s) && (best == null || better(nowUs, s, best))) {
                best = s;
            }
        }
        return best;
    }

    /** Returns the best allowed server, or null. The servers must come in assignment order. */
    private Backend best(long nowUs, Iterable<Backend> inOrder, Predicate<Backend> allowed) {
        Backend best = null;
        for (Backend s : inOrder) {
            serversExamined++;
            if (!allowed.test(s)) {
                continue;
            }
            if (unbeatable(nowUs, s)) {
                return best == null || better(nowUs, s, best) ? s : best;
            }
            best = best == null || better(nowUs, s, best) ? s : best;
        }
        return best;
    }

    /** Returns the number of servers examined so far: the cost of a choice must not grow with the fleet. */
    long serversExamined() {
        return serversExamined;
    }

    /** Returns whether no server later in the assignment order can be better. */
    private boolean unbeatable(long nowUs, Backend s) {
        return load(nowUs, s) == 0 && s.unanswered + s.silences == 0 && !demoted(nowUs, s);
    }

    private boolean usable(long nowUs, Call call, Backend s) {
        // An idle server is never ruled out as too slow: without calls, its recovery would not be seen.
        return open(nowUs, call, s)
                && (assumedLoad(nowUs, s) == 0
                        || expectedUs(nowUs, call, s) <= call.leftUs(nowUs) * CROWD);
    }

    private boolean open(long nowUs, Call call, Backend s) {
        return opensAtUs(nowUs, s) <= nowUs && mayUse(call, s) && affordable(nowUs, s);
    }

    private boolean affordable(long nowUs, Backend s) {
        boolean any = s.budget == null || s.budget.any(nowUs);
        if (!any) {
            actions.reportServerBudgetUse(s.id, false);
        }
        return any;
    }

    /**
     * Returns when a server may be used: after its ejection, and after the delay for cold and new servers.
     * For a cold server that delay follows from its capacity half-way between its last call and now.
     */
    private long opensAtUs(long nowUs, Backend s) {
        long atUs = share(s, nowUs) < 1 ? s.entryFromUs + (nowUs - s.entryFromUs) / 2 : nowUs;
        long entryAtUs = s.entryTurns == 0 ? nowUs : s.entryFromUs + (long) (s.entryTurns * turnUs(s, atUs));
        return Math.max(s.restUntilUs, Math.min(s.entryByUs, entryAtUs));
    }

    /** Returns the expected duration of a call at a server; too slow or busy a server is not used for it. */
    private double expectedUs(long nowUs, Call call, Backend s) {
        boolean known = s.callSeenUs != Long.MIN_VALUE && nowUs - s.callSeenUs < FAIL_TIMEOUT_US;
        double usual = callUs / share(s, nowUs);
        double each = known ? s.callUs() : s.ahead > 0 ? Math.min(s.callUs(), usual) : usual;
        return each * (assumedLoad(nowUs, s) + call.size * HOPE);
    }

    private int assumedLoad(long nowUs, Backend s) {
        return s.reportUntilUs > nowUs ? load(nowUs, s) : Math.max(s.inFlight, (int) reportedLoad);
    }

    /** Returns the calls in flight: this copy's own, or all copies' where a valid load report tells more. */
    private static int load(long nowUs, Backend s) {
        return s.reportUntilUs > nowUs ? Math.max(s.inFlight, s.reported) : s.inFlight;
    }

    /** Returns the minimum expected duration of the call; 0 while too few calls were measured. */
    private double leastUs(Call call) {
        return timed < 1 / QUICK ? 0 : (call.held ? callUs * HELD_MARGIN : quickUs) * call.size;
    }

    /**
     * Returns whether {@code a} is chosen before {@code b}. Servers that are idle and not demoted go first;
     * then, demoted or not, those with the fewest calls in flight; among equals the least recently assigned.
     */
    private boolean better(long nowUs, Backend a, Backend b) {
        int loadA = load(nowUs, a);
        int loadB = load(nowUs, b);
        boolean idleA = loadA == 0 && !demoted(nowUs, a);
        boolean idleB = loadB == 0 && !demoted(nowUs, b);
        if (idleA != idleB) {
            return idleA;
        }
        // A server unreachable from this copy has none of its calls in flight. Counting its unanswered calls
        // and probes as load keeps it from getting all calls that the other servers have no room for.
        loadA += Math.min(SILENCES, a.unanswered + a.silences);
        loadB += Math.min(SILENCES, b.unanswered + b.silences);
        return loadA != loadB ? loadA < loadB : a.turnAtUs < b.turnAtUs;
    }

    /**
     * Returns whether a server is demoted. A server with an unanswered probe counts as demoted too: it was
     * probed as the least recently assigned, so that the call would otherwise go to a server that is stalled
     * or unreachable.
     */
    private boolean demoted(long nowUs, Backend s) {
        return s.demotedUntilUs > nowUs
                || s.probedAtUs != Long.MIN_VALUE && nowUs - s.probedAtUs > OVERDUE * probeUs;
    }

    /** Returns false for a server that the call was sent to before, or that would not drop its repeat. */
    private static boolean mayUse(Call call, Backend s) {
        for (Attempt a : call.attempts) {
            if (a.server == s) {
                return false;
            }
        }
        Attempt mayHaveRun = mayHaveRun(call);
        if (mayHaveRun == null || call.kind.effect() == Effect.SAFE) {
            return true;
        }
        Backend first = mayHaveRun.server;
        return switch (call.kind.group()) {
            case ALL -> true;
            case ZONE -> s.zone == first.zone;
            case CELL -> s.zone == first.zone && s.group == first.group;
        };
    }

    /** Returns the first attempt that may have run or may still be running, or null. */
    private static Attempt mayHaveRun(Call call) {
        for (Attempt a : call.attempts) {
            if (!a.provedNotRun) {
                return a;
            }
        }
        return null;
    }

    /** Returns whether a further attempt of the call is allowed. */
    private boolean mayRepeat(long nowUs, Call call) {
        if (call.spent || call.attempts.size() >= settings.limits().maxAttempts() || call.leftUs(nowUs) <= 0
                || call.out > 0 && !settings.limits().canHedge()) {
            return false;
        }
        Attempt mayHaveRun = mayHaveRun(call);
        return mayHaveRun == null || switch (call.kind.effect()) {
            case SAFE -> true;
            case KEYED -> nowUs - mayHaveRun.sentAtUs < call.kind.dedupWindowUs();
            case UNSAFE -> false;
        };
    }

    @Override
    public void outcome(long nowUs, String id, int number, String server, Outcome outcome, long elapsedUs,
            boolean ended, LoadReport report) {
        Call call = calls.get(id);
        if (call == null || number >= call.attempts.size() || !call.attempts.get(number).out) {
            return;
        }
        Attempt attempt = call.attempts.get(number);
        attempt.out = false;
        call.out--;
        loadTold(attempt.server, report);
        if (attempt.answering) {
            if (outcome == Outcome.RESET) {
                judge(nowUs, attempt.server, outcome);
            }
        } else {
            attempt.done();
            judge(nowUs, attempt.server, outcome);
            learn(nowUs, attempt, outcome, elapsedUs);
        }
        attempt.provedNotRun = outcome.provesNotRun;
        if (outcome == Outcome.TIMEOUT && !attempt.overdue) {
            silent(nowUs, attempt.server);
        }
        if (ended) {
            call.ended = true;
            cancelRest(call);
        }
        if (!call.ended && call.out == 0) {
            again(nowUs, call, outcome);
        }
        forget(call);
        advance(nowUs);
    }

    /** Updates the measured durations and loads with the outcome of an attempt, and counts a served call. */
    private void learn(long nowUs, Attempt attempt, Outcome outcome, long elapsedUs) {
        Call call = attempt.call;
        if ((outcome == Outcome.OK || outcome == Outcome.TIMEOUT) && (attempt.known || callUs == 0)) {
            int kind = call.request.requestClass();
            kindUs[kind] += (elapsedUs - kindUs[kind]) * (kindUs[kind] == 0 ? 1 : MEAN_WEIGHT / 2);
            anyUs += (elapsedUs - anyUs) * (anyUs == 0 ? 1 : MEAN_WEIGHT / 2);
            tookUs += elapsedUs - tookUs * MEAN_WEIGHT / 2;
            ahead += attempt.ahead - ahead * MEAN_WEIGHT / 2;
            double each = elapsedUs / attempt.ahead;
            if (++timed <= 1 / QUICK) {
                // With so few calls the fastest stands for the quantile.
                quickUs = timed == 1 ? each : Math.min(quickUs, each);
            } else {
                quickUs *= 1 + QUICK_STEP * (each < quickUs ? QUICK - 1 : QUICK);
            }
            // The mean is capped, so that a few servers that take seconds do not dominate it.
            callUs = Math.min(tookUs / ahead, USUAL * quickUs);
            Backend s = attempt.server;
            s.tookUs += elapsedUs - s.tookUs * MEAN_WEIGHT;
            s.ahead += attempt.ahead - s.ahead * MEAN_WEIGHT;
            s.callSeenUs = nowUs;
        } else if (outcome == Outcome.FULL) {
            attempt.server.reported = FULL_LOAD;
            attempt.server.reportUntilUs = nowUs + (long) (callUs * BUSY_HOLDS);
        }
        if (outcome == Outcome.OK) {
            countServed(nowUs);
            if (nowUs <= call.endAtUs) {
                tally.count(nowUs, call, true);
            }
        }
    }

    /**
     * Ejects a server with a far higher share of errors than the others: it answers at once, so that it
     * always looks idle and gets more and more calls. Errors that all servers return alike come from a tier
     * below, and no server is ejected for them.
     */
    private void judgeErrors(long nowUs, Backend s, boolean error) {
        s.errors += ERROR_WEIGHT * ((error ? 1 : 0) - s.errors);
        errors += ERROR_WEIGHT * ERROR_WEIGHT * ((error ? 1 : 0) - errors);
        if (!error) {
            s.errorRests = s.errors < ERRORS / 2 ? 0 : s.errorRests;
        } else if (s.errors > ERRORS && s.errors > 2 * errors && mostStay(nowUs)) {
            rest(nowUs, s, s.errorRests++, "has a higher share of errors than the others");
            s.errors = ERRORS;
        }
    }

    /**
     * Updates a server's share of errors and its connection failures with the outcome of an attempt. Only
     * connections that fail or break are failures.
     */
    private void judge(long nowUs, Backend s, Outcome outcome) {
        if (outcome == Outcome.OK || outcome == Outcome.ERROR) {
            judgeErrors(nowUs, s, outcome == Outcome.ERROR);
        }
        if (outcome == Outcome.OK) {
            s.failures = 0;
            s.silences = 0;
            if (s.demotedUntilUs > nowUs) {
                actions.reportVerdict(s.id, Verdict.DEMOTED, nowUs);
            }
            s.demotedUntilUs = Long.MIN_VALUE;
        } else if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET) {
            s.failures++;
            s.demotedUntilUs = nowUs + FAIL_TIMEOUT_US;
            actions.reportVerdict(s.id, Verdict.DEMOTED, s.demotedUntilUs);
            if (s.failures >= MAX_FAILS) {
                rest(nowUs, s, s.failures - MAX_FAILS, "fails or breaks connections");
            }
        }
    }

    private void rest(long nowUs, Backend s, int before, String why) {
        s.restUntilUs = nowUs + (FAIL_TIMEOUT_US << Math.min(before, MOST_DOUBLINGS));
        actions.reportVerdict(s.id, Verdict.RESTS, s.restUntilUs);
        if (before == 0) {
            actions.log("server " + s.id + " is ejected: it " + why);
        }
    }

    /** Retries a call whose attempt got no answer if allowed and a retry token is left, or gives up. */
    private void again(long nowUs, Call call, Outcome outcome) {
        double price = outcome.provesNotRun ? 0 : 1;
        if (mayRepeat(nowUs, call) && retries >= price) {
            retries -= price;
            dispatch(nowUs, call);
        } else {
            giveUp(nowUs, call);
        }
    }

    /** Refuses a call if its client may safely try again and has time or a delay for that; else fails it. */
    private void giveUp(long nowUs, Call call) {
        call.ended = true;
        boolean timeLeft = leastUs(call) < call.leftUs(nowUs);
        long retryAfterUs = settings.limits().maxRetryAfterUs();
        if (mayRefuse(call) && (timeLeft || retryAfterUs > 0)) {
            actions.refuse(call.request.id(), timeLeft ? 0 : retryAfterUs);
        } else {
            actions.fail(call.request.id());
        }
        forget(call);
    }

    private static boolean mayRefuse(Call call) {
        return mayHaveRun(call) == null || call.kind.effect() == Effect.SAFE
                || call.kind.effect() == Effect.KEYED && call.kind.group() == DedupGroup.ALL;
    }

    private void forget(Call call) {
        if (call.ended && call.out == 0) {
            calls.remove(call.request.id());
        }
    }

    @Override
    public void streamStarted(long nowUs, String id, int attempt, String server, long elapsedUs) {
        Call call = calls.get(id);
        if (call == null || attempt >= call.attempts.size() || !call.attempts.get(attempt).out) {
            return;
        }
        // The rest depends on the client's speed, so for the server and for the aim the call has ended.
        Attempt begun = call.attempts.get(attempt);
        begun.answering = true;
        begun.done();
        judge(nowUs, begun.server, Outcome.OK);
        learn(nowUs, begun, Outcome.OK, elapsedUs);
        call.ended = true;
        cancelRest(call);
        advance(nowUs);
    }

    @Override
    public void clientGone(long nowUs, String id) {
        Call call = calls.get(id);
        if (call != null && !call.ended) {
            call.clientLeft(nowUs);
            cancelRest(call);
            forget(call);
            advance(nowUs);
        }
    }

    private void cancelRest(Call call) {
        for (int i = 0; i < call.attempts.size() && settings.limits().canCancel(); i++) {
            if (call.attempts.get(i).out && !call.attempts.get(i).answering) {
                actions.cancel(call.request.id(), i);
            }
        }
    }

    // ---- servers that do not answer

    /**
     * Handles a stalled attempt: its server may hang, even while it accepts connections and answers probes. A
     * hedged attempt is sent to a second server where that is safe.
     */
    private void overdue(long nowUs, Attempt attempt) {
        attempt.overdue = true;
        silent(nowUs, attempt.server);
        Call call = attempt.call;
        if (call.ended || retries < 1 || !mayRepeat(nowUs, call)
                || nowUs + leastUs(call) > call.endAtUs) {
            return;
        }
        Backend s = pick(nowUs, call, false);
        if (s != null) {
            retries--;
            send(nowUs, call, s);
        }
    }

    private void silent(long nowUs, Backend s) {
        s.silences++;
        s.demotedUntilUs = nowUs + FAIL_TIMEOUT_US;
        if (s.silences >= SILENCES && mostStay(nowUs)) {
            rest(nowUs, s, s.silences - SILENCES, "does not answer its calls");
        }
    }

    /**
     * Returns whether half of the subset stays in use if one more server is ejected, so that false alarms
     * cannot eject all.
     */
    private boolean mostStay(long nowUs) {
        long inUse = subset.stream().filter(s -> opensAtUs(nowUs, s) <= nowUs).count();
        return (inUse - 1) * 2 >= subset.size();
    }

    @Override
    public void probeResult(long nowUs, String server, Outcome outcome, long elapsedUs, LoadReport report) {
        Backend s = byId.get(server);
        if (s == null) {
            return;
        }
        s.probedAtUs = Long.MIN_VALUE;
        if (outcome == Outcome.NOT_SENT) {
            // The probe was not sent, so its outcome says nothing about the server.
            advance(nowUs);
            return;
        }
        if (outcome == Outcome.OK && report != null) {
            s.unanswered = 0;
            probeUs += MEAN_WEIGHT * (elapsedUs - probeUs);
            s.reported = (int) Math.round(Math.max(report.inFlight(), report.queue()));
            reportedLoad += MEAN_WEIGHT * (s.reported - reportedLoad);
            if (s.reported > 0) {
                // Otherwise busy servers would be probed first each time, and hide how idle the others are.
                order.place(s, Math.max(s.turnAtUs, nowUs));
            } else if (!foundIdle.contains(s)) {
                foundIdle.add(s);
            }
            s.reportUntilUs = nowUs + (long) (s.reported > 0 ? s.reported * callUs * BUSY_HOLDS
                    : OVERDUE * probeUs);
            s.demotedUntilUs = s.failures == 0 ? Long.MIN_VALUE : s.demotedUntilUs;
        } else if (outcome == Outcome.CONNECT_FAILED) {
            judge(nowUs, s, outcome);
        } else {
            long quietUs = (long) (OVERDUE * callUs);
            s.demotedUntilUs = Math.max(s.demotedUntilUs, nowUs + quietUs);
            // Demotion is not enough: an unreachable server would get calls whenever all others are busy.
            if (++s.unanswered >= SILENCES && mostStay(nowUs)) {
                quietUs <<= Math.min(s.unanswered - SILENCES, MOST_DOUBLINGS);
                s.restUntilUs = Math.max(s.restUntilUs, nowUs + quietUs);
            }
            reportedLoad -= MEAN_WEIGHT * reportedLoad;
        }
        advance(nowUs);
    }

    // ---- time

    @Override
    public void timer(long nowUs) {
        wakeAtUs = wakeAtUs <= nowUs ? Long.MAX_VALUE : wakeAtUs;
        advance(nowUs);
    }

    private void wake(long atUs) {
        if (atUs < wakeAtUs) {
            wakeAtUs = atUs;
            actions.wakeAt(atUs);
        }
    }

    /** Returns when the next server that is ejected or delayed may be used; computed once per event. */
    private long nextReturn(long nowUs) {
        if (!nextReturnKnown) {
            nextReturnKnown = true;
            nextReturnAtUs = lookForNextReturn(nowUs);
        }
        return nextReturnAtUs;
    }

    private long lookForNextReturn(long nowUs) {
        long next = Long.MAX_VALUE;
        for (Backend s : subset) {
            long at = opensAtUs(nowUs, s);
            at = at <= nowUs ? s.reportUntilUs : at;
            next = at > nowUs ? Math.min(next, at) : next;
        }
        return Math.min(next, nowUs + (long) (callUs * BUSY_HOLDS) + settings.tickUs());
    }

    /** Does the work that is due: queries discovery, handles stalled attempts, sends or ends queued calls. */
    private void advance(long nowUs) {
        if (askAtUs <= nowUs && !watching) {
            askAtUs = Long.MAX_VALUE;
            actions.watchServers();
        }
        wake(askAtUs);
        while (!sent.isEmpty() && (!sent.peek().out || sent.peek().overdueAtUs <= nowUs)) {
            Attempt oldest = sent.poll();
            if (oldest.out && !oldest.answering) {
                overdue(nowUs, oldest);
            }
        }
        if (!sent.isEmpty()) {
            wake(sent.peek().overdueAtUs);
        }
        nextReturnKnown = false;
        List<Call> held = List.copyOf(waiting);
        waiting.clear();
        for (Call call : held) {
            if (!call.ended) {
                dispatch(nowUs, call);
            }
        }
    }
}
