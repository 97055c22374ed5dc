package larkworks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
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
import larkworks.Balancer.Tenant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Feeds random legal events to the decision module under random settings and checks the rules after each. */
class RulesTest {

    private static final long US_PER_MS = 1000;
    private static final long DRAIN_GRACE_US = 300 * US_PER_MS;
    private static final long COLD_PERIOD_US = 8_000 * US_PER_MS;
    private static final double COLD_START_SHARE = 0.2;
    private static final double OVERLOAD_MULTIPLE = 2.5;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 12, 40})
    void rulesHoldUnderRandomEvents(int serverCount) {
        int attemptCount = 0;
        for (int seed = 0; seed < 40; seed++) {
            Simulation simulation = new Simulation(serverCount, 1_000L * serverCount + seed);
            simulation.run(2_000);
            attemptCount += simulation.attemptCount;
        }
        assertTrue(attemptCount > 1_500, "too few attempts sent: " + attemptCount);
    }

    /** A scheduled event; events of the same time run in the order in which they were scheduled. */
    private record ScheduledEvent(long atUs, long sequence, Runnable event) { }

    /** An attempt of a request. */
    private static final class Attempt {
        String server;
        long sentAtUs;
        long timesOutAtUs;
        boolean isInFlight = true;
        boolean mayHaveRun = true;
    }

    /** A request, its attempts and whether it has been answered. */
    private static final class RequestState {
        Request request;
        RequestClass requestClass;
        long deadlineUs;
        boolean isAnswered;
        boolean isStreaming;
        final List<Attempt> attempts = new ArrayList<>();
    }

    /** One copy of the decision module with random requests, outcomes and changes of the list. */
    private static final class Simulation implements Actions {
        final SplittableRandom random;
        final PriorityQueue<ScheduledEvent> schedule = new PriorityQueue<>((a, b) -> a.atUs() != b.atUs()
                ? Long.compare(a.atUs(), b.atUs()) : Long.compare(a.sequence(), b.sequence()));
        final Map<String, RequestState> requests = new HashMap<>();
        final Map<String, Server> listedServers = new HashMap<>();
        /** Time at which each server that is not up was drained or removed from the list. */
        final Map<String, Long> closedAtUsByServer = new HashMap<>();
        final Settings settings;
        final Logic logic;
        long nowUs = 50_000 * US_PER_MS;
        long nextSequence;
        int attemptCount;
        int requestCount;

        Simulation(int serverCount, long seed) {
            random = new SplittableRandom(seed);
            List<RequestClass> classes = new ArrayList<>();
            for (Effect effect : Effect.values()) {
                for (DedupGroup group : DedupGroup.values()) {
                    long aimUs = (100 + random.nextInt(900)) * US_PER_MS;
                    classes.add(new RequestClass(effect + "-" + group, aimUs,
                            aimUs + random.nextInt(2_000) * US_PER_MS, random.nextInt(3), random.nextInt(2),
                            effect, group, random.nextInt(1_500) * US_PER_MS));
                }
            }
            boolean watchesDiscovery = random.nextBoolean();
            int copies = 1 + random.nextInt(200);
            settings = new Settings(classes, random.nextBoolean() ? List.of() : List.of(new Tenant("t", 5),
                    new Tenant("u", 0)), new Limits(1 + random.nextInt(4), random.nextBoolean(),
                    random.nextBoolean(), random.nextBoolean(), random.nextInt(2) * 500 * US_PER_MS),
                    new Rules(DRAIN_GRACE_US, watchesDiscovery ? 8_000 * US_PER_MS : 0, COLD_START_SHARE,
                    COLD_PERIOD_US, OVERLOAD_MULTIPLE),
                    random.nextInt(2) * 0.01, random.nextInt(2) * 0.01, random.nextInt(3),
                    random.nextInt(copies), copies, random.nextInt(2), 2, watchesDiscovery,
                    random.nextDouble(), US_PER_MS);
            logic = new Logic(settings, seed, this);
            List<Server> initialServers = new ArrayList<>();
            for (int i = 0; i < serverCount; i++) {
                initialServers.add(
                        new Server("s" + i, 0, i % 3, i % 4, 1 + random.nextInt(3), ServerStatus.UP));
            }
            initialServers.forEach(s -> listedServers.put(s.id(), s));
            logic.serversChanged(nowUs, ListKind.REMEMBERED, initialServers);
        }

        void run(int eventCount) {
            scheduleAt(nowUs, this::arrive);
            scheduleAt(nowUs, this::changeList);
            for (int i = 0; i < eventCount && !schedule.isEmpty(); i++) {
                runNextEvent();
            }
            long endUs = nowUs + 10_000 * US_PER_MS;
            while (!schedule.isEmpty() && schedule.peek().atUs() < endUs) {
                runNextEvent();
            }
            requests.forEach((id, state) -> assertTrue(state.isAnswered || state.isStreaming
                    || state.deadlineUs >= nowUs - US_PER_MS,
                    () -> id + " was never answered"));
        }

        private void runNextEvent() {
            ScheduledEvent next = schedule.poll();
            nowUs = Math.max(nowUs, next.atUs());
            next.event().run();
        }

        private void scheduleAt(long atUs, Runnable event) {
            schedule.add(new ScheduledEvent(atUs, nextSequence++, event));
        }

        private void arrive() {
            RequestState state = new RequestState();
            int classIndex = random.nextInt(settings.classes().size());
            state.requestClass = settings.classes().get(classIndex);
            long timeLeftUs = 1 + (long) (random.nextDouble() * state.requestClass.deadlineUs());
            state.request = new Request("r" + requestCount++, classIndex, random.nextInt(2), timeLeftUs,
                    random.nextInt(2) * (1 + random.nextInt(90)) * US_PER_MS, random.nextInt(5) == 0);
            state.deadlineUs = nowUs + timeLeftUs;
            requests.put(state.request.id(), state);
            scheduleAt(state.deadlineUs + 2 * US_PER_MS,
                    () -> assertTrue(state.isAnswered || state.isStreaming,
                    () -> state.request + " was not answered before its deadline; attempts "
                    + state.attempts.size() + ", in flight "
                    + state.attempts.stream().filter(attempt -> attempt.isInFlight).count()
                    + " " + settings));
            scheduleAt(nowUs + random.nextLong(60 * US_PER_MS), this::arrive);
            logic.request(nowUs, state.request);
            if (random.nextInt(40) == 0) {
                scheduleAt(nowUs + random.nextLong(timeLeftUs), () -> {
                    if (!state.isAnswered) {
                        state.isAnswered = true;
                        logic.clientGone(nowUs, state.request.id());
                    }
                });
            }
        }

        private void changeList() {
            scheduleAt(nowUs + random.nextLong(900 * US_PER_MS), this::changeList);
            if (random.nextInt(6) == 0 && settings.watchesDiscovery()) {
                logic.discoveryFailed(nowUs);
                return;
            }
            int serverNumber = random.nextInt(listedServers.size() + 2);
            String id = "s" + serverNumber;
            ServerStatus status = ServerStatus.values()[random.nextInt(3)];
            boolean isRestarted = random.nextBoolean();
            Server change = new Server(id, isRestarted ? nowUs - random.nextLong(COLD_PERIOD_US) : 0,
                    serverNumber % 3, serverNumber % 4, 1 + random.nextInt(3), status);
            if (status == ServerStatus.UP) {
                closedAtUsByServer.remove(id);
                listedServers.put(id, change);
            } else {
                closedAtUsByServer.putIfAbsent(id, nowUs);
            }
            if (random.nextBoolean()) {
                logic.serversChanged(nowUs, ListKind.CHANGES, List.of(change));
            } else {
                List<Server> fullList = new ArrayList<>();
                listedServers.forEach((serverId, server) -> {
                    if (!closedAtUsByServer.containsKey(serverId)) {
                        fullList.add(server);
                    }
                });
                logic.serversChanged(nowUs, ListKind.WHOLE, fullList);
            }
        }

        @Override
        public void send(String id, String server, long timeoutUs) {
            attemptCount++;
            RequestState state = requests.get(id);
            assertTrue(!state.isAnswered && !state.isStreaming,
                    () -> id + " was sent after it had been answered");
            assertTrue(nowUs <= state.deadlineUs, () -> id + " was sent after its deadline");
            assertTrue(listedServers.containsKey(server), () -> server + " was never listed");
            assertTrue(nowUs <= closedAtUsByServer.getOrDefault(server, nowUs) + DRAIN_GRACE_US,
                    () -> server + " got a request after its drain grace period");
            assertTrue(state.attempts.size() < settings.limits().maxAttempts(),
                    () -> id + ": too many attempts");
            assertTrue(settings.limits().canHedge()
                    || state.attempts.stream().noneMatch(earlier -> earlier.isInFlight),
                    () -> id + ": two attempts in flight although hedging is not allowed");
            Server newServer = listedServers.get(server);
            state.attempts.stream().filter(earlier -> earlier.mayHaveRun).forEach(earlier -> {
                assertTrue(state.requestClass.effect() != Effect.UNSAFE,
                        () -> id + " was sent again though it may have run");
                if (state.requestClass.effect() == Effect.KEYED) {
                    assertTrue(nowUs - earlier.sentAtUs <= state.requestClass.dedupWindowUs(),
                            () -> id + ": sent again after its deduplication window");
                }
            });
            if (state.requestClass.effect() == Effect.KEYED && state.requestClass.group() != DedupGroup.ALL) {
                state.attempts.stream().filter(earlier -> earlier.mayHaveRun).forEach(earlier -> {
                    Server earlierServer = listedServers.get(earlier.server);
                    assertEquals(earlierServer.zone(), newServer.zone(),
                            () -> id + " was sent again to another zone");
                    assertTrue(state.requestClass.group() == DedupGroup.ZONE
                            || earlierServer.group() == newServer.group(),
                            () -> id + " was sent again to another cell");
                });
            }
            Attempt attempt = new Attempt();
            attempt.server = server;
            attempt.sentAtUs = nowUs;
            attempt.timesOutAtUs = Math.min(nowUs + timeoutUs, state.deadlineUs);
            state.attempts.add(attempt);
            int attemptNumber = state.attempts.size() - 1;
            Outcome[] possibleOutcomes = {Outcome.OK, Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.FULL,
                Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET};
            Outcome outcome = possibleOutcomes[random.nextInt(possibleOutcomes.length)];
            long endUs = outcome == Outcome.TIMEOUT ? attempt.timesOutAtUs
                    : Math.min(attempt.timesOutAtUs, nowUs + random.nextLong(300 * US_PER_MS));
            if (outcome == Outcome.OK && random.nextInt(8) == 0) {
                scheduleAt(Math.min(endUs, nowUs + US_PER_MS), () -> {
                    if (attempt.isInFlight && !state.isAnswered && !state.isStreaming
                            && nowUs < state.deadlineUs) {
                        state.isStreaming = true;
                        logic.streamStarted(nowUs, id, attemptNumber, server, nowUs - attempt.sentAtUs);
                    }
                });
            }
            scheduleAt(endUs, () -> endAttempt(state, attemptNumber, outcome));
        }

        private void endAttempt(RequestState state, int attemptNumber, Outcome outcome) {
            Attempt attempt = state.attempts.get(attemptNumber);
            if (!attempt.isInFlight) {
                return;
            }
            attempt.isInFlight = false;
            attempt.mayHaveRun = !outcome.provesNotRun;
            boolean hasEnded = state.isAnswered || outcome == Outcome.OK || state.isStreaming;
            state.isAnswered |= hasEnded;
            LoadReport report = random.nextBoolean() ? null : new LoadReport(random.nextInt(9),
                    random.nextInt(5), random.nextDouble());
            logic.outcome(nowUs, state.request.id(), attemptNumber, attempt.server, outcome,
                    nowUs - attempt.sentAtUs, hasEnded, report);
            logic.outcome(nowUs, state.request.id(), attemptNumber, attempt.server, Outcome.OK, 1, hasEnded,
                    report);
        }

        @Override
        public void refuse(String id, long retryAfterUs) {
            RequestState state = requests.get(id);
            assertTrue(state.requestClass.effect() == Effect.SAFE
                    || state.attempts.stream().noneMatch(attempt -> attempt.mayHaveRun)
                    || state.requestClass.effect() == Effect.KEYED
                    && state.requestClass.group() == DedupGroup.ALL,
                    () -> id + " was refused though it may have run");
            markAnswered(state);
        }

        @Override
        public void fail(String id) {
            markAnswered(requests.get(id));
        }

        private void markAnswered(RequestState state) {
            assertTrue(!state.isAnswered && !state.isStreaming,
                    () -> state.request.id() + " was answered twice");
            state.isAnswered = true;
        }

        @Override
        public void cancel(String id, int attempt) {
            assertTrue(settings.limits().canCancel(), "cancels are not allowed");
            RequestState state = requests.get(id);
            scheduleAt(nowUs + US_PER_MS, () -> endAttempt(state, attempt, Outcome.CANCELLED));
        }

        @Override
        public void probe(String server) {
            assertTrue(settings.limits().canProbe(), "probes are not allowed");
            Outcome outcome = random.nextInt(4) == 0 ? Outcome.TIMEOUT : Outcome.OK;
            long sentAtUs = nowUs;
            scheduleAt(nowUs + 1 + random.nextLong(3 * US_PER_MS),
                    () -> logic.probeResult(nowUs, server, outcome, nowUs - sentAtUs,
                    outcome == Outcome.OK ? new LoadReport(random.nextInt(4), 0, 0) : null));
        }

        @Override
        public void wakeAt(long atUs) {
            scheduleAt(Math.max(atUs, nowUs + US_PER_MS), () -> logic.timer(nowUs));
        }

        @Override
        public void watchServers() {
            assertTrue(settings.watchesDiscovery(), "a watch is not allowed");
            scheduleAt(nowUs + random.nextLong(200 * US_PER_MS), () -> {
                if (random.nextInt(3) == 0) {
                    logic.discoveryFailed(nowUs);
                } else {
                    logic.serversChanged(nowUs, ListKind.CHANGES, List.of());
                }
            });
        }

        @Override
        public void log(String text) { }
    }
}
