package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import larkworks.Balancer.DedupGroup;
import larkworks.Balancer.Effect;
import larkworks.Balancer.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What {@code /metrics} tells, and that it is there only where it was asked for. */
@Timeout(60)
class MetricsTest {

    @TempDir
    Path folder;

    private Map<String, String> environment(int admin) {
        return Map.of("GW_ADMIN_ADDR", TestBench.HOST + ":" + admin, "TMPDIR", folder.toString());
    }

    @Test
    void tellsRequestsAttemptsAndListsInPrometheusText() throws Exception {
        int admin = TestBench.freePort();
        try (TestBench bench = new TestBench(1)) {
            bench.extraConfig = "\"metrics\":{\"enabled\":true},";
            bench.environment = environment(admin);
            bench.answerDiscoveryWith(bench.fullList(7));
            bench.start(folder, bench.fullList(7));
            for (int i = 0; i < 3; i++) {
                TestBench.Client client = bench.client().sendLook("r" + i);
                bench.backends.get(0).next().reply(i == 2 ? 500 : 200, "");
                client.status();
            }
            String text;
            URI metrics = URI.create("http://" + TestBench.HOST + ":" + admin + "/metrics");
            try (var in = metrics.toURL().openStream()) {
                text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            }
            for (String line : new String[] {
                "larkworks_requests_seconds_count{class=\"look\",result=\"served\"} 2",
                "larkworks_attempts_seconds_count{backend=\"b0\",outcome=\"ok\"} 2",
                "larkworks_attempts_seconds_count{backend=\"b0\",outcome=\"error\"} 1",
                "larkworks_discovery_index 7.0",
                "larkworks_attempts_seconds{backend=\"b0\",outcome=\"ok\",quantile=\"0.99\"}"}) {
                assertTrue(text.contains(line), line + " is not in\n" + text);
            }
        }
    }

    @Test
    void aScrapeThatTakesLongHoldsUpNoRecording() throws Exception {
        CountDownLatch rendering = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        try (Meters meters = new Meters(List.of(new RequestClass("look", 1, 1, 1, 0, Effect.SAFE,
                DedupGroup.ALL, 0)))) {
            meters.registerGauge("slow", goOn, latch -> {
                rendering.countDown();
                try {
                    latch.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                return 7;
            });
            CompletableFuture<String> text = new CompletableFuture<>();
            meters.scrape(text::complete);
            rendering.await();
            meters.requestAnswered(0, Meters.Result.SERVED, 1_000);
            assertFalse(text.isDone(), "recorded while it is rendered");
            goOn.countDown();
            assertTrue(text.get(30, TimeUnit.SECONDS).contains("slow 7.0"));
        }
    }

    @Test
    void isAbsentUnlessAskedFor() throws Exception {
        int admin = TestBench.freePort();
        try (TestBench bench = new TestBench(1)) {
            bench.environment = environment(admin);
            bench.answerDiscoveryWith(bench.fullList(7));
            bench.start(folder, bench.fullList(7));
            assertEquals(404, TestBench.callAdmin(admin, "GET", "/metrics", ""));
        }
    }
}
