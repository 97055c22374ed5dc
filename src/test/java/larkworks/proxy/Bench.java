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

/** A proxy between a test's client, backends and discovery, all on loopback sockets. */
final class Bench implements AutoCloseable {

    /** Where proxies listen: no connection has its own end here, and with it a port that was free before. */
    static final String HOST = "127.31.7.1";

    final Peer discovery = new Peer();
    final List<Peer> backends = new ArrayList<>();
    private final List<Socket> clients = new ArrayList<>();
    /** Settings that a test may vary before the start. */
    String mode = "pushed";
    int sockets = 256;
    long keepAliveUs = 10_000_000;
    long connectTimeoutUs = 5_000_000;
    long drainGraceUs = 1_000_000;
    long askEveryUs = 10_000_000;
    boolean probes;
    /** Proxies of the tier. */
    int copies = 1;
    boolean cancel = true;
    long dedupWindowUs = 30_000_000;
    /** What the proxy's process would find in its environment. */
    Map<String, String> environment = Map.of();
    /** Further lines of the configuration, each with its comma. */
    String more = "";
    /** Services to ask beside {@link #discovery}. */
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

    /** A line of discovery's list for backend {@code b<i>}. */
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

    /** Lets discovery answer by itself, each call at once with this list until the next one. */
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

    /** Makes one of the operators' calls and returns the status. */
    static int call(int admin, String method, String path, String body) throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName(HOST), admin)) {
            socket.setSoTimeout((int) Peer.LIMIT_S * 1000);
            Client client = new Client(socket, new BufferedInputStream(socket.getInputStream()));
            client.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
            int status = client.status();
            if (client.in().read() >= 0) {
                throw new AssertionError("more than one answer");
            }
            return status;
        }
    }

    /** Makes a call as soon as somebody listens. */
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

    /** Ends the proxy, but neither backends nor discovery. */
    void stop() {
        Main ending = main;
        main = null;
        assertNoneOverdue(ending);
        ending.close();
    }

    /** Whatever a test did, no client may still wait for an answer past its deadline. */
    private static void assertNoneOverdue(Main proxy) {
        if (proxy.loop().isShuttingDown()) {
            return;
        }
        Main.ClientUsage held = proxy.loop().submit(proxy::clientUsage).syncUninterruptibly().getNow();
        if (held.requestsPastDeadline() > 0) {
            throw new AssertionError("requests without an answer past their deadline: " + held);
        }
        if (held.violations() > 0) {
            throw new AssertionError("invariants were violated: " + held);
        }
    }

    /** Tells the proxy to end, as SIGTERM does; done once it has finished what it took. */
    CompletableFuture<Void> end() throws Exception {
        Main ending = main;
        CompletableFuture<Void> ended = CompletableFuture.runAsync(ending::drainAndWait);
        Client probe = client();
        while (!"close".equals(probe.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").answer()
                .header("Connection"))) {
            Thread.onSpinWait();
        }
        return ended;
    }

    /** Waits until nobody can connect any more, which is some time after the proxy was told to end. */
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

    /** Starts the proxy, knowing all backends. */
    Bench start(Path folder) throws Exception {
        return start(folder, all(1));
    }

    Bench start(Path folder, String known) throws Exception {
        begin(folder, known);
        port = main.awaitServing().getPort();
        return this;
    }

    /** Starts the proxy and tells it to end before it has warmed up. */
    CompletableFuture<Void> startAndEnd(Path folder) throws Exception {
        begin(folder, all(1));
        return CompletableFuture.runAsync(main::drainAndWait);
    }

    private void begin(Path folder, String known) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config(0, known));
        main = new Main(Config.read(file.toString(), environment, Map.of()));
        main.start();
    }

    int port() {
        return port;
    }

    /** Holds the proxy's loop while the step runs, so that all of it is there in the next turn. */
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
     * Holds the proxy's loop until timers are due that would have run by then. They run right behind the
     * step, before anything is read that came during it.
     */
    void beforeTimersDueIn(long ms, Step step) throws Exception {
        CountDownLatch reached = new CountDownLatch(1);
        CountDownLatch over = new CountDownLatch(1);
        main.loop().execute(() -> {
            // Due before those timers, so it comes before them in the turn in which all are.
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

    /** Returns once the proxy has looked at all its sockets anew, also at those that it has closed. */
    void awaitTurn() throws Exception {
        main.loop().schedule(() -> { }, 1, TimeUnit.MILLISECONDS).get();
    }

    /** Serves requests until one comes on a connection that is there already. */
    void connectBackend(int backend) throws Exception {
        for (int known = -1; known != backends.get(backend).connections();) {
            known = backends.get(backend).connections();
            served();
        }
    }

    /** Whether the proxy holds a request, its answer or an attempt of it. */
    boolean holdsRequests() throws Exception {
        return main.loop().submit(main::clientUsage).get().hasRequests();
    }

    /** Returns once the proxy has read all that came to it before, and acted on it. */
    void settle() throws IOException {
        if (client().send("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n").status() != 200) {
            throw new AssertionError("the proxy does not live");
        }
    }

    /** Waits until a connection to the backend has come up. */
    void awaitBackendConnection(int backend) throws InterruptedException {
        long until = System.nanoTime() + Peer.LIMIT_S * 1_000_000_000L;
        while (backends.get(backend).connections() == 0) {
            if (System.nanoTime() > until) {
                throw new AssertionError("no connection came up");
            }
            Thread.sleep(1);
        }
    }

    /** Waits until nothing is held for a client that left. */
    void awaitOneGone() throws Exception {
        awaitGone(1);
    }

    /**
     * Waits until nothing is held for those clients that left: all others of this bench ask nothing, and may
     * be closed as strangers.
     */
    void awaitGone(int left) throws Exception {
        long until = System.nanoTime() + Peer.LIMIT_S * 1_000_000_000L;
        Main.ClientUsage now = main.loop().submit(main::clientUsage).get();
        while (now.hasRequests() || now.bodyBytes() > 0 || now.connections() > clients.size() - left) {
            if (System.nanoTime() > until) {
                throw new AssertionError("still held: " + now + " with " + clients.size() + " clients");
            }
            now = main.loop().submit(main::clientUsage).get();
        }
    }

    /** Something that a test does. */
    interface Step {
        void run() throws Exception;
    }

    /** Lets this bench's clients connect to a proxy that runs elsewhere. */
    void at(int listen) {
        port = listen;
    }

    Client client() throws IOException {
        return connect(new Socket());
    }

    /** A client whose system holds little that it has not read: the rest stays with the proxy. */
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

    /** The number of the backend to which a request has come that is not taken yet. */
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
        throw new AssertionError("no request came to any backend");
    }

    /** The number of the backend that serves one request, which must be served. */
    int served() throws IOException, InterruptedException {
        Client client = client().look("r");
        int backend = awaitBackend();
        backends.get(backend).next().reply(200, "");
        if (client.status() != 200) {
            throw new AssertionError("a request was not served");
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

        Client look(String id) throws IOException {
            return look(id, 20_000);
        }

        Client look(String id, long budgetMs) throws IOException {
            return send("GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                    + "\r\nX-Call-Class: look\r\nX-Budget-Ms: " + budgetMs + "\r\n\r\n");
        }

        Client post(String name, String id, String body, String... headers) throws IOException {
            return send("POST /" + name + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: "
                    + name + "\r\nX-Budget-Ms: 20000\r\n" + String.join("", headers) + "Content-Length: "
                    + body.length() + "\r\n\r\n" + body);
        }

        /** The next answer; null where the proxy has closed the connection. */
        Peer.Message answer() throws IOException {
            return Peer.Message.read(in, socket, new CountDownLatch(1));
        }

        int status() throws IOException {
            return Integer.parseInt(answer().line().split(" ")[1]);
        }
    }
}
