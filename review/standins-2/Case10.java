import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A release with staged admission, whose first new server dies on the ramp. A proxy rests it, which stops the admission:
 * nobody may follow until an operator resumes it, also when the dead server's lease has ended.
 */
public final class Case10 {

    private static final int OLD = 6;
    private static final int NEW = 3;
    private static final int TTL_MS = 10_000;
    private static final int HEARTBEAT_MS = 2_000;
    private static final int WATCHED_MS = 30_000;
    private static final String INSTANCES = "/registry/v1/instances/";

    private Case10() { }

    public static void main(String[] args) throws Exception {
        Lab.main(args, Case10::run);
    }

    private static List<String> run(Lab lab) throws Exception {
        String registry = Lab.HOST + ":" + lab.freePort();
        lab.start("registry", Map.of(), "java", "-Xmx128m", "-jar", "target/larkworks.jar", "registry", "--listen", registry,
                "--data", lab.temp.resolve("registry").toString(), "--max-new-share", "0.2");
        lab.await("the list service answers", 30, () -> !status(registry).isEmpty());
        Setup setup = new Setup();
        for (int i = 0; i < OLD; i++) {
            Backend backend = new Backend(lab, "s-" + i);
            setup.known(backend.name, backend.address());
            register(lab, registry, backend, 0, 0);
        }
        setup.extra = "\"rollout\":{\"report_ms\":1000},";
        setup.discovery = '"' + registry + '"';
        String listen = Lab.HOST + ":" + lab.freePort();
        Path config = lab.temp.resolve("config.json");
        setup.write(config, "n1", listen);
        Process proxy = lab.startProxy("n1", config, listen, registry, null);
        lab.awaitReady(listen);
        Load load = new Load(lab, listen, 12);
        Thread.sleep(3_000);

        Map<String, Backend> fresh = new LinkedHashMap<>();
        for (int i = 0; i < NEW; i++) {
            Backend backend = new Backend(lab, "new-" + i);
            fresh.put(backend.name, backend);
            register(lab, registry, backend, System.currentTimeMillis(), TTL_MS);
            Lab.daemon(() -> {
                while (!backend.dead) {
                    Thread.sleep(HEARTBEAT_MS);
                    if (!backend.dead) {
                        Lab.call(registry, "PUT", INSTANCES + backend.name + "/heartbeat", "", 2_000);
                    }
                }
            });
        }
        Backend first = fresh.get("new-0");
        lab.await("the first new server gets requests", 20, () -> !first.taken.isEmpty());
        long stoppedMs = Long.MAX_VALUE;
        if (lab.trouble) {
            lab.say("script", first.name + " dies: connections are reset, new ones refused, no more heartbeats");
            first.die();
            lab.await("the admission has stopped", 20, () -> figure(registry, "stopped") > 0);
            stoppedMs = lab.nowMs();
            lab.say("registry", "the admission has stopped: " + status(registry));
        }
        String before = "";
        for (long endMs = lab.nowMs() + WATCHED_MS; lab.nowMs() < endMs; Thread.sleep(200)) {
            String now = status(registry).replaceAll(".*(\"instances\":[0-9]+).*(\"waiting\":[0-9]+,\"ramping\":[0-9]+,"
                    + "\"stopped\":[0-9]+).*", "$1 $2");
            if (!now.equals(before)) {
                lab.say("registry", now);
                before = now;
            }
        }
        load.end();
        List<String> broken = new ArrayList<>();
        for (Backend backend : fresh.values()) {
            long stop = stoppedMs;
            List<Backend.Taken> after = backend.taken.stream().filter(taken -> taken.atMs() > stop).toList();
            lab.say(backend.name, backend.taken.size() + " requests" + (lab.trouble ? ", of them " + after.size()
                    + " after the stop" : ""));
            if (backend != first && lab.trouble && !after.isEmpty()) {
                broken.add(backend.name + " was admitted though the admission had stopped and nobody resumed it: "
                        + after.size() + " requests, the first one " + (after.get(0).atMs() - stop) + " ms after the stop");
            }
        }
        lab.say("script", load.toString());
        if (!proxy.isAlive()) {
            throw new AssertionError("the proxy has ended");
        }
        if (!lab.trouble && fresh.get("new-1").taken.isEmpty()) {
            throw new AssertionError("the second new server was not admitted");
        }
        return broken;
    }

    private static void register(Lab lab, String registry, Backend backend, long sinceMs, int ttlMs) throws Exception {
        Case9.call(lab, registry, "PUT", INSTANCES + backend.name, "{\"address\":\"" + backend.address()
                + "\",\"zone\":\"hall-a\",\"type\":\"front-std\",\"group\":1,\"since_ms\":" + sinceMs + ",\"ttl_ms\":" + ttlMs
                + "}");
    }

    private static String status(String registry) {
        try {
            return Lab.call(registry, "GET", "/registry/v1/status", "", 1_000).text();
        } catch (IOException e) {
            return "";
        }
    }

    private static int figure(String registry, String name) {
        String text = status(registry);
        return text.contains(name) ? Integer.parseInt(text.replaceAll(".*\"" + name + "\":([0-9]+).*", "$1")) : 0;
    }
}
