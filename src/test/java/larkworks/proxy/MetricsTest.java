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

/** Tests the content of {@code /metrics}, and that the path exists only if metrics are enabled. */
@Timeout(60)
class MetricsTest {

    @TempDir
    Path folder;

    private Map<String, String> environment(int adminPort) {
        return Map.of("GW_ADMIN_ADDR", TestBench.HOST + ":" + adminPort, "TMPDIR", folder.toString());
    }

    @Test
    void reportsRequestsAttemptsAndListsInPrometheusText() throws Exception {
        int adminPort = TestBench.freePort();
        try (TestBench bench = new TestBench(1)) {
            bench.extraConfig = "\"metrics\":{\"enabled\":true},";
            bench.environment = environment(adminPort);
            bench.answerDiscoveryWith(bench.fullList(7));
            bench.start(folder, bench.fullList(7));
            for (int i = 0; i < 3; i++) {
                TestBench.Client client = bench.client().sendLook("r" + i);
                bench.backends.get(0).next().reply(i == 2 ? 500 : 200, "");
                client.status();
            }
            String text;
            URI metricsUri = URI.create("http://" + TestBench.HOST + ":" + adminPort + "/metrics");
            try (var in = metricsUri.toURL().openStream()) {
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
    void aSlowScrapeDoesNotBlockRecording() throws Exception {
        CountDownLatch renderingStarted = new CountDownLatch(1);
        CountDownLatch allowRendering = new CountDownLatch(1);
        try (Meters meters = new Meters(List.of(new RequestClass("look", 1, 1, 1, 0, Effect.SAFE,
                DedupGroup.ALL, 0)))) {
            meters.registerGauge("slow", allowRendering, latch -> {
                renderingStarted.countDown();
                try {
                    latch.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                return 7;
            });
            CompletableFuture<String> text = new CompletableFuture<>();
            meters.scrape(text::complete);
            renderingStarted.await();
            meters.requestAnswered(0, Meters.Result.SERVED, 1_000);
            assertFalse(text.isDone(), "a value must be recorded while the scrape is still rendered");
            allowRendering.countDown();
            assertTrue(text.get(30, TimeUnit.SECONDS).contains("slow 7.0"));
        }
    }

    @Test
    void isAbsentUnlessEnabled() throws Exception {
        int adminPort = TestBench.freePort();
        try (TestBench bench = new TestBench(1)) {
            bench.environment = environment(adminPort);
            bench.answerDiscoveryWith(bench.fullList(7));
            bench.start(folder, bench.fullList(7));
            assertEquals(404, TestBench.callAdmin(adminPort, "GET", "/metrics", ""));
        }
    }
}
