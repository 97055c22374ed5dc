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

    static final long SECOND_US = 1_000_000;
    private static final long MS = 1_000;
    /** Time from the start of a server until it reaches its full capacity. */
    private static final long COLD_US = 20 * SECOND_US;
    /** Share of its capacity that a server has at its start. */
    private static final double COLD_FROM = 0.15;
    /** The budget of a cold server is this multiple of the work that it can do. */
    private static final double TIP_MULTIPLE = 3;
    /** Length of the sliding window over which the work sent to a cold server is summed. */
    private static final long WINDOW_US = 1_500 * MS;
    private static final long BEGIN_US = 1_000 * SECOND_US;
    private static final long BURST_US = BEGIN_US + 15 * SECOND_US;
    private static final long END_US = BURST_US + COLD_US + 3 * SECOND_US;
    private static final long AIM_US = 600 * MS;
    private static final long DEADLINE_US = 1_500 * MS;
    /** Maximum delay until a copy receives a change of the list. */
    private static final long LIST_DELAY_US = SECOND_US;
    /** Time before the burst at which the servers that return cold are stopped. */
    private static final long DOWN_US = 5 * SECOND_US;
    /** One-way network delay. */
    private static final long NETWORK_US = MS / 2;
    /** Requests that wait at a server at most, besides the one being processed. */
    private static final int QUEUE = 8;
    /** Low enough that copies probe servers before a call, where probes are allowed. */
    private static final double PROBE_PRICE = 0.002;

    /**
     * Parameters of a simulation.
     *
     * @param traffic relative share of the traffic of each copy, by copy number
     * @param servers number of servers at the start
     * @param joining number of new servers that join during the burst
     * @param returning number of the initial servers that restart cold during the burst
     * @param capacity requests of mean work that a warm server processes per second
     * @param load traffic before the burst, as a share of the capacity of all servers
     * @param burst factor by which the traffic is multiplied from the burst on
     * @param probes whether copies may probe servers
     */
    record Scenario(double[] traffic, int servers, int joining, int returning, double capacity, double load,
            double burst, boolean probes) {

        /** Describes the scenario in the names of tests. */
        @Override
        public String toString() {
            return traffic.length + (traffic[0] == traffic[1] ? " copies" : " unequal copies") + ", "
                    + joining + " servers join " + servers + ", " + returning + " return, " + capacity
                    + " requests/s each, burst " + burst + (probes ? ", probes" : ", no probes");
        }

        /** Returns traffic shares where every sixth copy gets ten times the traffic of each other copy. */
        static double[] unequal(int copies) {
            double[] traffic = new double[copies];
            for (int i = 0; i < copies; i++) {
                traffic[i] = i % 6 == 0 ? 10 : 1;
            }
            return traffic;
        }

        /** Returns equal traffic shares for all copies. */
        static double[] equal(int copies) {
            double[] traffic = new double[copies];
            Arrays.fill(traffic, 1);
            return traffic;
        }
    }

    /** Work of one attempt, in multiples of the mean work, and the time at which it was sent. */
    private record Sent(long atUs, double work) { }

    /**
     * Load of one cold server.
     *
     * @param mostSent work sent to it in the window with the highest ratio of work sent to work allowed
     * @param budget budget of the server in that window
     * @param afterUs time from the server's start to the end of that window
     * @param sentFirst work sent to it in the first half of its cold time
     * @param doneFirst work that it could do in that half
     */
    record Verdict(String server, double mostSent, double budget, long afterUs, double sentFirst,
            double doneFirst) {

        /**
         * Returns the maximum work allowed in the window: the budget and a tolerance for random variation.
         */
        double allowed() {
            return ColdServerFleet.allowed(budget);
        }

        @Override
        public String toString() {
            return String.format("%s: maximum work in a window %.1f, budget %.1f, allowed %.1f, %.1f s after"
                    + " its start; first half of its cold time: %.0f sent, %.0f possible",
                    server, mostSent, budget, allowed(), afterUs / (double) SECOND_US, sentFirst, doneFirst);
        }
    }

    /** A scheduled event; events of the same time run in the order in which they were scheduled. */
    private record Due(long atUs, long order, Runnable event) { }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> a.atUs() != b.atUs()
            ? Long.compare(a.atUs(), b.atUs()) : Long.compare(a.order(), b.order()));
    private final Map<String, Worker> workers = new HashMap<>();
    private final List<Copy> copies = new ArrayList<>();
    private long now = BEGIN_US;
    private long order;
    private int asked;

    private ColdServerFleet(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
    }

    /** Runs the scenario and returns the load of each server that was cold during it. */
    static List<Verdict> play(Scenario scenario, long seed) {
        ColdServerFleet fleet = new ColdServerFleet(scenario, seed);
        fleet.run();
        return fleet.workers.values().stream().filter(w -> w.startedAtUs > 0).map(Worker::verdict).toList();
    }

    private void run() {
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < scenario.servers(); i++) {
            Worker worker = new Worker("s" + i);
            workers.put(worker.id, worker);
            list.add(worker.line(ServerStatus.UP));
        }
        double all = Arrays.stream(scenario.traffic()).sum();
        for (int i = 0; i < scenario.traffic().length; i++) {
            Copy copy = new Copy(i, scenario.traffic()[i] / all);
            copies.add(copy);
            copy.logic.serversChanged(now, ListKind.REMEMBERED, list);
            at(copy.nextArrivalUs(), copy::arrive);
        }
        for (int i = 0; i < scenario.returning(); i++) {
            Worker worker = workers.get("s" + i);
            at(BURST_US - DOWN_US, () -> stop(worker));
            at(BURST_US + random.nextLong(SECOND_US), () -> start(worker));
        }
        for (int i = 0; i < scenario.joining(); i++) {
            Worker worker = new Worker("new" + i);
            at(BURST_US + random.nextLong(SECOND_US), () -> start(worker));
        }
        while (due.peek().atUs() < END_US) {
            Due next = due.poll();
            now = Math.max(now, next.atUs());
            next.event().run();
        }
    }

    private void at(long atUs, Runnable event) {
        due.add(new Due(atUs, order++, event));
    }

    private void stop(Worker worker) {
        worker.up = false;
        worker.drop();
        tell(worker.line(ServerStatus.GONE));
    }

    private void start(Worker worker) {
        workers.put(worker.id, worker);
        worker.up = true;
        worker.startedAtUs = now;
        tell(worker.line(ServerStatus.UP));
    }

    /** Delivers a change of the list to each copy after a random delay of its own. */
    private void tell(Server line) {
        for (Copy copy : copies) {
            at(now + random.nextLong(LIST_DELAY_US), () -> {
                if (line.startedAtUs() > 0) {
                    copy.told.add(line.id());
                }
                copy.logic.serversChanged(now, ListKind.CHANGES, List.of(line));
            });
        }
    }

    /** Returns the share of its full capacity that a server has at a time; 0 as start means a warm server. */
    private static double share(long startedAtUs, long nowUs) {
        return startedAtUs == 0 ? 1
                : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (nowUs - startedAtUs) / COLD_US);
    }

    /** Adds two standard deviations of a Poisson variable, and 2, to the budget. */
    private static double allowed(double budget) {
        return budget + 2 * Math.sqrt(budget) + 2;
    }

    /** A server with one worker; it rejects requests while its queue is full. */
    private final class Worker {
        final String id;
        final ArrayDeque<Try> queue = new ArrayDeque<>();
        final List<Sent> sentCold = new ArrayList<>();
        long startedAtUs;
        boolean up = true;

        Worker(String id) {
            this.id = id;
        }

        Server line(ServerStatus status) {
            return new Server(id, startedAtUs, 0, 0, 1, status);
        }

        LoadReport report() {
            return new LoadReport(queue.size(), Math.max(0, queue.size() - 1), queue.isEmpty() ? 0 : 1);
        }

        void take(Try attempt) {
            if (!up) {
                attempt.end(Outcome.CONNECT_FAILED);
            } else if (queue.size() > QUEUE) {
                attempt.end(Outcome.FULL);
            } else {
                queue.add(attempt);
                if (queue.size() == 1) {
                    work();
                }
            }
        }

        private void work() {
            Try attempt = queue.peek();
            double seconds = attempt.work / scenario.capacity() / share(startedAtUs, now);
            at(now + (long) (seconds * SECOND_US), () -> {
                if (queue.peek() == attempt) {
                    queue.poll();
                    attempt.end(Outcome.OK);
                    if (!queue.isEmpty()) {
                        work();
                    }
                }
            });
        }

        void drop() {
            List<Try> held = List.copyOf(queue);
            queue.clear();
            held.forEach(attempt -> attempt.end(Outcome.RESET));
        }

        /** Checks every window that ends at an attempt against the work allowed at the window's start. */
        Verdict verdict() {
            double within = 0;
            double most = 0;
            double budget = 0;
            long endUs = startedAtUs;
            int oldest = 0;
            for (Sent sent : sentCold) {
                within += sent.work();
                while (sentCold.get(oldest).atUs() <= sent.atUs() - WINDOW_US) {
                    within -= sentCold.get(oldest++).work();
                }
                long fromUs = Math.max(startedAtUs, sent.atUs() - WINDOW_US);
                double n = TIP_MULTIPLE * share(startedAtUs, fromUs) * done(WINDOW_US);
                if (within / allowed(n) > most / allowed(budget)) {
                    most = within;
                    budget = n;
                    endUs = sent.atUs();
                }
            }
            double first = sentCold.stream().filter(s -> s.atUs() < startedAtUs + COLD_US / 2)
                    .mapToDouble(Sent::work).sum();
            double meanShare = share(startedAtUs, startedAtUs + COLD_US / 4);
            return new Verdict(id, most, budget, endUs - startedAtUs, first, meanShare * done(COLD_US / 2));
        }

        /** Returns the work that a warm server does in a period of time. */
        private double done(long us) {
            return scenario.capacity() * us / SECOND_US;
        }
    }

    /** One attempt of a request. */
    private final class Try {
        final Copy copy;
        final String request;
        final int number;
        final Worker worker;
        final double work;
        final long sentAtUs = now;
        boolean out = true;

        Try(Copy copy, String request, int number, Worker worker, double work) {
            this.copy = copy;
            this.request = request;
            this.number = number;
            this.worker = worker;
            this.work = work;
        }

        void end(Outcome outcome) {
            at(now + NETWORK_US, () -> tell(outcome));
        }

        void tell(Outcome outcome) {
            if (out) {
                out = false;
                boolean ended = outcome == Outcome.OK || copy.over.contains(request);
                if (ended) {
                    copy.over.add(request);
                }
                copy.logic.outcome(now, request, number, worker.id, outcome, now - sentAtUs, ended,
                        outcome == Outcome.OK ? worker.report() : null);
            }
        }
    }

    /** One copy of the decision module with its share of the traffic. */
    private final class Copy implements Actions {
        final Logic logic;
        final double part;
        final Map<String, Double> work = new HashMap<>();
        final Map<String, List<Try>> tries = new HashMap<>();
        final Set<String> over = new HashSet<>();
        /** Servers whose start this copy has received in the list. */
        final Set<String> told = new HashSet<>();

        Copy(int number, double part) {
            this.part = part;
            RequestClass read =
                    new RequestClass("read", AIM_US, DEADLINE_US, 1, 0, Effect.SAFE, DedupGroup.ALL, 0);
            Limits limits = new Limits(3, true, scenario.probes(), true, 0);
            Rules rules = new Rules(SECOND_US, 0, COLD_FROM, COLD_US, TIP_MULTIPLE);
            logic = new Logic(new Settings(List.of(read), List.of(), limits, rules, PROBE_PRICE, 0, 0, number,
                    scenario.traffic().length, 0, 2, false, 1, MS), random.nextLong(), this);
        }

        long nextArrivalUs() {
            double perSecond = part * scenario.load() * scenario.servers() * scenario.capacity()
                    * (now >= BURST_US ? scenario.burst() : 1);
            return now + (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND_US);
        }

        void arrive() {
            String id = "r" + asked++;
            // Half constant and half exponentially distributed, which spreads like real work.
            work.put(id, 0.5 - 0.5 * Math.log(1 - random.nextDouble()));
            at(nextArrivalUs(), this::arrive);
            logic.request(now, new Request(id, 0, 0, DEADLINE_US, 0, false));
        }

        @Override
        public void send(String request, String server, long timeoutUs) {
            Worker worker = workers.get(server);
            List<Try> all = tries.computeIfAbsent(request, r -> new ArrayList<>());
            Try attempt = new Try(this, request, all.size(), worker, work.get(request));
            all.add(attempt);
            if (share(worker.startedAtUs, now) < 1 && told.contains(server)) {
                worker.sentCold.add(new Sent(now, attempt.work));
            }
            at(now + NETWORK_US, () -> worker.take(attempt));
            at(now + timeoutUs, () -> attempt.tell(Outcome.TIMEOUT));
        }

        @Override
        public void refuse(String request, long retryAfterUs) {
            over.add(request);
        }

        @Override
        public void fail(String request) {
            over.add(request);
        }

        @Override
        public void cancel(String request, int attempt) {
            at(now + NETWORK_US, () -> tries.get(request).get(attempt).tell(Outcome.CANCELLED));
        }

        @Override
        public void probe(String server) {
            Worker worker = workers.get(server);
            long askedAtUs = now;
            at(now + 2 * NETWORK_US, () -> logic.probeResult(now, server,
                    worker.up ? Outcome.OK : Outcome.CONNECT_FAILED, now - askedAtUs,
                    worker.up ? worker.report() : null));
        }

        @Override
        public void wakeAt(long atUs) {
            at(Math.max(atUs, now + MS), () -> logic.timer(now));
        }

        @Override
        public void watchServers() { }

        @Override
        public void log(String text) { }
    }
}
