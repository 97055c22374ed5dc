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
 * A fleet for tests: proxy processes whose datagrams pass the {@link UdpRelay}, our list service's process,
 * and backends that answer at once and note when each request came.
 */
final class ProxyFleet implements AutoCloseable {

    final UdpRelay relay;
    /** Where the list service listens, before and after a restart. */
    final String discovery;
    Program service;
    final Caller registry;
    final List<Program> proxies = new ArrayList<>();
    /** When requests came, by backend, in ms of one monotonic clock. */
    final Map<String, Queue<Long>> arrivals = new ConcurrentHashMap<>();
    private final List<HttpServer> backends = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final List<Integer> admins = new ArrayList<>();
    private final List<Path> configs = new ArrayList<>();
    private final Path folder;

    /** @param tables further tables of each proxy's configuration, as JSON members, each with its comma */
    ProxyFleet(int size, Path folder, String tables, long coldUs) throws Exception {
        this.folder = folder;
        List<InetSocketAddress> backs = new ArrayList<>();
        while (backs.size() < size) {
            try (DatagramSocket free = new DatagramSocket(0, InetAddress.getByName(TestBench.HOST))) {
                InetSocketAddress back = (InetSocketAddress) free.getLocalSocketAddress();
                if (!backs.contains(back)) {
                    backs.add(back);
                }
            }
        }
        relay = new UdpRelay(backs);
        String discovery = "127.0.0.1:" + TestBench.freePort();
        this.discovery = discovery;
        startService();
        registry = new Caller(discovery);
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            peers.add(quoted(relay.front(i)));
        }
        try (TestBench bench = new TestBench(0)) {
            for (int i = 0; i < size; i++) {
                ports.add(port());
                admins.add(port());
                bench.extraConfig = "\"peer_listen\":" + quoted(backs.get(i)) + ",\"peers\":" + peers
                        + ",\"peers_all\":" + quoted(relay.everyone()) + ",\"member\":" + i + "," + tables;
                configs.add(Files.writeString(folder.resolve("proxy" + i + ".json"),
                        bench.configJson(ports.get(i), "null")
                                .replace("\"name\":\"n0\"", "\"name\":\"n" + i + "\"")
                                .replace('"' + bench.discovery.address() + '"', '"' + discovery + '"')
                                .replace("\"coldUs\":1000000", "\"coldUs\":" + coldUs)));
                proxies.add(null);
            }
        }
    }

    /** A free port, no other's here: the system gives one twice among a hundred, once it is closed again. */
    private int port() throws IOException {
        int port = TestBench.freePort();
        while (ports.contains(port) || admins.contains(port)) {
            port = TestBench.freePort();
        }
        return port;
    }

    private static String quoted(InetSocketAddress a) {
        return "\"" + a.getAddress().getHostAddress() + ":" + a.getPort() + "\"";
    }

    /** Starts the list service, anew where it ran before. */
    void startService() throws Exception {
        service = new Program("", Map.of(), "registry", "--listen", discovery, "--data",
                folder.resolve("registry").toString());
        service.logged("serving");
    }

    /** Starts proxy i, anew where it ran before. */
    void start(int i) throws Exception {
        Path own = Files.createDirectories(folder.resolve("tmp" + i));
        proxies.set(i, new Program("", Map.of("GW_CONFIG", configs.get(i).toString(), "GW_ADMIN_ADDR",
                TestBench.HOST + ":" + admins.get(i), "TMPDIR", own.toString()), "proxy"));
    }

    /** Starts all, and waits until each is ready. */
    void start() throws Exception {
        for (int i = 0; i < proxies.size(); i++) {
            start(i);
        }
        Program.await(180, () -> "not all ready", () -> java.util.stream.IntStream.range(0, proxies.size())
                .allMatch(i -> ask(i, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200));
    }

    /** A backend that answers at once, listed under this name. */
    void backend(String name, long sinceMs) throws Exception {
        backend(name, sinceMs, 0);
    }

    /** A backend that answers after so many ms. */
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

    /** Lists an address, where perhaps nobody listens. */
    void list(String name, int port, long sinceMs) throws Exception {
        Caller.Answer answer = registry.register(name, "127.0.0.1:" + port, ",\"since_ms\":" + sinceMs);
        if (answer.status() != 200) {
            throw new IOException(answer.toString());
        }
    }

    private int ask(int proxy, String call) {
        try (java.net.Socket socket = new java.net.Socket(InetAddress.getByName(TestBench.HOST),
                ports.get(proxy))) {
            socket.setSoTimeout(10_000);
            StubServer.Message answer = new TestBench.Client(socket,
                    socket.getInputStream()).send(call).answer();
            return answer == null ? -1 : Integer.parseInt(answer.line().split(" ")[1]);
        } catch (IOException e) {
            return -1;
        }
    }

    /** One request of class {@code look} to a proxy; its status, or -1 where there is none. */
    int look(int proxy) {
        return ask(proxy, "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: r" + System.nanoTime()
                + "\r\nX-Call-Class: look\r\nX-Budget-Ms: 5000\r\nConnection: close\r\n\r\n");
    }

    /** What a proxy's second address shows; empty where it does not answer. */
    Map<?, ?> table(int proxy, String path) {
        try (var in = URI.create("http://" + TestBench.HOST + ":" + admins.get(proxy) + path).toURL()
                .openStream()) {
            return Json.object(in.readAllBytes());
        } catch (IOException e) {
            return Map.of();
        }
    }

    /** The verdicts in force at a proxy, each as {@code SERVER REASON}. */
    java.util.Set<String> verdicts(int proxy) {
        if (!(table(proxy, "/ops/shared").get("verdicts") instanceof Map<?, ?> verdicts)) {
            return java.util.Set.of("no answer");
        }
        return ((List<?>) verdicts.get("in_force")).stream().map(v -> (Map<?, ?>) v)
                .map(v -> v.get("server") + " " + v.get("reason")).collect(Collectors.toSet());
    }

    /** Members that a proxy holds alive. */
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
