package larkworks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import larkworks.Balancer.Outcome;
import larkworks.Balancer.Verdict;
import org.junit.jupiter.api.Test;

/** How the decision module applies verdicts, budgets and affinities of the fleet, and what it publishes. */
class SharedEventsTest {

    private static final long MS = Proxy.MS;

    private static Proxy proxy(String... servers) {
        return new Proxy(new Proxy.Setup()).with(servers);
    }

    @Test
    void peerEjectionHoldsUntilItExpiresAndPeerDemotedServerIsUsedLast() {
        Proxy p = proxy("a", "b");
        p.logic.peerVerdict(p.now, "a", Verdict.RESTS, p.now + 500 * MS);
        assertEquals("b", p.serve());
        assertEquals("b", p.serve());
        p.pass(600);
        assertEquals("a", p.serve());
        p.logic.peerVerdict(p.now, "b", Verdict.DEMOTED, p.now + 500 * MS);
        assertEquals("a", p.serve());
        assertEquals("a", p.serve());
        p.logic.peerVerdict(p.now, "b", Verdict.DEMOTED, p.now);
        assertEquals("b", p.serve(), "the demotion was withdrawn");
    }

    @Test
    void peerEjectionOnlyDemotesAServerThatAnsweredRecently() {
        Proxy p = proxy("a", "b");
        String first = p.serve();
        String second = p.serve();
        p.logic.peerVerdict(p.now, first, Verdict.RESTS, p.now + 500 * MS);
        assertEquals(second, p.at(p.request(Proxy.SAFE)));
        assertEquals(first, p.at(p.request(Proxy.SAFE)),
                "demoted, not ejected: it is used as the other server is busy");
    }

    @Test
    void publishesDemotionAfterConnectFailureAndWithdrawsItAfterRecovery() {
        Proxy p = proxy("a", "b", "c");
        String request = p.request(Proxy.SAFE);
        String server = p.at(request);
        p.end(request, Outcome.CONNECT_FAILED);
        assertTrue(p.did("verdict " + server + " DEMOTED"));
        String again = p.request(Proxy.SAFE);
        String third = p.request(Proxy.SAFE);
        String fourth = p.request(Proxy.SAFE);
        for (String r : List.of(again, third, fourth)) {
            p.end(r, Outcome.OK);
        }
        assertTrue(p.did("verdict " + server + " DEMOTED back"), p.done.toString());
    }

    @Test
    void serverWithExhaustedBudgetGetsNoCallsUntilTheBudgetIsRenewedOrRemoved() {
        Proxy p = proxy("a", "b");
        p.logic.serverBudgetChanged(p.now, "a", 1, p.now + 1_000 * MS);
        Set<String> taken = Set.of(p.serve(), p.serve());
        assertEquals(Set.of("a", "b"), taken);
        assertTrue(p.did("budget a spent"));
        assertEquals("b", p.serve());
        assertEquals("b", p.serve());
        assertTrue(p.did("budget a short"));
        p.logic.serverBudgetChanged(p.now, "a", 5, p.now - 1);
        assertEquals("b", p.serve(), "the new budget has already expired");
        p.logic.serverBudgetChanged(p.now, "a", 0, 0);
        assertEquals("a", p.serve(), "the budget was removed");
    }

    @Test
    void requestsBeyondTheBudgetOfTheirClassAreRefusedAtOnce() {
        Proxy p = proxy("a", "b");
        p.logic.classBudgetChanged(p.now, Proxy.SAFE, 1, p.now + 1_000 * MS);
        p.serve();
        int refused = p.count("refuse");
        p.request(Proxy.SAFE);
        assertEquals(refused + 1, p.count("refuse"));
        assertTrue(p.did("class 0 short"));
        assertNotEquals(null, p.at(p.request(Proxy.UNSAFE)), "no budget is set for the other class");
    }

    @Test
    void classUsesItsAffineServersWhileOneOfThemIsIdle() {
        Proxy p = proxy("a", "b", "c", "d");
        p.logic.affinityChanged(p.now, Proxy.SAFE, List.of("c"));
        assertEquals("c", p.serve());
        assertEquals("c", p.serve());
        assertEquals("c", p.at(p.request(Proxy.SAFE)));
        assertNotEquals("c", p.at(p.request(Proxy.SAFE)), "its server is busy with a call of this copy");
    }
}
