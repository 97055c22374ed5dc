package larkworks;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a choice of a server costs does not follow from how many there are. */
class ChoiceCostTest {

    private static final int REQUESTS = 300;
    private static final int FIRST_REQUESTS = 50;
    /** Choices of a call with probes: those found idle, the next to be asked, any; each ends soon. */
    private static final int MOST_LOOKS = 12;

    /** Has a request served by a server whose probe, if any, finds it idle. */
    private static void serve(Proxy proxy) {
        int before = proxy.done.size();
        String request = proxy.request(Proxy.SAFE);
        for (String line : List.copyOf(proxy.done.subList(before, proxy.done.size()))) {
            if (line.startsWith("probe ")) {
                proxy.report(line.substring("probe ".length()), 0);
            }
        }
        proxy.pass(50);
        proxy.end(request, Balancer.Outcome.OK);
    }

    @ParameterizedTest
    @CsvSource({"30,5,false", "3200,5,false", "3200,5,true", "3200,640,false", "3200,640,true"})
    void aCallLooksAtFewServers(int servers, int copies, boolean probes) {
        Proxy.Setup setup = new Proxy.Setup();
        setup.copies = copies;
        setup.probes = probes;
        Proxy proxy = new Proxy(setup).with(IntStream.range(0, servers).mapToObj(i -> "s" + i)
                .toArray(String[]::new));
        for (int i = 0; i < FIRST_REQUESTS; i++) {
            serve(proxy);
        }
        long before = proxy.logic.serversExamined();
        for (int i = 0; i < REQUESTS; i++) {
            serve(proxy);
        }
        long looks = proxy.logic.serversExamined() - before;
        assertTrue(looks <= (long) MOST_LOOKS * REQUESTS, looks + " looks for " + REQUESTS + " calls");
    }
}
