package larkworks.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import larkworks.Balancer;
import larkworks.Balancer.Actions;
import larkworks.Balancer.DedupGroup;
import larkworks.Balancer.Effect;
import larkworks.Balancer.Limits;
import larkworks.Balancer.ListKind;
import larkworks.Balancer.Outcome;
import larkworks.Balancer.Request;
import larkworks.Balancer.RequestClass;
import larkworks.Balancer.Rules;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;
import larkworks.Balancer.Settings;
import larkworks.Logic;
import larkworks.adapter.Json;

/** Measures the module and the reading of a list, with so many servers. */
final class CostRun {

    private static final int ROUNDS = 200;
    private static final long CALL_US = 5_000;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final CostScenario scenario;
    private final long seed;

    CostRun(CostScenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
    }

    CostResult run(int servers) throws IOException {
        Module module = new Module(servers, seed);
        module.calls(scenario.calls());
        double callUs = perRound(scenario.calls(), () -> module.calls(scenario.calls()));
        module.changes(ROUNDS);
        double changeUs = perRound(ROUNDS, () -> module.changes(ROUNDS));
        module.whole(ROUNDS);
        double wholeUs = perRound(ROUNDS, () -> module.whole(ROUNDS));
        byte[] list = list(servers);
        parse(list, ROUNDS);
        double parseUs = perRound(ROUNDS, () -> parse(list, ROUNDS));
        return new CostResult("real", servers, callUs, changeUs, wholeUs, parseUs, list.length);
    }

    /** Something to measure. */
    private interface Work {
        void run() throws IOException;
    }

    private double perRound(int rounds, Work work) throws IOException {
        long begun = threads.getCurrentThreadCpuTime();
        work.run();
        return (threads.getCurrentThreadCpuTime() - begun) / 1e3 / rounds;
    }

    private static void parse(byte[] list, int rounds) throws IOException {
        for (int i = 0; i < rounds; i++) {
            Json.object(list);
        }
    }

    private static byte[] list(int servers) {
        return IntStream.range(0, servers).mapToObj(i -> "{\"name\":\"s-"
                + Integer.toHexString(0x5be00000 + i) + "\",\"address\":\"10.1."
                + i / 250 + "." + i % 250 + ":9000\",\"zone\":\"zone-" + i % 5
                + "\",\"type\":\"m2\",\"group\":" + i / 20 + ",\"status\":\"in_service\",\"weight\":1.0,"
                + "\"since_ms\":1800000000000}")
                .collect(Collectors.joining(",", "{\"index\":41,\"snapshot\":true,\"endpoints\":[", "]}"))
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** The module with servers that answer all calls in the same time. */
    private final class Module implements Actions {
        private final Balancer balancer;
        private final List<Server> servers = new ArrayList<>();
        private final Deque<String> out = new ArrayDeque<>();
        private final Deque<String> takers = new ArrayDeque<>();
        private long nowUs = 1_000_000_000;
        private long wakeAtUs = Long.MAX_VALUE;
        private long requests;

        Module(int count, long seed) {
            balancer = new Logic(settings(count), seed, this);
            for (int i = 0; i < count; i++) {
                servers.add(new Server("s-" + i, 0, i % 5, i / 20, 1, ServerStatus.UP));
            }
            balancer.serversChanged(nowUs, ListKind.REMEMBERED, servers);
        }

        private Settings settings(int count) {
            return new Settings(List.of(new RequestClass("read", 200_000, 1_000_000, 1, 0, Effect.SAFE,
                    DedupGroup.ALL, 0)), List.of(), new Limits(3, true, false, false, 0),
                    new Rules(500_000, 0, 0.3, 10_000_000, 3), 0, 0, 0, 0, count, 0, 1, false, 1, 1_000);
        }

        void calls(int count) {
            long stepUs = (long) (1e6 / scenario.callsPerS());
            for (int i = 0; i < count; i++) {
                nowUs += stepUs;
                if (nowUs >= wakeAtUs) {
                    wakeAtUs = Long.MAX_VALUE;
                    balancer.timer(nowUs);
                }
                String id = "r" + requests++;
                out.add(id);
                balancer.request(nowUs, new Request(id, 0, 0, 1_000_000, 0, false));
                if (out.size() > scenario.inFlight()) {
                    balancer.outcome(nowUs, out.remove(), 0, takers.remove(), Outcome.OK, CALL_US, true,
                            null);
                }
            }
        }

        void changes(int count) {
            for (int i = 0; i < count; i++) {
                Server server = servers.get(i / 2 % servers.size());
                balancer.serversChanged(nowUs, ListKind.CHANGES, List.of(new Server(server.id(), 0,
                        server.zone(), server.group(), 1,
                        i % 2 == 0 ? ServerStatus.DRAINING : ServerStatus.UP)));
            }
        }

        void whole(int count) {
            for (int i = 0; i < count; i++) {
                balancer.serversChanged(nowUs, ListKind.WHOLE, servers);
            }
        }

        @Override
        public void send(String request, String server, long timeoutUs) {
            takers.add(server);
        }

        @Override
        public void refuse(String request, long retryAfterUs) {
            throw new IllegalStateException("refused " + request);
        }

        @Override
        public void fail(String request) {
            throw new IllegalStateException("failed " + request);
        }

        @Override
        public void cancel(String request, int attempt) { }

        @Override
        public void probe(String server) { }

        @Override
        public void wakeAt(long atUs) {
            wakeAtUs = Math.min(wakeAtUs, atUs);
        }

        @Override
        public void watchServers() { }

        @Override
        public void log(String text) { }
    }
}
