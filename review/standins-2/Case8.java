import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Lists stall for some seconds while a backend is replaced. Nothing new may go to a draining backend later than the
 * grace after it counts as told: 6 s after discovery had the change and could be reached.
 *
 * <p>TROUBLE=quiet lets all be well for some time after the stall; then the open watch falls silent, and a quarter of the
 * backends begins to drain. TROUBLE=silent plays this without the stall.
 */
public final class Case8 {

    private static final int BACKENDS = 4;
    private static final int CLIENTS = 12;
    private static final int STALL_MS = 15_000;
    private static final int QUIET_MS = 30_000;
    private static final int DRAIN_AFTER_MS = 300;
    private static final int WATCHED_MS = 18_000;
    /** What a silent watch misses, and what discovery has, counts as told so long after at the latest. */
    private static final int TOLD_MS = 6_000;
    private static final int GRACE_MS = 1_000;
    private static final int SOCKET_SLACK_MS = 50;

    private Case8() { }

    public static void main(String[] args) throws Exception {
        Lab.main(args, Case8::run);
    }

    private static List<String> run(Lab lab) throws Exception {
        String play = !lab.trouble ? "none" : System.getenv().getOrDefault("TROUBLE", "1");
        Listing listing = new Listing(lab);
        Setup setup = new Setup();
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Backend backend = new Backend(lab, "s-" + i);
            backends.add(backend);
            setup.known(backend.name, backend.address());
            listing.put(backend.name, backend.address());
        }
        setup.discovery = '"' + listing.address() + '"';
        String listen = Lab.HOST + ":" + lab.freePort();
        Path config = lab.temp.resolve("config.json");
        setup.write(config, "n1", listen);
        Process proxy = lab.startProxy("n1", config, listen, listing.address(), null);
        lab.awaitReady(listen);
        Load load = new Load(lab, listen, CLIENTS);
        Thread.sleep(6_000);

        Backend leaving = backends.get(0);
        long countsFromMs = Long.MAX_VALUE;
        if (!play.equals("silent")) {
            boolean stall = !play.equals("none");
            if (stall) {
                listing.stall(true);
            }
            Backend successor = new Backend(lab, "s-" + BACKENDS);
            listing.put(successor.name, successor.address());
            listing.status(successor.name, "in_service");
            listing.status(leaving.name, "terminating");
            if (stall) {
                Thread.sleep(STALL_MS);
                listing.stall(false);
                countsFromMs = lab.nowMs() + TOLD_MS;
            }
        }
        if (play.equals("quiet") || play.equals("silent")) {
            Thread.sleep(QUIET_MS);
            leaving = backends.get(BACKENDS - 1);
            AtomicLong silentMs = new AtomicLong();
            listing.silenceNextWatch(() -> silentMs.set(lab.nowMs()));
            lab.await("a watch comes", 15, () -> silentMs.get() > 0);
            countsFromMs = silentMs.get() + TOLD_MS;
            Thread.sleep(DRAIN_AFTER_MS);
            listing.status(leaving.name, "terminating");
        }
        Thread.sleep(WATCHED_MS);
        load.end();

        // Told when it is written, at the latest when it counts as told.
        String name = leaving.name;
        long writtenMs = listing.told.stream().filter(told -> told.name().equals(name)
                && told.status().equals("terminating")).mapToLong(Listing.Told::atMs).min().orElse(Long.MAX_VALUE);
        long toldMs = Math.min(writtenMs, countsFromMs);
        long lastMs = toldMs + GRACE_MS + SOCKET_SLACK_MS;
        lab.say("script", name + " drains; written to the proxy at " + writtenMs + " ms, counts as told at " + toldMs
                + " ms; " + load);
        List<String> broken = new ArrayList<>();
        for (Backend.Taken taken : leaving.taken) {
            if (taken.atMs() > lastMs) {
                broken.add("request " + taken.id() + " was sent to " + name + " " + (taken.atMs() - toldMs)
                        + " ms after it counted as told that it drains");
            }
        }
        if (!proxy.isAlive()) {
            broken.add("the proxy has ended");
        }
        if (toldMs == Long.MAX_VALUE || leaving.taken.isEmpty()) {
            throw new AssertionError("the backend was never used, or the drain never told");
        }
        return broken;
    }
}
