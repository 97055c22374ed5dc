package larkworks.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import larkworks.adapter.Json;

/**
 * A launcher for tests: N member processes of our jar, each behind the {@link UdpRelay}, with their JSON
 * log lines collected and each one's view of the others kept from them.
 */
final class Fleet implements AutoCloseable {

    private final List<Process> processes = new ArrayList<>();
    private final List<Path> configs = new ArrayList<>();
    private final List<Map<Integer, String>> views = new ArrayList<>();
    final List<Map<String, Object>> lines = new CopyOnWriteArrayList<>();
    final UdpRelay relay;

    Fleet(int n, String membership, Path folder) throws IOException {
        List<InetSocketAddress> backs = new ArrayList<>();
        while (backs.size() < n) {
            InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            try (DatagramSocket free = new DatagramSocket(any)) {
                InetSocketAddress back = (InetSocketAddress) free.getLocalSocketAddress();
                if (!backs.contains(back)) {
                    backs.add(back);  // the system may give a port twice, once it is closed again
                }
            }
        }
        relay = new UdpRelay(backs);
        StringBuilder peers = new StringBuilder();
        for (int i = 0; i < n; i++) {
            peers.append(i == 0 ? "" : ",").append('"').append(text(relay.front(i))).append('"');
        }
        for (int i = 0; i < n; i++) {
            Path config = folder.resolve("member" + i + ".json");
            Files.writeString(config, "{\"peer_listen\":\"" + text(backs.get(i)) + "\",\"peers\":[" + peers
                    + "],\"peers_all\":\"" + text(relay.everyone()) + "\",\"member\":" + i
                    + ",\"membership\":" + membership + "}");
            configs.add(config);
            processes.add(null);
            views.add(new ConcurrentHashMap<>());
            start(i);
        }
    }

    private static String text(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    /** Starts member i, anew where it ran before; on the tests' own class path, as no jar is built yet. */
    void start(int i) throws IOException {
        Process p = new ProcessBuilder("java", "-XX:+UseSerialGC", "-Xmx32m",
                "-cp", System.getProperty("java.class.path"),
                "larkworks.cli.Larkworks", "member", configs.get(i).toString())
                .redirectErrorStream(true).start();
        processes.set(i, p);
        views.set(i, new ConcurrentHashMap<>());  // a new process holds all alive, whatever its old self held
        Thread reader = new Thread(() -> read(i, p), "log-" + i);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(int i, Process p) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(p.getInputStream(),
                StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (!line.startsWith("{")) {
                    System.err.println("member " + i + ": " + line);
                    continue;
                }
                Map<String, Object> fields = Json.object(line.getBytes(StandardCharsets.UTF_8));
                fields.put("at", System.nanoTime());
                lines.add(fields);
                if ("changed".equals(fields.get("message"))) {
                    views.get(i).put(((Number) fields.get("about")).intValue(), (String) fields.get("to"));
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("member " + i + " wrote no JSON line", e);
        }
    }

    /** What member i holds of member about, by its log: alive until a change is logged. */
    String view(int i, int about) {
        return views.get(i).getOrDefault(about, "alive");
    }

    /** Whether every member of {@code who} holds {@code about} in {@code state}. */
    boolean allHold(List<Integer> who, int about, String state) {
        return who.stream().allMatch(i -> view(i, about).equals(state));
    }

    /** Every member's view, for a failure's message. */
    String views() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < views.size(); i++) {
            text.append(i).append(':').append(new java.util.TreeMap<>(views.get(i))).append(' ');
        }
        return text.toString();
    }

    long started() {
        return lines.stream().filter(l -> "started".equals(l.get("message"))).count();
    }

    /** Waits until the members have sent so many datagrams more: a stretch of time that they all lived. */
    boolean exchange(int more) throws InterruptedException {
        long goal = relay.datagrams.get() + more;
        return await(60_000, () -> relay.datagrams.get() >= goal);
    }

    void kill(int i) throws InterruptedException {
        processes.get(i).destroyForcibly().waitFor();
    }

    void signal(int i, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(processes.get(i).pid())).start().waitFor();
    }

    /** Waits for the condition, checked every 20 ms, for at most {@code ms}; false where it never held. */
    static boolean await(long ms, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < until) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Thread.sleep(20);
        }
        return condition.getAsBoolean();
    }

    @Override
    public void close() {
        for (Process p : processes) {
            if (p != null) {
                p.destroyForcibly();
            }
        }
        relay.close();
    }
}
