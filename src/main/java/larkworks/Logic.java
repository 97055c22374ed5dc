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
 * the fewest, and among equals to the least recently assigned; see {@link #isBetter}. The other methods
 * handle failures and limits.
 */
public final class Logic implements Balancer {

    /** Consecutive connection failures after which a server is ejected: a single one may be chance. */
    private static final int EJECTION_CONNECTION_FAILURES = 2;
    /**
     * How long a server is demoted, or ejected for the first time. A restart takes some seconds, and the few
     * attempts a minute that a failing server still gets do no harm.
     */
    private static final long FAILURE_PENALTY_US = 3_000_000;
    /** Retry tokens added by each request, so that retries add at most a tenth to the load over time. */
    private static final double RETRY_TOKENS_PER_REQUEST = 0.1;
    /** Retry tokens that may be saved up for a burst of failures. */
    private static final double MAX_RETRY_TOKENS = 5;
    /**
     * The delay before a failed watch is repeated. The current list may be used for at least four times as
     * long, so that an immediate repeat is not needed.
     */
    private static final long WATCH_RETRY_DELAY_US = 1_000_000;
    /** The maximum random delay added to {@link #WATCH_RETRY_DELAY_US}; it doubles at each failure. */
    private static final long WATCH_RETRY_JITTER_US = 250_000;
    /**
     * The part of the worth of all requests that probes may cost over all tiers. No probe is sent where two
     * probes for each call would cost more.
     */
    private static final double MAX_PROBE_COST_SHARE = 0.02;
    /** Probes in one round before a call: one may be lost or slow, a third would rarely be of use. */
    private static final int PROBES_PER_ROUND = 2;
    /** Below this mean of calls in flight per server a round has one probe: that is mostly enough. */
    private static final double LIGHT_LOAD_CALLS = 0.25;
    /** Maximum rounds of probes for a call; then it is sent to the best server known. */
    private static final int MAX_PROBE_ROUNDS = 3;
    /** A call waits for its probes only while probes take no more than this part of the aim. */
    private static final double MAX_PROBE_SHARE_OF_AIM = 0.02;
    /** A probe counts as unanswered after this many times the mean duration of probes. */
    private static final double PROBE_TIMEOUT_MULTIPLE = 3;
    /**
     * The load report of a busy server is valid for this part of the mean duration of its calls in flight, as
     * most of their work is still to do.
     */
    private static final double BUSY_REPORT_VALIDITY = 0.25;
    /** The weight of a call's expected work beyond the mean: hints err, and a call also waits. */
    private static final double EXTRA_WORK_WEIGHT = 0.5;
    /**
     * A server may be chosen for a call if the call's expected duration there is at most this part of its
     * time left, as a call can take far longer than expected.
     */
    private static final double MAX_SHARE_OF_TIME_LEFT = 0.45;
    /** A server gets calls at most this many times less often, or more often, than the average server. */
    private static final double MAX_SLOWNESS = 20;
    /** A load report changes the time to a server's next call by at most this factor: reports are inexact. */
    private static final double MAX_LOAD_RATIO = 3;
    /** The load that all copies may send to a cold server, as a part of the load at which it would fail. */
    private static final double COLD_LOAD_MARGIN = 0.6;
    /** A call is given up if its time left is below this quantile of the durations of calls. */
    private static final double FAST_QUANTILE = 0.3;
    /** The mean duration of calls is capped at this multiple of the quantile {@link #FAST_QUANTILE}. */
    private static final double MAX_MEAN_TO_FAST_RATIO = 2;
    /** The time left that a queued call needs, in mean durations: at 1, half would be answered too late. */
    private static final double QUEUED_CALL_MARGIN = 1.4;
    /** The relative step by which an answer moves the estimate of the quantile {@link #FAST_QUANTILE}. */
    private static final double FAST_QUANTILE_STEP = 0.05;
    /** The ejection time doubles at each further failure, at most this many times. */
    private static final int MAX_EJECTION_DOUBLINGS = 4;
    /** An attempt counts as stalled after this many times its expected duration, as durations vary widely. */
    private static final double STALL_MULTIPLE = 5;
    /** Consecutive stalled attempts, or unanswered probes, after which a server is ejected. */
    private static final int EJECTION_UNANSWERED = 2;
    /**
     * How much later a server of another zone is assigned its next call where crossing zones has a price, in
     * rounds; a round is one call to each server of the subset.
     */
    private static final double CROSS_ZONE_DELAY_ROUNDS = 1;
    /** The weight of the latest answer in a server's share of errors. */
    private static final double ERROR_MEAN_WEIGHT = 0.2;
    /** The share of errors in its answers above which a server may be ejected. */
    private static final double EJECTION_ERROR_SHARE = 0.35;
    /** The longest delay of a slow server's next call, as the server may have recovered. */
    private static final double MAX_ASSIGNMENT_DELAY_US = 24_000_000;
    /**
     * Requests that a tenant may send in a burst above its rate, as the tenant's requests are spread over the
     * copies by chance.
     */
    private static final double TENANT_BURST_REQUESTS = 8;
    /** The number of calls in flight assumed at a server that rejected a call as full. */
    private static final int FULL_SERVER_LOAD_CALLS = 1000;
    /** Calls admitted for each call served in time; the part above 1 may be wasted work. */
    private static final double ADMITTED_PER_SERVED = 1.5;
    /** Calls admitted even if none is served in time, to find out whether congestion has cleared. */
    private static final double ADMITTED_EXTRA_CALLS = 1;
    /** The minimum size of a copy's subset of servers: most must remain when several fail together. */
    private static final int MIN_SUBSET_SERVERS = 10;
    /**
     * The minimum size of the subset where calls can probe servers: an idle server is found sooner among more
     * servers, and each server still gets calls often enough to keep its idle connections open.
     */
    private static final int MIN_PROBED_SUBSET_SERVERS = 48;
    /** The minimum number of copies whose subsets contain a given server: with fewer, loads are uneven. */
    private static final int MIN_COPIES_PER_SERVER = 4;
    /** The maximum delay until a server gets a call after maintenance: half of the 5 s allowed for that. */
    private static final long MAX_RETURN_DELAY_US = 2_500_000;
    /** The weight of the latest value in a running mean. */
    private static final double MEAN_WEIGHT = 0.1;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, Backend> serversById = new HashMap<>();
    /** All servers, in the order of the ring ({@link Backend#RING_ORDER}). */
    private final List<Backend> servers = new ArrayList<>();
    private final AssignmentOrder assignmentOrder = new AssignmentOrder();
    /** The servers that this copy uses, see {@link #chooseSubset}; others only while none of these can. */
    private final List<Backend> subset = new ArrayList<>();
    /** The cold servers of the subset. */
    private final List<Backend> coldSubset = new ArrayList<>();
    /** Servers that were idle by their answer to a probe; may hold some whose answer is outdated. */
    private final List<Backend> probedIdle = new ArrayList<>();
    /** The number of servers examined so far in all choices of a server for a call or a probe. */
    private long serversExamined;
    /** Whether servers were added, removed or changed their weight since the subset was chosen. */
    private boolean isSubsetOutdated = true;
    /** When the first of the unavailable servers becomes available; computed at most once per event. */
    private long nextServerAvailableUs;
    private boolean isNextServerAvailableKnown;
    /** Servers in maintenance, each with its entry in the list, or null if it is not listed as up. */
    private final Map<String, Server> serversInMaintenance = new HashMap<>();
    /** By server, when its maintenance ended. */
    private final Map<String, Long> maintenanceEndedAtUs = new HashMap<>();
    private final Map<String, Call> callsById = new HashMap<>();
    /** Calls that wait for a server or for probes, oldest first. */
    private final List<Call> queuedCalls = new ArrayList<>();
    /** Attempts in the order in which they were started, to find those that stall. */
    private final ArrayDeque<Attempt> startedAttempts = new ArrayDeque<>();
    /** The number of servers in the subset, where a server at its end counts in part. */
    private double subsetSize;
    private double meanWeight = 1;
    /** The mean of {@link Backend#answerLoad} over the latest answers. */
    private double meanAnswerLoad;
    /** Sent calls that {@link #recentCalls} may not have counted yet, oldest first. */
    private final ArrayDeque<Call> uncountedCalls = new ArrayDeque<>();
    private final RecentCallCounts recentCalls;
    private boolean isCongested;
    /** The share of errors among the latest answers of all servers. */
    private double errorShare;
    private double retryTokens = MAX_RETRY_TOKENS;
    private long wakeAtUs = Long.MAX_VALUE;
    private boolean hasServerList;
    private boolean isWatchPending;
    private long discoveryQueryAtUs = Long.MAX_VALUE;
    private int discoveryFailures;
    /** The number of probes for each call that the price of probes allows. */
    private final double probesPerCall;
    /** The number of probes that may be sent now. */
    private double probeTokens;
    private double meanProbeUs;
    /** The mean load reported to probes: the load assumed for a server without a valid report. */
    private double meanProbedLoad;
    /** The mean duration of calls per call in flight at the server, over all servers. */
    private double meanCallUs;
    /** The quantile {@link #FAST_QUANTILE} of the durations of calls per call in flight at the server. */
    private double fastCallUs;
    /** The number of calls whose duration was measured. */
    private long measuredCalls;
    /** Decaying sums of the durations of calls and of the loads they met, over all servers. */
    private double durationSumUs;
    private double loadSum;
    private double meanWorkUs;
    /** The mean durations of the calls of each class, and of all classes. */
    private final double[] meanDurationByClassUs;
    private double meanDurationUs;
    /** The time left of the latest request that was a client's first try, when the request arrived. */
    private double firstTryTimeLeftUs;
    /** By tenant, the time until which its quota is used up by the requests counted so far. */
    private final double[] quotaUsedUntilUs;
    /** By server, its budget; a server may get one before it is listed. */
    private final Map<String, BudgetShare> serverBudgets = new HashMap<>();
    private final BudgetShare[] classBudgets;
    /** By class, the servers that its requests prefer. */
    private final List<Collection<String>> preferredServers = new ArrayList<>();
    private double meanSendGapUs;
    private long lastSentAtUs = Long.MIN_VALUE;
    /** The mean interval at which a warm server serves this copy's calls, and when a call was last served. */
    private double meanServedGapUs;
    private long lastServedAtUs = Long.MIN_VALUE;

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
        this.meanDurationByClassUs = new double[settings.classes().size()];
        this.classBudgets = new BudgetShare[settings.classes().size()];
        settings.classes().forEach(c -> preferredServers.add(List.of()));
        this.quotaUsedUntilUs = new double[settings.tenants().size()];
        Arrays.fill(quotaUsedUntilUs, Long.MIN_VALUE);
        this.recentCalls = new RecentCallCounts(
                settings.classes().stream().mapToLong(RequestClass::aimUs).max().orElseThrow());
        double pricePerProbe = settings.probePrice() * settings.tiers();
        double affordableProbes = pricePerProbe > 0 ? MAX_PROBE_COST_SHARE / pricePerProbe
                : PROBES_PER_ROUND * MAX_PROBE_ROUNDS;
        this.probesPerCall = settings.limits().canProbe() && affordableProbes >= PROBES_PER_ROUND
                ? Math.min(affordableProbes, PROBES_PER_ROUND * MAX_PROBE_ROUNDS) : 0;
        this.probeTokens = probesPerCall * MAX_PROBE_ROUNDS;
        this.meanProbeUs = settings.tickUs();
    }

    // ---- the list of servers

    @Override
    public void serversChanged(long nowUs, ListKind kind, List<Server> list) {
        if (kind != ListKind.CHANGES) {
            isSubsetOutdated |= !servers.isEmpty();
            servers.forEach(server -> server.isUp = false);
            serversInMaintenance.replaceAll((id, entry) -> null);
        }
        list.forEach(entry -> updateServer(nowUs, entry));
        updateSubset(nowUs);
        if (!hasServerList) {
            hasServerList = true;
            discoveryQueryAtUs = settings.watchesDiscovery() ? nowUs : Long.MAX_VALUE;
        } else if (settings.watchesDiscovery()) {
            isWatchPending = true;
            discoveryFailures = 0;
            discoveryQueryAtUs = Long.MAX_VALUE;
        }
        runDueWork(nowUs);
    }

    /** Removes the servers that are not up any more and chooses the subset again, if it is outdated. */
    private void updateSubset(long nowUs) {
        if (!isSubsetOutdated) {
            return;
        }
        isSubsetOutdated = false;
        servers.removeIf(server -> !server.isUp && removeServer(server));
        chooseSubset();
        coldSubset.clear();
        subset.stream().filter(server -> capacityShare(server, nowUs) < 1).forEach(coldSubset::add);
        meanWeight = servers.stream().mapToDouble(server -> server.weight).average().orElse(1);
    }

    private boolean removeServer(Backend server) {
        assignmentOrder.remove(server);
        probedIdle.remove(server);
        return serversById.remove(server.id, server);
    }

    /** Adds a server at its place on the ring. */
    private void addServer(Backend server) {
        serversById.put(server.id, server);
        servers.add(-1 - Collections.binarySearch(servers, server, Backend.RING_ORDER), server);
        assignmentOrder.put(server, Long.MIN_VALUE + random.nextLong(1L << 32));
        isSubsetOutdated = true;
    }

    private void markRemoved(Backend server) {
        server.isUp = false;
        isSubsetOutdated = true;
    }

    @Override
    public void maintenanceChanged(long nowUs, String id, boolean inMaintenance) {
        if (inMaintenance == serversInMaintenance.containsKey(id)) {
            return;
        }
        Backend server = serversById.get(id);
        if (inMaintenance) {
            serversInMaintenance.put(id, server == null ? null
                    : new Server(id, server.startedAtUs, server.zone, server.group, server.weight,
                            ServerStatus.UP));
            if (server != null) {
                markRemoved(server);
            }
        } else {
            Server entry = serversInMaintenance.remove(id);
            maintenanceEndedAtUs.values().removeIf(at -> nowUs - at > settings.rules().coldUs());
            maintenanceEndedAtUs.put(id, nowUs);
            if (entry != null) {
                updateServer(nowUs, entry);
                serversById.get(id).firstUseByUs = nowUs + random.nextLong(MAX_RETURN_DELAY_US);
            }
        }
        updateSubset(nowUs);
        actions.log("server " + id + (inMaintenance ? " is in maintenance" : " has left maintenance")
                + " by the operator's command");
        runDueWork(nowUs);
    }

    private void updateServer(long nowUs, Server entry) {
        if (serversInMaintenance.containsKey(entry.id())) {
            serversInMaintenance.put(entry.id(), entry.status() == ServerStatus.UP ? entry : null);
            return;
        }
        Backend server = serversById.get(entry.id());
        // A restart during maintenance may be listed only after it; slow start already counts from its end.
        boolean hasRestarted = server != null && entry.startedAtUs() != server.startedAtUs
                && (server.maintenanceEndedAtUs == 0 || entry.startedAtUs() > server.maintenanceEndedAtUs);
        if (entry.status() != ServerStatus.UP) {
            if (server != null) {
                markRemoved(server);
            }
            return;
        }
        boolean isNew = server == null || hasRestarted;
        if (isNew) {
            if (server != null) {
                servers.remove(server);
                removeServer(server);
            }
            server = new Backend(entry.id());
            server.maintenanceEndedAtUs = maintenanceEndedAtUs.getOrDefault(entry.id(), 0L);
            server.budget = serverBudgets.get(entry.id());
            addServer(server);
        }
        isSubsetOutdated |= server.weight != entry.weight();
        server.startedAtUs = entry.startedAtUs();
        server.zone = entry.zone();
        server.group = entry.group();
        server.weight = entry.weight();
        if (isNew && (hasServerList || capacityShare(server, nowUs) < 1)) {
            server.waitFromUs = nowUs;
            server.waitIntervals = random.nextDouble();
        }
        server.isUp = true;
    }

    /**
     * Chooses the subset of servers that this copy uses. In a large fleet a copy with few calls would
     * otherwise measure too few calls at each server, and keep a connection to every one. All copies order
     * the servers on the same ring by a hash. Each copy takes an arc that starts at its own point of the
     * ring; a server only partly inside the arc counts in part. So servers of equal weight serve equally many
     * copies, and a server added or removed shifts an arc by one place. Where there are few servers or few
     * copies, the subset is all servers. Its minimum size is larger where calls can probe servers.
     */
    private void chooseSubset() {
        subset.clear();
        subsetSize = servers.size();
        int wantedServers = Math.max(probesPerCall > 0 ? MIN_PROBED_SUBSET_SERVERS : MIN_SUBSET_SERVERS,
                MIN_COPIES_PER_SERVER * servers.size() / settings.copies());
        if (wantedServers >= servers.size()) {
            subset.addAll(servers);
            servers.forEach(server -> {
                server.subsetShare = 1;
                assignmentOrder.setInSubset(server, true);
            });
            return;
        }
        double totalWeight = servers.stream().mapToDouble(server -> server.weight).sum();
        double copiesPerServer = Math.rint((double) settings.copies() * wantedServers / servers.size());
        double arcWeight = copiesPerServer / settings.copies() * totalWeight;
        double position = -totalWeight * settings.copy() / settings.copies();
        subsetSize = 0;
        for (Backend server : servers) {
            double coveredWeight = overlap(position, server.weight, arcWeight)
                    + overlap(position + totalWeight, server.weight, arcWeight);
            server.subsetShare = coveredWeight > 0 ? coveredWeight / server.weight : 1;
            assignmentOrder.setInSubset(server, coveredWeight > 0);
            if (coveredWeight > 0) {
                subset.add(server);
                subsetSize += server.subsetShare;
            }
            position += server.weight;
        }
    }

    /** Returns how much of the interval of this length from {@code start} lies between 0 and {@code end}. */
    private static double overlap(double start, double length, double end) {
        return Math.max(0, Math.min(start + length, end) - Math.max(start, 0));
    }

    /** Returns the share of its full capacity that a server has by now (slow start). */
    private double capacityShare(Backend server, long nowUs) {
        Rules rules = settings.rules();
        long startUs = Math.max(server.startedAtUs, server.maintenanceEndedAtUs);
        long ageUs = nowUs - startUs;
        return startUs <= 0 || ageUs >= rules.coldUs() ? 1
                : rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, ageUs) / rules.coldUs();
    }

    /**
     * Returns the minimum interval between two calls of this copy to a server. With it all copies together
     * send a cold server only a safe part of the load under which it would fail. A warm server's capacity is
     * taken to be the rate at which it serves calls now, as it is at least that. The rate of calls sent would
     * be too high, as a rejected call is sent again to further servers.
     */
    private double assignmentIntervalUs(Backend server, long nowUs) {
        double capacityShare = capacityShare(server, nowUs);
        double safeIntervalUs = capacityShare == 1 ? 0 : (meanServedGapUs > 0 ? meanServedGapUs : roundUs())
                / (capacityShare * settings.rules().tipMultiple() * COLD_LOAD_MARGIN);
        return Math.max(roundUs(), safeIntervalUs) / server.subsetShare;
    }

    /** Updates the mean interval at which a warm server serves calls; a cold server counts in part. */
    private void recordServed(long nowUs) {
        coldSubset.removeIf(server -> capacityShare(server, nowUs) == 1);
        double warmServers = subsetSize - coldSubset.stream()
                .mapToDouble(server -> server.subsetShare * (1 - capacityShare(server, nowUs))).sum();
        double serverGapUs = (nowUs - lastServedAtUs) * warmServers;
        meanServedGapUs += lastServedAtUs == Long.MIN_VALUE ? 0
                : (serverGapUs - meanServedGapUs) * (meanServedGapUs == 0 ? 1 : MEAN_WEIGHT);
        lastServedAtUs = nowUs;
    }

    /** Returns the time in which this copy sends one call to each server of the subset. */
    private double roundUs() {
        return (meanSendGapUs > 0 ? meanSendGapUs : settings.classes().get(0).aimUs())
                * Math.max(1, subsetSize);
    }

    /**
     * Returns how many times longer than the mean the server's calls take. The slower the server, the later
     * its place in the assignment order, which decides among idle servers.
     */
    private double slowness(Backend server) {
        double measured = server.loadSum == 0 || meanCallUs == 0 ? 1
                : Math.min(MAX_SLOWNESS, Math.max(1 / MAX_SLOWNESS, server.meanCallUs() / meanCallUs));
        // A copy with few calls needs long to measure a server's speed, and durations include waiting in
        // other tiers. So a weight other than the mean decides, unless measured durations are even longer.
        double relativeDuration = server.weight == meanWeight ? measured
                : measured > 1 ? Math.max(measured, meanWeight / server.weight) : meanWeight / server.weight;
        return relativeDuration * (server.reportsLoad
                ? Math.min(MAX_LOAD_RATIO, Math.max(1 / MAX_LOAD_RATIO, server.answerLoad / meanAnswerLoad))
                : 1);
    }

    /**
     * Records the load report of an answer. By the server's next call the report is outdated, so it is not
     * used as the server's load but only for its place in the assignment order.
     */
    private void recordLoadReport(Backend server, LoadReport report) {
        if (report != null && report.inFlight() >= 0) {
            server.reportsLoad = true;
            server.answerLoad = 1 + report.inFlight();
            meanAnswerLoad += (server.answerLoad - meanAnswerLoad) * (meanAnswerLoad == 0 ? 1 : MEAN_WEIGHT);
        }
    }

    @Override
    public void discoveryFailed(long nowUs) {
        isWatchPending = false;
        long pauseUs = WATCH_RETRY_JITTER_US << Math.min(discoveryFailures++, 6);
        long maxPauseUs = settings.rules().maxDiscoveryIntervalUs() > 0
                ? settings.rules().maxDiscoveryIntervalUs() / 4 : pauseUs;
        discoveryQueryAtUs = nowUs + WATCH_RETRY_DELAY_US
                + (long) (Math.min(pauseUs, maxPauseUs) * random.nextDouble());
        runDueWork(nowUs);
    }

    // ---- state that the copies share

    /**
     * Ejects a server that another copy ejected, but only demotes it where it answered this copy recently.
     * Another copy cannot withdraw the demotion of a server that failed for this copy.
     */
    @Override
    public void peerVerdict(long nowUs, String id, Verdict verdict, long untilUs) {
        Backend server = serversById.get(id);
        if (server == null) {
            return;
        }
        boolean isHealthy = server.connectionFailures == 0 && server.unansweredCalls == 0;
        if (untilUs <= nowUs) {
            server.demotedUntilUs =
                    isHealthy && verdict == Verdict.DEMOTED ? Long.MIN_VALUE : server.demotedUntilUs;
        } else if (verdict == Verdict.RESTS
                && !(isHealthy && server.lastMeasuredAtUs > nowUs - FAILURE_PENALTY_US)
                && canEjectOneMore(nowUs)) {
            server.ejectedUntilUs = Math.max(server.ejectedUntilUs, untilUs);
        } else {
            server.demotedUntilUs =
                    Math.max(server.demotedUntilUs, Math.min(untilUs, nowUs + FAILURE_PENALTY_US));
        }
        runDueWork(nowUs);
    }

    @Override
    public void serverBudgetChanged(long nowUs, String id, long tokens, long untilUs) {
        BudgetShare budget = untilUs == 0 ? null : new BudgetShare(tokens, untilUs);
        serverBudgets.compute(id, (key, previous) -> budget);
        if (serversById.containsKey(id)) {
            serversById.get(id).budget = budget;
            runDueWork(nowUs);
        }
    }

    @Override
    public void classBudgetChanged(long nowUs, int requestClass, long tokens, long untilUs) {
        classBudgets[requestClass] = new BudgetShare(tokens, untilUs);
    }

    @Override
    public void affinityChanged(long nowUs, int requestClass, Collection<String> ids) {
        preferredServers.set(requestClass, List.copyOf(ids));
    }

    /** Takes a request out of this copy's share of the class's budget; returns true if none is left. */
    private boolean isBeyondClassBudget(long nowUs, int requestClass) {
        BudgetShare budget = classBudgets[requestClass];
        boolean granted = budget == null || budget.tryTake(nowUs);
        if (budget != null) {
            actions.reportClassBudgetUse(requestClass, granted);
        }
        return !granted;
    }

    // ---- requests and their attempts

    @Override
    public void request(long nowUs, Request request) {
        RequestClass requestClass = settings.classes().get(request.requestClass());
        double relativeWork = 1;
        if (request.workUs() > 0) {
            meanWorkUs += (request.workUs() - meanWorkUs) * (meanWorkUs == 0 ? 1 : MEAN_WEIGHT / 2);
            relativeWork = request.workUs() / meanWorkUs;
        } else if (meanDurationByClassUs[request.requestClass()] > 0) {
            relativeWork = meanDurationByClassUs[request.requestClass()] / meanDurationUs;
        }
        relativeWork = relativeWork > 1 ? 1 + (relativeWork - 1) * EXTRA_WORK_WEIGHT : relativeWork;
        long usefulUs = requestClass.lateWorth() > 0 ? requestClass.deadlineUs() : requestClass.aimUs();
        if (!request.isClientRetry()) {
            firstTryTimeLeftUs = request.timeLeftUs();
        } else if (Math.abs(request.timeLeftUs() - firstTryTimeLeftUs) > settings.tickUs() * 10) {
            // The aim counts from the first try. A client's last try shows by its time left when that was.
            usefulUs -= requestClass.deadlineUs() - request.timeLeftUs();
        }
        Call call = new Call(request, requestClass, nowUs, nowUs + Math.min(request.timeLeftUs(), usefulUs),
                relativeWork);
        if (isRefusedForCongestion(nowUs) || isBeyondClassBudget(nowUs, request.requestClass())) {
            giveUp(nowUs, call);
            return;
        }
        call.isBeyondQuota = isBeyondQuota(nowUs, request.tenant());
        isNextServerAvailableKnown = false;
        callsById.put(request.id(), call);
        retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_REQUEST);
        probeTokens = Math.min(probeTokens + probesPerCall, probesPerCall * MAX_PROBE_ROUNDS);
        sendOrQueue(nowUs, call);
    }

    /**
     * Decides whether to refuse a request because too few of the recent calls were served in time. Under
     * congestion servers work for clients that have disconnected, and each further call prolongs the
     * congestion. So only about as many calls are admitted as are served in time. Each copy detects
     * congestion by its own calls and limits only those.
     */
    private boolean isRefusedForCongestion(long nowUs) {
        while (!uncountedCalls.isEmpty()
                && (uncountedCalls.peek().hasEnded || uncountedCalls.peek().usefulUntilUs <= nowUs)) {
            recentCalls.countEnded(nowUs, uncountedCalls.poll(), false);
        }
        recentCalls.decayTo(nowUs);
        double excessCalls = recentCalls.total() - ADMITTED_PER_SERVED * recentCalls.servedInTime()
                - ADMITTED_EXTRA_CALLS;
        boolean isRefused = excessCalls > 0 && random.nextDouble() * recentCalls.total() < excessCalls;
        recentCalls.countRefused(isRefused);
        if (isCongested ? excessCalls <= 0 : excessCalls > recentCalls.total() / 2) {
            isCongested = !isCongested;
            actions.log(isCongested ? "congestion: too few calls are served in time, calls are refused"
                    : "congestion has cleared");
        }
        return isRefused;
    }

    /**
     * Returns whether a request exceeds this copy's part of the tenant's quota. A request within the quota is
     * counted. A request beyond it is worth little, so it is given up while no server is idle; without probes
     * it is always given up, as a copy with few calls sees servers as idle until they are overloaded. Below
     * the first tier no request counts as beyond the quota, as work was already done for it.
     */
    private boolean isBeyondQuota(long nowUs, int tenant) {
        if (settings.tier() > 0 || settings.overQuotaWorth() >= 1 || tenant >= quotaUsedUntilUs.length) {
            return false;
        }
        double copyQuotaPerSecond = settings.tenants().get(tenant).quotaPerSecond() / settings.copies();
        if (copyQuotaPerSecond > 0
                && quotaUsedUntilUs[tenant] > nowUs + TENANT_BURST_REQUESTS * 1e6 / copyQuotaPerSecond) {
            return true;
        }
        quotaUsedUntilUs[tenant] = Math.max(quotaUsedUntilUs[tenant], nowUs)
                + (copyQuotaPerSecond > 0 ? 1e6 / copyQuotaPerSecond : 0);
        return false;
    }

    /** Sends a call to the best server, queues it if none can be used now, or gives it up. */
    private void sendOrQueue(long nowUs, Call call) {
        // While the call was queued, the dedup window of its idempotency key may have passed.
        long timeLeftUs = call.timeLeftUs(nowUs);
        if (minExpectedUs(call) > timeLeftUs || timeLeftUs <= 0
                || !call.attempts.isEmpty() && !canRepeat(nowUs, call)) {
            if (!call.wasQueued) {
                // Otherwise one slow period could cause all later calls to be given up unmeasured.
                fastCallUs *= 1 - FAST_QUANTILE_STEP * FAST_QUANTILE;
            }
            giveUp(nowUs, call);
            return;
        }
        Backend server = probesPerCall > 0 ? chooseServer(nowUs, call, true) : null;
        if (server == null && mustWaitForProbes(nowUs, call)) {
            queuedCalls.add(call);
            requestWakeUp(Math.min(call.waitsForProbesUntilUs, call.usefulUntilUs));
            return;
        }
        server = server == null ? chooseServer(nowUs, call, false) : server;
        if (call.isBeyondQuota && (probesPerCall == 0 || server == null || load(nowUs, server) > 0)) {
            giveUp(nowUs, call);
        } else if (server == null) {
            call.wasQueued = !call.isUploading;
            call.probeRounds = 0;
            queuedCalls.add(call);
            requestWakeUp(Math.min(nextServerAvailableUs(nowUs),
                    nowUs + timeLeftUs - (long) minExpectedUs(call)));
        } else {
            send(nowUs, call, server);
        }
    }

    /**
     * Sends probes for a call, and returns whether the call waits for their answers. With few calls of its
     * own in flight a copy sees every server as idle, also one that is busy with other copies' calls, stalled
     * or slow. So the least recently assigned servers are probed, and the first that reports to be idle gets
     * the call. Calls wait only where probes are cheap and fast. While probes are slow, a call does not wait,
     * but one probe is sent with it, to find out when probes are fast again.
     */
    private boolean mustWaitForProbes(long nowUs, Call call) {
        boolean areProbesFast = meanProbeUs <= call.requestClass.aimUs() * MAX_PROBE_SHARE_OF_AIM;
        if (probesPerCall == 0 || nowUs < call.waitsForProbesUntilUs) {
            return probesPerCall > 0 && areProbesFast;
        }
        int probesSent = 0;
        int roundSize = meanProbedLoad < LIGHT_LOAD_CALLS || !areProbesFast ? 1 : PROBES_PER_ROUND;
        while (call.probeRounds < MAX_PROBE_ROUNDS && probesSent < roundSize && probeTokens >= 1) {
            Backend server = bestAllowed(nowUs, assignmentOrder.subset(),
                    b -> b.probeSentAtUs == Long.MIN_VALUE && b.reportedLoadUntilUs <= nowUs
                            && isAvailableFor(nowUs, call, b));
            if (server == null) {
                break;
            }
            server.probeSentAtUs = nowUs;
            probeTokens--;
            probesSent++;
            actions.probe(server.id);
        }
        call.probeRounds++;
        call.waitsForProbesUntilUs = nowUs + (long) (PROBE_TIMEOUT_MULTIPLE * meanProbeUs)
                + settings.tickUs();
        return areProbesFast && probesSent > 0;
    }

    private void send(long nowUs, Call call, Backend server) {
        if (lastSentAtUs != Long.MIN_VALUE) {
            long sendGapUs = nowUs - lastSentAtUs;
            meanSendGapUs += (sendGapUs - meanSendGapUs) * (meanSendGapUs == 0 ? 1 : MEAN_WEIGHT);
        }
        lastSentAtUs = nowUs;
        Attempt attempt = new Attempt(call, server, nowUs, load(nowUs, server) + call.relativeWork,
                probesPerCall == 0 || server.reportedLoadUntilUs > nowUs);
        if (call.attempts.isEmpty() && !call.isUploading) {
            uncountedCalls.add(call);
        }
        call.attempts.add(attempt);
        if (!call.isUploading) {
            startWork(nowUs, attempt);
        }
        call.attemptsInFlight++;
        if (server.budget != null) {
            actions.reportServerBudgetUse(server.id, server.budget.tryTake(nowUs));
        }
        double delayUs = Math.min(roundUs() * (slowness(server) / server.subsetShare - 1),
                MAX_ASSIGNMENT_DELAY_US);
        delayUs += settings.crossZonePrice() > 0 && server.zone != settings.zone()
                ? roundUs() * CROSS_ZONE_DELAY_ROUNDS : 0;
        assignmentOrder.put(server, nowUs + (long) delayUs);
        server.waitFromUs = nowUs;
        server.firstUseByUs = Long.MAX_VALUE;
        server.waitIntervals = assignmentIntervalUs(server, nowUs) > roundUs() / server.subsetShare
                ? 0.5 + random.nextDouble() : 0;
        actions.send(call.request.id(), server.id, call.deadlineUs - nowUs);
    }

    /** Marks that the server works on an attempt from now on, and sets when the attempt counts as stalled. */
    private void startWork(long nowUs, Attempt attempt) {
        attempt.startWork();
        if (meanCallUs > 0) {
            attempt.stalledAtUs = nowUs + (long) (STALL_MULTIPLE * meanCallUs * attempt.serverLoad);
            startedAttempts.add(attempt);
            requestWakeUp(startedAttempts.peek().stalledAtUs);
        }
    }

    @Override
    public void uploadCompleted(long nowUs, String id) {
        Call call = callsById.get(id);
        if (call == null || !call.isUploading) {
            return;
        }
        call.uploadCompleted(nowUs);
        if (!call.attempts.isEmpty() && !call.hasEnded) {
            uncountedCalls.add(call);
        }
        call.attempts.stream().filter(a -> a.isInFlight && !a.isAnswering).forEach(a -> startWork(nowUs, a));
        runDueWork(nowUs);
    }

    @Override
    public void bodyDiscarded(long nowUs, String id) {
        Call call = callsById.get(id);
        if (call != null) {
            call.isBodyDiscarded = true;
        }
    }

    /**
     * Returns the best server that the call may use, or null. With {@code onlyIdle} only the preferred
     * servers of its class and those that a probe found idle are considered.
     */
    private Backend chooseServer(long nowUs, Call call, boolean onlyIdle) {
        Collection<String> preferred = preferredServers.get(call.request.requestClass());
        Backend best = preferred.isEmpty() ? null
                : bestAllowed(nowUs, assignmentOrder.all(), server -> preferred.contains(server.id)
                        && load(nowUs, server) == 0 && !isDemoted(nowUs, server)
                        && canServeInTime(nowUs, call, server));
        if (best == null && onlyIdle) {
            return bestProbedIdle(nowUs, call);
        }
        if (best == null) {
            best = bestAllowed(nowUs, assignmentOrder.subset(),
                    server -> canServeInTime(nowUs, call, server));
        }
        if (best == null && subset.size() < servers.size()) {
            // A cold server outside the subset is not used: calls of all copies together would overload it.
            best = bestAllowed(nowUs, assignmentOrder.all(),
                    server -> capacityShare(server, nowUs) == 1 && canServeInTime(nowUs, call, server));
        }
        return best;
    }

    /** Returns the best server that a probe found idle and that has no call in flight, or null. */
    private Backend bestProbedIdle(long nowUs, Call call) {
        probedIdle.removeIf(server -> server.reportedLoadUntilUs <= nowUs || server.reportedLoad > 0);
        Backend best = null;
        for (Backend server : probedIdle) {
            boolean isIdle = server.isInSubset && load(nowUs, server) == 0 && !isDemoted(nowUs, server);
            if (isIdle && canServeInTime(nowUs, call, server)
                    && (best == null || isBetter(nowUs, server, best))) {
                best = server;
            }
        }
        return best;
    }

    /** Returns the best allowed server, or null. The candidates must be in assignment order. */
    private Backend bestAllowed(long nowUs, Iterable<Backend> candidates, Predicate<Backend> allowed) {
        Backend best = null;
        for (Backend server : candidates) {
            serversExamined++;
            if (!allowed.test(server)) {
                continue;
            }
            if (isIdleAndHealthy(nowUs, server)) {
                return best == null || isBetter(nowUs, server, best) ? server : best;
            }
            best = best == null || isBetter(nowUs, server, best) ? server : best;
        }
        return best;
    }

    /** Returns the number of servers examined so far, to check that a choice examines few in any fleet. */
    long serversExamined() {
        return serversExamined;
    }

    /** Returns whether a server is so good that none after it in the assignment order can be better. */
    private boolean isIdleAndHealthy(long nowUs, Backend server) {
        return load(nowUs, server) == 0 && server.unansweredProbes + server.unansweredCalls == 0
                && !isDemoted(nowUs, server);
    }

    private boolean canServeInTime(long nowUs, Call call, Backend server) {
        // An idle server is never ruled out as too slow: without calls its recovery would go unnoticed.
        return isAvailableFor(nowUs, call, server)
                && (assumedLoad(nowUs, server) == 0
                        || expectedCallUs(nowUs, call, server)
                                <= call.timeLeftUs(nowUs) * MAX_SHARE_OF_TIME_LEFT);
    }

    private boolean isAvailableFor(long nowUs, Call call, Backend server) {
        return availableAtUs(nowUs, server) <= nowUs && isAllowedFor(call, server)
                && hasBudget(nowUs, server);
    }

    private boolean hasBudget(long nowUs, Backend server) {
        boolean hasTokens = server.budget == null || server.budget.hasTokens(nowUs);
        if (!hasTokens) {
            actions.reportServerBudgetUse(server.id, false);
        }
        return hasTokens;
    }

    /**
     * Returns when a server may be used: after its ejection, and after the delay for cold and new servers.
     * For a cold server the delay is computed from its capacity half-way between its last call and now.
     */
    private long availableAtUs(long nowUs, Backend server) {
        long capacityAtUs = capacityShare(server, nowUs) < 1
                ? server.waitFromUs + (nowUs - server.waitFromUs) / 2 : nowUs;
        long delayedUntilUs = server.waitIntervals == 0 ? nowUs : server.waitFromUs
                + (long) (server.waitIntervals * assignmentIntervalUs(server, capacityAtUs));
        return Math.max(server.ejectedUntilUs, Math.min(server.firstUseByUs, delayedUntilUs));
    }

    /** Returns the expected duration of a call at a server, from its speed and its assumed load. */
    private double expectedCallUs(long nowUs, Call call, Backend server) {
        boolean isMeasuredRecently = server.lastMeasuredAtUs != Long.MIN_VALUE
                && nowUs - server.lastMeasuredAtUs < FAILURE_PENALTY_US;
        double meanAtCapacityUs = meanCallUs / capacityShare(server, nowUs);
        double callUsPerLoad = isMeasuredRecently ? server.meanCallUs()
                : server.loadSum > 0 ? Math.min(server.meanCallUs(), meanAtCapacityUs) : meanAtCapacityUs;
        return callUsPerLoad * (assumedLoad(nowUs, server) + call.relativeWork * EXTRA_WORK_WEIGHT);
    }

    private int assumedLoad(long nowUs, Backend server) {
        return server.reportedLoadUntilUs > nowUs ? load(nowUs, server)
                : Math.max(server.attemptsInFlight, (int) meanProbedLoad);
    }

    /** Returns a server's calls in flight: this copy's own or, if more, those in a valid load report. */
    private static int load(long nowUs, Backend server) {
        return server.reportedLoadUntilUs > nowUs ? Math.max(server.attemptsInFlight, server.reportedLoad)
                : server.attemptsInFlight;
    }

    /** Returns the time that a call must have left, by the durations of calls; 0 while too few are known. */
    private double minExpectedUs(Call call) {
        return measuredCalls < 1 / FAST_QUANTILE ? 0
                : (call.wasQueued ? meanCallUs * QUEUED_CALL_MARGIN : fastCallUs) * call.relativeWork;
    }

    /**
     * Returns whether {@code a} is chosen before {@code b}. Servers that are idle and not demoted go first;
     * then those with the fewest calls in flight, demoted or not. Ties go to the least recently assigned.
     */
    private boolean isBetter(long nowUs, Backend a, Backend b) {
        int loadA = load(nowUs, a);
        int loadB = load(nowUs, b);
        boolean idleA = loadA == 0 && !isDemoted(nowUs, a);
        boolean idleB = loadB == 0 && !isDemoted(nowUs, b);
        if (idleA != idleB) {
            return idleA;
        }
        // A server that this copy cannot reach has none of the copy's calls in flight, so its load looks low.
        // Counting unanswered calls and probes as load avoids sending it every call while others are busy.
        loadA += Math.min(EJECTION_UNANSWERED, a.unansweredProbes + a.unansweredCalls);
        loadB += Math.min(EJECTION_UNANSWERED, b.unansweredProbes + b.unansweredCalls);
        return loadA != loadB ? loadA < loadB : a.assignedAtUs < b.assignedAtUs;
    }

    /**
     * Returns whether a server is demoted. A server with an unanswered probe counts as demoted too: it may
     * be stalled or unreachable, and as the first in the assignment order would otherwise get the next call.
     */
    private boolean isDemoted(long nowUs, Backend server) {
        return server.demotedUntilUs > nowUs
                || server.probeSentAtUs != Long.MIN_VALUE
                        && nowUs - server.probeSentAtUs > PROBE_TIMEOUT_MULTIPLE * meanProbeUs;
    }

    /** Returns false for a server that already got the call, or that would not drop a repeat of it. */
    private static boolean isAllowedFor(Call call, Backend server) {
        for (Attempt a : call.attempts) {
            if (a.server == server) {
                return false;
            }
        }
        Attempt possiblyRun = firstPossiblyRun(call);
        if (possiblyRun == null || call.requestClass.effect() == Effect.SAFE) {
            return true;
        }
        Backend firstServer = possiblyRun.server;
        return switch (call.requestClass.group()) {
            case ALL -> true;
            case ZONE -> server.zone == firstServer.zone;
            case CELL -> server.zone == firstServer.zone && server.group == firstServer.group;
        };
    }

    /** Returns the first attempt that may have run or may still be running, or null. */
    private static Attempt firstPossiblyRun(Call call) {
        for (Attempt a : call.attempts) {
            if (!a.isProvedNotRun) {
                return a;
            }
        }
        return null;
    }

    /** Returns whether a further attempt of the call is allowed. */
    private boolean canRepeat(long nowUs, Call call) {
        if (call.isBodyDiscarded || call.attempts.size() >= settings.limits().maxAttempts()
                || call.timeLeftUs(nowUs) <= 0
                || call.attemptsInFlight > 0 && !settings.limits().canHedge()) {
            return false;
        }
        Attempt possiblyRun = firstPossiblyRun(call);
        return possiblyRun == null || switch (call.requestClass.effect()) {
            case SAFE -> true;
            case KEYED -> nowUs - possiblyRun.sentAtUs < call.requestClass.dedupWindowUs();
            case UNSAFE -> false;
        };
    }

    @Override
    public void outcome(long nowUs, String id, int attemptNumber, String server, Outcome outcome,
            long elapsedUs, boolean requestEnded, LoadReport report) {
        Call call = callsById.get(id);
        if (call == null || attemptNumber >= call.attempts.size()
                || !call.attempts.get(attemptNumber).isInFlight) {
            return;
        }
        Attempt attempt = call.attempts.get(attemptNumber);
        attempt.isInFlight = false;
        call.attemptsInFlight--;
        recordLoadReport(attempt.server, report);
        if (attempt.isAnswering) {
            if (outcome == Outcome.RESET) {
                updateFailures(nowUs, attempt.server, outcome);
            }
        } else {
            attempt.endWork();
            updateFailures(nowUs, attempt.server, outcome);
            recordResult(nowUs, attempt, outcome, elapsedUs);
        }
        attempt.isProvedNotRun = outcome.provesNotRun;
        if (outcome == Outcome.TIMEOUT && !attempt.isStalled) {
            recordUnansweredCall(nowUs, attempt.server);
        }
        if (requestEnded) {
            call.hasEnded = true;
            cancelAttempts(call);
        }
        if (!call.hasEnded && call.attemptsInFlight == 0) {
            retryOrGiveUp(nowUs, call, outcome);
        }
        removeIfFinished(call);
        runDueWork(nowUs);
    }

    /** Updates the measured durations and loads with the outcome of an attempt, and counts a served call. */
    private void recordResult(long nowUs, Attempt attempt, Outcome outcome, long elapsedUs) {
        Call call = attempt.call;
        if ((outcome == Outcome.OK || outcome == Outcome.TIMEOUT)
                && (attempt.isLoadKnown || meanCallUs == 0)) {
            int classIndex = call.request.requestClass();
            meanDurationByClassUs[classIndex] += (elapsedUs - meanDurationByClassUs[classIndex])
                    * (meanDurationByClassUs[classIndex] == 0 ? 1 : MEAN_WEIGHT / 2);
            meanDurationUs += (elapsedUs - meanDurationUs) * (meanDurationUs == 0 ? 1 : MEAN_WEIGHT / 2);
            durationSumUs += elapsedUs - durationSumUs * MEAN_WEIGHT / 2;
            loadSum += attempt.serverLoad - loadSum * MEAN_WEIGHT / 2;
            double callUsPerLoad = elapsedUs / attempt.serverLoad;
            if (++measuredCalls <= 1 / FAST_QUANTILE) {
                // With so few calls the duration of the fastest is used as the quantile.
                fastCallUs = measuredCalls == 1 ? callUsPerLoad : Math.min(fastCallUs, callUsPerLoad);
            } else {
                fastCallUs *= 1 + FAST_QUANTILE_STEP
                        * (callUsPerLoad < fastCallUs ? FAST_QUANTILE - 1 : FAST_QUANTILE);
            }
            // The mean is capped, so that a few servers that take seconds do not dominate it.
            meanCallUs = Math.min(durationSumUs / loadSum, MAX_MEAN_TO_FAST_RATIO * fastCallUs);
            Backend server = attempt.server;
            server.durationSumUs += elapsedUs - server.durationSumUs * MEAN_WEIGHT;
            server.loadSum += attempt.serverLoad - server.loadSum * MEAN_WEIGHT;
            server.lastMeasuredAtUs = nowUs;
        } else if (outcome == Outcome.FULL) {
            attempt.server.reportedLoad = FULL_SERVER_LOAD_CALLS;
            attempt.server.reportedLoadUntilUs = nowUs + (long) (meanCallUs * BUSY_REPORT_VALIDITY);
        }
        if (outcome == Outcome.OK) {
            recordServed(nowUs);
            if (nowUs <= call.usefulUntilUs) {
                recentCalls.countEnded(nowUs, call, true);
            }
        }
    }

    /**
     * Updates the shares of errors with an answer, and ejects a server whose share is far higher than the
     * others'. As errors are fast, such a server always looks idle and gets more and more calls. Errors that
     * all servers return alike come from a tier below, and no server is ejected for them.
     */
    private void updateErrorShare(long nowUs, Backend server, boolean isError) {
        server.errorShare += ERROR_MEAN_WEIGHT * ((isError ? 1 : 0) - server.errorShare);
        errorShare += ERROR_MEAN_WEIGHT * ERROR_MEAN_WEIGHT * ((isError ? 1 : 0) - errorShare);
        if (!isError) {
            server.errorEjections = server.errorShare < EJECTION_ERROR_SHARE / 2 ? 0 : server.errorEjections;
        } else if (server.errorShare > EJECTION_ERROR_SHARE && server.errorShare > 2 * errorShare
                && canEjectOneMore(nowUs)) {
            eject(nowUs, server, server.errorEjections++, "has a higher share of errors than the others");
            server.errorShare = EJECTION_ERROR_SHARE;
        }
    }

    /**
     * Updates a server's share of errors and its connection failures with the outcome of an attempt. Of
     * the outcomes without an answer, only a failed or broken connection counts here.
     */
    private void updateFailures(long nowUs, Backend server, Outcome outcome) {
        if (outcome == Outcome.OK || outcome == Outcome.ERROR) {
            updateErrorShare(nowUs, server, outcome == Outcome.ERROR);
        }
        if (outcome == Outcome.OK) {
            server.connectionFailures = 0;
            server.unansweredCalls = 0;
            if (server.demotedUntilUs > nowUs) {
                actions.reportVerdict(server.id, Verdict.DEMOTED, nowUs);
            }
            server.demotedUntilUs = Long.MIN_VALUE;
        } else if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET) {
            server.connectionFailures++;
            server.demotedUntilUs = nowUs + FAILURE_PENALTY_US;
            actions.reportVerdict(server.id, Verdict.DEMOTED, server.demotedUntilUs);
            if (server.connectionFailures >= EJECTION_CONNECTION_FAILURES) {
                eject(nowUs, server, server.connectionFailures - EJECTION_CONNECTION_FAILURES,
                        "fails or breaks connections");
            }
        }
    }

    private void eject(long nowUs, Backend server, int earlierEjections, String reason) {
        server.ejectedUntilUs = nowUs
                + (FAILURE_PENALTY_US << Math.min(earlierEjections, MAX_EJECTION_DOUBLINGS));
        actions.reportVerdict(server.id, Verdict.RESTS, server.ejectedUntilUs);
        if (earlierEjections == 0) {
            actions.log("server " + server.id + " is ejected: it " + reason);
        }
    }

    /** Retries a call whose attempt failed if that is allowed and a retry token is left; else gives it up. */
    private void retryOrGiveUp(long nowUs, Call call, Outcome outcome) {
        double tokens = outcome.provesNotRun ? 0 : 1;
        if (canRepeat(nowUs, call) && retryTokens >= tokens) {
            retryTokens -= tokens;
            sendOrQueue(nowUs, call);
        } else {
            giveUp(nowUs, call);
        }
    }

    /** Refuses a call if its client may safely try again, now or after a delay; otherwise fails it. */
    private void giveUp(long nowUs, Call call) {
        call.hasEnded = true;
        boolean hasTimeLeft = minExpectedUs(call) < call.timeLeftUs(nowUs);
        long retryAfterUs = settings.limits().maxRetryAfterUs();
        if (canRefuse(call) && (hasTimeLeft || retryAfterUs > 0)) {
            actions.refuse(call.request.id(), hasTimeLeft ? 0 : retryAfterUs);
        } else {
            actions.fail(call.request.id());
        }
        removeIfFinished(call);
    }

    private static boolean canRefuse(Call call) {
        return firstPossiblyRun(call) == null || call.requestClass.effect() == Effect.SAFE
                || call.requestClass.effect() == Effect.KEYED && call.requestClass.group() == DedupGroup.ALL;
    }

    private void removeIfFinished(Call call) {
        if (call.hasEnded && call.attemptsInFlight == 0) {
            callsById.remove(call.request.id());
        }
    }

    @Override
    public void streamStarted(long nowUs, String id, int attempt, String server, long elapsedUs) {
        Call call = callsById.get(id);
        if (call == null || attempt >= call.attempts.size() || !call.attempts.get(attempt).isInFlight) {
            return;
        }
        // The client's speed decides how long the rest of the answer takes. So the server's work on the call
        // and the latency that is compared with the aim end here.
        Attempt streaming = call.attempts.get(attempt);
        streaming.isAnswering = true;
        streaming.endWork();
        updateFailures(nowUs, streaming.server, Outcome.OK);
        recordResult(nowUs, streaming, Outcome.OK, elapsedUs);
        call.hasEnded = true;
        cancelAttempts(call);
        runDueWork(nowUs);
    }

    @Override
    public void clientGone(long nowUs, String id) {
        Call call = callsById.get(id);
        if (call != null && !call.hasEnded) {
            call.clientLeft(nowUs);
            cancelAttempts(call);
            removeIfFinished(call);
            runDueWork(nowUs);
        }
    }

    private void cancelAttempts(Call call) {
        for (int i = 0; i < call.attempts.size() && settings.limits().canCancel(); i++) {
            if (call.attempts.get(i).isInFlight && !call.attempts.get(i).isAnswering) {
                actions.cancel(call.request.id(), i);
            }
        }
    }

    // ---- servers that do not answer

    /**
     * Handles a stalled attempt: its server may hang, even while it accepts connections and answers probes. A
     * hedged attempt is sent to a second server if the call may be repeated and a retry token and enough
     * time are left.
     */
    private void handleStall(long nowUs, Attempt attempt) {
        attempt.isStalled = true;
        recordUnansweredCall(nowUs, attempt.server);
        Call call = attempt.call;
        if (call.hasEnded || retryTokens < 1 || !canRepeat(nowUs, call)
                || nowUs + minExpectedUs(call) > call.usefulUntilUs) {
            return;
        }
        Backend server = chooseServer(nowUs, call, false);
        if (server != null) {
            retryTokens--;
            send(nowUs, call, server);
        }
    }

    private void recordUnansweredCall(long nowUs, Backend server) {
        server.unansweredCalls++;
        server.demotedUntilUs = nowUs + FAILURE_PENALTY_US;
        if (server.unansweredCalls >= EJECTION_UNANSWERED && canEjectOneMore(nowUs)) {
            eject(nowUs, server, server.unansweredCalls - EJECTION_UNANSWERED, "does not answer its calls");
        }
    }

    /**
     * Returns whether half of the subset stays in use if one more server is ejected, so that false alarms
     * cannot eject all.
     */
    private boolean canEjectOneMore(long nowUs) {
        long inUse = subset.stream().filter(server -> availableAtUs(nowUs, server) <= nowUs).count();
        return (inUse - 1) * 2 >= subset.size();
    }

    @Override
    public void probeResult(long nowUs, String serverId, Outcome outcome, long elapsedUs, LoadReport report) {
        Backend server = serversById.get(serverId);
        if (server == null) {
            return;
        }
        server.probeSentAtUs = Long.MIN_VALUE;
        if (outcome == Outcome.NOT_SENT) {
            // The probe was not sent, so its outcome says nothing about the server.
            runDueWork(nowUs);
            return;
        }
        if (outcome == Outcome.OK && report != null) {
            server.unansweredProbes = 0;
            meanProbeUs += MEAN_WEIGHT * (elapsedUs - meanProbeUs);
            server.reportedLoad = (int) Math.round(Math.max(report.inFlight(), report.queue()));
            meanProbedLoad += MEAN_WEIGHT * (server.reportedLoad - meanProbedLoad);
            if (server.reportedLoad > 0) {
                // A busy server moves back in the order: else the same busy servers would be probed first
                // each time, and the mean load by probes would not show that others are idle.
                assignmentOrder.put(server, Math.max(server.assignedAtUs, nowUs));
            } else if (!probedIdle.contains(server)) {
                probedIdle.add(server);
            }
            server.reportedLoadUntilUs = nowUs + (long) (server.reportedLoad > 0
                    ? server.reportedLoad * meanCallUs * BUSY_REPORT_VALIDITY
                    : PROBE_TIMEOUT_MULTIPLE * meanProbeUs);
            server.demotedUntilUs = server.connectionFailures == 0 ? Long.MIN_VALUE : server.demotedUntilUs;
        } else if (outcome == Outcome.CONNECT_FAILED) {
            updateFailures(nowUs, server, outcome);
        } else {
            long demotionUs = (long) (PROBE_TIMEOUT_MULTIPLE * meanCallUs);
            server.demotedUntilUs = Math.max(server.demotedUntilUs, nowUs + demotionUs);
            // Demotion is not enough: an unreachable server would still get calls while all others are busy.
            if (++server.unansweredProbes >= EJECTION_UNANSWERED && canEjectOneMore(nowUs)) {
                demotionUs <<= Math.min(server.unansweredProbes - EJECTION_UNANSWERED,
                        MAX_EJECTION_DOUBLINGS);
                server.ejectedUntilUs = Math.max(server.ejectedUntilUs, nowUs + demotionUs);
            }
            meanProbedLoad -= MEAN_WEIGHT * meanProbedLoad;
        }
        runDueWork(nowUs);
    }

    // ---- time

    @Override
    public void timer(long nowUs) {
        wakeAtUs = wakeAtUs <= nowUs ? Long.MAX_VALUE : wakeAtUs;
        runDueWork(nowUs);
    }

    private void requestWakeUp(long atUs) {
        if (atUs < wakeAtUs) {
            wakeAtUs = atUs;
            actions.wakeAt(atUs);
        }
    }

    /** Returns when the next server that is ejected, delayed or busy may be used; computed once per event. */
    private long nextServerAvailableUs(long nowUs) {
        if (!isNextServerAvailableKnown) {
            isNextServerAvailableKnown = true;
            nextServerAvailableUs = findNextServerAvailableUs(nowUs);
        }
        return nextServerAvailableUs;
    }

    private long findNextServerAvailableUs(long nowUs) {
        long nextUs = Long.MAX_VALUE;
        for (Backend server : subset) {
            long availableAtUs = availableAtUs(nowUs, server);
            availableAtUs = availableAtUs <= nowUs ? server.reportedLoadUntilUs : availableAtUs;
            nextUs = availableAtUs > nowUs ? Math.min(nextUs, availableAtUs) : nextUs;
        }
        return Math.min(nextUs, nowUs + (long) (meanCallUs * BUSY_REPORT_VALIDITY) + settings.tickUs());
    }

    /** Does the work that is due: queries discovery, handles stalled attempts, sends or ends queued calls. */
    private void runDueWork(long nowUs) {
        if (discoveryQueryAtUs <= nowUs && !isWatchPending) {
            discoveryQueryAtUs = Long.MAX_VALUE;
            actions.watchServers();
        }
        requestWakeUp(discoveryQueryAtUs);
        while (!startedAttempts.isEmpty()
                && (!startedAttempts.peek().isInFlight || startedAttempts.peek().stalledAtUs <= nowUs)) {
            Attempt oldest = startedAttempts.poll();
            if (oldest.isInFlight && !oldest.isAnswering) {
                handleStall(nowUs, oldest);
            }
        }
        if (!startedAttempts.isEmpty()) {
            requestWakeUp(startedAttempts.peek().stalledAtUs);
        }
        isNextServerAvailableKnown = false;
        List<Call> queued = List.copyOf(queuedCalls);
        queuedCalls.clear();
        for (Call call : queued) {
            if (!call.hasEnded) {
                sendOrQueue(nowUs, call);
            }
        }
    }
}
