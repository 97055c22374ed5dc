package larkworks.proxy;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A discovery for experiments with real processes: it answers all calls in one way, also badly. */
final class DiscoveryStandIn implements AutoCloseable {

    /** How calls for the whole list are answered; watches are always held open, and then tell nothing. */
    enum Way {
        /** At once. */
        AT_ONCE,
        /** Each after {@link #SLOW_MS}, whatever else is asked. */
        SLOW,
        /** One after the other, each taking {@link #TURN_MS}. */
        IN_TURN,
        /** With 503. */
        BUSY,
        /** A byte at a time, {@link #DRIP_MS} between two. */
        DRIPPING,
        /** Never. */
        HANGING,
        /** Not at all: nobody listens. */
        DOWN
    }

    private static final long SLOW_MS = 3_000;
    private static final long TURN_MS = 200;
    private static final long DRIP_MS = 400;

    /** Calls for the whole list that have come. */
    final AtomicInteger calls = new AtomicInteger();
    private final Way way;
    private final byte[] list;
    private final HttpServer server;
    private final String address;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        return thread;
    });

    DiscoveryStandIn(Way way, String list) throws IOException {
        this.way = way;
        this.list = list.getBytes(StandardCharsets.UTF_8);
        server = HttpServer.create(new InetSocketAddress(TestBench.HOST, 0), 1_024);
        server.setExecutor(threads);
        server.createContext("/", this::answer);
        // A server that never started would leave its port open, and hang.
        server.start();
        address = TestBench.HOST + ":" + server.getAddress().getPort();
        if (way == Way.DOWN) {
            server.stop(0);
        }
    }

    String address() {
        return address;
    }

    private void answer(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        try {
            if (query != null) {
                Thread.sleep(Long.parseLong(query.substring(query.indexOf("wait=") + 5)));
                send(exchange, 200, TestBench.listJson(2, false).getBytes(StandardCharsets.UTF_8), 0);
                return;
            }
            calls.incrementAndGet();
            switch (way) {
                case SLOW -> Thread.sleep(SLOW_MS);
                case IN_TURN -> {
                    synchronized (this) {
                        Thread.sleep(TURN_MS);
                    }
                }
                case HANGING -> Thread.sleep(Long.MAX_VALUE);
                default -> { }
            }
            send(exchange, way == Way.BUSY ? 503 : 200, list, way == Way.DRIPPING ? DRIP_MS : 0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void send(HttpExchange exchange, int status, byte[] body, long pauseMs)
            throws IOException, InterruptedException {
        exchange.sendResponseHeaders(status, body.length);
        OutputStream out = exchange.getResponseBody();
        for (int from = 0; from < body.length;) {
            int part = pauseMs > 0 ? 1 : body.length;
            out.write(body, from, part);
            out.flush();
            from += part;
            Thread.sleep(pauseMs);
        }
        exchange.close();
    }

    @Override
    public void close() {
        if (way != Way.DOWN) {
            server.stop(0);
        }
        threads.shutdownNow();
    }
}
