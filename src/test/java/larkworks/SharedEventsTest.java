package larkworks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import larkworks.Balancer.Outcome;
import larkworks.Balancer.Verdict;
import org.junit.jupiter.api.Test;

/** Tests how the decision module applies shared verdicts, budgets and affinities, and what it publishes. */
class SharedEventsTest {

    private static final long US_PER_MS = SimulatedProxy.US_PER_MS;

    private static SimulatedProxy proxyWithServers(String... servers) {
        return new SimulatedProxy(new SimulatedProxy.TestSettings()).withServers(servers);
    }

    @Test
    void peerEjectionHoldsUntilItExpiresAndPeerDemotedServerIsUsedLast() {
        SimulatedProxy proxy = proxyWithServers("a", "b");
        proxy.logic.peerVerdict(proxy.nowUs, "a", Verdict.RESTS, proxy.nowUs + 500 * US_PER_MS);
        assertEquals("b", proxy.serveRequest());
        assertEquals("b", proxy.serveRequest());
        proxy.advanceMs(600);
        assertEquals("a", proxy.serveRequest());
        proxy.logic.peerVerdict(proxy.nowUs, "b", Verdict.DEMOTED, proxy.nowUs + 500 * US_PER_MS);
        assertEquals("a", proxy.serveRequest());
        assertEquals("a", proxy.serveRequest());
        proxy.logic.peerVerdict(proxy.nowUs, "b", Verdict.DEMOTED, proxy.nowUs);
        assertEquals("b", proxy.serveRequest(), "the demotion was withdrawn");
    }

    @Test
    void peerEjectionOnlyDemotesAServerThatAnsweredRecently() {
        SimulatedProxy proxy = proxyWithServers("a", "b");
        String firstServer = proxy.serveRequest();
        String secondServer = proxy.serveRequest();
        proxy.logic.peerVerdict(proxy.nowUs, firstServer, Verdict.RESTS, proxy.nowUs + 500 * US_PER_MS);
        assertEquals(secondServer, proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)));
        assertEquals(firstServer, proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)),
                "demoted, not ejected: it is used as the other server is busy");
    }

    @Test
    void publishesDemotionAfterConnectFailureAndWithdrawsItAfterRecovery() {
        SimulatedProxy proxy = proxyWithServers("a", "b", "c");
        String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
        String server = proxy.latestServer(request);
        proxy.endAttempt(request, Outcome.CONNECT_FAILED);
        assertTrue(proxy.hasAction("verdict " + server + " DEMOTED"));
        String secondRequest = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
        String thirdRequest = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
        String fourthRequest = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
        for (String laterRequest : List.of(secondRequest, thirdRequest, fourthRequest)) {
            proxy.endAttempt(laterRequest, Outcome.OK);
        }
        assertTrue(proxy.hasAction("verdict " + server + " DEMOTED back"), proxy.recordedActions.toString());
    }

    @Test
    void serverWithExhaustedBudgetGetsNoCallsUntilTheBudgetIsRenewedOrRemoved() {
        SimulatedProxy proxy = proxyWithServers("a", "b");
        proxy.logic.serverBudgetChanged(proxy.nowUs, "a", 1, proxy.nowUs + 1_000 * US_PER_MS);
        Set<String> usedServers = Set.of(proxy.serveRequest(), proxy.serveRequest());
        assertEquals(Set.of("a", "b"), usedServers);
        assertTrue(proxy.hasAction("budget a spent"));
        assertEquals("b", proxy.serveRequest());
        assertEquals("b", proxy.serveRequest());
        assertTrue(proxy.hasAction("budget a short"));
        proxy.logic.serverBudgetChanged(proxy.nowUs, "a", 5, proxy.nowUs - 1);
        assertEquals("b", proxy.serveRequest(), "the new budget has already expired");
        proxy.logic.serverBudgetChanged(proxy.nowUs, "a", 0, 0);
        assertEquals("a", proxy.serveRequest(), "the budget was removed");
    }

    @Test
    void requestsBeyondTheBudgetOfTheirClassAreRefusedAtOnce() {
        SimulatedProxy proxy = proxyWithServers("a", "b");
        proxy.logic.classBudgetChanged(proxy.nowUs, SimulatedProxy.SAFE_CLASS, 1,
                proxy.nowUs + 1_000 * US_PER_MS);
        proxy.serveRequest();
        int refusedBefore = proxy.countActions("refuse");
        proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
        assertEquals(refusedBefore + 1, proxy.countActions("refuse"));
        assertTrue(proxy.hasAction("class 0 short"));
        assertNotEquals(null, proxy.latestServer(proxy.sendRequest(SimulatedProxy.UNSAFE_CLASS)),
                "no budget is set for the other class");
    }

    @Test
    void classUsesItsAffineServersWhileOneOfThemIsIdle() {
        SimulatedProxy proxy = proxyWithServers("a", "b", "c", "d");
        proxy.logic.affinityChanged(proxy.nowUs, SimulatedProxy.SAFE_CLASS, List.of("c"));
        assertEquals("c", proxy.serveRequest());
        assertEquals("c", proxy.serveRequest());
        assertEquals("c", proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)));
        assertNotEquals("c", proxy.latestServer(proxy.sendRequest(SimulatedProxy.SAFE_CLASS)),
                "its server is busy with a call of this copy");
    }
}
