package larkworks;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The cost of choosing a server does not grow with the number of servers. */
class ChoiceCostTest {

    private static final int MEASURED_REQUESTS = 300;
    private static final int WARM_UP_REQUESTS = 50;
    /**
     * Upper bound on the servers examined for a call. A call with probes examines the servers found idle, the
     * candidates for the next probe and the candidates for the call; each of these three searches is bounded.
     */
    private static final int MAX_SERVERS_EXAMINED_PER_CALL = 12;

    /** Sends a request, answers its probes with a load of 0 and ends its attempt successfully after 50 ms. */
    private static void serveRequest(SimulatedProxy proxy) {
        int nextActionIndex = proxy.recordedActions.size();
        String request = proxy.sendRequest(SimulatedProxy.SAFE_CLASS);
        for (String action : List.copyOf(
                proxy.recordedActions.subList(nextActionIndex, proxy.recordedActions.size()))) {
            if (action.startsWith("probe ")) {
                proxy.answerProbe(action.substring("probe ".length()), 0);
            }
        }
        proxy.advanceMs(50);
        proxy.endAttempt(request, Balancer.Outcome.OK);
    }

    @ParameterizedTest
    @CsvSource({"30,5,false", "3200,5,false", "3200,5,true", "3200,640,false", "3200,640,true"})
    void choosingAServerExaminesABoundedNumberOfServers(int servers, int copies, boolean canProbe) {
        SimulatedProxy.TestSettings settings = new SimulatedProxy.TestSettings();
        settings.copyCount = copies;
        settings.canProbe = canProbe;
        SimulatedProxy proxy = new SimulatedProxy(settings).withServers(IntStream.range(0, servers)
                .mapToObj(i -> "s" + i).toArray(String[]::new));
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            serveRequest(proxy);
        }
        long examinedBefore = proxy.logic.serversExamined();
        for (int i = 0; i < MEASURED_REQUESTS; i++) {
            serveRequest(proxy);
        }
        long examined = proxy.logic.serversExamined() - examinedBefore;
        assertTrue(examined <= (long) MAX_SERVERS_EXAMINED_PER_CALL * MEASURED_REQUESTS,
                examined + " servers examined for " + MEASURED_REQUESTS + " calls");
    }
}
