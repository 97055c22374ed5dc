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
    class ServerChoice {

        @Test
        void prefersIdleServersToBusyOnes() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c");
            Set<String> usedServers = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                usedServers.add(proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)));
            }
            assertEquals(Set.of("a", "b", "c"), usedServers);
        }

        @Test
        void picksTheServerWithFewestInFlightWhenNoneIsIdle() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            String firstRequest = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            proxy.endAttempt(firstRequest, Outcome.OK);
            String freedServer = proxy.latestServer(firstRequest);
            assertEquals(freedServer, proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)));
        }

        @Test
        void picksTheLeastRecentlyAssignedAmongIdleServers() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c");
            String[] firstRound = {proxy.serveRequest(), proxy.serveRequest(), proxy.serveRequest()};
            for (String server : firstRound) {
                assertEquals(server, proxy.serveRequest());
            }
        }

        @Test
        void picksUnusedServersInAnOrderThatDependsOnTheSeed() {
            Set<List<String>> serverOrders = new HashSet<>();
            for (int seed = 0; seed < 20; seed++) {
                SimulatedProxy proxy = new SimulatedProxy(testSettings(), seed).withServers("a", "b", "c");
                serverOrders.add(List.of(proxy.serveRequest(), proxy.serveRequest(), proxy.serveRequest()));
            }
            assertTrue(serverOrders.size() > 2, "orders seen: " + serverOrders);
        }

        @Test
        void slowServerGetsFewerCalls() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            Map<String, Integer> callsByServer = new HashMap<>();
            for (int i = 0; i < 120; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                String server = proxy.latestServer(request);
                callsByServer.merge(server, 1, Integer::sum);
                proxy.advanceMs(100);
                proxy.logic.outcome(proxy.nowUs, request, 0, server, Outcome.OK,
                        server.equals("a") ? 100 * US_PER_MS : 50 * US_PER_MS,
                        true, null);
            }
            assertTrue(callsByServer.get("a") * 1.4 < callsByServer.get("b"),
                    "calls by server: " + callsByServer);
        }

        @Test
        void serverWithSmallRegisteredSizeGetsFewerCallsFromTheStart() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings());
            proxy.logic.serversChanged(proxy.nowUs, ListKind.REMEMBERED, List.of(
                    new Server("small", 0, 0, 0, 1, ServerStatus.UP),
                    new Server("large", 0, 0, 0, 3, ServerStatus.UP)));
            Map<String, Integer> callsByServer = new HashMap<>();
            for (int i = 0; i < 40; i++) {
                callsByServer.merge(proxy.serveRequest(), 1, Integer::sum);
            }
            assertTrue(callsByServer.get("large") > 2 * callsByServer.get("small"),
                    "calls by server: " + callsByServer);
        }

        @Test
        void serverThatReportsMoreInFlightCallsGetsFewerCalls() {
            // When all servers got equal numbers of calls, those slower than registered became overloaded.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            Map<String, Integer> callsByServer = new HashMap<>();
            for (int i = 0; i < 120; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                String server = proxy.latestServer(request);
                callsByServer.merge(server, 1, Integer::sum);
                proxy.advanceMs(50);
                proxy.logic.outcome(proxy.nowUs, request, 0, server, Outcome.OK, 50 * US_PER_MS, true,
                        new LoadReport(server.equals("a") ? 9 : 1, -1, -1));
            }
            assertTrue(callsByServer.get("a") * 1.4 < callsByServer.get("b"),
                    "calls by server: " + callsByServer);
        }

        @Test
        void crossZonePriceReducesCallsToOtherZonesWithoutExcludingThem() {
            SimulatedProxy.TestSettings settings = testSettings();
            settings.crossZonePrice = 0.01;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("near", "near2", "far", "far2");
            Map<String, Integer> callsByServer = new HashMap<>();
            for (int i = 0; i < 120; i++) {
                callsByServer.merge(proxy.serveRequest(), 1, Integer::sum);
            }
            assertTrue(callsByServer.get("far") > 10, "calls by server: " + callsByServer);
            assertTrue(callsByServer.get("far") * 1.5 < callsByServer.get("near"),
                    "calls by server: " + callsByServer);
        }

        @Test
        void actionsDependOnlyOnEventsAndSeedNotOnOtherInstances() {
            SimulatedProxy proxyAlone = new SimulatedProxy(testSettings(), 3).withServers("a", "b", "c");
            SimulatedProxy interleavedProxy =
                    new SimulatedProxy(testSettings(), 3).withServers("a", "b", "c");
            SimulatedProxy otherProxy = new SimulatedProxy(testSettings(), 4).withServers("a", "b", "c");
            for (int i = 0; i < 50; i++) {
                proxyAlone.serveRequest();
                otherProxy.sendRequest(SimulatedProxy.UNSAFE_CLASS);
                interleavedProxy.serveRequest();
            }
            assertEquals(proxyAlone.recordedActions, interleavedProxy.recordedActions);
        }
    }

    /** The subset of a large fleet to which one copy sends its calls. */
    @Nested
    class Subsetting {

        private Map<String, Integer> countCopiesByServer(int copies, List<Server> fleet,
                Map<Integer, Set<String>> serversByCopy) {
            Map<String, Integer> copiesByServer = new HashMap<>();
            for (int copy = 0; copy < copies; copy++) {
                SimulatedProxy.TestSettings settings = testSettings();
                settings.copyNumber = copy;
                settings.copyCount = copies;
                SimulatedProxy proxy = new SimulatedProxy(settings, copy);
                proxy.logic.serversChanged(proxy.nowUs, ListKind.REMEMBERED, fleet);
                Set<String> usedServers = new HashSet<>();
                for (int i = 0; i < 40; i++) {
                    usedServers.add(proxy.serveRequest());
                }
                usedServers.forEach(server -> copiesByServer.merge(server, 1, Integer::sum));
                serversByCopy.put(copy, usedServers);
            }
            return copiesByServer;
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
            Map<Integer, Set<String>> serversByCopy = new HashMap<>();
            Map<String, Integer> copiesByServer = countCopiesByServer(60, fleet(0, 60), serversByCopy);
            assertEquals(60, copiesByServer.size());
            assertTrue(serversByCopy.values().stream().allMatch(s -> s.size() >= 9 && s.size() <= 11),
                    serversByCopy.toString());
            assertTrue(copiesByServer.values().stream().allMatch(n -> n >= 9 && n <= 11),
                    copiesByServer.toString());
        }

        @Test
        void removalOfAServerChangesFewSubsetMembers() {
            Map<Integer, Set<String>> serversByCopyBefore = new HashMap<>();
            Map<Integer, Set<String>> serversByCopyAfter = new HashMap<>();
            countCopiesByServer(30, fleet(0, 60), serversByCopyBefore);
            countCopiesByServer(30, fleet(1, 60), serversByCopyAfter);
            int addedServers = 0;
            for (int copy : serversByCopyBefore.keySet()) {
                serversByCopyAfter.get(copy).removeAll(serversByCopyBefore.get(copy));
                addedServers += serversByCopyAfter.get(copy).size();
            }
            assertTrue(addedServers <= 60,
                    "servers added to the subsets of 30 copies, about 10 each: " + addedServers);
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
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            String failedServer = proxy.latestServer(request);
            proxy.endAttempt(request, Outcome.CONNECT_FAILED);
            proxy.endAttempt(request, Outcome.OK);
            assertNotEquals(failedServer, proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)));
            assertNotEquals(failedServer, proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)));
            assertEquals(failedServer, proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)));
        }

        @Test
        void ejectsAServerAfterConsecutiveFailuresAndUsesItAgainLater() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a");
            for (int i = 0; i < 2; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                assertEquals("a", proxy.latestServer(request));
                proxy.endAttempt(request, Outcome.CONNECT_FAILED);
                proxy.advanceMs(1_000);
            }
            String waitingRequest = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            assertNull(proxy.latestServer(waitingRequest));
            proxy.advanceMs(4_000);
            assertEquals("a", proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)));
        }

        @Test
        void ejectionGetsLongerWithEachFurtherFailure() {
            // Frequent retries would add load to a server that has no free connection.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a");
            long[] ejectionsUs = new long[2];
            for (int i = 0; i < 5; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                long requestedAtUs = proxy.nowUs;
                while (proxy.latestServer(request) == null) {
                    proxy.advanceMs(100);
                    request = proxy.latestServer(request) == null
                            ? proxy.sendRequest(SimulatedProxy.SAFE_CLASS) : request;
                }
                if (i >= 3) {
                    ejectionsUs[i - 3] = proxy.nowUs - requestedAtUs;
                }
                proxy.endAttempt(request, Outcome.CONNECT_FAILED);
            }
            assertTrue(ejectionsUs[1] > ejectionsUs[0] * 3 / 2, ejectionsUs[0] + " then " + ejectionsUs[1]);
        }

        @Test
        void callWaitsWithoutServersAndFailsNearItsDeadline() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers();
            String request = proxy.sendRequest(SimulatedProxy.UNSAFE_CLASS);
            proxy.advanceMs(2_000);
            assertEquals(List.of("fail " + request), proxy.recordedActions);
        }

        @Test
        void sendsAWaitingCallWhenAServerIsAdded() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers();
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            proxy.updateServer("a", 0, ServerStatus.UP);
            proxy.advanceMs(390);
            String secondRequest = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            proxy.advanceMs(390);
            assertTrue("a".equals(proxy.latestServer(request))
                    || "a".equals(proxy.latestServer(secondRequest)));
        }

        @Test
        void ejectsAServerWithAMuchHigherErrorRateThanTheOthers() {
            // A server that answers errors at once is always idle and would attract more and more calls.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            int failedCalls = 0;
            for (int i = 0; i < 200; i++) {
                String request = proxy.sendRequest(SimulatedProxy.UNSAFE_CLASS);
                proxy.advanceMs(20);
                boolean isFailingServer = "a".equals(proxy.latestServer(request));
                failedCalls += isFailingServer ? 1 : 0;
                proxy.endAttempt(request, isFailingServer ? Outcome.ERROR : Outcome.OK);
            }
            assertTrue(failedCalls < 12, "calls that failed: " + failedCalls);
        }

        @Test
        void equalErrorRatesOfAllServersEjectNone() {
            // If the next tier fails, every server returns errors; ejecting servers would only cost capacity.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                String request = proxy.sendRequest(SimulatedProxy.UNSAFE_CLASS);
                assertNotNull(proxy.latestServer(request));
                proxy.advanceMs(20);
                proxy.endAttempt(request, Outcome.ERROR);
                // With three successful calls per error, the congestion control rejects no calls.
                proxy.serveRequest();
                proxy.serveRequest();
                proxy.serveRequest();
            }
        }

        @Test
        void ejectsAServerThatDoesNotAnswerCalls() {
            // A hung server accepts connections and answers probes; only calls that time out show the hang.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 8; i++) {
                proxy.serveRequest();
            }
            int lostCalls = 0;
            for (int i = 0; i < 40; i++) {
                String request = proxy.sendRequest(SimulatedProxy.UNSAFE_CLASS);
                if ("a".equals(proxy.latestServer(request))) {
                    lostCalls++;
                    proxy.advanceMs(1_000);
                    proxy.endAttempt(request, Outcome.TIMEOUT);
                } else {
                    proxy.advanceMs(50);
                    proxy.endAttempt(request, Outcome.OK);
                }
            }
            assertTrue(lostCalls <= 3, "calls lost: " + lostCalls);
        }
    }

    /** Rule 1: each request gets one final answer before its deadline, and nothing after it. */
    @Nested
    class SingleFinalAnswer {

        @Test
        void failsBeforeTheDeadlineWhenNoServerIsKnown() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers();
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            proxy.advanceMs(1_000);
            assertEquals(1, proxy.countActions("fail " + request) + proxy.countActions("refuse " + request));
            proxy.updateServer("a", 0, ServerStatus.UP);
            proxy.advanceMs(10_000);
            assertEquals(0, proxy.countActions("send " + request));
        }

        @Test
        void answersOnceAfterATimeoutAtTheDeadline() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a");
            String request = proxy.sendRequest(SimulatedProxy.UNSAFE_CLASS);
            proxy.advanceMs(1_000);
            proxy.endAttempt(request, Outcome.TIMEOUT);
            proxy.advanceMs(1_000);
            assertEquals(1, proxy.countActions("fail " + request));
            assertEquals(1, proxy.countActions("send " + request));
        }

        @Test
        void givesNoAnswerAfterTheClientHasDisconnected() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
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
            int actionCountBefore = proxy.recordedActions.size();
            proxy.logic.clientGone(proxy.nowUs, "r0");
            proxy.logic.outcome(proxy.nowUs, "r0", 0, "a", Outcome.OK, 1, true, null);
            proxy.logic.outcome(proxy.nowUs, "unknown", 3, "a", Outcome.ERROR, 1, false, null);
            assertEquals(actionCountBefore, proxy.recordedActions.size());
        }

        @Test
        void doesNotSendARequestWhoseClientLeftWhileItWaited() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers();
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            proxy.logic.clientGone(proxy.nowUs, request);
            proxy.updateServer("a", 0, ServerStatus.UP);
            proxy.advanceMs(2_000);
            assertEquals(0, proxy.countActions("send"));
        }
    }

    /** Rule 2: a request takes effect at most once. */
    @Nested
    class SingleEffect {

        @Test
        void unsafeCallIsRetriedOnlyIfItProvablyDidNotRun() {
            for (Outcome outcome : Outcome.values()) {
                if (outcome == Outcome.OK) {
                    continue;
                }
                SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
                String request = proxy.sendRequest(SimulatedProxy.UNSAFE_CLASS);
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
            String request = proxy.sendRequest(SimulatedProxy.UNSAFE_CLASS);
            proxy.advanceMs(900);
            assertEquals(1, proxy.countActions("send " + request));
        }

        @Test
        void slowSafeCallIsHedgedOnlyIfHedgingIsAllowed() {
            for (boolean canHedge : new boolean[] {true, false}) {
                SimulatedProxy.TestSettings settings = testSettings();
                settings.canHedge = canHedge;
                SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a", "b", "c");
                proxy.serveRequest();
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                proxy.advanceMs(300);
                assertEquals(canHedge ? 2 : 1, proxy.countActions("send " + request));
                if (canHedge) {
                    proxy.endAttempt(request, 1, Outcome.OK);
                    assertTrue(proxy.hasAction("cancel " + request + " 0"));
                }
            }
        }

        @Test
        void keyedCallIsRetriedOnlyWithinItsZone() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            String request = proxy.sendRequest(SimulatedProxy.KEYED_IN_ZONE_CLASS);
            String firstServer = proxy.latestServer(request);
            proxy.endAttempt(request, Outcome.ERROR);
            assertEquals("ab".contains(firstServer), "ab".contains(proxy.latestServer(request)));
            assertNotEquals(firstServer, proxy.latestServer(request));
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
            String request = proxy.sendRequest(SimulatedProxy.KEYED_CLASS);
            proxy.advanceMs(601);
            proxy.endAttempt(request, Outcome.ERROR);
            assertEquals(1, proxy.countActions("send " + request));
        }

        @Test
        void keyedCallThatWaitedBeyondItsDedupWindowIsNotRetried() {
            SimulatedProxy.TestSettings settings = testSettings();
            settings.aimUs = 950 * US_PER_MS;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a");
            String request = proxy.sendRequest(SimulatedProxy.KEYED_CLASS);
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
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
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
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            while (proxy.countActions("fail " + request) + proxy.countActions("refuse " + request) == 0) {
                proxy.endAttempt(request, Outcome.FULL);
            }
            assertEquals(4, proxy.countActions("send " + request));
        }
    }

    /** Rule 3: draining servers get no calls, and changes of the list are followed. */
    @Nested
    class ServerList {

        @Test
        void sendsNothingToDrainingRemovedOrUnlistedServers() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            proxy.updateServer("a", 0, ServerStatus.DRAINING);
            proxy.updateServer("b", 0, ServerStatus.GONE);
            proxy.logic.serversChanged(proxy.nowUs, ListKind.WHOLE, List.of(
                    new Server("a", 0, 0, 0, 1, ServerStatus.DRAINING), new Server("d", 0, 0, 0,
                            1, ServerStatus.UP)));
            for (int i = 0; i < 10; i++) {
                assertEquals("d", proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)));
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
            long delayUs = 0;
            for (int i = 1; i < 6; i++) {
                proxy.logic.discoveryFailed(proxy.nowUs);
                long failedAtUs = proxy.nowUs;
                while (proxy.countActions("watch") == i) {
                    proxy.advanceMs(10);
                }
                delayUs = proxy.nowUs - failedAtUs;
                assertTrue(delayUs < 8_000 * US_PER_MS, "pause in us: " + delayUs);
            }
            assertTrue(delayUs > 500 * US_PER_MS, "last pause in us: " + delayUs);
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

    /** Rule 4: the calls that all copies together send to a cold server stay below that server's share. */
    @Nested
    class ColdServers {

        @Test
        void allCopiesTogetherSendAColdServerLessThanAWarmServersShare() {
            int coldServerCalls = 0;
            int warmServerCalls = 0;
            for (int copy = 0; copy < 20; copy++) {
                SimulatedProxy proxy =
                        new SimulatedProxy(testSettings(), copy).withServers("a", "b", "c", "d");
                for (int i = 0; i < 20; i++) {
                    proxy.serveRequest();
                }
                proxy.updateServer("new", proxy.nowUs, ServerStatus.UP);
                for (int i = 0; i < 40; i++) {
                    String server = proxy.serveRequest();
                    coldServerCalls += server.equals("new") ? 1 : 0;
                    warmServerCalls += server.equals("new") ? 0 : 1;
                }
            }
            assertTrue(coldServerCalls > 0, "a cold server must get some work");
            assertTrue(coldServerCalls < 0.6 * warmServerCalls / 4,
                    coldServerCalls + " calls to the cold server, "
                    + warmServerCalls / 4 + " to each warm server");
        }

        @Test
        void copiesDoNotAllSendToANewServerAtOnce() {
            int copiesUsingNewServer = 0;
            for (int copy = 0; copy < 40; copy++) {
                SimulatedProxy proxy =
                        new SimulatedProxy(testSettings(), copy).withServers("a", "b", "c", "d");
                for (int i = 0; i < 20; i++) {
                    proxy.serveRequest();
                }
                proxy.updateServer("new", proxy.nowUs, ServerStatus.UP);
                copiesUsingNewServer += "new".equals(proxy.serveRequest()) ? 1 : 0;
            }
            assertTrue(copiesUsingNewServer < 12,
                    copiesUsingNewServer + " of 40 copies took the new server first");
        }

        @Test
        void delayBeforeAColdServersNextCallFollowsItsPresentCapacity() {
            // With a delay computed once, at the server's start, copies with few calls did not use the server
            // for minutes, although it had become warm.
            for (int seed = 0; seed < 20; seed++) {
                SimulatedProxy proxy = new SimulatedProxy(testSettings(), seed).withServers("a", "b", "c",
                        "d", "e", "f", "g", "h", "i", "j");
                for (int i = 0; i < 20; i++) {
                    proxy.serveRequest();
                    proxy.advanceMs(1_950);
                }
                proxy.updateServer("new", proxy.nowUs, ServerStatus.UP);
                Set<String> usedServers = new HashSet<>();
                for (int i = 0; i < 14; i++) {
                    usedServers.add(proxy.serveRequest());
                    proxy.advanceMs(1_950);
                }
                assertTrue(usedServers.contains("new"),
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
            int callsToRestartedServer = 0;
            for (int i = 0; i < 10; i++) {
                callsToRestartedServer += proxy.serveRequest().equals("a") ? 1 : 0;
            }
            assertTrue(callsToRestartedServer <= 4,
                    "calls to the restarted server: " + callsToRestartedServer);
        }
    }

    /** Probes, overload, congestion and quotas of tenants. */
    @Nested
    class ProbesAndOverload {

        private SimulatedProxy.TestSettings probingSettings() {
            SimulatedProxy.TestSettings settings = testSettings();
            settings.canProbe = true;
            return settings;
        }

        @Test
        void probesTwoServersAndUsesTheFirstFoundIdle() {
            SimulatedProxy proxy = new SimulatedProxy(probingSettings()).withServers("a", "b", "c", "d");
            proxy.answerProbe("d", 3);
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            assertEquals(2, proxy.countActions("probe"));
            assertNull(proxy.latestServer(request));
            String busyServer = proxy.recordedActions.get(0).substring(6);
            String idleServer = proxy.recordedActions.get(1).substring(6);
            proxy.nowUs += US_PER_MS;
            proxy.answerProbe(busyServer, 1);
            assertNull(proxy.latestServer(request));
            proxy.answerProbe(idleServer, 0);
            assertEquals(idleServer, proxy.latestServer(request));
        }

        @Test
        void serverThatIsNeverIdleIsNotProbedForEachCall() {
            // Hung servers are never idle, so no call was assigned to them. As the least recently assigned
            // servers, they were probed first for each call. The load that they reported was assumed for all
            // other servers, until no call was sent any more.
            SimulatedProxy proxy =
                    new SimulatedProxy(probingSettings()).withServers("a", "b", "c", "d", "e", "f", "g", "h");
            for (int i = 0; i < 60; i++) {
                int nextActionIndex = proxy.recordedActions.size();
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                for (int elapsedMs = 0; elapsedMs < 20; elapsedMs++) {
                    proxy.advanceMs(1);
                    for (; nextActionIndex < proxy.recordedActions.size(); nextActionIndex++) {
                        String action = proxy.recordedActions.get(nextActionIndex);
                        if (action.startsWith("probe")) {
                            proxy.answerProbe(action.substring(6),
                                    action.endsWith("a") || action.endsWith("b") ? 6 : 0);
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
            // Under light load the first probed server is nearly always idle, so a second
            // probe would cost more than it gains.
            SimulatedProxy proxy = new SimulatedProxy(probingSettings()).withServers("a", "b", "c", "d");
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            assertEquals(1, proxy.countActions("probe"));
            String probedServer = proxy.recordedActions.get(0).substring(6);
            proxy.nowUs += US_PER_MS;
            proxy.answerProbe(probedServer, 0);
            assertEquals(probedServer, proxy.latestServer(request));
        }

        /** Returns a copy after 12 successful calls, for which every probe reported a load of 0. */
        private SimulatedProxy proxyAfterServedCalls(String... servers) {
            SimulatedProxy proxy = new SimulatedProxy(probingSettings()).withServers(servers);
            for (int i = 0; i < 12; i++) {
                int nextActionIndex = proxy.recordedActions.size();
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                proxy.advanceMs(1);
                for (; nextActionIndex < proxy.recordedActions.size(); nextActionIndex++) {
                    if (proxy.recordedActions.get(nextActionIndex).startsWith("probe")) {
                        proxy.answerProbe(proxy.recordedActions.get(nextActionIndex).substring(6), 0);
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
            // The proxy stalled in its first seconds, so probes looked slow and the proxy never probed again.
            SimulatedProxy proxy = proxyAfterServedCalls("a", "b", "c", "d");
            for (String server : List.of("a", "b", "c", "d")) {
                proxy.logic.probeResult(proxy.nowUs, server, Outcome.OK, 200 * US_PER_MS,
                        new LoadReport(0, 0, 0));
            }
            proxy.advanceMs(2_000);
            String requestDuringSlowProbes = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            assertNotNull(proxy.latestServer(requestDuringSlowProbes),
                    "a call must not wait for slow probes");
            proxy.endAttempt(requestDuringSlowProbes, Outcome.OK);
            int nextActionIndex = proxy.recordedActions.size();
            for (int i = 0; i < 40; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                proxy.advanceMs(1);
                answerProbes(proxy, nextActionIndex, 0, "");
                nextActionIndex = proxy.recordedActions.size();
                proxy.advanceMs(300);
                proxy.endAttempt(request, Outcome.OK);
            }
            assertNull(proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)),
                    "the call must wait for the answer to its probe");
        }

        /** Answers the probes among the actions from an index on, but none to unreachable servers. */
        private void answerProbes(SimulatedProxy proxy, int fromActionIndex, int inFlight,
                String unreachableServers) {
            for (int i = fromActionIndex; i < proxy.recordedActions.size(); i++) {
                String[] actionWords = proxy.recordedActions.get(i).split(" ");
                if (actionWords[0].equals("probe") && !unreachableServers.contains(actionWords[1])) {
                    proxy.answerProbe(actionWords[1], inFlight);
                }
            }
        }

        @Test
        void serverWithAnUnansweredProbeDoesNotGetTheCall() {
            // The least recently assigned server is probed first. If this server did not answer the probe, it
            // still got the call, because it was still the least recently assigned server.
            SimulatedProxy proxy = proxyAfterServedCalls("a", "b", "c", "d");
            int nextActionIndex = proxy.recordedActions.size();
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            String probedServer = proxy.recordedActions.get(nextActionIndex).substring(6);
            proxy.advanceMs(50);
            assertNotNull(proxy.latestServer(request));
            assertNotEquals(probedServer, proxy.latestServer(request));
        }

        @Test
        void ejectsAServerAfterTwoUnansweredProbes() {
            // An unreachable server that was only demoted still got calls while all other servers were busy.
            SimulatedProxy proxy = proxyAfterServedCalls("a", "b", "c", "d");
            int probesBefore = proxy.countActions("probe a");
            for (int i = 0; i < 2; i++) {
                proxy.logic.probeResult(proxy.nowUs, "a", Outcome.TIMEOUT, 50 * US_PER_MS, null);
            }
            for (int i = 0; i < 6; i++) {
                int nextActionIndex = proxy.recordedActions.size();
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                proxy.advanceMs(5);
                answerProbes(proxy, nextActionIndex, 0, "a");
                proxy.advanceMs(5);
                assertNotEquals("a", proxy.latestServer(request));
            }
            assertEquals(probesBefore, proxy.countActions("probe a"));
        }

        @Test
        void probeThatWasNotSentDoesNotCountAgainstItsServer() {
            // Two probes that failed on the proxy's own machine ejected a server that had received no probe.
            SimulatedProxy proxy = proxyAfterServedCalls("a", "b", "c", "d");
            for (int i = 0; i < 2; i++) {
                proxy.logic.probeResult(proxy.nowUs, "a", Outcome.NOT_SENT, 0, null);
            }
            int probesBefore = proxy.countActions("probe a");
            for (int i = 0; i < 8; i++) {
                int nextActionIndex = proxy.recordedActions.size();
                proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                proxy.advanceMs(5);
                answerProbes(proxy, nextActionIndex, 0, "");
                proxy.advanceMs(5);
            }
            assertNotEquals(probesBefore, proxy.countActions("probe a"));
        }

        @Test
        void prefersABusyServerToOneWithUnansweredProbes() {
            // A partition of the zone makes more than half of the servers unreachable, too many to eject
            // all of them. The unreachable servers that were not ejected got every call that arrived while
            // the reachable servers were busy.
            SimulatedProxy proxy = proxyAfterServedCalls("a", "b", "c");
            for (String unreachableServer : List.of("a", "b", "a", "b")) {
                proxy.logic.probeResult(proxy.nowUs, unreachableServer, Outcome.TIMEOUT, 50 * US_PER_MS,
                        null);
            }
            int nextActionIndex = proxy.recordedActions.size();
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            for (int i = 0; i < 4; i++) {
                proxy.advanceMs(2);
                answerProbes(proxy, nextActionIndex, 1, "a b");
                nextActionIndex = proxy.recordedActions.size();
            }
            proxy.advanceMs(10);
            assertEquals("c", proxy.latestServer(request));
        }

        @Test
        void waitingCallsKeepTheirOrderAndLikelyLateOnesAreNotSent() {
            // Under overload each queued call was sent just before its deadline, and most answers missed it.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a");
            for (int i = 0; i < 12; i++) {
                proxy.serveRequest();
            }
            List<String> sentRequests = new ArrayList<>();
            List<String> waitingRequests = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                (proxy.latestServer(request) == null ? waitingRequests : sentRequests).add(request);
            }
            assertTrue(waitingRequests.size() > 1, "waiting calls: " + waitingRequests);
            proxy.advanceMs(100);
            proxy.endAttempt(sentRequests.get(0), Outcome.OK);
            String newestWaitingRequest = waitingRequests.get(waitingRequests.size() - 1);
            for (int i = 1; i < sentRequests.size()
                    && proxy.latestServer(waitingRequests.get(0)) == null; i++) {
                proxy.endAttempt(sentRequests.get(i), Outcome.OK);
            }
            assertNotNull(proxy.latestServer(waitingRequests.get(0)));
            assertNull(proxy.latestServer(newestWaitingRequest));
            proxy.advanceMs(260);
            for (String request : sentRequests) {
                proxy.logic.outcome(proxy.nowUs, request, 0, "a", Outcome.OK, 360 * US_PER_MS, true, null);
            }
            for (String request : waitingRequests) {
                assertTrue(proxy.latestServer(request) != null || proxy.hasAction("refuse " + request)
                        || proxy.hasAction("fail " + request), request);
            }
            assertNull(proxy.latestServer(newestWaitingRequest), "sent though only 40 of 400 ms were left");
        }

        @Test
        void sendsTheCallEvenIfNoProbeIsAnswered() {
            SimulatedProxy proxy = new SimulatedProxy(probingSettings()).withServers("a", "b", "c", "d");
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
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
            // The queued calls of all copies kept the tier busy with calls whose answers missed the aim.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            for (int i = 0; i < 10; i++) {
                proxy.serveRequest();
            }
            for (int i = 0; i < 60; i++) {
                proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            }
            int immediateSends = proxy.countActions("send") - 10;
            assertTrue(immediateSends < 12, "sent at once: " + immediateSends);
            proxy.advanceMs(1_000);
            assertEquals(60, immediateSends + proxy.countActions("fail") + proxy.countActions("refuse")
                    + proxy.countActions("send") - 10 - immediateSends);
        }

        @Test
        void withProbesCallsBeyondTheQuotaStillGoToIdleServers() {
            // A copy that received about one call of a tenant per second, at uneven intervals, refused calls
            // although the tenant was within its quota.
            SimulatedProxy.TestSettings settings = probingSettings();
            settings.tenantQuotaPerSecond = 3;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a", "b", "c");
            for (int i = 0; i < 30; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS, 1);
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
            // During congestion, client retries used up the quota of the tenant and delayed the recovery.
            SimulatedProxy.TestSettings settings = testSettings();
            settings.tenantQuotaPerSecond = 3;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a", "b", "c", "d");
            for (int i = 0; i < 60; i++) {
                String request = proxy.sendRequest(SimulatedProxy.UNSAFE_CLASS, i < 30 ? 0 : 1);
                if (proxy.latestServer(request) != null) {
                    proxy.endAttempt(request, Outcome.ERROR);
                }
                proxy.advanceMs(i < 30 ? 30 : 1);
            }
            for (int i = 0; i < 1_500; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                proxy.advanceMs(1);
                if (proxy.latestServer(request) != null) {
                    proxy.endAttempt(request, Outcome.OK);
                }
            }
            int sentCalls = 0;
            for (int i = 0; i < 5; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS, 1);
                proxy.advanceMs(1);
                if (proxy.latestServer(request) != null) {
                    sentCalls++;
                    proxy.endAttempt(request, Outcome.OK);
                }
            }
            assertEquals(5, sentCalls);
        }

        @Test
        void requestsBeyondTheirTenantsQuotaAreRefused() {
            // Requests beyond the quota have little worth, but they displaced requests within the quota.
            SimulatedProxy.TestSettings settings = testSettings();
            settings.tenantQuotaPerSecond = 30;
            SimulatedProxy proxy = new SimulatedProxy(settings).withServers("a", "b");
            int sentCalls = 0;
            for (int i = 0; i < 60; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS, 1);
                proxy.advanceMs(10);
                if (proxy.latestServer(request) != null) {
                    sentCalls++;
                    proxy.endAttempt(request, Outcome.OK);
                } else {
                    assertTrue(proxy.hasAction("refuse " + request));
                }
            }
            assertTrue(sentCalls >= 10 && sentCalls <= 20,
                    "sent of 60 in 0.6 s, with a quota of 10 per second for this copy: " + sentCalls);
            assertNotNull(proxy.serveRequest(), "requests of other tenants are served as before");
            proxy.advanceMs(2_000);
            assertNotNull(proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS, 1)),
                    "after a pause the quota has refilled");
        }

        @Test
        void congestionLimitsCallsUntilCallsAreServedAgain() {
            // Servers worked on calls whose clients had disconnected; each new call prolonged the congestion.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                proxy.advanceMs(100);
            }
            int sentCalls = proxy.serversByRequest.size();
            assertTrue(sentCalls < 40, "calls sent of 100, none served: " + sentCalls);
            assertEquals(1, proxy.countActions("log congestion:"));
            for (int i = 0; i < 100; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                proxy.advanceMs(100);
                if (proxy.latestServer(request) != null) {
                    proxy.endAttempt(request, Outcome.OK);
                }
            }
            sentCalls = proxy.serversByRequest.size();
            for (int i = 0; i < 20; i++) {
                assertNotNull(proxy.serveRequest());
            }
            assertEquals(sentCalls + 20, proxy.serversByRequest.size());
            assertEquals(1, proxy.countActions("log congestion has cleared"));
        }

        @Test
        void clientsThatDisconnectEarlyDoNotCountAsCongestion() {
            // Calls whose clients disconnected early were counted as calls that servers served too slowly.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                String abandonedRequest = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                proxy.advanceMs(20);
                proxy.logic.clientGone(proxy.nowUs, abandonedRequest);
                proxy.endAttempt(abandonedRequest, Outcome.CANCELLED);
                if (i % 4 == 0) {
                    assertNotNull(proxy.serveRequest());
                }
            }
            assertEquals(0, proxy.countActions("refuse") + proxy.countActions("log congestion:"));
        }

        @Test
        void clientsThatDisconnectAfterTheirAimCountAsNotServed() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 25; i++) {
                List<String> abandonedRequests =
                        List.of(proxy.sendRequest(SimulatedProxy.SAFE_CLASS),
                        proxy.sendRequest(SimulatedProxy.SAFE_CLASS),
                        proxy.sendRequest(SimulatedProxy.SAFE_CLASS));
                proxy.advanceMs(500);
                abandonedRequests.forEach(request -> proxy.logic.clientGone(proxy.nowUs, request));
            }
            assertNotEquals(0, proxy.countActions("log congestion:"));
        }

        @Test
        void failureCountDecaysWhileNoCallIsSent() {
            // The failure count decayed only when a call was sent, so a copy with few calls refused calls
            // for seconds.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            List<String> failedRequests = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                failedRequests.add(proxy.sendRequest(SimulatedProxy.UNSAFE_CLASS));
            }
            proxy.advanceMs(500);
            failedRequests.forEach(request -> proxy.endAttempt(request, Outcome.ERROR));
            proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            assertEquals(1, proxy.countActions("log congestion:"));
            proxy.advanceMs(2_000);
            for (int i = 0; i < 20; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                assertNotNull(proxy.latestServer(request),
                        "refused " + 2 * (i + 1) + " s after the failures");
                proxy.advanceMs(2_000);
                proxy.endAttempt(request, Outcome.OK);
            }
        }

        @Test
        void longCallsDoNotRaiseTheEstimatedSlownessOfTheirServer() {
            // Slow servers got only long calls, so their estimates rose further and they were half idle.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            String blockingRequest = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            String idleServer = proxy.latestServer(blockingRequest).equals("a") ? "b" : "a";
            for (int i = 0; i < 200; i++) {
                // While one server is busy, the other gets every call: a only long calls, b only short ones.
                String request = proxy.sendRequest(idleServer.equals("a") ? SimulatedProxy.UNSAFE_CLASS
                        : SimulatedProxy.SAFE_CLASS);
                assertEquals(idleServer, proxy.latestServer(request));
                long durationMs = idleServer.equals("a") ? 90 : 30;
                proxy.advanceMs(durationMs);
                proxy.logic.outcome(proxy.nowUs, request, 0, idleServer, Outcome.OK, durationMs * US_PER_MS,
                        true, null);
                if (i % 10 == 9) {
                    String nextBlockingRequest = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                    assertEquals(idleServer, proxy.latestServer(nextBlockingRequest));
                    proxy.logic.outcome(proxy.nowUs, blockingRequest, 0, proxy.latestServer(blockingRequest),
                            Outcome.OK, 30 * US_PER_MS, true, null);
                    idleServer = proxy.latestServer(blockingRequest);
                    blockingRequest = nextBlockingRequest;
                }
            }
            proxy.endAttempt(blockingRequest, Outcome.OK);
            int nextActionIndex = proxy.recordedActions.size();
            for (int i = 0; i < 40; i++) {
                proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            }
            List<String> sendActions =
                    proxy.recordedActions.subList(nextActionIndex, proxy.recordedActions.size());
            long callsToA = sendActions.stream().filter(action -> action.matches("send r\\d+ a .*")).count();
            long callsToB = sendActions.stream().filter(action -> action.matches("send r\\d+ b .*")).count();
            assertTrue(callsToA * 2 > callsToB, "calls sent to a: " + callsToA + ", to b: " + callsToB);
        }

        @Test
        void clientRetryWhoseAimHasPassedSinceTheFirstTryIsNotSent() {
            // A client's last try carries the time left, which shows when the client's first try arrived.
            // Under overload, calls were sent even if the aim, counted from the first try, had passed.
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");
            for (int i = 0; i < 12; i++) {
                proxy.serveRequest();
            }
            long timeLeftUs = 600 * US_PER_MS;
            proxy.logic.request(proxy.nowUs,
                    new Request("first", SimulatedProxy.SAFE_CLASS, 0, timeLeftUs, 0, false));
            proxy.logic.request(proxy.nowUs,
                    new Request("again", SimulatedProxy.SAFE_CLASS, 0, timeLeftUs, 0, true));
            proxy.logic.request(proxy.nowUs,
                    new Request("soon", SimulatedProxy.SAFE_CLASS, 0, 900 * US_PER_MS, 0, true));
            proxy.logic.request(proxy.nowUs,
                    new Request("late", SimulatedProxy.SAFE_CLASS, 0, 500 * US_PER_MS, 0, true));
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
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                proxy.advanceMs(900);
                if (proxy.latestServer(request) != null) {
                    proxy.logic.outcome(proxy.nowUs, request, 0, proxy.latestServer(request), Outcome.OK,
                            900 * US_PER_MS, true, null);
                }
            }
            int sendsBefore = proxy.countActions("send");
            for (int i = 0; i < 300; i++) {
                String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
                proxy.advanceMs(50);
                if (proxy.latestServer(request) != null) {
                    proxy.endAttempt(request, Outcome.OK);
                }
            }
            assertTrue(proxy.countActions("send") - sendsBefore > 100,
                    "calls sent after the slow period: " + (proxy.countActions("send") - sendsBefore));
        }
    }

    @Test
    void invalidSettingsAreRejectedWithTheirName() {
        SimulatedProxy.TestSettings settings = testSettings();
        settings.maxAttempts = 0;
        var exception = assertThrows(IllegalArgumentException.class, () -> new SimulatedProxy(settings));
        assertTrue(exception.getMessage().startsWith("limits.maxAttempts"), exception.getMessage());
        settings.maxAttempts = 1;
        settings.coldStartShare = 0;
        exception = assertThrows(IllegalArgumentException.class, () -> new SimulatedProxy(settings));
        assertTrue(exception.getMessage().startsWith("rules.coldFrom"), exception.getMessage());
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
            assertTrue(isUsedWithin(5_000, 300), "a copy with few calls uses the server again within 5 s");
        }

        @Test
        void serverIsColdAfterMaintenanceEvenIfTheListDoesNotReportARestart() {
            SimulatedProxy busyProxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 200; i++) {
                busyProxy.serveRequest();
            }
            busyProxy.logic.maintenanceChanged(busyProxy.nowUs, "a", true);
            busyProxy.advanceMs(1_000);
            busyProxy.logic.maintenanceChanged(busyProxy.nowUs, "a", false);
            // The server restarted during the maintenance, but the list reports the restart only
            // after the maintenance.
            busyProxy.updateServer("a", busyProxy.nowUs - 500 * US_PER_MS, ServerStatus.UP);
            int callsToServer = 0;
            for (int i = 0; i < 40; i++) {
                callsToServer += "a".equals(busyProxy.serveRequest()) ? 1 : 0;
            }
            assertTrue(callsToServer >= 1 && callsToServer <= 6,
                    "calls of 40, where a warm server would get 10: " + callsToServer);
        }

        @Test
        void retriesAvoidAServerInMaintenance() {
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            String server = proxy.latestServer(request);
            proxy.logic.maintenanceChanged(proxy.nowUs, server, true);
            proxy.endAttempt(request, Outcome.NOT_SENT);
            assertNotEquals(server, proxy.latestServer(request));
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
            boolean isUsed = false;
            for (int i = 0; i < 100; i++) {
                isUsed |= "d".equals(proxy.serveRequest());
            }
            assertTrue(isUsed);
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

        private boolean isUsedWithin(long durationMs, long intervalMs) {
            boolean isUsed = false;
            for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += intervalMs) {
                isUsed |= "a".equals(proxy.serveRequest());
                proxy.advanceMs(intervalMs - 50);
            }
            return isUsed;
        }
    }

    /** Estimates of service times in a copy that has just started. */
    @Nested
    class ServiceTimesAfterStart {

        @Test
        void oneSlowFirstCallDoesNotMakeLaterCallsLookUnservable() {
            SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b", "c");
            String firstRequest = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            proxy.advanceMs(410);
            proxy.logic.outcome(proxy.nowUs, firstRequest, 0, proxy.latestServer(firstRequest), Outcome.OK,
                    410 * US_PER_MS, true, null);
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
    class StreamedBodies {

        private final SimulatedProxy proxy = new SimulatedProxy(testSettings()).withServers("a", "b");

        private String sendUpload() {
            proxy.logic.request(proxy.nowUs,
                    new Request("up", SimulatedProxy.UNSAFE_CLASS, 0, 1_000 * US_PER_MS, 0, false, true));
            return proxy.latestServer("up");
        }

        private Set<String> serversOfTwoMoreRequests() {
            return new HashSet<>(List.of(proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)),
                    proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS))));
        }

        /** Serves 20 calls so that both servers are known to take 50 ms per call. */
        private void serveCallsToMeasureDurations() {
            for (int i = 0; i < 20; i++) {
                proxy.serveRequest();
            }
        }

        @Test
        void serverCountsAsIdleWhileItsRequestBodyIsBeingUploaded() {
            serveCallsToMeasureDurations();
            String server = sendUpload();
            Set<String> usedServers = serversOfTwoMoreRequests();
            assertEquals(Set.of("a", "b"), usedServers);
            proxy.logic.uploadCompleted(proxy.nowUs, "up");
            assertTrue(usedServers.contains(server));
        }

        @Test
        void slowUploadDoesNotCountAgainstItsServer() {
            serveCallsToMeasureDurations();
            String server = sendUpload();
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
            serveCallsToMeasureDurations();
            String server = sendUpload();
            proxy.advanceMs(20_000);
            proxy.logic.uploadCompleted(proxy.nowUs, "up");
            String otherServer = proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS));
            assertNotEquals(server, otherServer, "the server works on the uploaded request now");
            proxy.advanceMs(900);
            proxy.endAttempt("up", Outcome.TIMEOUT);
            assertTrue(proxy.hasAction("fail up") || proxy.hasAction("refuse up"));
        }

        @Test
        void requestWithAPartlyDiscardedBodyIsNotRetried() {
            sendUpload();
            proxy.logic.bodyDiscarded(proxy.nowUs, "up");
            proxy.endAttempt("up", Outcome.CONNECT_FAILED);
            assertEquals(1, proxy.attemptCounts.get("up"));
            assertTrue(proxy.hasAction("refuse up"), "the request did not run, so the client may retry");
        }

        @Test
        void requestWithAFullyBufferedBodyIsRetriedOnTheOtherServer() {
            sendUpload();
            proxy.endAttempt("up", Outcome.CONNECT_FAILED);
            assertEquals(2, proxy.attemptCounts.get("up"));
        }

        @Test
        void serverOfAStreamedAnswerCountsAsIdleAndTheAnswerNeverTimesOut() {
            serveCallsToMeasureDurations();
            String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
            String server = proxy.latestServer(request);
            proxy.advanceMs(50);
            proxy.logic.streamStarted(proxy.nowUs, request, 0, server, 50 * US_PER_MS);
            Set<String> usedServers = serversOfTwoMoreRequests();
            assertEquals(Set.of("a", "b"), usedServers);
            proxy.advanceMs(60_000);
            assertEquals(1, proxy.attemptCounts.get(request));
            proxy.endAttempt(request, Outcome.RESET);
            assertFalse(proxy.hasAction("fail " + request) || proxy.hasAction("refuse " + request),
                    "the client already gets its answer");
        }
    }
}
