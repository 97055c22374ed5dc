package larkworks;

import larkworks.Balancer.Actions;
import larkworks.Balancer.DedupGroup;
import larkworks.Balancer.Effect;
import larkworks.Balancer.Limits;
import larkworks.Balancer.ListKind;
import larkworks.Balancer.LoadReport;
import larkworks.Balancer.Outcome;
import larkworks.Balancer.Request;
import larkworks.Balancer.RequestClass;
import larkworks.Balancer.Rules;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;
import larkworks.Balancer.Settings;
import larkworks.Balancer.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Drives one copy of the decision module in simulated time and records the actions that it requests. */
final class SimulatedProxy implements Actions {

    static final long US_PER_MS = 1000;
    static final int SAFE_CLASS = 0;
    static final int UNSAFE_CLASS = 1;
    static final int KEYED_CLASS = 2;
    static final int KEYED_IN_ZONE_CLASS = 3;

    /** The settings that tests vary, with their default values. */
    static final class TestSettings {
        boolean canProbe;
        double crossZonePrice;
        int copyNumber;
        int copyCount = 3;
        boolean canHedge;
        boolean watchesDiscovery;
        int maxAttempts = 4;
        long maxRetryAfterUs;
        double coldStartShare = 0.25;
        double overloadMultiple = 2;
        long aimUs = 400 * US_PER_MS;
        /** Additional classes; {@link #settings} appends them to its four classes. */
        List<RequestClass> extraClasses = List.of();
        /** Quota of tenant 1 in requests per second over all copies; tenant 0 has no quota. */
        double tenantQuotaPerSecond;

        Settings settings() {
            List<RequestClass> classes = new ArrayList<>(List.of(
                    requestClass(Effect.SAFE, DedupGroup.ALL), requestClass(Effect.UNSAFE, DedupGroup.ALL),
                    requestClass(Effect.KEYED, DedupGroup.ALL), requestClass(Effect.KEYED, DedupGroup.ZONE)));
            classes.addAll(extraClasses);
            return new Settings(classes, List.of(new Tenant("t", 0), new Tenant("u", tenantQuotaPerSecond)),
                    new Limits(maxAttempts, true, canProbe, canHedge, maxRetryAfterUs),
                    new Rules(500 * US_PER_MS, watchesDiscovery ? 8_000 * US_PER_MS : 0, coldStartShare,
                    8_000 * US_PER_MS, overloadMultiple),
                    0.001, crossZonePrice, 0, copyNumber, copyCount, 0, 1, watchesDiscovery, 0.2,
                    1 * US_PER_MS);
        }

        private RequestClass requestClass(Effect effect, DedupGroup group) {
            return new RequestClass(effect + "-" + group, aimUs, 1_000 * US_PER_MS, 1, 0, effect, group,
                    600 * US_PER_MS);
        }
    }

    final Logic logic;
    /** The requested actions, one line each: the name of the action and its arguments. */
    final List<String> recordedActions = new ArrayList<>();
    /** Number of attempts sent, by request. */
    final Map<String, Integer> attemptCounts = new HashMap<>();
    /** Server of each attempt, by request. */
    final Map<String, List<String>> serversByRequest = new HashMap<>();
    long nowUs = 1_000_000 * US_PER_MS;
    private long wakeAtUs = Long.MAX_VALUE;
    private int requestCount;

    SimulatedProxy(TestSettings testSettings, long seed) {
        logic = new Logic(testSettings.settings(), seed, this);
    }

    SimulatedProxy(TestSettings testSettings) {
        this(testSettings, 7);
    }

    /** Gives the decision module an initial list of warm servers, two in each zone. */
    SimulatedProxy withServers(String... ids) {
        List<Server> list = new ArrayList<>();
        for (String id : ids) {
            list.add(new Server(id, 0, list.size() / 2, list.size() / 2, 1, ServerStatus.UP));
        }
        logic.serversChanged(nowUs, ListKind.REMEMBERED, list);
        return this;
    }

    /** Reports a change of one server to the decision module. */
    void updateServer(String id, long startedAtUs, ServerStatus status) {
        logic.serversChanged(nowUs, ListKind.CHANGES, List.of(new Server(id, startedAtUs, 0, 0, 1, status)));
    }

    /** Sends a request of a class for tenant 0 and returns its id. */
    String sendRequest(int requestClass) {
        return sendRequest(requestClass, 0);
    }

    /** Sends a request of a class for a tenant, with a deadline of 1 s, and returns its id. */
    String sendRequest(int requestClass, int tenant) {
        String id = "r" + requestCount++;
        logic.request(nowUs, new Request(id, requestClass, tenant, 1_000 * US_PER_MS, 0, false));
        return id;
    }

    /** Returns the server of the latest attempt of a request, or null before its first attempt. */
    String latestServer(String request) {
        List<String> servers = serversByRequest.get(request);
        return servers == null ? null : servers.get(servers.size() - 1);
    }

    /** Ends the latest attempt of a request and reports a duration of 50 ms. */
    void endAttempt(String request, Outcome outcome) {
        endAttempt(request, attemptCounts.get(request) - 1, outcome);
    }

    /** Ends an attempt of a request and reports a duration of 50 ms. */
    void endAttempt(String request, int attempt, Outcome outcome) {
        logic.outcome(nowUs, request, attempt, serversByRequest.get(request).get(attempt), outcome,
                50 * US_PER_MS, outcome == Outcome.OK, null);
    }

    /** Sends a safe request, ends it successfully after 50 ms and returns the server that got it. */
    String serveRequest() {
        String request = sendRequest(SAFE_CLASS);
        String server = latestServer(request);
        advanceMs(50);
        endAttempt(request, Outcome.OK);
        return server;
    }

    /** Answers a probe of a server with a load report and reports a duration of 1 ms. */
    void answerProbe(String server, int inFlight) {
        logic.probeResult(nowUs, server, Outcome.OK, 1 * US_PER_MS,
                new LoadReport(inFlight, Math.max(0, inFlight - 1), 0));
    }

    /** Advances the simulated time and fires the timers that expire. */
    void advanceMs(long durationMs) {
        long untilUs = nowUs + durationMs * US_PER_MS;
        while (wakeAtUs <= untilUs) {
            nowUs = Math.max(nowUs, wakeAtUs);
            wakeAtUs = Long.MAX_VALUE;
            logic.timer(nowUs);
        }
        nowUs = untilUs;
    }

    /** Returns the number of recorded actions that begin with a text. */
    int countActions(String prefix) {
        return (int) recordedActions.stream().filter(action -> action.startsWith(prefix)).count();
    }

    /** Returns whether an action with exactly this text was recorded. */
    boolean hasAction(String action) {
        return recordedActions.contains(action);
    }

    @Override
    public void send(String request, String server, long timeoutUs) {
        attemptCounts.merge(request, 1, Integer::sum);
        serversByRequest.computeIfAbsent(request, r -> new ArrayList<>()).add(server);
        recordedActions.add("send " + request + " " + server + " " + timeoutUs);
    }

    @Override
    public void refuse(String request, long retryAfterUs) {
        recordedActions.add("refuse " + request);
    }

    @Override
    public void fail(String request) {
        recordedActions.add("fail " + request);
    }

    @Override
    public void cancel(String request, int attempt) {
        recordedActions.add("cancel " + request + " " + attempt);
    }

    @Override
    public void probe(String server) {
        recordedActions.add("probe " + server);
    }

    @Override
    public void wakeAt(long atUs) {
        wakeAtUs = Math.min(wakeAtUs, Math.max(atUs, nowUs + 1));
    }

    @Override
    public void watchServers() {
        recordedActions.add("watch");
    }

    @Override
    public void reportVerdict(String server, Balancer.Verdict verdict, long untilUs) {
        recordedActions.add("verdict " + server + " " + verdict + (untilUs > nowUs ? "" : " back"));
    }

    @Override
    public void reportServerBudgetUse(String server, boolean spent) {
        recordedActions.add("budget " + server + (spent ? " spent" : " short"));
    }

    @Override
    public void reportClassBudgetUse(int requestClass, boolean spent) {
        recordedActions.add("class " + requestClass + (spent ? " spent" : " short"));
    }

    @Override
    public void log(String text) {
        recordedActions.add("log " + text);
    }
}
