package larkworks.proxy;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import larkworks.Program;
import larkworks.adapter.Json;
import larkworks.fleet.UdpRelay;
import larkworks.registry.Caller;

/**
 * A fleet for tests: proxy processes whose datagrams pass through the {@link UdpRelay}, a process of the list
 * service, and backends that answer all requests and record when each request arrived.
 */
final class ProxyFleet implements AutoCloseable {

    final UdpRelay relay;
    /** The address of the list service, which stays the same when it is restarted. */
    final String discovery;
    Program service;
    final Caller registry;
    final List<Program> proxies = new ArrayList<>();
    /** The arrival times of the requests by backend name, in ms of one monotonic clock. */
    final Map<String, Queue<Long>> arrivals = new ConcurrentHashMap<>();
    private final List<HttpServer> backends = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final List<Integer> admins = new ArrayList<>();
    private final List<Path> configs = new ArrayList<>();
    private final Path folder;

    /**
     * Starts the list service and writes the configurations of the proxies.
     *
     * @param tables further members of each proxy's JSON configuration, each followed by a comma
     */
    ProxyFleet(int size, Path folder, String tables, long coldUs) throws Exception {
        this.folder = folder;
        List<InetSocketAddress> backs = new ArrayList<>();
        while (backs.size() < size) {
            try (DatagramSocket free = new DatagramSocket(0, InetAddress.getByName(Bench.HOST))) {
                InetSocketAddress back = (InetSocketAddress) free.getLocalSocketAddress();
                if (!backs.contains(back)) {
                    backs.add(back);
                }
            }
        }
        relay = new UdpRelay(backs);
        String discovery = "127.0.0.1:" + Bench.freePort();
        this.discovery = discovery;
        startService();
        registry = new Caller(discovery);
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            peers.add(quoted(relay.front(i)));
        }
        try (Bench bench = new Bench(0)) {
            for (int i = 0; i < size; i++) {
                ports.add(port());
                admins.add(port());
                bench.more = "\"peer_listen\":" + quoted(backs.get(i)) + ",\"peers\":" + peers
                        + ",\"peers_all\":" + quoted(relay.everyone()) + ",\"member\":" + i + "," + tables;
                configs.add(Files.writeString(folder.resolve("proxy" + i + ".json"),
                        bench.config(ports.get(i), "null")
                                .replace("\"name\":\"n0\"", "\"name\":\"n" + i + "\"")
                                .replace('"' + bench.discovery.address() + '"', '"' + discovery + '"')
                                .replace("\"coldUs\":1000000", "\"coldUs\":" + coldUs)));
                proxies.add(null);
            }
        }
    }

    /**
     * Returns a free port that this fleet doesn't use yet. A port that was closed again may be returned a
     * second time by the system; this happens among a hundred ports.
     */
    private int port() throws IOException {
        int port = Bench.freePort();
        while (ports.contains(port) || admins.contains(port)) {
            port = Bench.freePort();
        }
        return port;
    }

    private static String quoted(InetSocketAddress a) {
        return "\"" + a.getAddress().getHostAddress() + ":" + a.getPort() + "\"";
    }

    /** Starts or restarts the list service. */
    void startService() throws Exception {
        service = new Program("", Map.of(), "registry", "--listen", discovery, "--data",
                folder.resolve("registry").toString());
        service.logged("serving");
    }

    /** Starts or restarts the proxy with index {@code i}. */
    void start(int i) throws Exception {
        Path own = Files.createDirectories(folder.resolve("tmp" + i));
        proxies.set(i, new Program("", Map.of("GW_CONFIG", configs.get(i).toString(), "GW_ADMIN_ADDR",
                Bench.HOST + ":" + admins.get(i), "TMPDIR", own.toString()), "proxy"));
    }

    /** Starts all proxies and waits until each is ready. */
    void start() throws Exception {
        for (int i = 0; i < proxies.size(); i++) {
            start(i);
        }
        Program.await(180, () -> "not all proxies are ready",
                () -> java.util.stream.IntStream.range(0, proxies.size())
                        .allMatch(i -> ask(i, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200));
    }

    /** Starts a backend that answers at once, and registers it under the given name. */
    void backend(String name, long sinceMs) throws Exception {
        backend(name, sinceMs, 0);
    }

    /** Starts a backend that answers after {@code afterMs}, and registers it under the given name. */
    void backend(String name, long sinceMs, int afterMs) throws Exception {
        Queue<Long> came = new ConcurrentLinkedQueue<>();
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newFixedThreadPool(16, task -> {
            Thread thread = new Thread(task, "backend");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            came.add(System.nanoTime() / 1_000_000);
            try {
                Thread.sleep(afterMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        server.start();
        backends.add(server);
        arrivals.put(name, came);
        list(name, server.getAddress().getPort(), sinceMs);
    }

    /** Registers a server with the list service, whether or not it listens on the port. */
    void list(String name, int port, long sinceMs) throws Exception {
        Caller.Answer answer = registry.register(name, "127.0.0.1:" + port, ",\"since_ms\":" + sinceMs);
        if (answer.status() != 200) {
            throw new IOException(answer.toString());
        }
    }

    private int ask(int proxy, String call) {
        try (java.net.Socket socket = new java.net.Socket(InetAddress.getByName(Bench.HOST),
                ports.get(proxy))) {
            socket.setSoTimeout(10_000);
            Peer.Message answer = new Bench.Client(socket, socket.getInputStream()).send(call).answer();
            return answer == null ? -1 : Integer.parseInt(answer.line().split(" ")[1]);
        } catch (IOException e) {
            return -1;
        }
    }

    /**
     * Sends a request of class {@code look} to a proxy. Returns the status of the answer, or -1 if there was
     * no answer.
     */
    int look(int proxy) {
        return ask(proxy, "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: r" + System.nanoTime()
                + "\r\nX-Call-Class: look\r\nX-Budget-Ms: 5000\r\nConnection: close\r\n\r\n");
    }

    /** Returns the JSON object at a path of a proxy's admin address; empty if the proxy doesn't answer. */
    Map<?, ?> table(int proxy, String path) {
        try (var in = URI.create("http://" + Bench.HOST + ":" + admins.get(proxy) + path).toURL()
                .openStream()) {
            return Json.object(in.readAllBytes());
        } catch (IOException e) {
            return Map.of();
        }
    }

    /** Returns the verdicts in force at a proxy, each as {@code SERVER REASON}. */
    java.util.Set<String> verdicts(int proxy) {
        if (!(table(proxy, "/ops/shared").get("verdicts") instanceof Map<?, ?> verdicts)) {
            return java.util.Set.of("no answer");
        }
        return ((List<?>) verdicts.get("in_force")).stream().map(v -> (Map<?, ?>) v)
                .map(v -> v.get("server") + " " + v.get("reason")).collect(Collectors.toSet());
    }

    /** Returns the number of members that a proxy considers alive. */
    long alive(int proxy) {
        return table(proxy, "/ops/members").get("members") instanceof List<?> rows
                ? rows.stream().filter(r -> "alive".equals(((Map<?, ?>) r).get("state"))).count() : 0;
    }

    @Override
    public void close() throws IOException {
        for (Program proxy : proxies) {
            if (proxy != null) {
                proxy.close();
            }
        }
        service.close();
        relay.close();
        backends.forEach(server -> server.stop(0));
    }
}
