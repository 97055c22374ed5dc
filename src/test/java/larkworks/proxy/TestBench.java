package larkworks.proxy;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Runs a proxy in the test's process, with stub backends, stub discovery and clients on loopback sockets. */
final class TestBench implements AutoCloseable {

    /**
     * The address on which proxies listen. Outgoing connections get another local address, so none of them
     * takes a port of this address that {@link #freePort} found free.
     */
    static final String HOST = "127.31.7.1";

    final StubServer discovery = new StubServer();
    final List<StubServer> backends = new ArrayList<>();
    private final List<Socket> clients = new ArrayList<>();
    // A test may change these settings before it starts the proxy.

    /** The configured discovery mode: "pushed" or "on_request". */
    String discoveryMode = "pushed";
    int maxSockets = 256;
    long keepAliveUs = 10_000_000;
    long connectTimeoutUs = 5_000_000;
    long drainGraceUs = 1_000_000;
    long askEveryUs = 10_000_000;
    boolean probesEnabled;
    /** The configured number of proxies that send to the same tier. */
    int copies = 1;
    boolean cancelEnabled = true;
    long dedupWindowUs = 30_000_000;
    /** The environment variables that the proxy's configuration sees. */
    Map<String, String> environment = Map.of();
    /** Further members of the configuration's JSON object, each followed by a comma. */
    String extraConfig = "";
    /** Further discovery services, listed after {@link #discovery} in the configuration. */
    List<StubServer> otherDiscoveries = List.of();
    private Thread listResponder;
    private volatile String currentList;
    private Main main;
    private int port;

    TestBench(int backendCount) throws IOException {
        for (int i = 0; i < backendCount; i++) {
            backends.add(new StubServer());
        }
    }

    /** Returns an entry of discovery's list for backend {@code b<i>}. */
    String entry(int i, String status) {
        return entry("b" + i, backends.get(i).address(), status);
    }

    static String entry(String name, String address, String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address
                + "\",\"zone\":\"a\",\"type\":\"m\",\"group\":1,\"status\":\"" + status
                + "\",\"weight\":1.0,\"since_ms\":0}";
    }

    /** Returns a response of discovery: a full list, or the changes since the list before it. */
    static String listJson(int index, boolean isFull, String... entries) {
        return "{\"index\":" + index + ",\"snapshot\":" + isFull + ",\"endpoints\":["
                + String.join(",", entries) + "]}";
    }

    /** Returns a full list that has every backend in service. */
    String fullList(int index) {
        String[] entries = new String[backends.size()];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = entry(i, "in_service");
        }
        return listJson(index, true, entries);
    }

    String configJson(int listenPort, String knownList) {
        String category = "{\"name\":\"%s\",\"effect\":\"%s\",\"group\":\"all\",\"goalTimeUs\":2000000,"
                + "\"deadlineUs\":30000000,\"worth\":1.0,\"lateWorth\":0.0,\"dedupWindowUs\":"
                + dedupWindowUs + "}";
        return "{" + extraConfig + "\"name\":\"n0\",\"listen\":\"" + HOST + ":" + listenPort
                + "\",\"discovery\":" + discoveryAddresses()
                + ",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":192,\"sockets\":" + maxSockets + "},\"known\":" + knownList
                + ",\"settings\":{"
                + "\"balancers\":" + copies + ",\"categories\":["
                + String.format(category, "look", "pure") + ","
                + String.format(category, "pay", "token") + ","
                + String.format(category, "act", "side_effect")
                + "],\"dcs\":[\"a\"],\"discovery\":\"" + discoveryMode + "\",\"fees\":{\"probe\":0.0},"
                + "\"limits\":{\"cancel\":" + cancelEnabled + ",\"connectTimeoutUs\":" + connectTimeoutUs
                + ",\"keepaliveUs\":" + keepAliveUs + ",\"maxAttempts\":4,\"maxRetryAfterUs\":2000000,"
                + "\"mayDuplicate\":false,\"probes\":" + probesEnabled + ",\"retryAfter\":true},"
                + "\"loadInfo\":{\"fields\":[\"inflight\"],\"how\":\"probe\"},\"locality\":0,\"me\":0,"
                + "\"overShareWorth\":1.0,\"resolutionUs\":1000,\"rules\":{\"askEveryUs\":" + askEveryUs + ","
                + "\"coldFrom\":0.5,\"coldUs\":1000000,\"drainGraceUs\":" + drainGraceUs
                + ",\"tipMultiple\":2.5},\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":0}]}}";
    }

    private String discoveryAddresses() {
        String address = "\"" + discovery.address() + "\"";
        return otherDiscoveries.isEmpty() ? address : "[" + address + ",\"" + String.join("\",\"",
                otherDiscoveries.stream().map(StubServer::address).toList()) + "\"]";
    }

    /** Makes discovery answer each call at once with the given list, until another list is given. */
    void answerDiscoveryWith(String listJson) {
        currentList = listJson;
        if (listResponder == null) {
            listResponder = new Thread(() -> {
                try {
                    while (true) {
                        StubServer.Message call = discovery.next();
                        call.reply(200, currentList);
                    }
                } catch (InterruptedException | AssertionError | UncheckedIOException e) {
                    // The test is over.
                }
            });
            listResponder.setDaemon(true);
            listResponder.start();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return free.getLocalPort();
        }
    }

    /** Makes one call to the admin endpoint and returns the status. */
    static int callAdmin(int adminPort, String method, String path, String body) throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName(HOST), adminPort)) {
            socket.setSoTimeout((int) StubServer.TIMEOUT_S * 1000);
            Client client = new Client(socket, new BufferedInputStream(socket.getInputStream()));
            client.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
            int status = client.status();
            if (client.in().read() >= 0) {
                throw new AssertionError("the admin endpoint sent more than one answer");
            }
            return status;
        }
    }

    /** Repeats a call to the admin endpoint until it accepts the connection, and returns the status. */
    static int awaitAdminCall(int adminPort, String method, String path) throws Exception {
        long timeoutAtNs = System.nanoTime() + StubServer.TIMEOUT_S * 1_000_000_000L;
        while (true) {
            try {
                return callAdmin(adminPort, method, path, "");
            } catch (ConnectException e) {
                if (System.nanoTime() > timeoutAtNs) {
                    throw e;
                }
                Thread.sleep(10);
            }
        }
    }

    /** Stops the proxy, but neither the backends nor discovery. */
    void stop() {
        Main stopping = main;
        main = null;
        assertNoRequestPastDeadline(stopping);
        stopping.close();
    }

    /** Checks that no client waits for an answer past its deadline and that no invariant was violated. */
    private static void assertNoRequestPastDeadline(Main proxy) {
        if (proxy.loop().isShuttingDown()) {
            return;
        }
        Main.ClientUsage usage = proxy.loop().submit(proxy::clientUsage).syncUninterruptibly().getNow();
        if (usage.requestsPastDeadline() > 0) {
            throw new AssertionError("requests without an answer past their deadline: " + usage);
        }
        if (usage.violations() > 0) {
            throw new AssertionError("invariants were violated: " + usage);
        }
    }

    /**
     * Makes the proxy shut down gracefully, as SIGTERM does, and waits until it drains. The future completes
     * once the proxy has finished its pending requests.
     */
    CompletableFuture<Void> beginShutdown() throws Exception {
        Main draining = main;
        CompletableFuture<Void> ended = CompletableFuture.runAsync(draining::drainAndWait);
        Client readinessClient = client();
        while (!"close".equals(readinessClient.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").answer()
                .header("Connection"))) {
            Thread.onSpinWait();
        }
        return ended;
    }

    /** Waits until the proxy's listener is closed, some time after the shutdown began. */
    void awaitListenerClosed() throws Exception {
        while (true) {
            try {
                client();
            } catch (ConnectException e) {
                return;
            }
            Thread.sleep(5);
        }
    }

    /** Starts the proxy with a configuration that already knows all backends. */
    TestBench start(Path directory) throws Exception {
        return start(directory, fullList(1));
    }

    TestBench start(Path directory, String knownList) throws Exception {
        startMain(directory, knownList);
        port = main.awaitServing().getPort();
        return this;
    }

    /** Starts the proxy and begins its shutdown before its warm-up is complete. */
    CompletableFuture<Void> startAndShutDown(Path directory) throws Exception {
        startMain(directory, fullList(1));
        return CompletableFuture.runAsync(main::drainAndWait);
    }

    private void startMain(Path directory, String knownList) throws Exception {
        Path file = Files.writeString(directory.resolve("config.json"), configJson(0, knownList));
        main = new Main(Config.read(file.toString(), environment, Map.of()));
        main.start();
    }

    int port() {
        return port;
    }

    /** Blocks the proxy's event loop while the step runs; the next iteration then finds all its effects. */
    void inOneLoopIteration(Step step) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch stepDone = new CountDownLatch(1);
        main.loop().execute(() -> {
            blocked.countDown();
            awaitLatch(stepDone);
        });
        blocked.await();
        try {
            step.run();
        } finally {
            stepDone.countDown();
        }
    }

    /**
     * Blocks the proxy's event loop until all timers that are due within {@code dueWithinMs} have expired,
     * and while the step runs. Those timers run right after the step, before the loop reads what arrived
     * during it.
     */
    void beforeTimersDueWithin(long dueWithinMs, Step step) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch stepDone = new CountDownLatch(1);
        main.loop().execute(() -> {
            // Due before those timers, so it runs before them in the iteration in which all are due.
            main.loop().schedule(() -> {
                blocked.countDown();
                awaitLatch(stepDone);
            }, 0, TimeUnit.MILLISECONDS);
            try {
                Thread.sleep(dueWithinMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        try {
            step.run();
        } finally {
            stepDone.countDown();
        }
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the proxy's event loop has polled all its sockets again and handled closed ones. */
    void awaitLoopIteration() throws Exception {
        main.loop().schedule(() -> { }, 1, TimeUnit.MILLISECONDS).get();
    }

    /** Serves requests until the proxy reuses a connection to the backend, so that an idle one is pooled. */
    void poolBackendConnection(int backend) throws Exception {
        for (int connections = -1; connections != backends.get(backend).connections();) {
            connections = backends.get(backend).connections();
            serveOneRequest();
        }
    }

    /** Returns whether the proxy has a request whose answer or attempts are not complete. */
    boolean hasPendingRequests() throws Exception {
        return main.loop().submit(main::clientUsage).get().hasRequests();
    }

    /** Waits until the proxy has read and handled all input that arrived before this call. */
    void awaitInputProcessed() throws IOException {
        if (client().send("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n").status() != 200) {
            throw new AssertionError("the proxy's liveness check did not answer 200");
        }
    }

    /** Waits until the backend has accepted a connection. */
    void awaitBackendConnection(int backend) throws InterruptedException {
        long timeoutAtNs = System.nanoTime() + StubServer.TIMEOUT_S * 1_000_000_000L;
        while (backends.get(backend).connections() == 0) {
            if (System.nanoTime() > timeoutAtNs) {
                throw new AssertionError("the backend accepted no connection");
            }
            Thread.sleep(1);
        }
    }

    /** Waits until the proxy has released everything of the one client that disconnected. */
    void awaitClientReleased() throws Exception {
        awaitClientsReleased(1);
    }

    /**
     * Waits until the proxy has released everything of that many clients, which must have disconnected. This
     * bench's other clients must have no pending request; the proxy may close them as unproven.
     */
    void awaitClientsReleased(int released) throws Exception {
        long timeoutAtNs = System.nanoTime() + StubServer.TIMEOUT_S * 1_000_000_000L;
        Main.ClientUsage usage = main.loop().submit(main::clientUsage).get();
        while (usage.hasRequests() || usage.bodyBytes() > 0
                || usage.connections() > clients.size() - released) {
            if (System.nanoTime() > timeoutAtNs) {
                throw new AssertionError("the proxy still holds " + usage + "; clients: " + clients.size());
            }
            usage = main.loop().submit(main::clientUsage).get();
        }
    }

    /** An action of a test that may throw. */
    interface Step {
        void run() throws Exception;
    }

    /** Makes this bench's clients connect to a proxy of another process, at this port. */
    void useProxyAt(int proxyPort) {
        port = proxyPort;
    }

    /** Opens a client's connection to the proxy. */
    Client client() throws IOException {
        return connect(new Socket());
    }

    /** Opens a client's connection with a small receive buffer: unread bytes soon back up into the proxy. */
    Client clientWithSmallBuffer() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(1 << 12);
        return connect(socket);
    }

    private Client connect(Socket socket) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getByName(HOST), port));
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) StubServer.TIMEOUT_S * 1000);
        clients.add(socket);
        return new Client(socket, new BufferedInputStream(socket.getInputStream()));
    }

    /** Waits until a backend has received a request that the test has not taken yet; returns its number. */
    int awaitBackendWithRequest() throws InterruptedException {
        long timeoutAtNs = System.nanoTime() + StubServer.TIMEOUT_S * 1_000_000_000L;
        while (System.nanoTime() < timeoutAtNs) {
            for (int i = 0; i < backends.size(); i++) {
                if (backends.get(i).pendingMessages() > 0) {
                    return i;
                }
            }
            Thread.sleep(1);
        }
        throw new AssertionError("no backend received a request");
    }

    /** Sends one request, which must be served, and returns the number of the backend that served it. */
    int serveOneRequest() throws IOException, InterruptedException {
        Client client = client().sendLook("r");
        int backend = awaitBackendWithRequest();
        backends.get(backend).next().reply(200, "");
        if (client.status() != 200) {
            throw new AssertionError("the client of a served request did not get status 200");
        }
        return backend;
    }

    @Override
    public void close() throws IOException {
        if (main != null) {
            stop();
        }
        for (Socket socket : clients) {
            socket.close();
        }
        for (StubServer backend : backends) {
            backend.close();
        }
        discovery.close();
    }

    /** A client's connection. */
    record Client(Socket socket, InputStream in) {

        Client send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return this;
        }

        /** Sends a request of class {@code look}, which is safe to repeat. */
        Client sendLook(String id) throws IOException {
            return sendLook(id, 20_000);
        }

        Client sendLook(String id, long budgetMs) throws IOException {
            return send("GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                    + "\r\nX-Call-Class: look\r\nX-Budget-Ms: " + budgetMs + "\r\n\r\n");
        }

        /** Sends a POST request of the named class. */
        Client sendPost(String requestClass, String id, String body, String... headers) throws IOException {
            return send("POST /" + requestClass + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                    + "\r\nX-Call-Class: " + requestClass + "\r\nX-Budget-Ms: 20000\r\n"
                    + String.join("", headers) + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** Reads the next answer; returns null where the proxy has closed the connection. */
        StubServer.Message answer() throws IOException {
            return StubServer.Message.read(in, socket, new CountDownLatch(1));
        }

        /** Reads the next answer and returns its status. */
        int status() throws IOException {
            return Integer.parseInt(answer().line().split(" ")[1]);
        }
    }
}
