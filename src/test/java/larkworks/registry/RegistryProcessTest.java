package larkworks.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import larkworks.Program;
import larkworks.platform.WallClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The list service as a process of its own, killed, cut off from its disk and crowded (issue 10). */
@Timeout(180)
class RegistryProcessTest {

    @TempDir
    Path folder;

    private Program service(String shell, String... more) throws IOException {
        List<String> args = new ArrayList<>(List.of("registry", "--listen", "127.0.0.1:0", "--data",
                folder.resolve("data").toString()));
        args.addAll(List.of(more));
        return new Program(shell, Map.of(), args.toArray(String[]::new));
    }

    private static Caller caller(Program service) throws InterruptedException {
        return new Caller((String) service.awaitLogLine("serving").get("address"));
    }

    /** Has many callers register at once until {@code enough} are acknowledged; then kills the service. */
    private static Map<String, Long> burst(Program service, Caller caller, String prefix, int enough)
            throws InterruptedException {
        Map<String, Long> acknowledged = new ConcurrentHashMap<>();
        ExecutorService callers = Executors.newFixedThreadPool(8);
        for (int t = 0; t < 8; t++) {
            int part = t;
            callers.execute(() -> {
                try {
                    for (int i = 0; i < 5_000; i++) {
                        String name = prefix + "-" + part + "-" + i;
                        String address = "10." + prefix.length() + "." + part + "." + i % 250;
                        Caller.Answer answer = caller.register(name, address + ":" + (1_000 + i), "");
                        if (answer.status() == 200) {
                            acknowledged.put(name, answer.index());
                        }
                    }
                } catch (IOException | InterruptedException e) {
                    // Killed under us: what was not answered was not acknowledged.
                }
            });
        }
        Program.await(60, acknowledged::toString, () -> acknowledged.size() >= enough);
        service.kill();
        callers.shutdownNow();
        assertTrue(callers.awaitTermination(30, TimeUnit.SECONDS));
        return Map.copyOf(acknowledged);
    }

    @Test
    void losesNoAcknowledgedChangeWhenKilledInABurstAndGoesOnFromItsIndex() throws Exception {
        Map<String, Long> acknowledged = new ConcurrentHashMap<>();
        for (String prefix : List.of("x", "xx", "xxx")) {
            // Small snapshots, so that kills fall around them too.
            try (Program service = service("", "--snapshot-bytes", "20000")) {
                Caller caller = caller(service);
                acknowledged.putAll(burst(service, caller, prefix, 400));
            }
        }
        try (Program service = service("")) {
            Caller caller = caller(service);
            Caller.Answer list = caller.list("");
            List<String> held = list.endpoints();
            for (String name : acknowledged.keySet()) {
                assertTrue(held.contains(name + " in_service"), name + " is lost");
            }
            long most = acknowledged.values().stream().mapToLong(i -> i).max().orElseThrow();
            assertTrue(list.index() >= most, list.index() + " after " + most);
            assertEquals(list.index() + 1, caller.register("next", "10.9.9.9:9", "").index());
            assertEquals(List.of("next in_service"), caller.list("?index=" + list.index()).endpoints());
        }
    }

    @Test
    void aFullDiskIsSaidAndNothingFalseIsAcknowledged() throws Exception {
        List<String> acknowledged = new ArrayList<>();
        try (Program service = service("ulimit -f 8")) {  // files of 8 KiB at most
            Caller caller = caller(service);
            int i = 0;
            Caller.Answer answer = caller.register("s0", "10.0.0.1:1000", "");
            while (answer.status() == 200 && i < 500) {
                acknowledged.add("s" + i + " in_service");
                i++;
                answer = caller.register("s" + i, "10.0.0.1:" + (1_000 + i), "");
            }
            assertEquals(507, answer.status());
            assertTrue(String.valueOf(answer.body().get("error")).startsWith("not stored: "));
            assertEquals(acknowledged, caller.list("").endpoints());
            assertEquals(507, caller.status("s0", "terminating").status(), "still full");
        }
        try (Program service = service("")) {
            Caller caller = caller(service);
            assertEquals(acknowledged, caller.list("").endpoints());
            assertEquals(acknowledged.size() + 1, caller.status("s0", "terminating").index());
        }
    }

    @Test
    void aDataDirectoryThatCantBeHadEndsTheStartWithOneLine() throws Exception {
        Files.writeString(folder.resolve("data"), "a file");
        try (Program service = service("")) {
            assertEquals(1, service.process.waitFor());
            Program.await(5, () -> "nothing said", () -> service.lines.size() == 1);
            assertTrue(service.lines.get(0).startsWith("larkworks: "), service.lines.toString());
        }
        Files.delete(folder.resolve("data"));
        try (Program first = service("")) {
            caller(first);
            try (Program second = service("")) {
                assertEquals(1, second.process.waitFor());
                Program.await(5, () -> "nothing said", () -> second.lines.toString()
                        .contains("another process holds this data directory"));
            }
        }
    }

    @Test
    void aThousandWatchesHearOneChangeAndLeasesEnd() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try (Program service = service("")) {
            Caller caller = caller(service);
            caller.register("steady", "10.0.0.1:1", "");
            String address = (String) service.awaitLogLine("serving").get("address");
            int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
            for (int i = 0; i < 1_000; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(30_000);
                socket.getOutputStream().write(("GET /registry/instances?index=1&wait=60000 HTTP/1.1\r\n"
                        + "Host: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                sockets.add(socket);
            }
            Program.await(30, service.lines::toString, () -> figure(caller, "watches") == 1_000);
            caller.register("leased", "10.0.0.2:2", ",\"ttl_ms\":1000");
            for (Socket socket : sockets) {
                byte[] answer = new byte[1_024];
                int read = socket.getInputStream().read(answer);
                String text = new String(answer, 0, read, StandardCharsets.US_ASCII);
                assertTrue(text.contains("{\"index\":2,\"snapshot\":false,\"endpoints\":[{\"name\":"
                        + "\"leased\""), text);
            }
            assertEquals(List.of("leased terminating"), caller.list("?index=2&wait=20000").endpoints());
            assertEquals(200, caller.call("PUT", "/registry/v1/instances/leased/heartbeat", "").status());
            assertEquals(List.of("leased in_service"), caller.list("?index=3&wait=20000").endpoints());
            assertEquals(List.of("leased terminating"), caller.list("?index=4&wait=20000").endpoints());
            assertEquals(List.of("leased terminated"), caller.list("?index=5&wait=20000").endpoints());
            assertEquals(List.of("steady in_service"), caller.list("").endpoints());
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private static Map<String, Double> weights(Caller caller) {
        try {
            Map<String, Double> weights = new TreeMap<>();
            for (Object e : (List<?>) caller.list("").body().get("endpoints")) {
                Map<?, ?> entry = (Map<?, ?>) e;
                weights.put((String) entry.get("name"), ((Number) entry.get("weight")).doubleValue());
            }
            return weights;
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void aWaveOfNewServersIsAdmittedInStagesStopsAtARestAndGoesOnByCommand() throws Exception {
        String[] admission = {"--max-new-share", "0.4", "--ramp-steps", "0.25,0.5", "--ramp-ms", "600"};
        try (Program service = service("", admission)) {
            Caller caller = caller(service);
            for (int i = 0; i < 5; i++) {
                caller.register("old" + i, "10.0.0.1:" + (1 + i), "");
            }
            for (int i = 0; i < 6; i++) {
                caller.register("new" + i, "10.0.0.2:" + (1 + i),
                        ",\"since_ms\":" + WallClock.unixMs());
            }
            Program.await(10, () -> weights(caller).toString(), () -> figure(caller, "ramping") == 2);
            Map<String, Double> first = weights(caller);
            assertEquals(7, first.size(), first.toString());
            assertEquals(2, first.entrySet().stream().filter(w -> w.getKey().startsWith("new")
                    && w.getValue() < 1).count(), first.toString());
            caller.call("PUT", "/registry/v1/rollout/reports/p", "{\"version\":0,\"requests\":9,"
                    + "\"failures\":0,\"refused\":0,\"why\":\"\",\"resting\":[\"new1\"]}");
            Program.await(10, () -> weights(caller).toString(), () -> figure(caller, "stopped") == 2);
            assertEquals(5, weights(caller).size(), "the stage is out, and nobody follows");
        }
        try (Program service = service("", admission)) {
            Caller caller = caller(service);
            assertEquals(2, figure(caller, "stopped"), "a stop outlives the service");
            assertEquals(200, caller.call("PUT", "/registry/v1/admission/resume", "").status());
            Program.await(30, () -> weights(caller).toString(), () -> {
                assertTrue(figure(caller, "ramping") <= 4, "more than the share is new");
                Map<String, Double> now = weights(caller);
                return now.size() == 11 && now.values().stream().allMatch(w -> w == 1);
            });
        }
    }

    private static long figure(Caller caller, String name) {
        try {
            return ((Number) caller.call("GET", "/registry/v1/status", "").body().get(name)).longValue();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
