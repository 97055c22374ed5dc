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
    private String discoveryAddress = TestBench.HOST + ":0";
    Program listService;
    final Caller registryClient;
    final List<Program> proxies = new ArrayList<>();
    /** The arrival times of the requests by backend name, in ms of one monotonic clock. */
    final Map<String, Queue<Long>> arrivalTimesMs = new ConcurrentHashMap<>();
    private final List<HttpServer> backendServers = new ArrayList<>();
    private final List<Integer> listenPorts = new ArrayList<>();
    private final List<Integer> adminPorts = new ArrayList<>();
    private final List<Path> configFiles = new ArrayList<>();
    private final Path folder;

    /**
     * Starts the list service and writes the configurations of the proxies.
     *
     * @param extraConfig further members of each proxy's JSON configuration, each followed by a comma
     * @param coldUs the duration of a server's slow start
     */
    ProxyFleet(int proxyCount, Path folder, String extraConfig, long coldUs) throws Exception {
        this.folder = folder;
        List<InetSocketAddress> memberAddresses = new ArrayList<>();
        while (memberAddresses.size() < proxyCount) {
            try (DatagramSocket freeSocket = new DatagramSocket(0, InetAddress.getByName(TestBench.HOST))) {
                InetSocketAddress memberAddress = (InetSocketAddress) freeSocket.getLocalSocketAddress();
                if (!memberAddresses.contains(memberAddress)) {
                    memberAddresses.add(memberAddress);
                }
            }
        }
        relay = new UdpRelay(memberAddresses);
        startListService();
        registryClient = new Caller(discoveryAddress);
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < proxyCount; i++) {
            peers.add(quoted(relay.front(i)));
        }
        try (TestBench bench = new TestBench(0)) {
            for (int i = 0; i < proxyCount; i++) {
                listenPorts.add(unusedPort());
                adminPorts.add(unusedPort());
                bench.extraConfig = "\"peer_listen\":" + quoted(memberAddresses.get(i)) + ",\"peers\":"
                        + peers
                        + ",\"peers_all\":" + quoted(relay.everyone()) + ",\"member\":" + i + ","
                        + extraConfig;
                configFiles.add(Files.writeString(folder.resolve("proxy" + i + ".json"),
                        bench.configJson(listenPorts.get(i), "null")
                                .replace("\"name\":\"n0\"", "\"name\":\"n" + i + "\"")
                                .replace('"' + bench.discovery.address() + '"', '"' + discoveryAddress + '"')
                                .replace("\"coldUs\":1000000", "\"coldUs\":" + coldUs)));
                proxies.add(null);
            }
        }
    }

    /**
     * Returns a free port that this fleet doesn't use yet. A port that was found free is closed again
     * at once, so the system may return it twice, which does happen among a hundred ports.
     */
    private int unusedPort() throws IOException {
        int port = TestBench.freePort();
        while (listenPorts.contains(port) || adminPorts.contains(port)) {
            port = TestBench.freePort();
        }
        return port;
    }

    private static String quoted(InetSocketAddress address) {
        return "\"" + address.getAddress().getHostAddress() + ":" + address.getPort() + "\"";
    }

    /** Starts the list service at a port that the system chooses, or restarts it at the same one. */
    void startListService() throws Exception {
        listService = new Program("", Map.of(), "registry", "--listen", discoveryAddress, "--data",
                folder.resolve("registry").toString());
        discoveryAddress = (String) listService.awaitLogLine("serving").get("address");
    }

    /** Starts or restarts the proxy with index {@code i}. */
    void startProxy(int i) throws Exception {
        Path processFolder = Files.createDirectories(folder.resolve("tmp" + i));
        proxies.set(i, new Program("", Map.of("GW_CONFIG", configFiles.get(i).toString(), "GW_ADMIN_ADDR",
                TestBench.HOST + ":" + adminPorts.get(i), "TMPDIR", processFolder.toString()), "proxy"));
    }

    /** Starts all proxies and waits until each is ready. */
    void startAll() throws Exception {
        for (int i = 0; i < proxies.size(); i++) {
            startProxy(i);
        }
        Program.await(180, () -> "not all proxies are ready",
                () -> java.util.stream.IntStream.range(0, proxies.size())
                        .allMatch(i -> requestStatus(i,
                                "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200));
    }

    /** Starts a backend that answers at once, and registers it under the given name. */
    void startBackend(String name, long sinceMs) throws Exception {
        startBackend(name, sinceMs, 0);
    }

    /** Starts a backend that answers after {@code answerDelayMs}, and registers it under the given name. */
    void startBackend(String name, long sinceMs, int answerDelayMs) throws Exception {
        Queue<Long> backendArrivalTimesMs = new ConcurrentLinkedQueue<>();
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newFixedThreadPool(16, task -> {
            Thread thread = new Thread(task, "backend");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            backendArrivalTimesMs.add(System.nanoTime() / 1_000_000);
            try {
                Thread.sleep(answerDelayMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        server.start();
        backendServers.add(server);
        arrivalTimesMs.put(name, backendArrivalTimesMs);
        registerServer(name, server.getAddress().getPort(), sinceMs);
    }

    /** Registers a server with the list service, whether or not it listens on the port. */
    void registerServer(String name, int port, long sinceMs) throws Exception {
        Caller.Answer answer = registryClient.register(name, "127.0.0.1:" + port, ",\"since_ms\":" + sinceMs);
        if (answer.status() != 200) {
            throw new IOException(answer.toString());
        }
    }

    private int requestStatus(int proxy, String request) {
        try (java.net.Socket socket = new java.net.Socket(InetAddress.getByName(TestBench.HOST),
                listenPorts.get(proxy))) {
            socket.setSoTimeout(10_000);
            StubServer.Message answer = new TestBench.Client(socket,
                    socket.getInputStream()).send(request).answer();
            return answer == null ? -1 : Integer.parseInt(answer.line().split(" ")[1]);
        } catch (IOException e) {
            return -1;
        }
    }

    /**
     * Sends a request of class {@code look} to a proxy. Returns the status of the answer, or -1 if there was
     * no answer.
     */
    int sendLook(int proxy) {
        return requestStatus(proxy, "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: r" + System.nanoTime()
                + "\r\nX-Call-Class: look\r\nX-Budget-Ms: 5000\r\nConnection: close\r\n\r\n");
    }

    /** Returns the JSON object at a path of a proxy's admin address; empty if the proxy doesn't answer. */
    Map<?, ?> adminJson(int proxy, String path) {
        try (var input = URI.create("http://" + TestBench.HOST + ":" + adminPorts.get(proxy) + path).toURL()
                .openStream()) {
            return Json.object(input.readAllBytes());
        } catch (IOException e) {
            return Map.of();
        }
    }

    /** Returns the verdicts in force at a proxy, each as {@code SERVER REASON}. */
    java.util.Set<String> verdictsInForce(int proxy) {
        if (!(adminJson(proxy, "/ops/shared").get("verdicts") instanceof Map<?, ?> verdicts)) {
            return java.util.Set.of("no answer");
        }
        return ((List<?>) verdicts.get("in_force")).stream().map(v -> (Map<?, ?>) v)
                .map(v -> v.get("server") + " " + v.get("reason")).collect(Collectors.toSet());
    }

    /** Returns the number of members that a proxy considers alive. */
    long aliveMemberCount(int proxy) {
        return adminJson(proxy, "/ops/members").get("members") instanceof List<?> rows
                ? rows.stream().filter(r -> "alive".equals(((Map<?, ?>) r).get("state"))).count() : 0;
    }

    @Override
    public void close() throws IOException {
        for (Program proxy : proxies) {
            if (proxy != null) {
                proxy.close();
            }
        }
        listService.close();
        relay.close();
        backendServers.forEach(server -> server.stop(0));
    }
}
