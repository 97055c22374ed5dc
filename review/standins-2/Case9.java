import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A configuration that names another address of discovery, then the rollback of a rollout. The proxy has to go back
 * to the version before, which shows at the backends: how often it tries a request that backends turn away.
 */
public final class Case9 {

    private static final int REPORT_MS = 1_000;
    private static final int OLD_ADDRESS_ENDS_MS = 1_500;
    /** After the signal; what discovery has to tell counts as told 4 s after it. */
    private static final int SETTLED_MS = 6_000;
    /** From the rollback to the check: two reports, each of which may take 2 s, and as much again. */
    private static final int BACK_MS = 12_000;
    private static final int REQUESTS = 20;
    private static final String ROLLOUT = "/registry/v1/rollout";
    private static final String PLAN = "{\"name\":\"one attempt\",\"patch\":{\"settings\":{\"limits\":{\"maxAttempts\":1}}},"
            + "\"waves\":[{\"names\":[\"n1\"]}],\"bake_ms\":1000,\"wait_ms\":60000,\"max_error_share\":0.9,"
            + "\"min_requests\":0}";

    private Case9() { }

    public static void main(String[] args) throws Exception {
        Lab.main(args, Case9::run);
    }

    private static List<String> run(Lab lab) throws Exception {
        List<Backend> backends = new ArrayList<>();
        String registry = Lab.HOST + ":" + lab.freePort();
        lab.start("registry", java.util.Map.of(), "java", "-Xmx128m", "-jar", "target/larkworks.jar", "registry",
                "--listen", registry, "--data", lab.temp.resolve("registry").toString());
        lab.await("the list service answers", 30, () -> answers(registry));
        Setup setup = new Setup();
        for (int i = 0; i < 3; i++) {
            Backend backend = new Backend(lab, "s-" + i);
            backends.add(backend);
            setup.known(backend.name, backend.address());
            call(lab, registry, "PUT", "/registry/v1/instances/" + backend.name, "{\"address\":\"" + backend.address()
                    + "\",\"zone\":\"hall-a\",\"type\":\"front-std\",\"group\":1}");
        }
        Relay oldAddress = new Relay(registry);
        Relay newAddress = new Relay(registry);
        setup.extra = "\"rollout\":{\"report_ms\":" + REPORT_MS + "},";
        setup.discovery = '"' + oldAddress.address() + '"';
        String listen = Lab.HOST + ":" + lab.freePort();
        Path config = lab.temp.resolve("config.json");
        setup.write(config, "n1", listen);
        Process proxy = lab.startProxy("n1", config, listen, oldAddress.address(), null);
        lab.awaitReady(listen);

        // Two of three backends are full: with three attempts each request is served in the end.
        backends.get(0).full = true;
        backends.get(1).full = true;
        Requests requests = new Requests(lab, listen);
        requests.send("before the rollout", REQUESTS, backends);
        call(lab, registry, "PUT", ROLLOUT, PLAN);
        lab.await("the proxy runs the new version", 30, () -> phase(registry).equals("done"));
        requests.send("with the new version", REQUESTS, backends);

        if (lab.trouble) {
            setup.discovery = '"' + newAddress.address() + '"';
            Path next = lab.temp.resolve("next.json");
            setup.write(next, "n1", listen);
            java.nio.file.Files.move(next, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
            lab.say("script", "discovery moves from " + oldAddress.address() + " to " + newAddress.address());
            lab.signal(proxy, "HUP");
            oldAddress.refuse();
            Thread.sleep(OLD_ADDRESS_ENDS_MS);
            oldAddress.end();
            lab.say("script", "the old address has closed its connections");
        }
        Thread.sleep(SETTLED_MS);
        call(lab, newAddress.address(), "PUT", ROLLOUT + "/rollback", "");
        if (!phase(newAddress.address()).equals("rolled_back")) {
            throw new AssertionError("the rollout was not rolled back");
        }
        Thread.sleep(BACK_MS);
        lab.say("registry", Lab.call(registry, "GET", ROLLOUT, "", 2_000).text());
        Requests.Result after = requests.send("12 s after the rollback", REQUESTS, backends);
        List<String> broken = new ArrayList<>();
        if (after.mostAttempts() == 1 && after.served() < REQUESTS) {
            broken.add("12 s after the rollback the proxy still runs the version that was rolled back: " + after);
        }
        lab.sayLog("n1", 10);
        return broken;
    }

    private static boolean answers(String registry) {
        try {
            return Lab.call(registry, "GET", "/registry/v1/status", "", 1_000).status() == 200;
        } catch (java.io.IOException e) {
            return false;
        }
    }

    /** The phase of the rollout; "" if it can't be told. */
    static String phase(String registry) {
        try {
            String text = Lab.call(registry, "GET", ROLLOUT, "", 2_000).text();
            return text.replaceAll("(?s).*\"phase\":\"([a-z_]+)\".*", "$1");
        } catch (java.io.IOException e) {
            return "";
        }
    }

    static void call(Lab lab, String registry, String method, String path, String body) throws Exception {
        Lab.Message answer = Lab.call(registry, method, path, body, 5_000);
        lab.say("script", method + " " + path + ": " + answer.status() + " " + answer.text());
        if (answer.status() != 200) {
            throw new AssertionError(method + " " + path + " was answered " + answer.status());
        }
    }
}
