package larkworks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larkworks.Balancer.ListKind;
import larkworks.Balancer.LoadReport;
import larkworks.Balancer.Outcome;
import larkworks.Balancer.Request;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of the decision module: each test feeds it events and checks the actions that it requests. */
class LogicTest {

    private static final long US_PER_MS = SimulatedProxy.US_PER_MS;

    private static SimulatedProxy.TestSettings testSettings() {
        return new SimulatedProxy.TestSettings();
    }

    /** Choice of a server while no server fails. */
    @Nested
    class Pick {

        @Test
        void prefersIdleServersToBusyOnes() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c");
            Set<String> taken = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                taken.add(proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE)));
            }
            assertEquals(Set.of("a", "b", "c"), taken);
        }

        @Test
        void picksTheServerWithFewestInFlightWhenNoneIsIdle() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            String first = proxy.sendRequest(SimulatedProxy.SAFE);
            proxy.sendRequest(SimulatedProxy.SAFE);
            proxy.sendRequest(SimulatedProxy.SAFE);
            proxy.sendRequest(SimulatedProxy.SAFE);
            proxy.endAttempt(first, Outcome.OK);
            String freed = proxy.latestServer(first);
            assertEquals(freed, proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE)));
        }

        @Test
        void picksTheLeastRecentlyAssignedAmongIdleServers() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c");
            String[] round = {proxy.serveRequest(), proxy.serveRequest(), proxy.serveRequest()};
            for (String server : round) {
                assertEquals(server, proxy.serveRequest());
            }
        }

        @Test
        void picksUnusedServersInAnOrderThatDependsOnTheSeed() {
            Set<List<String>> orders = new HashSet<>();
            for (int seed = 0; seed < 20; seed++) {
                SimulatedProxy proxy = new SimulatedProxy(testSettings(), seed).withServers("a", "b", "c");
                orders.add(List.of(proxy.serveRequest(), proxy.serveRequest(), proxy.serveRequest()));
            }
            assertTrue(orders.size() > 2, "orders seen: " + orders);
        }

        @Test
        void slowServerGetsFewerCalls() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            Map<String, Integer> turns = new HashMap<>();
            for (int i = 0; i < 120; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                String server = proxy.latestServer(request);
                turns.merge(server, 1, Integer::sum);
                proxy.advanceMs(100);
                proxy.logic.outcome(proxy.nowUs, request, 0, server, Outcome.OK,
                        server.equals("a") ? 100 * US_PER_MS : 50 * US_PER_MS,
                        true, null);
            }
            assertTrue(turns.get("a") * 1.4 < turns.get("b"), "turns: " + turns);
        }

        @Test
        void serverWithSmallRegisteredSizeGetsFewerCallsFromTheStart() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings());
            proxy.logic.serversChanged(proxy.nowUs, ListKind.REMEMBERED, List.of(
                    new Server("small", 0, 0, 0, 1, ServerStatus.UP),
                    new Server("large", 0, 0, 0, 3, ServerStatus.UP)));
            Map<String, Integer> turns = new HashMap<>();
            for (int i = 0; i < 40; i++) {
                turns.merge(proxy.serveRequest(), 1, Integer::sum);
            }
            assertTrue(turns.get("large") > 2 * turns.get("small"), "turns: " + turns);
        }

        @Test
        void serverThatReportsMoreInFlightCallsGetsFewerCalls() {
            // Given equal numbers of calls, machines slower than registered were overloaded one by one.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            Map<String, Integer> turns = new HashMap<>();
            for (int i = 0; i < 120; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                String server = proxy.latestServer(request);
                turns.merge(server, 1, Integer::sum);
                proxy.advanceMs(50);
                proxy.logic.outcome(proxy.nowUs, request, 0, server, Outcome.OK, 50 * US_PER_MS, true,
                        new LoadReport(server.equals("a") ? 9 : 1, -1, -1));
            }
            assertTrue(turns.get("a") * 1.4 < turns.get("b"), "turns: " + turns);
        }

        @Test
        void crossZonePriceReducesCallsToOtherZonesWithoutExcludingThem() {
            SimulatedProxy.TestSettings settings = testSettings();
            settings.crossZonePrice = 0.01;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("near", "near2", "far", "far2");
            Map<String, Integer> turns = new HashMap<>();
            for (int i = 0; i < 120; i++) {
                turns.merge(proxy.serveRequest(), 1, Integer::sum);
            }
            assertTrue(turns.get("far") > 10, "turns: " + turns);
            assertTrue(turns.get("far") * 1.5 < turns.get("near"), "turns: " + turns);
        }

        @Test
        void actionsDependOnlyOnEventsAndSeedNotOnOtherInstances() {
            SimulatedProxy alone = new SimulatedProxy(testSettings(), 3).withServers("a", "b", "c");
            SimulatedProxy beside = new SimulatedProxy(testSettings(), 3).withServers("a", "b", "c");
            SimulatedProxy other = new SimulatedProxy(testSettings(), 4).withServers("a", "b", "c");
            for (int i = 0; i < 50; i++) {
                alone.serveRequest();
                other.sendRequest(SimulatedProxy.UNSAFE);
                beside.serveRequest();
            }
            assertEquals(alone.recordedActions, beside.recordedActions);
        }
    }

    /** The subset of a large fleet to which one copy sends its calls. */
    @Nested
    class Subset {

        private Map<String, Integer> copiesOf(int copies, List<Server> fleet,
                Map<Integer, Set<String>> seen) {
            Map<String, Integer> users = new HashMap<>();
            for (int copy = 0; copy < copies; copy++) {
                SimulatedProxy.TestSettings settings = testSettings();
                settings.copy = copy;
                settings.copies = copies;
                SimulatedProxy proxy = new SimulatedProxy(settings, copy);
                proxy.logic.serversChanged(proxy.nowUs, ListKind.REMEMBERED, fleet);
                Set<String> used = new HashSet<>();
                for (int i = 0; i < 40; i++) {
                    used.add(proxy.serveRequest());
                }
                used.forEach(s -> users.merge(s, 1, Integer::sum));
                seen.put(copy, used);
            }
            return users;
        }

        private List<Server> fleet(int from, int to) {
            List<Server> fleet = new ArrayList<>();
            for (int i = from; i < to; i++) {
                fleet.add(new Server("s" + i, 0, 0, 0, 1, ServerStatus.UP));
            }
            return fleet;
        }

        @Test
        void manyCopiesUseSmallEvenlyDistributedSubsetsOfALargeFleet() {
            Map<Integer, Set<String>> seen = new HashMap<>();
            Map<String, Integer> users = copiesOf(60, fleet(0, 60), seen);
            assertEquals(60, users.size());
            assertTrue(seen.values().stream().allMatch(s -> s.size() >= 9 && s.size() <= 11),
                    seen.toString());
            assertTrue(users.values().stream().allMatch(n -> n >= 9 && n <= 11), users.toString());
        }

        @Test
        void removalOfAServerChangesFewSubsetMembers() {
            Map<Integer, Set<String>> before = new HashMap<>();
            Map<Integer, Set<String>> after = new HashMap<>();
            copiesOf(30, fleet(0, 60), before);
            copiesOf(30, fleet(1, 60), after);
            int moved = 0;
            for (int copy : before.keySet()) {
                after.get(copy).removeAll(before.get(copy));
                moved += after.get(copy).size();
            }
            assertTrue(moved <= 60, "servers added to the subsets of 30 copies, about 10 each: " + moved);
        }
    }

    /** Demotion and ejection of servers, and calls that wait for a server. */
    @Nested
    class Failures {

        @Test
        void serverThatFailedOnceIsUsedOnlyWhenAllOthersAreBusy() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c");
            for (int i = 0; i < 3; i++) {
                proxy.serveRequest();
            }
            String request = proxy.sendRequest(SimulatedProxy.SAFE);
            String bad = proxy.latestServer(request);
            proxy.endAttempt(request, Outcome.CONNECT_FAILED);
            proxy.endAttempt(request, Outcome.OK);
            assertNotEquals(bad, proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE)));
            assertNotEquals(bad, proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE)));
            assertEquals(bad, proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE)));
        }

        @Test
        void ejectsAServerAfterConsecutiveFailuresAndUsesItAgainLater() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a");
            for (int i = 0; i < 2; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                assertEquals("a", proxy.latestServer(request));
                proxy.endAttempt(request, Outcome.CONNECT_FAILED);
                proxy.advanceMs(1_000);
            }
            String held = proxy.sendRequest(SimulatedProxy.SAFE);
            assertNull(proxy.latestServer(held));
            proxy.advanceMs(4_000);
            assertEquals("a", proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE)));
        }

        @Test
        void ejectionGetsLongerWithEachFurtherFailure() {
            // Frequent retries would add load to a server that has no free connection.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a");
            long[] pauses = new long[2];
            for (int i = 0; i < 5; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                long asked = proxy.nowUs;
                while (proxy.latestServer(request) == null) {
                    proxy.advanceMs(100);
                    request = proxy.latestServer(request) == null ? proxy.sendRequest(SimulatedProxy.SAFE)
                            : request;
                }
                if (i >= 3) {
                    pauses[i - 3] = proxy.nowUs - asked;
                }
                proxy.endAttempt(request, Outcome.CONNECT_FAILED);
            }
            assertTrue(pauses[1] > pauses[0] * 3 / 2, pauses[0] + " then " + pauses[1]);
        }

        @Test
        void callWaitsWithoutServersAndFailsNearItsDeadline() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers();
            String request = proxy.sendRequest(SimulatedProxy.UNSAFE);
            proxy.advanceMs(2_000);
            assertEquals(List.of("fail " + request), proxy.recordedActions);
        }

        @Test
        void sendsAWaitingCallWhenAServerIsAdded() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers();
            String request = proxy.sendRequest(SimulatedProxy.SAFE);
            proxy.updateServer("a", 0, ServerStatus.UP);
            proxy.advanceMs(390);
            String next = proxy.sendRequest(SimulatedProxy.SAFE);
            proxy.advanceMs(390);
            assertTrue("a".equals(proxy.latestServer(request)) || "a".equals(proxy.latestServer(next)));
        }

        @Test
        void ejectsAServerWithAMuchHigherErrorRateThanTheOthers() {
            // A server that answers errors at once is always idle and would attract more and more calls.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            int errors = 0;
            for (int i = 0; i < 200; i++) {
                String request = proxy.sendRequest(SimulatedProxy.UNSAFE);
                proxy.advanceMs(20);
                boolean bad = "a".equals(proxy.latestServer(request));
                errors += bad ? 1 : 0;
                proxy.endAttempt(request, bad ? Outcome.ERROR : Outcome.OK);
            }
            assertTrue(errors < 12, "errors: " + errors);
        }

        @Test
        void equalErrorRatesOfAllServersEjectNone() {
            // A failing tier below causes errors at every server; ejecting servers would only cost capacity.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                String request = proxy.sendRequest(SimulatedProxy.UNSAFE);
                assertNotNull(proxy.latestServer(request));
                proxy.advanceMs(20);
                proxy.endAttempt(request, Outcome.ERROR);
                // Enough calls succeed for the congestion control not to reject calls.
                proxy.serveRequest();
                proxy.serveRequest();
                proxy.serveRequest();
            }
        }

        @Test
        void ejectsAServerThatDoesNotAnswerCalls() {
            // A hung server accepts connections and answers probes; only calls past their deadline reveal it.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 8; i++) {
                proxy.serveRequest();
            }
            int lost = 0;
            for (int i = 0; i < 40; i++) {
                String request = proxy.sendRequest(SimulatedProxy.UNSAFE);
                if ("a".equals(proxy.latestServer(request))) {
                    lost++;
                    proxy.advanceMs(1_000);
                    proxy.endAttempt(request, Outcome.TIMEOUT);
                } else {
                    proxy.advanceMs(50);
                    proxy.endAttempt(request, Outcome.OK);
                }
            }
            assertTrue(lost <= 3, "calls lost: " + lost);
        }
    }

    /** Rule 1: each request gets one final answer before its deadline, and nothing after it. */
    @Nested
    class OneAnswer {

        @Test
        void failsBeforeTheDeadlineWhenNoServerIsKnown() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers();
            String request = proxy.sendRequest(SimulatedProxy.SAFE);
            proxy.advanceMs(1_000);
            assertEquals(1, proxy.countActions("fail " + request) + proxy.countActions("refuse " + request));
            proxy.updateServer("a", 0, ServerStatus.UP);
            proxy.advanceMs(10_000);
            assertEquals(0, proxy.countActions("send " + request));
        }

        @Test
        void answersOnceAfterATimeoutAtTheDeadline() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a");
            String request = proxy.sendRequest(SimulatedProxy.UNSAFE);
            proxy.advanceMs(1_000);
            proxy.endAttempt(request, Outcome.TIMEOUT);
            proxy.advanceMs(1_000);
            assertEquals(1, proxy.countActions("fail " + request));
            assertEquals(1, proxy.countActions("send " + request));
        }

        @Test
        void givesNoAnswerAfterTheClientHasDisconnected() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            String request = proxy.sendRequest(SimulatedProxy.SAFE);
            proxy.logic.clientGone(proxy.nowUs, request);
            proxy.endAttempt(request, Outcome.ERROR);
            proxy.advanceMs(2_000);
            assertEquals(0, proxy.countActions("fail") + proxy.countActions("refuse"));
            assertEquals(1, proxy.countActions("send"));
            assertTrue(proxy.hasAction("cancel " + request + " 0"));
        }

        @Test
        void ignoresEventsForUnknownOrEndedRequests() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a");
            proxy.serveRequest();
            int before = proxy.recordedActions.size();
            proxy.logic.clientGone(proxy.nowUs, "r0");
            proxy.logic.outcome(proxy.nowUs, "r0", 0, "a", Outcome.OK, 1, true, null);
            proxy.logic.outcome(proxy.nowUs, "unknown", 3, "a", Outcome.ERROR, 1, false, null);
            assertEquals(before, proxy.recordedActions.size());
        }

        @Test
        void doesNotSendARequestWhoseClientLeftWhileItWaited() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers();
            String request = proxy.sendRequest(SimulatedProxy.SAFE);
            proxy.logic.clientGone(proxy.nowUs, request);
            proxy.updateServer("a", 0, ServerStatus.UP);
            proxy.advanceMs(2_000);
            assertEquals(0, proxy.countActions("send"));
        }
    }

    /** Rule 2: a request takes effect at most once. */
    @Nested
    class Effects {

        @Test
        void unsafeCallIsRetriedOnlyIfItProvablyDidNotRun() {
            for (Outcome outcome : Outcome.values()) {
                if (outcome == Outcome.OK) {
                    continue;
                }
                SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
                String request = proxy.sendRequest(SimulatedProxy.UNSAFE);
                proxy.endAttempt(request, outcome);
                assertEquals(outcome.provesNotRun ? 2 : 1, proxy.countActions("send " + request),
                        outcome.name());
                if (!outcome.provesNotRun) {
                    assertEquals(1, proxy.countActions("fail " + request), outcome.name());
                    assertEquals(0, proxy.countActions("refuse " + request), outcome.name());
                }
            }
        }

        @Test
        void slowUnsafeCallIsNotHedged() {
            SimulatedProxy.TestSettings settings = testSettings();
            settings.canHedge = true;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a", "b", "c");
            proxy.serveRequest();
            String request = proxy.sendRequest(SimulatedProxy.UNSAFE);
            proxy.advanceMs(900);
            assertEquals(1, proxy.countActions("send " + request));
        }

        @Test
        void slowSafeCallIsHedgedOnlyIfHedgingIsAllowed() {
            for (boolean allowed : new boolean[] {true, false}) {
                SimulatedProxy.TestSettings settings = testSettings();
                settings.canHedge = allowed;
                SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a", "b", "c");
                proxy.serveRequest();
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                proxy.advanceMs(300);
                assertEquals(allowed ? 2 : 1, proxy.countActions("send " + request));
                if (allowed) {
                    proxy.endAttempt(request, 1, Outcome.OK);
                    assertTrue(proxy.hasAction("cancel " + request + " 0"));
                }
            }
        }

        @Test
        void keyedCallIsRetriedOnlyWithinItsZone() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            String request = proxy.sendRequest(SimulatedProxy.KEYED_IN_ZONE);
            String first = proxy.latestServer(request);
            proxy.endAttempt(request, Outcome.ERROR);
            assertEquals("ab".contains(first), "ab".contains(proxy.latestServer(request)));
            assertNotEquals(first, proxy.latestServer(request));
            proxy.endAttempt(request, Outcome.ERROR);
            proxy.advanceMs(1_000);
            assertEquals(2, proxy.countActions("send " + request));
            assertEquals(1, proxy.countActions("fail " + request));
        }

        @Test
        void keyedCallIsNotRetriedAfterItsDedupWindow() {
            SimulatedProxy.TestSettings settings = testSettings();
            settings.aimUs = 1_000 * US_PER_MS;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a", "b");
            String request = proxy.sendRequest(SimulatedProxy.KEYED);
            proxy.advanceMs(601);
            proxy.endAttempt(request, Outcome.ERROR);
            assertEquals(1, proxy.countActions("send " + request));
        }

        @Test
        void keyedCallThatWaitedBeyondItsDedupWindowIsNotRetried() {
            SimulatedProxy.TestSettings settings = testSettings();
            settings.aimUs = 950 * US_PER_MS;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a");
            String request = proxy.sendRequest(SimulatedProxy.KEYED);
            proxy.advanceMs(50);
            proxy.endAttempt(request, Outcome.RESET);
            assertEquals(1, proxy.attemptCounts.get(request), "no other server is known yet");
            proxy.advanceMs(600);
            proxy.updateServer("b", 0, ServerStatus.UP);
            proxy.advanceMs(300);
            assertEquals(1, proxy.attemptCounts.get(request));
            assertTrue(proxy.hasAction("refuse " + request) || proxy.hasAction("fail " + request),
                    "refused or failed expected, actions: " + proxy.recordedActions);
        }

        @Test
        void retriesStayWithinTheRetryBudget() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                while (proxy.countActions("fail " + request) + proxy.countActions("refuse " + request) == 0) {
                    proxy.endAttempt(request, Outcome.ERROR);
                }
                proxy.advanceMs(20);
            }
            assertTrue(proxy.countActions("send") <= 100 + 5 + 10, "sends: " + proxy.countActions("send"));
        }

        @Test
        void attemptsStayWithinMaxAttempts() {
            SimulatedProxy proxy =
                    new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d", "e", "f");
            String request = proxy.sendRequest(SimulatedProxy.SAFE);
            while (proxy.countActions("fail " + request) + proxy.countActions("refuse " + request) == 0) {
                proxy.endAttempt(request, Outcome.FULL);
            }
            assertEquals(4, proxy.countActions("send " + request));
        }
    }

    /** Rule 3: draining servers get no calls, and changes of the list are followed. */
    @Nested
    class Servers {

        @Test
        void sendsNothingToDrainingRemovedOrUnlistedServers() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            proxy.updateServer("a", 0, ServerStatus.DRAINING);
            proxy.updateServer("b", 0, ServerStatus.GONE);
            proxy.logic.serversChanged(proxy.nowUs, ListKind.WHOLE, List.of(
                    new Server("a", 0, 0, 0, 1, ServerStatus.DRAINING), new Server("d", 0, 0, 0,
                            1, ServerStatus.UP)));
            for (int i = 0; i < 10; i++) {
                assertEquals("d", proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE)));
                proxy.advanceMs(20);
                proxy.endAttempt("r" + i, Outcome.OK);
            }
        }

        @Test
        void watchRetriesUseIncreasingBoundedDelays() {
            SimulatedProxy.TestSettings settings = testSettings();
            settings.watchesDiscovery = true;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a");
            assertEquals(1, proxy.countActions("watch"));
            long last = 0;
            for (int i = 1; i < 6; i++) {
                proxy.logic.discoveryFailed(proxy.nowUs);
                long failed = proxy.nowUs;
                while (proxy.countActions("watch") == i) {
                    proxy.advanceMs(10);
                }
                last = proxy.nowUs - failed;
                assertTrue(last < 8_000 * US_PER_MS, "pause in us: " + last);
            }
            assertTrue(last > 500 * US_PER_MS, "last pause in us: " + last);
        }

        @Test
        void startsANewWatchAboutASecondAfterAFailure() {
            for (int seed = 0; seed < 50; seed++) {
                SimulatedProxy.TestSettings settings = testSettings();
                settings.watchesDiscovery = true;
                SimulatedProxy proxy = new SimulatedProxy(settings, seed).withServers("a");
                assertEquals(1, proxy.countActions("watch"));
                proxy.logic.discoveryFailed(proxy.nowUs);
                proxy.advanceMs(900);
                assertEquals(1, proxy.countActions("watch"), "seed " + seed);
                proxy.advanceMs(400);
                assertEquals(2, proxy.countActions("watch"), "seed " + seed);
            }
        }

        @Test
        void startsNoWatchWhenTheListIsPushed() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a");
            proxy.logic.discoveryFailed(proxy.nowUs);
            assertEquals(0, proxy.countActions("watch"));
        }
    }

    /** Rule 4: the calls that all copies together send to a cold server stay below its share. */
    @Nested
    class ColdServers {

        @Test
        void allCopiesTogetherSendAColdServerLessThanAWarmServersShare() {
            int cold = 0;
            int warm = 0;
            for (int copy = 0; copy < 20; copy++) {
                SimulatedProxy proxy =
                        new SimulatedProxy(testSettings(), copy).withServers("a", "b", "c", "d");
                for (int i = 0; i < 20; i++) {
                    proxy.serveRequest();
                }
                proxy.updateServer("new", proxy.nowUs, ServerStatus.UP);
                for (int i = 0; i < 40; i++) {
                    String server = proxy.serveRequest();
                    cold += server.equals("new") ? 1 : 0;
                    warm += server.equals("new") ? 0 : 1;
                }
            }
            assertTrue(cold > 0, "a cold server must get some work");
            assertTrue(cold < 0.6 * warm / 4,
                    cold + " calls to the cold server, " + warm / 4 + " to each warm server");
        }

        @Test
        void copiesDoNotAllSendToANewServerAtOnce() {
            int pounced = 0;
            for (int copy = 0; copy < 40; copy++) {
                SimulatedProxy proxy =
                        new SimulatedProxy(testSettings(), copy).withServers("a", "b", "c", "d");
                for (int i = 0; i < 20; i++) {
                    proxy.serveRequest();
                }
                proxy.updateServer("new", proxy.nowUs, ServerStatus.UP);
                pounced += "new".equals(proxy.serveRequest()) ? 1 : 0;
            }
            assertTrue(pounced < 12, pounced + " of 40 copies took the new server first");
        }

        @Test
        void delayBeforeAColdServersNextCallFollowsItsPresentCapacity() {
            // A delay computed once at the server's start kept copies with few calls from using it for
            // minutes, long after it was warm.
            for (int seed = 0; seed < 20; seed++) {
                SimulatedProxy proxy = new SimulatedProxy(testSettings(), seed).withServers("a", "b", "c",
                        "d", "e", "f", "g", "h", "i", "j");
                for (int i = 0; i < 20; i++) {
                    proxy.serveRequest();
                    proxy.advanceMs(1_950);
                }
                proxy.updateServer("new", proxy.nowUs, ServerStatus.UP);
                Set<String> used = new HashSet<>();
                for (int i = 0; i < 14; i++) {
                    used.add(proxy.serveRequest());
                    proxy.advanceMs(1_950);
                }
                assertTrue(used.contains("new"),
                        "not used within 28 s, though cold for only 8 s; seed " + seed);
            }
        }

        @Test
        void serverRestartedUnderTheSameIdIsCold() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            for (int i = 0; i < 10; i++) {
                proxy.serveRequest();
            }
            proxy.updateServer("a", proxy.nowUs, ServerStatus.UP);
            int calls = 0;
            for (int i = 0; i < 10; i++) {
                calls += proxy.serveRequest().equals("a") ? 1 : 0;
            }
            assertTrue(calls <= 4, "calls to the restarted server: " + calls);
        }
    }

    /** Probes, overload, congestion and quotas of tenants. */
    @Nested
    class Exceptions {

        private SimulatedProxy.TestSettings probing() {
            SimulatedProxy.TestSettings settings = testSettings();
            settings.canProbe = true;
            return settings;
        }

        @Test
        void probesTwoServersAndUsesTheFirstFoundIdle() {
            SimulatedProxy proxy = new SimulatedProxy(probing()).withServers("a", "b", "c", "d");
            proxy.answerProbe("d", 3);
            String request = proxy.sendRequest(SimulatedProxy.SAFE);
            assertEquals(2, proxy.countActions("probe"));
            assertNull(proxy.latestServer(request));
            String busy = proxy.recordedActions.get(0).substring(6);
            String idle = proxy.recordedActions.get(1).substring(6);
            proxy.nowUs += US_PER_MS;
            proxy.answerProbe(busy, 1);
            assertNull(proxy.latestServer(request));
            proxy.answerProbe(idle, 0);
            assertEquals(idle, proxy.latestServer(request));
        }

        @Test
        void serverThatIsNeverIdleIsNotProbedForEachCall() {
            // Hung servers keep their backlog and were never assigned a call, so each call probed them first.
            // The load that they reported was assumed for all other servers, until nothing was sent any more.
            SimulatedProxy proxy =
                    new SimulatedProxy(probing()).withServers("a", "b", "c", "d", "e", "f", "g", "h");
            for (int i = 0; i < 60; i++) {
                int seen = proxy.recordedActions.size();
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                for (int ms = 0; ms < 20; ms++) {
                    proxy.advanceMs(1);
                    for (; seen < proxy.recordedActions.size(); seen++) {
                        String line = proxy.recordedActions.get(seen);
                        if (line.startsWith("probe")) {
                            proxy.answerProbe(line.substring(6),
                                    line.endsWith("a") || line.endsWith("b") ? 6 : 0);
                        }
                    }
                }
                assertNotNull(proxy.latestServer(request), "request " + i + " was not sent");
                proxy.advanceMs(50);
                proxy.endAttempt(request, Outcome.OK);
                proxy.advanceMs(500);
            }
            assertTrue(proxy.countActions("probe a") + proxy.countActions("probe b") < 45,
                    "probes to hung servers: "
                    + (proxy.countActions("probe a") + proxy.countActions("probe b")));
        }

        @Test
        void probesOneServerAtATimeUnderLightLoad() {
            // Under light load the first probed server is nearly always idle, so a second probe is
            // wasted cost.
            SimulatedProxy proxy = new SimulatedProxy(probing()).withServers("a", "b", "c", "d");
            String request = proxy.sendRequest(SimulatedProxy.SAFE);
            assertEquals(1, proxy.countActions("probe"));
            String asked = proxy.recordedActions.get(0).substring(6);
            proxy.nowUs += US_PER_MS;
            proxy.answerProbe(asked, 0);
            assertEquals(asked, proxy.latestServer(request));
        }

        /** Returns a copy that has had 12 calls served, all of whose probes reported a load of 0. */
        private SimulatedProxy served(String... servers) {
            SimulatedProxy proxy = new SimulatedProxy(probing()).withServers(servers);
            for (int i = 0; i < 12; i++) {
                int seen = proxy.recordedActions.size();
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                proxy.advanceMs(1);
                for (; seen < proxy.recordedActions.size(); seen++) {
                    if (proxy.recordedActions.get(seen).startsWith("probe")) {
                        proxy.answerProbe(proxy.recordedActions.get(seen).substring(6), 0);
                    }
                }
                proxy.advanceMs(50);
                proxy.endAttempt(request, Outcome.OK);
                proxy.advanceMs(100);
            }
            return proxy;
        }

        @Test
        void resumesProbingOnceSlowProbesAreFastAgain() {
            // A stall of the proxy in its first seconds made probes look slow, and it never probed again.
            SimulatedProxy proxy = served("a", "b", "c", "d");
            for (String s : List.of("a", "b", "c", "d")) {
                proxy.logic.probeResult(proxy.nowUs, s, Outcome.OK, 200 * US_PER_MS, new LoadReport(0, 0, 0));
            }
            proxy.advanceMs(2_000);
            String slow = proxy.sendRequest(SimulatedProxy.SAFE);
            assertNotNull(proxy.latestServer(slow), "a call must not wait for slow probes");
            proxy.endAttempt(slow, Outcome.OK);
            int seen = proxy.recordedActions.size();
            for (int i = 0; i < 40; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                proxy.advanceMs(1);
                answer(proxy, seen, 0, "");
                seen = proxy.recordedActions.size();
                proxy.advanceMs(300);
                proxy.endAttempt(request, Outcome.OK);
            }
            assertNull(proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE)),
                    "the call must wait for the answer to its probe");
        }

        /** Answers the probes recorded from an index on, except those to unreachable servers. */
        private void answer(SimulatedProxy proxy, int since, int inFlight, String cutOff) {
            for (int i = since; i < proxy.recordedActions.size(); i++) {
                String[] words = proxy.recordedActions.get(i).split(" ");
                if (words[0].equals("probe") && !cutOff.contains(words[1])) {
                    proxy.answerProbe(words[1], inFlight);
                }
            }
        }

        @Test
        void serverWithAnUnansweredProbeDoesNotGetTheCall() {
            // The least recently assigned server is probed first. When it did not answer, the call went to it
            // all the same, as it was still the least recently assigned one.
            SimulatedProxy proxy = served("a", "b", "c", "d");
            int seen = proxy.recordedActions.size();
            String request = proxy.sendRequest(SimulatedProxy.SAFE);
            String silent = proxy.recordedActions.get(seen).substring(6);
            proxy.advanceMs(50);
            assertNotNull(proxy.latestServer(request));
            assertNotEquals(silent, proxy.latestServer(request));
        }

        @Test
        void ejectsAServerAfterTwoUnansweredProbes() {
            // An unreachable server that was only demoted still got calls while all other servers were busy.
            SimulatedProxy proxy = served("a", "b", "c", "d");
            int before = proxy.countActions("probe a");
            for (int i = 0; i < 2; i++) {
                proxy.logic.probeResult(proxy.nowUs, "a", Outcome.TIMEOUT, 50 * US_PER_MS, null);
            }
            for (int i = 0; i < 6; i++) {
                int seen = proxy.recordedActions.size();
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                proxy.advanceMs(5);
                answer(proxy, seen, 0, "a");
                proxy.advanceMs(5);
                assertNotEquals("a", proxy.latestServer(request));
            }
            assertEquals(before, proxy.countActions("probe a"));
        }

        @Test
        void probeThatWasNotSentDoesNotCountAgainstItsServer() {
            // Two probes that failed on the proxy's own machine ejected a server that had received no probe.
            SimulatedProxy proxy = served("a", "b", "c", "d");
            for (int i = 0; i < 2; i++) {
                proxy.logic.probeResult(proxy.nowUs, "a", Outcome.NOT_SENT, 0, null);
            }
            int before = proxy.countActions("probe a");
            for (int i = 0; i < 8; i++) {
                int seen = proxy.recordedActions.size();
                proxy.sendRequest(SimulatedProxy.SAFE);
                proxy.advanceMs(5);
                answer(proxy, seen, 0, "");
                proxy.advanceMs(5);
            }
            assertNotEquals(before, proxy.countActions("probe a"));
        }

        @Test
        void prefersABusyServerToOneWithUnansweredProbes() {
            // A partition of the zone makes more than half of the servers unreachable, so some of them are
            // not ejected; those got every call that found the reachable servers busy.
            SimulatedProxy proxy = served("a", "b", "c");
            for (String cutOff : List.of("a", "b", "a", "b")) {
                proxy.logic.probeResult(proxy.nowUs, cutOff, Outcome.TIMEOUT, 50 * US_PER_MS, null);
            }
            int seen = proxy.recordedActions.size();
            String request = proxy.sendRequest(SimulatedProxy.SAFE);
            for (int i = 0; i < 4; i++) {
                proxy.advanceMs(2);
                answer(proxy, seen, 1, "a b");
                seen = proxy.recordedActions.size();
            }
            proxy.advanceMs(10);
            assertEquals("c", proxy.latestServer(request));
        }

        @Test
        void waitingCallsKeepTheirOrderAndLikelyLateOnesAreNotSent() {
            // Under overload each waiting call was sent just before its deadline, so most answers were late.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a");
            for (int i = 0; i < 12; i++) {
                proxy.serveRequest();
            }
            List<String> sent = new ArrayList<>();
            List<String> held = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                (proxy.latestServer(request) == null ? held : sent).add(request);
            }
            assertTrue(held.size() > 1, "waiting calls: " + held);
            proxy.advanceMs(100);
            proxy.endAttempt(sent.get(0), Outcome.OK);
            String newest = held.get(held.size() - 1);
            for (int i = 1; i < sent.size() && proxy.latestServer(held.get(0)) == null; i++) {
                proxy.endAttempt(sent.get(i), Outcome.OK);
            }
            assertNotNull(proxy.latestServer(held.get(0)));
            assertNull(proxy.latestServer(newest));
            proxy.advanceMs(260);
            for (String request : sent) {
                proxy.logic.outcome(proxy.nowUs, request, 0, "a", Outcome.OK, 360 * US_PER_MS, true, null);
            }
            for (String request : held) {
                assertTrue(proxy.latestServer(request) != null || proxy.hasAction("refuse " + request)
                        || proxy.hasAction("fail " + request), request);
            }
            assertNull(proxy.latestServer(newest), "sent though only 40 of 400 ms were left");
        }

        @Test
        void sendsTheCallEvenIfNoProbeIsAnswered() {
            SimulatedProxy proxy = new SimulatedProxy(probing()).withServers("a", "b", "c", "d");
            String request = proxy.sendRequest(SimulatedProxy.SAFE);
            proxy.advanceMs(50);
            assertNotNull(proxy.latestServer(request));
        }

        @Test
        void sendsNoProbesWhereTheyAreNotAllowed() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            proxy.serveRequest();
            assertEquals(0, proxy.countActions("probe"));
        }

        @Test
        void sendsNoCallsThatCannotBeAnsweredBeforeTheirAim() {
            // The calls that each copy queued kept the whole tier busy with answers later than the aim.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            for (int i = 0; i < 10; i++) {
                proxy.serveRequest();
            }
            for (int i = 0; i < 60; i++) {
                proxy.sendRequest(SimulatedProxy.SAFE);
            }
            int sent = proxy.countActions("send") - 10;
            assertTrue(sent < 12, "sent at once: " + sent);
            proxy.advanceMs(1_000);
            assertEquals(60, sent + proxy.countActions("fail") + proxy.countActions("refuse")
                    + proxy.countActions("send") - 10 - sent);
        }

        @Test
        void withProbesCallsBeyondTheQuotaStillGoToIdleServers() {
            // A copy that gets a tenant's calls unevenly, about one per second, refused calls within the
            // quota.
            SimulatedProxy.TestSettings settings = probing();
            settings.tenantQuotaPerSecond = 3;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a", "b", "c");
            for (int i = 0; i < 30; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE, 1);
                for (String server : List.of("a", "b", "c")) {
                    proxy.answerProbe(server, 0);
                }
                assertNotNull(proxy.latestServer(request));
                proxy.advanceMs(10);
                proxy.endAttempt(request, Outcome.OK);
            }
        }

        @Test
        void callsRejectedForCongestionDoNotUseUpTheQuota() {
            // Retries of clients during congestion used up their tenant's quota and delayed the recovery.
            SimulatedProxy.TestSettings settings = testSettings();
            settings.tenantQuotaPerSecond = 3;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a", "b", "c", "d");
            for (int i = 0; i < 60; i++) {
                String request = proxy.sendRequest(SimulatedProxy.UNSAFE, i < 30 ? 0 : 1);
                if (proxy.latestServer(request) != null) {
                    proxy.endAttempt(request, Outcome.ERROR);
                }
                proxy.advanceMs(i < 30 ? 30 : 1);
            }
            for (int i = 0; i < 1_500; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                proxy.advanceMs(1);
                if (proxy.latestServer(request) != null) {
                    proxy.endAttempt(request, Outcome.OK);
                }
            }
            int begun = 0;
            for (int i = 0; i < 5; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE, 1);
                proxy.advanceMs(1);
                if (proxy.latestServer(request) != null) {
                    begun++;
                    proxy.endAttempt(request, Outcome.OK);
                }
            }
            assertEquals(5, begun);
        }

        @Test
        void requestsBeyondTheirTenantsQuotaAreRefused() {
            // Requests beyond the quota have little worth, and they displaced requests within the quota.
            SimulatedProxy.TestSettings settings = testSettings();
            settings.tenantQuotaPerSecond = 30;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a", "b");
            int sent = 0;
            for (int i = 0; i < 60; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE, 1);
                proxy.advanceMs(10);
                if (proxy.latestServer(request) != null) {
                    sent++;
                    proxy.endAttempt(request, Outcome.OK);
                } else {
                    assertTrue(proxy.hasAction("refuse " + request));
                }
            }
            assertTrue(sent >= 10 && sent <= 20,
                    "sent of 60 in 0.6 s, with a quota of 10 per second for this copy: " + sent);
            assertNotNull(proxy.serveRequest(), "requests of other tenants are served as before");
            proxy.advanceMs(2_000);
            assertNotNull(proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE, 1)),
                    "after a pause the quota has refilled");
        }

        @Test
        void congestionLimitsCallsUntilCallsAreServedAgain() {
            // Servers worked on calls whose callers had gone, and each further call kept the congestion up.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                proxy.sendRequest(SimulatedProxy.SAFE);
                proxy.advanceMs(100);
            }
            int begun = proxy.serversByRequest.size();
            assertTrue(begun < 40, "calls sent of 100, none served: " + begun);
            assertEquals(1, proxy.countActions("log jam"));
            for (int i = 0; i < 100; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                proxy.advanceMs(100);
                if (proxy.latestServer(request) != null) {
                    proxy.endAttempt(request, Outcome.OK);
                }
            }
            begun = proxy.serversByRequest.size();
            for (int i = 0; i < 20; i++) {
                assertNotNull(proxy.serveRequest());
            }
            assertEquals(begun + 20, proxy.serversByRequest.size());
            assertEquals(1, proxy.countActions("log the jam has cleared"));
        }

        @Test
        void clientsThatDisconnectEarlyDoNotCountAsCongestion() {
            // Clients that disconnect early were counted as calls that the servers had served too slowly.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                String left = proxy.sendRequest(SimulatedProxy.SAFE);
                proxy.advanceMs(20);
                proxy.logic.clientGone(proxy.nowUs, left);
                proxy.endAttempt(left, Outcome.CANCELLED);
                if (i % 4 == 0) {
                    assertNotNull(proxy.serveRequest());
                }
            }
            assertEquals(0, proxy.countActions("refuse") + proxy.countActions("log jam"));
        }

        @Test
        void clientsThatDisconnectAfterTheirAimCountAsNotServed() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 25; i++) {
                List<String> late =
                        List.of(proxy.sendRequest(SimulatedProxy.SAFE),
                        proxy.sendRequest(SimulatedProxy.SAFE), proxy.sendRequest(SimulatedProxy.SAFE));
                proxy.advanceMs(500);
                late.forEach(request -> proxy.logic.clientGone(proxy.nowUs, request));
            }
            assertNotEquals(0, proxy.countActions("log jam"));
        }

        @Test
        void failureCountDecaysWhileNoCallIsSent() {
            // The failure count decayed only when a call was sent, so a copy with few calls refused them for
            // seconds.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            List<String> failed = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                failed.add(proxy.sendRequest(SimulatedProxy.UNSAFE));
            }
            proxy.advanceMs(500);
            failed.forEach(request -> proxy.endAttempt(request, Outcome.ERROR));
            proxy.sendRequest(SimulatedProxy.SAFE);
            assertEquals(1, proxy.countActions("log jam"));
            proxy.advanceMs(2_000);
            for (int i = 0; i < 20; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                assertNotNull(proxy.latestServer(request),
                        "refused " + 2 * (i + 1) + " s after the failures");
                proxy.advanceMs(2_000);
                proxy.endAttempt(request, Outcome.OK);
            }
        }

        @Test
        void longCallsDoNotRaiseTheEstimatedSlownessOfTheirServer() {
            // Slow servers got only long calls, so they were estimated as slower still and were half idle.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            String held = proxy.sendRequest(SimulatedProxy.SAFE);
            String other = proxy.latestServer(held).equals("a") ? "b" : "a";
            for (int i = 0; i < 200; i++) {
                // While one server is busy, the other gets every call: a only long calls, b only short ones.
                String request = proxy.sendRequest(other.equals("a") ? SimulatedProxy.UNSAFE
                        : SimulatedProxy.SAFE);
                assertEquals(other, proxy.latestServer(request));
                long took = other.equals("a") ? 90 : 30;
                proxy.advanceMs(took);
                proxy.logic.outcome(proxy.nowUs, request, 0, other, Outcome.OK, took * US_PER_MS, true, null);
                if (i % 10 == 9) {
                    String next = proxy.sendRequest(SimulatedProxy.SAFE);
                    assertEquals(other, proxy.latestServer(next));
                    proxy.logic.outcome(proxy.nowUs, held, 0, proxy.latestServer(held), Outcome.OK,
                            30 * US_PER_MS, true, null);
                    other = proxy.latestServer(held);
                    held = next;
                }
            }
            proxy.endAttempt(held, Outcome.OK);
            int before = proxy.recordedActions.size();
            for (int i = 0; i < 40; i++) {
                proxy.sendRequest(SimulatedProxy.SAFE);
            }
            List<String> sent = proxy.recordedActions.subList(before, proxy.recordedActions.size());
            long toLong = sent.stream().filter(line -> line.matches("send r\\d+ a .*")).count();
            long toShort = sent.stream().filter(line -> line.matches("send r\\d+ b .*")).count();
            assertTrue(toLong * 2 > toShort, "calls sent to a: " + toLong + ", to b: " + toShort);
        }

        @Test
        void clientRetryWhoseAimHasPassedSinceTheFirstTryIsNotSent() {
            // The last try of a client carries its remaining time, which shows when the first try arrived.
            // Under overload, calls whose aim had passed since the first try were sent all the same.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            for (int i = 0; i < 12; i++) {
                proxy.serveRequest();
            }
            long first = 600 * US_PER_MS;
            proxy.logic.request(proxy.nowUs, new Request("first", SimulatedProxy.SAFE, 0, first, 0, false));
            proxy.logic.request(proxy.nowUs, new Request("again", SimulatedProxy.SAFE, 0, first, 0, true));
            proxy.logic.request(proxy.nowUs,
                    new Request("soon", SimulatedProxy.SAFE, 0, 900 * US_PER_MS, 0, true));
            proxy.logic.request(proxy.nowUs,
                    new Request("late", SimulatedProxy.SAFE, 0, 500 * US_PER_MS, 0, true));
            assertNotNull(proxy.latestServer("first"));
            assertNotNull(proxy.latestServer("again"),
                    "a retry with its full time left does not show when the first try arrived");
            assertNotNull(proxy.latestServer("soon"), "100 ms of the aim of 400 ms have passed");
            assertNull(proxy.latestServer("late"), "500 ms have passed, more than the aim of 400 ms");
            assertTrue(proxy.hasAction("fail late") || proxy.hasAction("refuse late"));
        }

        @Test
        void slowPeriodDoesNotMakeLaterCallsLookUnservable() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            for (int i = 0; i < 40; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                proxy.advanceMs(900);
                if (proxy.latestServer(request) != null) {
                    proxy.logic.outcome(proxy.nowUs, request, 0, proxy.latestServer(request), Outcome.OK,
                            900 * US_PER_MS, true, null);
                }
            }
            int before = proxy.countActions("send");
            for (int i = 0; i < 300; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE);
                proxy.advanceMs(50);
                if (proxy.latestServer(request) != null) {
                    proxy.endAttempt(request, Outcome.OK);
                }
            }
            assertTrue(proxy.countActions("send") - before > 100,
                    "calls sent after the slow period: " + (proxy.countActions("send") - before));
        }
    }

    @Test
    void invalidSettingsAreRejectedWithTheirName() {
        SimulatedProxy.TestSettings settings = testSettings();
        settings.maxAttempts = 0;
        var e = assertThrows(IllegalArgumentException.class, () -> new SimulatedProxy(settings));
        assertTrue(e.getMessage().startsWith("limits.maxAttempts"), e.getMessage());
        settings.maxAttempts = 1;
        settings.coldStartShare = 0;
        e = assertThrows(IllegalArgumentException.class, () -> new SimulatedProxy(settings));
        assertTrue(e.getMessage().startsWith("rules.coldFrom"), e.getMessage());
        assertThrows(IllegalArgumentException.class, () -> new Logic(null, 1, null));
        assertFalse(new SimulatedProxy(testSettings()).hasAction("anything"));
    }

    /** Servers in maintenance by the operator's command. */
    @Nested
    class Maintenance {

        private final SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c");

        @Test
        void serverInMaintenanceGetsNoCallsWhateverTheListSays() {
            proxy.logic.maintenanceChanged(proxy.nowUs, "a", true);
            proxy.logic.maintenanceChanged(proxy.nowUs, "a", true);
            proxy.updateServer("a", proxy.nowUs, ServerStatus.UP);
            for (int i = 0; i < 12; i++) {
                assertNotEquals("a", proxy.serveRequest());
            }
            proxy.withServers("a", "b", "c");
            proxy.advanceMs(5_000);
            for (int i = 0; i < 12; i++) {
                assertNotEquals("a", proxy.serveRequest());
            }
        }

        @Test
        void endingMaintenanceOnceUndoesTwoStartsAndTheServerIsSoonUsed() {
            proxy.logic.maintenanceChanged(proxy.nowUs, "a", true);
            proxy.logic.maintenanceChanged(proxy.nowUs, "a", true);
            proxy.advanceMs(3_000);
            proxy.logic.maintenanceChanged(proxy.nowUs, "a", false);
            assertTrue(usedWithin(5_000, 300), "a copy with few calls uses the server again within 5 s");
        }

        @Test
        void serverIsColdAfterMaintenanceEvenIfTheListDoesNotReportARestart() {
            SimulatedProxy busy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 200; i++) {
                busy.serveRequest();
            }
            busy.logic.maintenanceChanged(busy.nowUs, "a", true);
            busy.advanceMs(1_000);
            busy.logic.maintenanceChanged(busy.nowUs, "a", false);
            // The list reports the restart that took place during the maintenance only afterwards.
            busy.updateServer("a", busy.nowUs - 500 * US_PER_MS, ServerStatus.UP);
            int taken = 0;
            for (int i = 0; i < 40; i++) {
                taken += "a".equals(busy.serveRequest()) ? 1 : 0;
            }
            assertTrue(taken >= 1 && taken <= 6, "calls of 40, where a warm server would get 10: " + taken);
        }

        @Test
        void retriesAvoidAServerInMaintenance() {
            String first = proxy.sendRequest(SimulatedProxy.SAFE);
            String server = proxy.latestServer(first);
            proxy.logic.maintenanceChanged(proxy.nowUs, server, true);
            proxy.endAttempt(first, Outcome.NOT_SENT);
            assertNotEquals(server, proxy.latestServer(first));
        }

        @Test
        void maintenanceAppliesToAServerThatIsListedLater() {
            proxy.logic.maintenanceChanged(proxy.nowUs, "d", true);
            proxy.updateServer("d", 0, ServerStatus.UP);
            proxy.advanceMs(5_000);
            for (int i = 0; i < 12; i++) {
                assertNotEquals("d", proxy.serveRequest());
            }
            proxy.logic.maintenanceChanged(proxy.nowUs, "d", false);
            boolean used = false;
            for (int i = 0; i < 100; i++) {
                used |= "d".equals(proxy.serveRequest());
            }
            assertTrue(used);
        }

        @Test
        void serverRemovedFromTheListDuringMaintenanceIsNotUsedAfterwards() {
            proxy.logic.maintenanceChanged(proxy.nowUs, "a", true);
            proxy.logic.serversChanged(proxy.nowUs, ListKind.WHOLE,
                    List.of(new Server("b", 0, 0, 0, 1, ServerStatus.UP)));
            proxy.logic.maintenanceChanged(proxy.nowUs, "a", false);
            proxy.advanceMs(5_000);
            assertEquals("b", proxy.serveRequest());
            assertEquals("b", proxy.serveRequest());
        }

        private boolean usedWithin(long ms, long gapMs) {
            boolean used = false;
            for (long at = 0; at < ms; at += gapMs) {
                used |= "a".equals(proxy.serveRequest());
                proxy.advanceMs(gapMs - 50);
            }
            return used;
        }
    }

    /** Estimates of service times in a copy that has just started. */
    @Nested
    class Beginning {

        @Test
        void oneSlowFirstCallDoesNotMakeLaterCallsLookUnservable() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c");
            String first = proxy.sendRequest(SimulatedProxy.SAFE);
            proxy.advanceMs(410);
            proxy.logic.outcome(proxy.nowUs, first, 0, proxy.latestServer(first), Outcome.OK, 410 * US_PER_MS,
                    true, null);
            proxy.advanceMs(1_000);
            for (int i = 0; i < 5; i++) {
                assertNotNull(proxy.serveRequest(),
                        "must be sent, though the only call so far took longer than the aim");
            }
            assertEquals(0, proxy.countActions("refuse"));
        }
    }

    /** Request and response bodies too large to be buffered, which are streamed. */
    @Nested
    class Large {

        private final SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");

        private String upload() {
            proxy.logic.request(proxy.nowUs,
                    new Request("up", SimulatedProxy.UNSAFE, 0, 1_000 * US_PER_MS, 0, false, true));
            return proxy.latestServer("up");
        }

        private Set<String> twoMore() {
            return new HashSet<>(List.of(proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE)),
                    proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE))));
        }

        /** Serves 20 calls so that both servers are known to take 50 ms per call. */
        private void learn() {
            for (int i = 0; i < 20; i++) {
                proxy.serveRequest();
            }
        }

        @Test
        void serverCountsAsIdleWhileItsRequestBodyIsBeingUploaded() {
            learn();
            String server = upload();
            Set<String> taken = twoMore();
            assertEquals(Set.of("a", "b"), taken);
            proxy.logic.uploadCompleted(proxy.nowUs, "up");
            assertTrue(taken.contains(server));
        }

        @Test
        void slowUploadDoesNotCountAgainstItsServer() {
            learn();
            String server = upload();
            proxy.advanceMs(20_000);
            proxy.logic.uploadCompleted(proxy.nowUs, "up");
            proxy.advanceMs(60);
            proxy.endAttempt("up", Outcome.OK);
            assertEquals(0, proxy.countActions("log"));
            assertEquals(0, proxy.countActions("cancel"));
            assertTrue(Set.of(proxy.serveRequest(), proxy.serveRequest()).contains(server));
        }

        @Test
        void serverIsBusyAndTimeoutsApplyAfterTheUpload() {
            learn();
            String server = upload();
            proxy.advanceMs(20_000);
            proxy.logic.uploadCompleted(proxy.nowUs, "up");
            String other = proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE));
            assertNotEquals(server, other, "the server works on the uploaded request now");
            proxy.advanceMs(900);
            proxy.endAttempt("up", Outcome.TIMEOUT);
            assertTrue(proxy.hasAction("fail up") || proxy.hasAction("refuse up"));
        }

        @Test
        void requestWithAPartlyDiscardedBodyIsNotRetried() {
            upload();
            proxy.logic.bodyDiscarded(proxy.nowUs, "up");
            proxy.endAttempt("up", Outcome.CONNECT_FAILED);
            assertEquals(1, proxy.attemptCounts.get("up"));
            assertTrue(proxy.hasAction("refuse up"), "the request did not run, so the client may retry");
        }

        @Test
        void requestWithAFullyBufferedBodyIsRetriedOnTheOtherServer() {
            upload();
            proxy.endAttempt("up", Outcome.CONNECT_FAILED);
            assertEquals(2, proxy.attemptCounts.get("up"));
        }

        @Test
        void serverOfAStreamedAnswerCountsAsIdleAndTheAnswerNeverTimesOut() {
            learn();
            String request = proxy.sendRequest(SimulatedProxy.SAFE);
            String server = proxy.latestServer(request);
            proxy.advanceMs(50);
            proxy.logic.streamStarted(proxy.nowUs, request, 0, server, 50 * US_PER_MS);
            Set<String> taken = twoMore();
            assertEquals(Set.of("a", "b"), taken);
            proxy.advanceMs(60_000);
            assertEquals(1, proxy.attemptCounts.get(request));
            proxy.endAttempt(request, Outcome.RESET);
            assertFalse(proxy.hasAction("fail " + request) || proxy.hasAction("refuse " + request),
                    "the client already gets its answer");
        }
    }
}
