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
final class Bench implements AutoCloseable {

    /**
     * The address on which proxies listen. Outgoing connections get another local address, so none of them
     * takes a port of this address that {@link #freePort} found free.
     */
    static final String HOST = "127.31.7.1";

    final Peer discovery = new Peer();
    final List<Peer> backends = new ArrayList<>();
    private final List<Socket> clients = new ArrayList<>();
    // A test may change these settings before it starts the proxy.

    /** The configured discovery mode: "pushed" or "on_request". */
    String mode = "pushed";
    int sockets = 256;
    long keepAliveUs = 10_000_000;
    long connectTimeoutUs = 5_000_000;
    long drainGraceUs = 1_000_000;
    long askEveryUs = 10_000_000;
    boolean probes;
    /** The configured number of proxies that send to the same tier. */
    int copies = 1;
    boolean cancel = true;
    long dedupWindowUs = 30_000_000;
    /** The environment variables that the proxy's configuration sees. */
    Map<String, String> environment = Map.of();
    /** Further members of the configuration's JSON object, each followed by a comma. */
    String more = "";
    /** Further discovery services in the configuration, behind {@link #discovery}. */
    List<Peer> others = List.of();
    private Thread lists;
    private volatile String list;
    private Main main;
    private int port;

    Bench(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            backends.add(new Peer());
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

    static String list(int index, boolean whole, String... entries) {
        return "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":["
                + String.join(",", entries) + "]}";
    }

    /** Returns a full list that has every backend in service. */
    String all(int index) {
        String[] entries = new String[backends.size()];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = entry(i, "in_service");
        }
        return list(index, true, entries);
    }

    String config(int listen, String known) {
        String kind = "{\"name\":\"%s\",\"effect\":\"%s\",\"group\":\"all\",\"goalTimeUs\":2000000,"
                + "\"deadlineUs\":30000000,\"worth\":1.0,\"lateWorth\":0.0,\"dedupWindowUs\":"
                + dedupWindowUs + "}";
        return "{" + more + "\"name\":\"n0\",\"listen\":\"" + HOST + ":" + listen + "\",\"discovery\":"
                + addresses() + ",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":192,\"sockets\":" + sockets + "},\"known\":" + known + ",\"settings\":{"
                + "\"balancers\":" + copies + ",\"categories\":[" + String.format(kind, "look", "pure") + ","
                + String.format(kind, "pay", "token") + "," + String.format(kind, "act", "side_effect")
                + "],\"dcs\":[\"a\"],\"discovery\":\"" + mode + "\",\"fees\":{\"probe\":0.0},"
                + "\"limits\":{\"cancel\":" + cancel + ",\"connectTimeoutUs\":" + connectTimeoutUs
                + ",\"keepaliveUs\":" + keepAliveUs + ",\"maxAttempts\":4,\"maxRetryAfterUs\":2000000,"
                + "\"mayDuplicate\":false,\"probes\":" + probes + ",\"retryAfter\":true},"
                + "\"loadInfo\":{\"fields\":[\"inflight\"],\"how\":\"probe\"},\"locality\":0,\"me\":0,"
                + "\"overShareWorth\":1.0,\"resolutionUs\":1000,\"rules\":{\"askEveryUs\":" + askEveryUs + ","
                + "\"coldFrom\":0.5,\"coldUs\":1000000,\"drainGraceUs\":" + drainGraceUs
                + ",\"tipMultiple\":2.5},\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":0}]}}";
    }

    private String addresses() {
        String first = "\"" + discovery.address() + "\"";
        return others.isEmpty() ? first : "[" + first + ",\"" + String.join("\",\"",
                others.stream().map(Peer::address).toList()) + "\"]";
    }

    /** Makes discovery answer each call at once with the given list, until another list is given. */
    void list(String text) {
        list = text;
        if (lists == null) {
            lists = new Thread(() -> {
                try {
                    while (true) {
                        Peer.Message asked = discovery.next();
                        asked.reply(200, list);
                    }
                } catch (InterruptedException | AssertionError | UncheckedIOException e) {
                    // The test is over.
                }
            });
            lists.setDaemon(true);
            lists.start();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return free.getLocalPort();
        }
    }

    /** Makes one call to the admin endpoint and returns the status. */
    static int call(int admin, String method, String path, String body) throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName(HOST), admin)) {
            socket.setSoTimeout((int) Peer.LIMIT_S * 1000);
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
    static int awaitCall(int admin, String method, String path) throws Exception {
        long until = System.nanoTime() + Peer.LIMIT_S * 1_000_000_000L;
        while (true) {
            try {
                return call(admin, method, path, "");
            } catch (ConnectException e) {
                if (System.nanoTime() > until) {
                    throw e;
                }
                Thread.sleep(10);
            }
        }
    }

    /** Stops the proxy, but neither the backends nor discovery. */
    void stop() {
        Main ending = main;
        main = null;
        assertNoneOverdue(ending);
        ending.close();
    }

    /** Checks that no client waits for an answer past its deadline and that no invariant was violated. */
    private static void assertNoneOverdue(Main proxy) {
        if (proxy.loop().isShuttingDown()) {
            return;
        }
        Main.Held held = proxy.loop().submit(proxy::held).syncUninterruptibly().getNow();
        if (held.overdue() > 0) {
            throw new AssertionError("requests without an answer past their deadline: " + held);
        }
        if (held.violations() > 0) {
            throw new AssertionError("invariants were violated: " + held);
        }
    }

    /**
     * Makes the proxy shut down gracefully, as SIGTERM does, and waits until it drains. The future completes
     * once the proxy has finished its pending requests.
     */
    CompletableFuture<Void> end() throws Exception {
        Main ending = main;
        CompletableFuture<Void> ended = CompletableFuture.runAsync(ending::finish);
        Client probe = client();
        while (!"close".equals(probe.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").answer()
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

    /** Starts the proxy with all backends configured as known. */
    Bench start(Path folder) throws Exception {
        return start(folder, all(1));
    }

    Bench start(Path folder, String known) throws Exception {
        begin(folder, known);
        port = main.awaitServing().getPort();
        return this;
    }

    /** Starts the proxy and begins its shutdown before its warm-up is complete. */
    CompletableFuture<Void> startAndEnd(Path folder) throws Exception {
        begin(folder, all(1));
        return CompletableFuture.runAsync(main::finish);
    }

    private void begin(Path folder, String known) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config(0, known));
        main = new Main(Config.read(file.toString(), environment, Map.of()));
        main.start();
    }

    int port() {
        return port;
    }

    /** Blocks the proxy's event loop while the step runs; the next iteration then finds all its effects. */
    void inOneTurn(Step step) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch over = new CountDownLatch(1);
        main.loop().execute(() -> {
            held.countDown();
            awaitQuietly(over);
        });
        held.await();
        try {
            step.run();
        } finally {
            over.countDown();
        }
    }

    /**
     * Blocks the proxy's event loop until all timers that are due within {@code ms} have expired, and while
     * the step runs. Those timers run right after the step, before the loop reads what arrived during it.
     */
    void beforeTimersDueIn(long ms, Step step) throws Exception {
        CountDownLatch reached = new CountDownLatch(1);
        CountDownLatch over = new CountDownLatch(1);
        main.loop().execute(() -> {
            // Due before those timers, so it runs before them in the iteration in which all are due.
            main.loop().schedule(() -> {
                reached.countDown();
                awaitQuietly(over);
            }, 0, TimeUnit.MILLISECONDS);
            try {
                Thread.sleep(ms);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        reached.await();
        try {
            step.run();
        } finally {
            over.countDown();
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the proxy's event loop has polled all its sockets again and handled closed ones. */
    void awaitTurn() throws Exception {
        main.loop().schedule(() -> { }, 1, TimeUnit.MILLISECONDS).get();
    }

    /** Serves requests until the proxy reuses a connection to the backend, so that an idle one is pooled. */
    void connectBackend(int backend) throws Exception {
        for (int known = -1; known != backends.get(backend).connections();) {
            known = backends.get(backend).connections();
            served();
        }
    }

    /** Returns whether the proxy has a request whose answer or attempts are not complete. */
    boolean holdsRequests() throws Exception {
        return main.loop().submit(main::held).get().requests();
    }

    /** Waits until the proxy has read and handled all input that arrived before this call. */
    void settle() throws IOException {
        if (client().send("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n").status() != 200) {
            throw new AssertionError("the proxy's liveness check did not answer 200");
        }
    }

    /** Waits until the backend has accepted a connection. */
    void awaitBackendConnection(int backend) throws InterruptedException {
        long until = System.nanoTime() + Peer.LIMIT_S * 1_000_000_000L;
        while (backends.get(backend).connections() == 0) {
            if (System.nanoTime() > until) {
                throw new AssertionError("the backend accepted no connection");
            }
            Thread.sleep(1);
        }
    }

    /** Waits until the proxy has released everything of the one client that disconnected. */
    void awaitOneGone() throws Exception {
        awaitGone(1);
    }

    /**
     * Waits until the proxy has released everything of the clients that disconnected, {@code left} in number.
     * This bench's other clients must have no pending request; the proxy may close them as unproven.
     */
    void awaitGone(int left) throws Exception {
        long until = System.nanoTime() + Peer.LIMIT_S * 1_000_000_000L;
        Main.Held now = main.loop().submit(main::held).get();
        while (now.requests() || now.bodyBytes() > 0 || now.connections() > clients.size() - left) {
            if (System.nanoTime() > until) {
                throw new AssertionError("the proxy still holds " + now + "; clients: " + clients.size());
            }
            now = main.loop().submit(main::held).get();
        }
    }

    /** An action of a test that may throw. */
    interface Step {
        void run() throws Exception;
    }

    /** Makes this bench's clients connect to a proxy of another process, at this port. */
    void at(int listen) {
        port = listen;
    }

    /** Opens a client's connection to the proxy. */
    Client client() throws IOException {
        return connect(new Socket());
    }

    /** Opens a client's connection with a small receive buffer: unread bytes soon back up into the proxy. */
    Client slowReader() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(1 << 12);
        return connect(socket);
    }

    private Client connect(Socket socket) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getByName(HOST), port));
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) Peer.LIMIT_S * 1000);
        clients.add(socket);
        return new Client(socket, new BufferedInputStream(socket.getInputStream()));
    }

    /** Waits until a backend has received a request that the test has not taken yet; returns its number. */
    int awaitBackend() throws InterruptedException {
        long until = System.nanoTime() + Peer.LIMIT_S * 1_000_000_000L;
        while (System.nanoTime() < until) {
            for (int i = 0; i < backends.size(); i++) {
                if (backends.get(i).waiting() > 0) {
                    return i;
                }
            }
            Thread.sleep(1);
        }
        throw new AssertionError("no backend received a request");
    }

    /** Sends one request, which must be served, and returns the number of the backend that served it. */
    int served() throws IOException, InterruptedException {
        Client client = client().look("r");
        int backend = awaitBackend();
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
        for (Peer peer : backends) {
            peer.close();
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
        Client look(String id) throws IOException {
            return look(id, 20_000);
        }

        Client look(String id, long budgetMs) throws IOException {
            return send("GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                    + "\r\nX-Call-Class: look\r\nX-Budget-Ms: " + budgetMs + "\r\n\r\n");
        }

        /** Sends a POST request of the named class. */
        Client post(String name, String id, String body, String... headers) throws IOException {
            return send("POST /" + name + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: "
                    + name + "\r\nX-Budget-Ms: 20000\r\n" + String.join("", headers) + "Content-Length: "
                    + body.length() + "\r\n\r\n" + body);
        }

        /** Reads the next answer; returns null where the proxy has closed the connection. */
        Peer.Message answer() throws IOException {
            return Peer.Message.read(in, socket, new CountDownLatch(1));
        }

        /** Reads the next answer and returns its status. */
        int status() throws IOException {
            return Integer.parseInt(answer().line().split(" ")[1]);
        }
    }
}
