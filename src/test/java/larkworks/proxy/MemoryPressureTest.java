package larkworks.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A proxy process with the deployed heap and 1,024 descriptors, while hundreds of clients at once make it
 * hold as much as they can. The process must not end, and another client's requests are answered in time.
 */
@Timeout(120)
class MemoryPressureTest {

    private static final int DESCRIPTORS = 1024;
    /** Requests that are in flight at once: clients may use a third of the descriptors for them. */
    private static final int CLIENTS = 330;
    private static final int RESTING_CLIENTS = 900;
    private static final int FLOODING_CLIENTS = 4;
    private static final long PRESSURE_MS = 8_000;
    private static final int BUDGET_MS = 3_000;
    private static final int PROBE_BUDGET_MS = 2_000;
    private static final long PAUSE_MS = 20;
    /** An answer that comes later than this after its request's time counts as lost. */
    private static final int LATE_MS = 500;
    private static final long PROBE_INTERVAL_MS = 100;
    private static final int REQUESTS_AHEAD = 60;
    /** How long clients that are cut off take nothing. */
    private static final long CUT_OFF_MS = 6_000;
    private static final String PROBE = "probe";
    private static final String SHORT_FIELD = "a:\r\n";
    /** A head is up to 8 KiB. */
    private static final int SHORT_FIELDS = 1_900;
    private static final String SMALL_CHUNK = "10\r\n0123456789abcdef\r\n";
    private static final int SLOW_READ_BYTES = 4_096;
    /** A pause after each {@link #SLOW_READ_BYTES}, which makes 64 kB a second. */
    private static final long SLOW_READ_PAUSE_MS = 62;

    @TempDir
    Path folder;
    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicInteger nextId = new AtomicInteger();

    /** What a client does on a new connection; it is done again and again while the pressure lasts. */
    @FunctionalInterface
    private interface ClientScript {
        void run(Socket socket, String id) throws IOException, InterruptedException;
    }

    @Test
    void survivesHeadsOfManyShortFieldsThatStop() throws Exception {
        survives(CLIENTS, MemoryPressureTest::stopWithinHead, MemoryPressureTest::answerAtOnce);
    }

    @Test
    void survivesRequestsWithManyShortFields() throws Exception {
        survives(CLIENTS, (socket, id) -> {
            write(socket, request("GET", "look", id, SHORT_FIELD.repeat(SHORT_FIELDS)));
            readToEnd(socket);
        }, MemoryPressureTest::answerLate);
    }

    @Test
    void survivesUploadsInSmallChunks() throws Exception {
        survives(CLIENTS, MemoryPressureTest::uploadSmallChunks, MemoryPressureTest::readSlowly);
    }

    @Test
    void survivesAnswersInSmallChunksReadSlowly() throws Exception {
        survives(CLIENTS, this::readAnswerSlowly, MemoryPressureTest::answerInSmallChunks);
    }

    @Test
    void survivesLongAnswersReadSlowly() throws Exception {
        survives(CLIENTS, this::readAnswerSlowly, exchange -> {
            exchange.send("HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n");
            exchange.send("x".repeat(4_000_000));
        });
    }

    @Test
    void survivesHeadsSentAhead() throws Exception {
        survives(CLIENTS, MemoryPressureTest::sendHeadsAhead, MemoryPressureTest::answerLate);
    }

    @Test
    void survivesSmallBodyPartsSentAhead() throws Exception {
        survives(CLIENTS, (socket, id) -> {
            write(socket, request("GET", "look", id, ""));
            write(socket, request("POST", "act", id + "-1", "Transfer-Encoding: chunked\r\n"));
            for (int i = 0; i < 900; i++) {
                write(socket, "1\r\nx\r\n");
                Thread.sleep(2);
            }
            readToEnd(socket);
        }, MemoryPressureTest::answerLate);
    }

    @Test
    void survivesBodiesThatStop() throws Exception {
        survives(CLIENTS, MemoryPressureTest::stopWithinBody, MemoryPressureTest::readSlowly);
    }

    @Test
    void survivesLargeBodiesThatStop() throws Exception {
        survives(CLIENTS, (socket, id) -> {
            write(socket, request("POST", "act", id, "Content-Length: 900000\r\n"));
            write(socket, "x".repeat(500_000));
            readToEnd(socket);
        }, MemoryPressureTest::readSlowly);
    }

    @Test
    void survivesAnswersThatWaitForTheirEnd() throws Exception {
        survives(CLIENTS, MemoryPressureTest::readAnswer, MemoryPressureTest::endAnswerLate);
    }

    /** Guards against the process's end by answers that wait for clients that are cut off. */
    @ParameterizedTest
    @ValueSource(ints = {500, 16_000, 64_000})
    void survivesAnswersToManyRequestsThatAreReadLate(int answerBytes) throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + answerBytes + "\r\n\r\n"
                + "x".repeat(answerBytes);
        survives(CLIENTS, (socket, id) -> {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < REQUESTS_AHEAD; i++) {
                requests.append(request("GET", "look", id + "-" + i, ""));
            }
            write(socket, requests.toString());
            Thread.sleep(CUT_OFF_MS);
            readSlowlyToEnd(socket);
        }, exchange -> exchange.send(answer));
    }

    /** The kinds of pressure that each hold much memory, at once. */
    @Test
    void survivesAllKindsAtOnce() throws Exception {
        List<ClientScript> clients = List.of(MemoryPressureTest::stopWithinHead,
                MemoryPressureTest::uploadSmallChunks, MemoryPressureTest::sendHeadsAhead,
                MemoryPressureTest::stopWithinBody, MemoryPressureTest::readAnswer, this::readAnswerSlowly);
        AtomicInteger nextClient = new AtomicInteger();
        survives(CLIENTS, (socket, id) -> clients.get(nextClient.getAndIncrement() % clients.size())
                .run(socket, id), exchange -> {
                    if (exchange.head().startsWith("POST")) {
                        readSlowly(exchange);
                    } else if (exchange.header("X-Call-Id").hashCode() % 2 == 0) {
                        endAnswerLate(exchange);
                    } else {
                        answerInSmallChunks(exchange);
                    }
                });
    }

    @Test
    void survivesAnswersThatAreNotRead() throws Exception {
        survives(FLOODING_CLIENTS, (socket, id) -> {
            String many = "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n".repeat(500);
            while (!over.get()) {
                write(socket, many);
            }
        }, MemoryPressureTest::answerAtOnce);
    }

    @Test
    void survivesConnectionsThatRest() throws Exception {
        survives(RESTING_CLIENTS, (socket, id) -> readToEnd(socket), MemoryPressureTest::answerAtOnce);
    }

    private static void stopWithinHead(Socket socket, String id) throws IOException {
        write(socket, "GET /look HTTP/1.1\r\n" + SHORT_FIELD.repeat(SHORT_FIELDS));
        readToEnd(socket);
    }

    private static void stopWithinBody(Socket socket, String id) throws IOException {
        write(socket, request("POST", "act", id, "Content-Length: 65000\r\n"));
        write(socket, "x".repeat(60_000));
        readToEnd(socket);
    }

    private static void uploadSmallChunks(Socket socket, String id) throws IOException {
        write(socket, request("POST", "act", id, "Transfer-Encoding: chunked\r\n"));
        for (int i = 0; i < 20; i++) {
            write(socket, SMALL_CHUNK.repeat(1_500));
        }
        write(socket, "0\r\n\r\n");
        readToEnd(socket);
    }

    private static void sendHeadsAhead(Socket socket, String id) throws IOException {
        write(socket, request("GET", "look", id, ""));
        for (int i = 0; i < REQUESTS_AHEAD; i++) {
            write(socket, request("GET", "look", id + "-" + i, SHORT_FIELD.repeat(SHORT_FIELDS)));
        }
        readToEnd(socket);
    }

    private static void readAnswer(Socket socket, String id) throws IOException {
        write(socket, request("GET", "look", id, ""));
        readToEnd(socket);
    }

    private void readAnswerSlowly(Socket socket, String id) throws IOException, InterruptedException {
        write(socket, request("GET", "look", id, ""));
        readSlowlyToEnd(socket);
    }

    private static void answerInSmallChunks(ScriptedServer.Exchange exchange) throws IOException {
        exchange.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 40; i++) {
            exchange.send(SMALL_CHUNK.repeat(1_500));
        }
        exchange.send("0\r\n\r\n");
    }

    private static void endAnswerLate(ScriptedServer.Exchange exchange)
            throws IOException, InterruptedException {
        exchange.send("HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n" + "x".repeat(64_000));
        Thread.sleep(2_500);
        exchange.send("x".repeat(1_000));
    }

    private static void answerAtOnce(ScriptedServer.Exchange exchange) throws IOException {
        exchange.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }

    private static void answerLate(ScriptedServer.Exchange exchange)
            throws IOException, InterruptedException {
        Thread.sleep(1_500);
        answerAtOnce(exchange);
    }

    /** Reads 50 kB a second until the proxy closes the connection. */
    private static void readSlowly(ScriptedServer.Exchange exchange)
            throws IOException, InterruptedException {
        byte[] buffer = new byte[SLOW_READ_BYTES];
        while (exchange.in().read(buffer) >= 0) {
            Thread.sleep(80);
        }
        throw new IOException("the proxy has closed the connection");
    }

    private static String request(String method, String requestClass, String id, String fields) {
        return DeployedProxy.head(method, requestClass, id, BUDGET_MS, fields);
    }

    private static void write(Socket socket, String text) throws IOException {
        DeployedProxy.write(socket, text);
    }

    private static void readToEnd(Socket socket) throws IOException {
        byte[] buffer = new byte[SLOW_READ_BYTES];
        InputStream in = socket.getInputStream();
        while (in.read(buffer) >= 0) {
            // Answers are not looked at: only the proxy's memory is.
        }
    }

    private void readSlowlyToEnd(Socket socket) throws IOException, InterruptedException {
        byte[] buffer = new byte[SLOW_READ_BYTES];
        InputStream in = socket.getInputStream();
        while (in.read(buffer) >= 0 && !over.get()) {
            Thread.sleep(SLOW_READ_PAUSE_MS);
        }
    }

    private void survives(int clientCount, ClientScript client, ScriptedServer.Script server)
            throws Exception {
        ScriptedServer.Script script = exchange -> {
            if (exchange.header("X-Call-Id").startsWith(PROBE)) {
                answerAtOnce(exchange);
            } else {
                server.serve(exchange);
            }
        };
        try (DeployedProxy proxy = new DeployedProxy(folder, DESCRIPTORS, script)) {
            for (int i = 0; i < clientCount; i++) {
                ScriptedServer.daemon(() -> repeat(client, proxy));
            }
            List<String> late = proxy.probe(PROBE, PROBE_BUDGET_MS, LATE_MS, PROBE_INTERVAL_MS, PRESSURE_MS);
            over.set(true);
            proxy.assertUnharmed(late);
        } finally {
            over.set(true);
        }
    }

    private void repeat(ClientScript client, DeployedProxy proxy) {
        while (!over.get()) {
            try (Socket socket = proxy.connect()) {
                client.run(socket, "c" + nextId.incrementAndGet());
            } catch (IOException | InterruptedException e) {
                // The proxy may close such a connection; the next one follows.
                pause();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
