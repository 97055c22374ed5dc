package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of the whole proxy between real client and backend sockets. */
@Timeout(120)
class ProxyTest {

    @TempDir
    Path folder;

    @Test
    void forwardsRequestAndAnswerUnchanged() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            String body = "a=1\r\n\r\n\u00ff\u0000z";
            TestBench.Client client = bench.client();
            client.send("POST /pay/7?x=%20y&z HTTP/1.1\r\nHost: x\r\nX-Call-Id: 9b1f\r\nX-Call-Class: pay\r\n"
                    + "X-Caller: acme\r\nX-Budget-Ms: 20000\r\nIdempotency-Key: 5c0f\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body);

            StubServer.Message request = bench.backends.get(0).next();
            assertEquals("POST /pay/7?x=%20y&z HTTP/1.1", request.line());
            assertEquals("9b1f", request.header("X-Call-Id"));
            assertEquals("5c0f", request.header("Idempotency-Key"));
            assertArrayEquals(body.getBytes(StandardCharsets.ISO_8859_1), request.body());
            long budgetMs = Long.parseLong(request.header("X-Budget-Ms"));
            assertTrue(budgetMs > 0 && budgetMs <= 20_000, "budget in ms: " + budgetMs);

            request.reply(200, "the answer", "Content-Type: text/x");
            StubServer.Message answer = client.answer();
            assertEquals("HTTP/1.1 200 OK", answer.line());
            assertEquals("the answer", answer.text());
            assertEquals("text/x", answer.header("Content-Type"));
        }
    }

    @Test
    void forwardsChunkedBodyWhole() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client();
            client.send("POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Call-Class: act\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n");
            client.send("0\r\n\r\n");
            StubServer.Message request = bench.backends.get(0).next();
            assertEquals("abcde", request.text());
            request.reply(200, "");
            assertEquals(200, client.status());
        }
    }

    @Test
    void reusesClientAndBackendConnections() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client();
            for (int i = 0; i < 3; i++) {
                client.sendLook("r" + i);
                bench.backends.get(0).next().reply(200, "answer " + i);
                assertEquals("answer " + i, client.answer().text());
                BackendPoolTest.awaitReuseDelay();
            }
            assertEquals(1, bench.backends.get(0).connections());
        }
    }

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("a").sendLook("b");
            for (String id : List.of("a", "b")) {
                StubServer.Message request = bench.backends.get(0).next();
                assertEquals(id, request.header("X-Call-Id"));
                assertEquals(0, bench.backends.get(0).pendingMessages());
                request.reply(200, id);
                assertEquals(id, client.answer().text());
            }
        }
    }

    @Test
    void doesNotReuseConnectionClosedByBackend() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("a");
            StubServer.Message request = bench.backends.get(0).next();
            request.reply(200, "");
            assertEquals(200, client.status());
            request.socket().shutdownOutput();
            request.awaitConnectionEnd();

            client.sendLook("b");
            bench.backends.get(0).next().reply(200, "fresh");
            assertEquals("fresh", client.answer().text());
            assertEquals(2, bench.backends.get(0).connections());
        }
    }

    @Test
    void closesIdleBackendConnectionAfterKeepAlive() throws Exception {
        try (TestBench bench = new TestBench(1)) {
            bench.keepAliveUs = 200_000;
            bench.start(folder);
            TestBench.Client client = bench.client().sendLook("a");
            StubServer.Message request = bench.backends.get(0).next();
            request.reply(200, "");
            assertEquals(200, client.status());
            request.awaitConnectionEnd();
        }
    }

    @Test
    void closesBackendConnectionAfterConnectionCloseHeader() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("a");
            StubServer.Message request = bench.backends.get(0).next();
            request.reply(200, "", "Connection: close");
            assertEquals(200, client.status());
            request.awaitConnectionEnd();
        }
    }

    /** An unsafe request that the backend may have run must fail: it is neither repeated nor refused. */
    @ParameterizedTest
    @ValueSource(strings = {"500", "503", "504", "404", "302", "reset", "end", "cut", "nonsense", "large"})
    void failsUnsafeRequestThatMayHaveRun(String failure) throws Exception {
        try (TestBench bench = new TestBench(2).start(folder)) {
            TestBench.Client client = bench.client().sendPost("act", "r", "x");
            StubServer.Message request = nextRequest(bench);
            switch (failure) {
                case "reset" -> request.resetConnection();
                case "end" -> request.socket().close();
                case "cut" -> {
                    request.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                    request.socket().close();
                }
                case "nonsense" -> request.sendRaw("what is this\r\n\r\n");
                case "large" -> request.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n");
                default -> request.reply(Integer.parseInt(failure), "");
            }
            assertEquals(502, client.status());
            assertEquals(0, bench.backends.get(0).pendingMessages()
                    + bench.backends.get(1).pendingMessages());
        }
    }

    /** An unsafe request that provably did not run goes to the other backend; if both fail it is refused. */
    @ParameterizedTest
    @ValueSource(ints = {503, 504})
    void retriesUnsafeRequestOnceIfItDidNotRun(int status) throws Exception {
        try (TestBench bench = new TestBench(2).start(folder)) {
            TestBench.Client client = bench.client().sendPost("act", "r", "x");
            Set<Integer> ports = new HashSet<>();
            for (int i = 0; i < 2; i++) {
                StubServer.Message request = nextRequest(bench);
                ports.add(request.socket().getLocalPort());
                request.reply(status, "", "X-Rejected: 1");
            }
            assertEquals(2, ports.size());
            assertEquals(503, client.status());
        }
    }

    /**
     * A client may copy another request's id, so that backends answer 400. Guards against a proxy that
     * repeats such a request, ejects the backends and then refuses valid requests.
     */
    @Test
    void failsRequestOnBackendStatus400WithoutEjectingBackends() throws Exception {
        try (TestBench bench = new TestBench(2).start(folder)) {
            TestBench.Client copyingClient = bench.client();
            for (int i = 0; i < 20; i++) {
                copyingClient.sendLook("forged");
                nextRequest(bench).reply(400, "");
                assertEquals(502, copyingClient.status());
                assertEquals(0, bench.backends.get(0).pendingMessages()
                        + bench.backends.get(1).pendingMessages());
            }
            TestBench.Client client = bench.client();
            for (int i = 0; i < 20; i++) {
                client.sendLook("good " + i);
                nextRequest(bench).reply(200, "good " + i);
                assertEquals("good " + i, client.answer().text());
            }
        }
    }

    @Test
    void refusesRequestWhenNoBackendAcceptsConnections() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            bench.backends.get(0).close();
            assertEquals(503, bench.client().sendPost("act", "r", "x").status());
        }
    }

    @Test
    void retriesSafeRequestAtOtherBackendAfterReset() throws Exception {
        try (TestBench bench = new TestBench(2).start(folder)) {
            TestBench.Client client = bench.client().sendLook("r");
            nextRequest(bench).resetConnection();
            nextRequest(bench).reply(200, "second");
            assertEquals("second", client.answer().text());
        }
    }

    /** At the deadline the client gets one failure; an answer of the backend after that is dropped. */
    @Test
    void failsRequestOnceShortlyBeforeItsDeadline() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client();
            long startNs = System.nanoTime();
            client.sendLook("slow", 600);
            StubServer.Message slowRequest = bench.backends.get(0).next();
            assertEquals(502, client.status());
            assertTrue(System.nanoTime() - startNs > 300_000_000L, "failed long before its deadline");
            slowRequest.awaitConnectionEnd();
            slowRequest.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");

            client.sendLook("next");
            bench.backends.get(0).next().reply(200, "next");
            assertEquals("next", client.answer().text());
        }
    }

    /**
     * A request that the proxy answered shortly before its deadline is still pending in the decision module,
     * which may assign a server to it. The proxy must not send it, and must report the server as free.
     */
    @Test
    void doesNotSendRequestAnsweredShortlyBeforeItsDeadline() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("slow");
            StubServer.Message slowRequest = bench.backends.get(0).next();
            Thread.sleep(200);
            slowRequest.reply(200, "");
            assertEquals(200, client.status());
            client.sendLook("long");
            StubServer.Message longRequest = bench.backends.get(0).next();
            assertEquals(502, bench.client().sendLook("held", 300).status());
            longRequest.reply(200, "");
            assertEquals(200, client.status());

            client.sendLook("next", 500);
            bench.backends.get(0).next().reply(200, "");
            assertEquals(200, client.status(), "the decision module does not know that the server is idle");
        }
    }

    @Test
    void closesAttemptWhenClientDisconnects() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client().sendLook("r");
            StubServer.Message request = bench.backends.get(0).next();
            client.socket().close();
            request.awaitConnectionEnd();
            assertEquals(0, bench.backends.get(0).pendingMessages());
        }
    }

    /** The connect takes longer than the drain's grace period, so the backend must get no request. */
    @Test
    void sendsNothingToBackendThatBeganToDrainDuringConnect() throws Exception {
        try (TestBench bench = new TestBench(0); FullBacklogServer backend = new FullBacklogServer()) {
            bench.drainGraceUs = 0;
            bench.connectTimeoutUs = 25_000_000;
            String inServiceList = TestBench.listJson(1, true,
                    TestBench.entry("b", backend.address(), "in_service"));
            bench.start(folder, inServiceList);
            bench.discovery.next().reply(200, inServiceList);
            StubServer.Message watch = bench.discovery.next();
            TestBench.Client client = bench.client().sendLook("r");
            TestBench.Client readinessClient = bench.client();
            assertEquals(200, readinessStatus(readinessClient));
            watch.reply(200, TestBench.listJson(2, false,
                    TestBench.entry("b", backend.address(), "terminating")));
            bench.discovery.next();
            assertEquals(503, readinessStatus(readinessClient));

            Socket connection = backend.accept();
            assertEquals(503, client.status());
            assertTrue(FullBacklogServer.hasReceivedNothing(connection),
                    "the draining backend received a byte");
        }
    }

    /**
     * The proxy learns of a drain during an outage of pushed discovery only after the outage. The drain's
     * grace period counts from the last time at which the list was up to date, not from its arrival.
     */
    @Test
    void sendsNothingToBackendWhoseDrainWasMissedForItsGracePeriod() throws Exception {
        try (TestBench bench = new TestBench(0); FullBacklogServer backend = new FullBacklogServer()) {
            bench.connectTimeoutUs = 25_000_000;
            bench.drainGraceUs = 2_000_000;
            String inServiceList = TestBench.listJson(1, true,
                    TestBench.entry("b", backend.address(), "in_service"));
            bench.start(folder, inServiceList);
            bench.discovery.next().reply(200, inServiceList);
            StubServer.Message watch = bench.discovery.next();
            TestBench.Client client = bench.client().sendLook("r");
            bench.awaitInputProcessed();
            watch.reply(503, "");
            StubServer.Message retry = bench.discovery.next();
            // The kernel repeats the connect's SYN after 1 s and 3 s. At 3 s a grace period that counts from
            // the failure is over; one that counts from the new list is not.
            Thread.sleep(2_500);
            retry.reply(200, TestBench.listJson(2, true,
                    TestBench.entry("b", backend.address(), "terminating")));
            bench.discovery.next();

            Socket connection = backend.accept();
            assertEquals(503, client.status());
            assertTrue(FullBacklogServer.hasReceivedNothing(connection),
                    "the draining backend received a byte");
        }
    }

    /** A drain that begins as discovery recovers must be received within its grace period. */
    @Test
    void retriesFailedDiscoveryWithinDrainGracePeriod() throws Exception {
        try (TestBench bench = new TestBench(1)) {
            bench.drainGraceUs = 500_000;
            bench.start(folder);
            StubServer.Message call = bench.discovery.next();
            List<Long> pausesMs = new ArrayList<>();
            for (int i = 0; i < 11; i++) {
                long failedAtNs = System.nanoTime();
                call.reply(503, "");
                call = bench.discovery.next();
                pausesMs.add((System.nanoTime() - failedAtNs) / 1_000_000);
            }
            // From the sixth on, pauses no longer grow. The median of five tolerates two long delays by
            // the machine.
            long medianMs = pausesMs.subList(6, 11).stream().sorted().toList().get(2);
            assertTrue(medianMs < 500, "pauses between calls to discovery in ms: " + pausesMs);
        }
    }

    @Test
    void keepsListDuringDiscoveryOutageAndWatchesAgain() throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.start(folder, TestBench.listJson(1, true));
            assertEquals("GET /registry/instances HTTP/1.1", bench.discovery.next().line());
            assertEquals(503, readinessStatus(bench.client()));
            bench.discovery.close();
        }
        try (TestBench bench = new TestBench(2)) {
            String firstList = TestBench.listJson(7, true, bench.entry(0, "in_service"));
            bench.start(folder, "null");
            bench.discovery.next().reply(200, firstList);
            StubServer.Message watch = bench.discovery.next();
            assertTrue(watch.line().startsWith("GET /registry/instances?index=7&wait="), watch.line());
            assertEquals(200, readinessStatus(bench.client()));

            watch.reply(503, "");
            bench.discovery.next().resetConnection();
            StubServer.Message retry = bench.discovery.next();
            assertTrue(retry.line().contains("index=7"), retry.line());
            assertServedBy(bench, 0);
            retry.reply(200, "[nonsense");
            StubServer.Message fullListCall = bench.discovery.next();
            assertEquals("GET /registry/instances HTTP/1.1", fullListCall.line());
            assertServedBy(bench, 0);
            fullListCall.reply(200, TestBench.listJson(9, true, bench.entry(1, "in_service")));
            StubServer.Message nextWatch = bench.discovery.next();
            assertTrue(nextWatch.line().contains("index=9"), nextWatch.line());
            assertServedBy(bench, 1);
            nextWatch.reply(200, TestBench.listJson(10, false, bench.entry(1, "terminated"),
                    bench.entry(0, "in_service")));
            bench.discovery.next();
            assertServedBy(bench, 0);
        }
    }

    @Test
    void acceptsListReceivedSlowlyButSteadily() throws Exception {
        try (TestBench bench = new TestBench(1)) {
            bench.start(folder, "null");
            StubServer.Message call = bench.discovery.next();
            String list = bench.fullList(7);
            call.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n");
            for (int i = 0; i < 5; i++) {
                Thread.sleep(350);
                call.sendRaw(list.substring(list.length() * i / 5, list.length() * (i + 1) / 5));
            }
            assertTrue(bench.discovery.next().line().contains("?index=7&"), "the list was not applied");
            assertServedBy(bench, 0);
        }
    }

    /** A list that is truncated or stalls half-way must not be applied in part, nor block the next call. */
    @ParameterizedTest
    @ValueSource(strings = {"ends", "stops", "cut", "more"})
    void requestsListAgainAfterIncompleteResponse(String defect) throws Exception {
        try (TestBench bench = new TestBench(2)) {
            bench.start(folder, "null");
            bench.discovery.next().reply(200, TestBench.listJson(7, true, bench.entry(0, "in_service")));
            StubServer.Message watch = bench.discovery.next();
            String changes = TestBench.listJson(8, true, bench.entry(1, "in_service"));
            String firstHalf = changes.substring(0, changes.length() / 2);
            switch (defect) {
                case "cut" -> watch.reply(200, firstHalf);
                case "more" -> watch.reply(200, changes + changes);
                default -> watch.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: " + changes.length()
                        + "\r\n\r\n" + firstHalf);
            }
            long startNs = System.nanoTime();
            if (defect.equals("ends")) {
                watch.socket().close();
            }
            StubServer.Message retry = bench.discovery.next();
            assertTrue(System.nanoTime() - startNs < 2_500_000_000L, "the next call came too late");
            assertServedBy(bench, 0);
            retry.reply(200, TestBench.listJson(9, true, bench.entry(1, "in_service")));
            bench.discovery.next();
            assertServedBy(bench, 1);
        }
    }

    @Test
    void watchesDiscoveryInOnRequestMode() throws Exception {
        try (TestBench bench = new TestBench(1)) {
            bench.discoveryMode = "on_request";
            bench.start(folder);
            bench.discovery.next().reply(503, "");
            bench.discovery.next().reply(200, bench.fullList(3));
            StubServer.Message watch = bench.discovery.next();
            assertTrue(watch.line().contains("index=3"), watch.line());
            watch.reply(200, TestBench.listJson(3, false));
            StubServer.Message nextWatch = bench.discovery.next();
            assertTrue(nextWatch.line().contains("index=3"), nextWatch.line());
            assertServedBy(bench, 0);
        }
    }

    /** Changes that a silent watch misses count as delivered after 6 s; the proxy must reopen it before. */
    @Test
    void watchWaitStaysBelowNotificationLimit() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            bench.discovery.next().reply(200, bench.fullList(1));
            String watchLine = bench.discovery.next().line();
            long waitMs = Long.parseLong(watchLine.replaceFirst(".*&wait=([0-9]+) .*", "$1"));
            long silenceTimeoutMs = 2_000;
            long retryPauseMs = 460;
            assertTrue(waitMs + silenceTimeoutMs + retryPauseMs < 6_000, watchLine);
        }
    }

    /**
     * A silent watch is reopened without the pause that follows a failure: changes missed in that pause
     * would count as delivered.
     */
    @Test
    void reopensSilentWatchAtOnceInOnRequestMode() throws Exception {
        try (TestBench bench = new TestBench(1)) {
            bench.discoveryMode = "on_request";
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(3));
            StubServer.Message silentWatch = bench.discovery.next();
            silentWatch.awaitConnectionEnd();
            long startNs = System.nanoTime();
            assertTrue(bench.discovery.next().line().contains("index=3"));
            long pauseMs = (System.nanoTime() - startNs) / 1_000_000;
            assertTrue(pauseMs < 900, "reopened after " + pauseMs + " ms");
        }
    }

    /**
     * A call too soon after a failure would count as the continuation of the failed watch, and changes
     * missed in between would count as delivered.
     */
    @Test
    void doesNotRetryWhileFailedWatchCountsAsOpen() throws Exception {
        try (TestBench bench = new TestBench(1)) {
            bench.discoveryMode = "on_request";
            bench.start(folder);
            StubServer.Message call = bench.discovery.next();
            for (int i = 0; i < 12; i++) {
                long failedAtNs = System.nanoTime();
                call.reply(503, "");
                call = bench.discovery.next();
                long pauseMs = (System.nanoTime() - failedAtNs) / 1_000_000;
                assertTrue(pauseMs > 900, "retried after " + pauseMs + " ms");
                // A received list resets the pause to its initial length.
                call.reply(200, bench.fullList(i + 1));
                call = bench.discovery.next();
            }
        }
    }

    @Test
    void probesBackendBeforeSendingIfProbesEnabled() throws Exception {
        try (TestBench bench = new TestBench(1)) {
            bench.probesEnabled = true;
            bench.start(folder);
            TestBench.Client client = bench.client().sendLook("r");
            StubServer.Message probe = bench.backends.get(0).next();
            assertEquals("GET /stats HTTP/1.1", probe.line());
            assertNull(probe.header("X-Call-Id"));
            probe.reply(200, "inflight=0,queue=0,util=0.1");
            StubServer.Message request = bench.backends.get(0).next();
            while (request.line().startsWith("GET /stats")) {
                request.reply(200, "inflight=0,queue=0,util=0.1");
                request = bench.backends.get(0).next();
            }
            request.reply(200, "served");
            assertEquals("served", client.answer().text());
        }
    }

    @Test
    void rejectsInvalidRequestsWithoutForwardingThem() throws Exception {
        String validHeaders = "Host: x\r\nX-Call-Id: 1\r\n";
        List<List<String>> expectedStatusAndRequest = List.of(
                List.of("400", "GET /look HTTP/1.1\r\nX-Call-Class: look\r\n\r\n"),
                List.of("400", "GET /nosuch HTTP/1.1\r\n" + validHeaders + "X-Call-Class: nosuch\r\n\r\n"),
                List.of("400", "GET * HTTP/1.1\r\n" + validHeaders + "\r\n"),
                List.of("400", "GET /act HTTP/1.1\r\n" + validHeaders + "X-Call-Class: look\r\n\r\n"),
                List.of("405", "GET /act HTTP/1.1\r\n" + validHeaders + "X-Call-Class: act\r\n\r\n"),
                List.of("405", "POST /look HTTP/1.1\r\n" + validHeaders
                        + "X-Call-Class: look\r\nContent-Length: 0\r\n\r\n"),
                List.of("400", "POST /pay HTTP/1.1\r\n" + validHeaders
                        + "X-Call-Class: pay\r\nContent-Length: 0\r\n\r\n"),
                List.of("400", "GET /look HTTP/1.1\r\n" + validHeaders
                        + "X-Call-Class: look\r\nX-Budget-Ms: soon\r\n\r\n"),
                List.of("400", "POST /act HTTP/1.1\r\n" + validHeaders
                        + "X-Call-Class: act\r\nContent-Length: many\r\n\r\n"),
                List.of("413", "POST /act HTTP/1.1\r\n" + validHeaders
                        + "X-Call-Class: act\r\nContent-Length: 33554433\r\n\r\n"),
                List.of("400", "nonsense\r\n\r\n"));
        try (TestBench bench = new TestBench(1).start(folder)) {
            for (List<String> pair : expectedStatusAndRequest) {
                TestBench.Client client = bench.client().send(pair.get(1));
                assertEquals(pair.get(0), String.valueOf(client.status()), pair.get(1));
            }
            assertEquals(0, bench.backends.get(0).connections());
            assertServedBy(bench, 0);
        }
    }

    /** Guards against connections without a valid request that use up the descriptors for requests. */
    @Test
    void closesUnprovenConnections() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            bench.discovery.next().reply(200, bench.fullList(1));
            bench.discovery.next();
            TestBench.Client provenClient = bench.client().sendLook("r");
            bench.backends.get(0).next().reply(200, "");
            assertEquals(200, provenClient.status());
            TestBench.Client silentClient = bench.client();
            TestBench.Client readinessOnlyClient = bench.client();
            assertEquals(200, readinessStatus(readinessOnlyClient));
            TestBench.Client partialHeadClient =
                    bench.client().send("GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1");
            TestBench.Client partialBodyClient =
                    bench.client().send("POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: 2\r\n"
                    + "X-Call-Class: act\r\nContent-Length: 10\r\n\r\nabc");
            for (TestBench.Client client
                    : List.of(silentClient, readinessOnlyClient, partialHeadClient, partialBodyClient)) {
                assertNull(client.answer());
            }
            assertEquals(200, readinessStatus(provenClient),
                    "a client that has sent a valid request may pause for longer");
            assertEquals(0, bench.backends.get(0).pendingMessages());
        }
    }

    @Test
    void closesIdleConnectionsWhenDescriptorsAreScarce() throws Exception {
        try (TestBench bench = new TestBench(1)) {
            bench.maxSockets = 24;
            bench.start(folder);
            List<TestBench.Client> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                TestBench.Client client = bench.client().sendLook("r" + i);
                bench.backends.get(0).next().reply(200, "");
                assertEquals(200, client.status());
                clients.add(client);
            }
            assertNull(clients.get(0).answer(), "the connection that is idle for longest was not closed");
            clients.get(39).sendLook("last");
            bench.backends.get(0).next().reply(200, "");
            assertEquals(200, clients.get(39).status());
        }
    }

    @Test
    void isReadyOnlyWithBackend() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder, "null")) {
            TestBench.Client client = bench.client();
            assertEquals(503, readinessStatus(client));
            bench.discovery.next().reply(200, bench.fullList(1));
            bench.discovery.next();
            assertEquals(200, readinessStatus(client));
            assertNotEquals(0, bench.discovery.connections());
        }
    }

    /**
     * With pushed discovery, the platform regards the list as delivered when the process starts, so the proxy
     * must not be ready before it has the list or discovery has failed.
     */
    @ParameterizedTest
    @ValueSource(ints = {200, 503})
    void isReadyOnceListReceivedOrDiscoveryFailed(int status) throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            TestBench.Client client = bench.client();
            StubServer.Message call = bench.discovery.next();
            assertEquals(503, readinessStatus(client));
            call.reply(status, status == 200 ? bench.fullList(2) : "");
            bench.discovery.next();
            assertEquals(200, readinessStatus(client));
        }
    }

    private static int readinessStatus(TestBench.Client client) throws Exception {
        return client.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
    }

    /** Sends a request that the given backend must receive, and answers it from that backend. */
    private static void assertServedBy(TestBench bench, int backend) throws Exception {
        TestBench.Client client = bench.client().sendLook("s");
        StubServer.Message request = bench.backends.get(backend).next();
        assertNotNull(request.header("X-Call-Id"));
        request.reply(200, "served");
        assertEquals("served", client.answer().text());
    }

    /** Returns the next request that any backend receives. */
    private static StubServer.Message nextRequest(TestBench bench) throws Exception {
        return bench.backends.get(bench.awaitBackendWithRequest()).next();
    }
}
