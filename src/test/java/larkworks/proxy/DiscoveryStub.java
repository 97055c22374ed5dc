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

/** A discovery service for experiments with real processes, which answers in one way, slow or failing too. */
final class DiscoveryStub implements AutoCloseable {

    /** How calls for the full list are answered; watches are held open and answered without changes. */
    enum ResponseMode {
        /** Answers immediately. */
        AT_ONCE,
        /** Answers each call after {@link #SLOW_RESPONSE_MS}, all calls in parallel. */
        SLOW,
        /** Answers calls one by one, and takes {@link #SERIAL_RESPONSE_MS} for each. */
        IN_TURN,
        /** Answers with status 503. */
        BUSY,
        /** Sends one byte at a time, with {@link #BYTE_INTERVAL_MS} after each. */
        DRIPPING,
        /** Accepts calls and never answers. */
        HANGING,
        /** Has closed its port, so that connections are refused. */
        DOWN
    }

    private static final long SLOW_RESPONSE_MS = 3_000;
    private static final long SERIAL_RESPONSE_MS = 200;
    private static final long BYTE_INTERVAL_MS = 400;

    /** The number of calls for the full list so far. */
    final AtomicInteger fullListCalls = new AtomicInteger();
    private final ResponseMode mode;
    private final byte[] list;
    private final HttpServer server;
    private final String address;
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        return thread;
    });

    DiscoveryStub(ResponseMode mode, String list) throws IOException {
        this.mode = mode;
        this.list = list.getBytes(StandardCharsets.UTF_8);
        server = HttpServer.create(new InetSocketAddress(TestBench.HOST, 0), 1_024);
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        // HttpServer.stop() closes the port only of a server that was started; connections would hang.
        server.start();
        address = TestBench.HOST + ":" + server.getAddress().getPort();
        if (mode == ResponseMode.DOWN) {
            server.stop(0);
        }
    }

    String address() {
        return address;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        try {
            if (query != null) {
                Thread.sleep(Long.parseLong(query.substring(query.indexOf("wait=") + 5)));
                send(exchange, 200, TestBench.listJson(2, false).getBytes(StandardCharsets.UTF_8), 0);
                return;
            }
            fullListCalls.incrementAndGet();
            switch (mode) {
                case SLOW -> Thread.sleep(SLOW_RESPONSE_MS);
                case IN_TURN -> {
                    synchronized (this) {
                        Thread.sleep(SERIAL_RESPONSE_MS);
                    }
                }
                case HANGING -> Thread.sleep(Long.MAX_VALUE);
                default -> { }
            }
            send(exchange, mode == ResponseMode.BUSY ? 503 : 200, list,
                    mode == ResponseMode.DRIPPING ? BYTE_INTERVAL_MS : 0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void send(HttpExchange exchange, int status, byte[] body, long pauseMs)
            throws IOException, InterruptedException {
        exchange.sendResponseHeaders(status, body.length);
        OutputStream out = exchange.getResponseBody();
        for (int offset = 0; offset < body.length;) {
            int length = pauseMs > 0 ? 1 : body.length;
            out.write(body, offset, length);
            out.flush();
            offset += length;
            Thread.sleep(pauseMs);
        }
        exchange.close();
    }

    @Override
    public void close() {
        if (mode != ResponseMode.DOWN) {
            server.stop(0);
        }
        executor.shutdownNow();
    }
}
