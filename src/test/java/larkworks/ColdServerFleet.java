package larkworks;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
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

/**
 * Simulates a tier in simulated time: many copies of the decision module, which share only the list of
 * servers, and servers with one worker and a bounded queue each. At the start of a traffic burst some servers
 * join and others restart cold. Records the work sent to each cold server by the copies that had already
 * received its start in the list.
 */
final class ColdServerFleet {

    static final long US_PER_S = 1_000_000;
    private static final long US_PER_MS = 1_000;
    /** Time from the start of a server until it reaches its full capacity. */
    private static final long COLD_PERIOD_US = 20 * US_PER_S;
    /** Share of its capacity that a server has at its start. */
    private static final double COLD_START_SHARE = 0.15;
    /** Budget of a cold server in a window, as a multiple of the work that it can do in the window. */
    private static final double BUDGET_MULTIPLE = 3;
    /** Length of the sliding window over which the work sent to a cold server is summed. */
    private static final long WINDOW_US = 1_500 * US_PER_MS;
    private static final long START_US = 1_000 * US_PER_S;
    private static final long BURST_START_US = START_US + 15 * US_PER_S;
    private static final long END_US = BURST_START_US + COLD_PERIOD_US + 3 * US_PER_S;
    private static final long AIM_US = 600 * US_PER_MS;
    private static final long DEADLINE_US = 1_500 * US_PER_MS;
    /** Maximum delay until a copy receives a change of the list. */
    private static final long MAX_LIST_DELAY_US = US_PER_S;
    /** How long before the burst the servers that restart cold are stopped. */
    private static final long DOWNTIME_BEFORE_BURST_US = 5 * US_PER_S;
    /** One-way network delay. */
    private static final long NETWORK_DELAY_US = US_PER_MS / 2;
    /** Maximum number of requests queued at a server, not counting the one being processed. */
    private static final int MAX_QUEUED_REQUESTS = 8;
    /** Price of a probe: low enough that copies probe servers before a call if the scenario allows probes. */
    private static final double PROBE_PRICE = 0.002;

    /**
     * Parameters of a simulation.
     *
     * @param trafficShares relative share of the traffic of each copy, by copy number
     * @param servers number of servers at the start
     * @param joiningServers number of new servers that join during the burst
     * @param restartingServers number of the initial servers that restart cold during the burst
     * @param capacityPerSecond requests of mean work that a warm server processes per second
     * @param loadBeforeBurst traffic before the burst, as a share of the capacity of all servers
     * @param burstFactor factor by which the traffic is multiplied from the burst on
     * @param canProbe whether copies may probe servers
     */
    record Scenario(double[] trafficShares, int servers, int joiningServers, int restartingServers,
            double capacityPerSecond, double loadBeforeBurst, double burstFactor, boolean canProbe) {

        /** Describes the scenario in the names of tests. */
        @Override
        public String toString() {
            return trafficShares.length
                    + (trafficShares[0] == trafficShares[1] ? " copies" : " unequal copies") + ", "
                    + joiningServers + " servers join " + servers + ", " + restartingServers + " return, "
                    + capacityPerSecond + " requests/s each, burst " + burstFactor
                    + (canProbe ? ", probes" : ", no probes");
        }

        /** Returns traffic shares where every sixth copy gets ten times the traffic of each other copy. */
        static double[] unequalTrafficShares(int copies) {
            double[] trafficShares = new double[copies];
            for (int i = 0; i < copies; i++) {
                trafficShares[i] = i % 6 == 0 ? 10 : 1;
            }
            return trafficShares;
        }

        /** Returns equal traffic shares for all copies. */
        static double[] equalTrafficShares(int copies) {
            double[] trafficShares = new double[copies];
            Arrays.fill(trafficShares, 1);
            return trafficShares;
        }
    }

    /** Work of one attempt, in multiples of the mean work, and the time at which it was sent. */
    private record SentWork(long atUs, double work) { }

    /**
     * Load of one cold server. The worst window is the one with the highest ratio of sent to allowed work.
     *
     * @param maxSentInWindow work sent to the server in the worst window
     * @param budget budget of the server in the worst window
     * @param windowEndAfterStartUs time from the server's start to the end of the worst window
     * @param sentInFirstHalf work sent to the server in the first half of its cold period
     * @param possibleInFirstHalf work that the server could do in the first half of its cold period
     */
    record ColdServerLoad(String server, double maxSentInWindow, double budget, long windowEndAfterStartUs,
            double sentInFirstHalf, double possibleInFirstHalf) {

        /** Returns the maximum work allowed in the window, with a tolerance for random variation. */
        double allowedInWindow() {
            return ColdServerFleet.allowedForBudget(budget);
        }

        @Override
        public String toString() {
            return String.format("%s: maximum work in a window %.1f, budget %.1f, allowed %.1f, %.1f s after"
                    + " its start; first half of its cold period: %.0f sent, %.0f possible",
                    server, maxSentInWindow, budget, allowedInWindow(),
                    windowEndAfterStartUs / (double) US_PER_S, sentInFirstHalf, possibleInFirstHalf);
        }
    }

    /** A scheduled event; events of the same time run in the order in which they were scheduled. */
    private record ScheduledEvent(long atUs, long sequence, Runnable event) { }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<ScheduledEvent> schedule = new PriorityQueue<>((a, b) -> a.atUs() != b.atUs()
            ? Long.compare(a.atUs(), b.atUs()) : Long.compare(a.sequence(), b.sequence()));
    private final Map<String, Worker> workers = new HashMap<>();
    private final List<Copy> copies = new ArrayList<>();
    private long nowUs = START_US;
    private long nextSequence;
    private int requestCount;

    private ColdServerFleet(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
    }

    /** Runs the scenario and returns the load of each server that was cold during it. */
    static List<ColdServerLoad> simulate(Scenario scenario, long seed) {
        ColdServerFleet fleet = new ColdServerFleet(scenario, seed);
        fleet.run();
        return fleet.workers.values().stream().filter(worker -> worker.startedAtUs > 0)
                .map(Worker::coldServerLoad).toList();
    }

    private void run() {
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < scenario.servers(); i++) {
            Worker worker = new Worker("s" + i);
            workers.put(worker.id, worker);
            list.add(worker.listEntry(ServerStatus.UP));
        }
        double totalTraffic = Arrays.stream(scenario.trafficShares()).sum();
        for (int i = 0; i < scenario.trafficShares().length; i++) {
            Copy copy = new Copy(i, scenario.trafficShares()[i] / totalTraffic);
            copies.add(copy);
            copy.logic.serversChanged(nowUs, ListKind.REMEMBERED, list);
            scheduleAt(copy.nextArrivalUs(), copy::arrive);
        }
        for (int i = 0; i < scenario.restartingServers(); i++) {
            Worker worker = workers.get("s" + i);
            scheduleAt(BURST_START_US - DOWNTIME_BEFORE_BURST_US, () -> stop(worker));
            scheduleAt(BURST_START_US + random.nextLong(US_PER_S), () -> start(worker));
        }
        for (int i = 0; i < scenario.joiningServers(); i++) {
            Worker worker = new Worker("new" + i);
            scheduleAt(BURST_START_US + random.nextLong(US_PER_S), () -> start(worker));
        }
        while (schedule.peek().atUs() < END_US) {
            ScheduledEvent next = schedule.poll();
            nowUs = Math.max(nowUs, next.atUs());
            next.event().run();
        }
    }

    private void scheduleAt(long atUs, Runnable event) {
        schedule.add(new ScheduledEvent(atUs, nextSequence++, event));
    }

    private void stop(Worker worker) {
        worker.isUp = false;
        worker.dropQueue();
        publishChange(worker.listEntry(ServerStatus.GONE));
    }

    private void start(Worker worker) {
        workers.put(worker.id, worker);
        worker.isUp = true;
        worker.startedAtUs = nowUs;
        publishChange(worker.listEntry(ServerStatus.UP));
    }

    /** Delivers a change of the list to every copy, to each one after a different random delay. */
    private void publishChange(Server change) {
        for (Copy copy : copies) {
            scheduleAt(nowUs + random.nextLong(MAX_LIST_DELAY_US), () -> {
                if (change.startedAtUs() > 0) {
                    copy.serversWithKnownStart.add(change.id());
                }
                copy.logic.serversChanged(nowUs, ListKind.CHANGES, List.of(change));
            });
        }
    }

    /** Returns a server's present capacity as a share of its full one; start time 0 means a warm server. */
    private static double capacityShare(long startedAtUs, long nowUs) {
        return startedAtUs == 0 ? 1
                : Math.min(1, COLD_START_SHARE
                + (1 - COLD_START_SHARE) * (nowUs - startedAtUs) / COLD_PERIOD_US);
    }

    /** Returns the budget plus 2 plus two standard deviations of a Poisson variable with this mean. */
    private static double allowedForBudget(double budget) {
        return budget + 2 * Math.sqrt(budget) + 2;
    }

    /** A server with one worker; it rejects requests while its queue is full. */
    private final class Worker {
        final String id;
        final ArrayDeque<Attempt> queue = new ArrayDeque<>();
        final List<SentWork> sentWhileCold = new ArrayList<>();
        long startedAtUs;
        boolean isUp = true;

        Worker(String id) {
            this.id = id;
        }

        /** Returns this server as an entry of the list of servers. */
        Server listEntry(ServerStatus status) {
            return new Server(id, startedAtUs, 0, 0, 1, status);
        }

        LoadReport loadReport() {
            return new LoadReport(queue.size(), Math.max(0, queue.size() - 1), queue.isEmpty() ? 0 : 1);
        }

        void receive(Attempt attempt) {
            if (!isUp) {
                attempt.end(Outcome.CONNECT_FAILED);
            } else if (queue.size() > MAX_QUEUED_REQUESTS) {
                attempt.end(Outcome.FULL);
            } else {
                queue.add(attempt);
                if (queue.size() == 1) {
                    processNextAttempt();
                }
            }
        }

        private void processNextAttempt() {
            Attempt attempt = queue.peek();
            double seconds = attempt.work / scenario.capacityPerSecond() / capacityShare(startedAtUs, nowUs);
            scheduleAt(nowUs + (long) (seconds * US_PER_S), () -> {
                if (queue.peek() == attempt) {
                    queue.poll();
                    attempt.end(Outcome.OK);
                    if (!queue.isEmpty()) {
                        processNextAttempt();
                    }
                }
            });
        }

        void dropQueue() {
            List<Attempt> dropped = List.copyOf(queue);
            queue.clear();
            dropped.forEach(attempt -> attempt.end(Outcome.RESET));
        }

        /** Returns the load of this server; examines each window that ends when an attempt is sent. */
        ColdServerLoad coldServerLoad() {
            double sentInWindow = 0;
            double maxSentInWindow = 0;
            double budget = 0;
            long windowEndUs = startedAtUs;
            int windowStartIndex = 0;
            for (SentWork sent : sentWhileCold) {
                sentInWindow += sent.work();
                while (sentWhileCold.get(windowStartIndex).atUs() <= sent.atUs() - WINDOW_US) {
                    sentInWindow -= sentWhileCold.get(windowStartIndex++).work();
                }
                long windowStartUs = Math.max(startedAtUs, sent.atUs() - WINDOW_US);
                double windowBudget =
                        BUDGET_MULTIPLE * capacityShare(startedAtUs, windowStartUs) * possibleWork(WINDOW_US);
                if (sentInWindow / allowedForBudget(windowBudget)
                        > maxSentInWindow / allowedForBudget(budget)) {
                    maxSentInWindow = sentInWindow;
                    budget = windowBudget;
                    windowEndUs = sent.atUs();
                }
            }
            double sentInFirstHalf =
                    sentWhileCold.stream().filter(sent -> sent.atUs() < startedAtUs + COLD_PERIOD_US / 2)
                    .mapToDouble(SentWork::work).sum();
            double meanShare = capacityShare(startedAtUs, startedAtUs + COLD_PERIOD_US / 4);
            return new ColdServerLoad(id, maxSentInWindow, budget, windowEndUs - startedAtUs, sentInFirstHalf,
                    meanShare * possibleWork(COLD_PERIOD_US / 2));
        }

        /** Returns the work that a warm server does in a period of time. */
        private double possibleWork(long durationUs) {
            return scenario.capacityPerSecond() * durationUs / US_PER_S;
        }
    }

    /** One attempt of a request. */
    private final class Attempt {
        final Copy copy;
        final String request;
        final int attemptNumber;
        final Worker worker;
        final double work;
        final long sentAtUs = nowUs;
        boolean isInFlight = true;

        Attempt(Copy copy, String request, int attemptNumber, Worker worker, double work) {
            this.copy = copy;
            this.request = request;
            this.attemptNumber = attemptNumber;
            this.worker = worker;
            this.work = work;
        }

        void end(Outcome outcome) {
            scheduleAt(nowUs + NETWORK_DELAY_US, () -> reportOutcome(outcome));
        }

        void reportOutcome(Outcome outcome) {
            if (isInFlight) {
                isInFlight = false;
                boolean hasEnded = outcome == Outcome.OK || copy.endedRequests.contains(request);
                if (hasEnded) {
                    copy.endedRequests.add(request);
                }
                copy.logic.outcome(nowUs, request, attemptNumber, worker.id, outcome, nowUs - sentAtUs,
                        hasEnded, outcome == Outcome.OK ? worker.loadReport() : null);
            }
        }
    }

    /** One copy of the decision module with its share of the traffic. */
    private final class Copy implements Actions {
        final Logic logic;
        final double trafficShare;
        final Map<String, Double> workByRequest = new HashMap<>();
        final Map<String, List<Attempt>> attemptsByRequest = new HashMap<>();
        final Set<String> endedRequests = new HashSet<>();
        /** Ids of the servers whose start time this copy has received in the list. */
        final Set<String> serversWithKnownStart = new HashSet<>();

        Copy(int copyNumber, double trafficShare) {
            this.trafficShare = trafficShare;
            RequestClass readClass =
                    new RequestClass("read", AIM_US, DEADLINE_US, 1, 0, Effect.SAFE, DedupGroup.ALL, 0);
            Limits limits = new Limits(3, true, scenario.canProbe(), true, 0);
            Rules rules = new Rules(US_PER_S, 0, COLD_START_SHARE, COLD_PERIOD_US, BUDGET_MULTIPLE);
            logic = new Logic(new Settings(List.of(readClass), List.of(), limits, rules, PROBE_PRICE, 0, 0,
                    copyNumber, scenario.trafficShares().length, 0, 2, false, 1, US_PER_MS),
                    random.nextLong(), this);
        }

        long nextArrivalUs() {
            double requestsPerSecond =
                    trafficShare * scenario.loadBeforeBurst() * scenario.servers()
                    * scenario.capacityPerSecond() * (nowUs >= BURST_START_US ? scenario.burstFactor() : 1);
            return nowUs + (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * US_PER_S);
        }

        void arrive() {
            String id = "r" + requestCount++;
            // Half of the work is constant, half exponentially distributed, to vary like real work.
            workByRequest.put(id, 0.5 - 0.5 * Math.log(1 - random.nextDouble()));
            scheduleAt(nextArrivalUs(), this::arrive);
            logic.request(nowUs, new Request(id, 0, 0, DEADLINE_US, 0, false));
        }

        @Override
        public void send(String request, String server, long timeoutUs) {
            Worker worker = workers.get(server);
            List<Attempt> attempts = attemptsByRequest.computeIfAbsent(request, key -> new ArrayList<>());
            Attempt attempt = new Attempt(this, request, attempts.size(), worker, workByRequest.get(request));
            attempts.add(attempt);
            if (capacityShare(worker.startedAtUs, nowUs) < 1 && serversWithKnownStart.contains(server)) {
                worker.sentWhileCold.add(new SentWork(nowUs, attempt.work));
            }
            scheduleAt(nowUs + NETWORK_DELAY_US, () -> worker.receive(attempt));
            scheduleAt(nowUs + timeoutUs, () -> attempt.reportOutcome(Outcome.TIMEOUT));
        }

        @Override
        public void refuse(String request, long retryAfterUs) {
            endedRequests.add(request);
        }

        @Override
        public void fail(String request) {
            endedRequests.add(request);
        }

        @Override
        public void cancel(String request, int attempt) {
            scheduleAt(nowUs + NETWORK_DELAY_US,
                    () -> attemptsByRequest.get(request).get(attempt).reportOutcome(Outcome.CANCELLED));
        }

        @Override
        public void probe(String server) {
            Worker worker = workers.get(server);
            long probedAtUs = nowUs;
            scheduleAt(nowUs + 2 * NETWORK_DELAY_US, () -> logic.probeResult(nowUs, server,
                    worker.isUp ? Outcome.OK : Outcome.CONNECT_FAILED, nowUs - probedAtUs,
                    worker.isUp ? worker.loadReport() : null));
        }

        @Override
        public void wakeAt(long atUs) {
            scheduleAt(Math.max(atUs, nowUs + US_PER_MS), () -> logic.timer(nowUs));
        }

        @Override
        public void watchServers() { }

        @Override
        public void log(String text) { }
    }
}
