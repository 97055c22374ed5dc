package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Bodies that do not end, as their client stops sending or their server stops reading. */
@Timeout(120)
class StalledUploadTest {

    /** A client that stops within a request must be closed or answered no earlier and no later than this. */
    private static final long MIN_SILENCE_MS = 2_000;
    private static final long MAX_SILENCE_MS = 3_000;
    /** Twice the time without progress after which a transfer is cut off. */
    private static final long MAX_STALL_MS = 2 * LingeringClose.STALL_TIMEOUT_MS;
    private static final int ANSWER_PART_BYTES = 100_000;
    private static final int ANSWER_PART_GAP_MS = 200;
    private static final int BODY_BYTES = 10_000_000;
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4_096;

    @TempDir
    Path folder;

    private TestBench start(ScriptedServer server) throws Exception {
        return new TestBench(0).start(folder,
                TestBench.listJson(1, true, TestBench.entry("b0", server.address(), "in_service")));
    }

    private static String head(String framing) {
        return "POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: stalled\r\nX-Call-Class: act\r\n"
                + "X-Budget-Ms: 2000\r\n" + framing + "\r\n\r\n";
    }

    private static long msSince(long startNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    /** Reads what comes until the proxy ends the connection. */
    private static void awaitEnd(TestBench.Client client) throws IOException {
        try {
            client.in().transferTo(OutputStream.nullOutputStream());
        } catch (SocketException e) {
            // The proxy has reset the connection, as it had not read all of the body.
        }
    }

    @ParameterizedTest
    @CsvSource({"1000,false", "1000,true", "200000,false", "200000,true"})
    void endsTheConnectionOfAClientThatStopsWithinABody(int sentBytes, boolean chunked) throws Exception {
        ScriptedServer.Script script = exchange -> exchange.in().skipNBytes(BODY_BYTES);
        try (ScriptedServer server = new ScriptedServer(script); TestBench bench = start(server)) {
            TestBench.Client client = bench.client();
            client.send(chunked
                    ? head("Transfer-Encoding: chunked") + Integer.toHexString(BODY_BYTES) + "\r\n"
                    : head("Content-Length: " + BODY_BYTES));
            client.send("x".repeat(sentBytes));
            long sentNs = System.nanoTime();
            awaitEnd(client);
            long tookMs = msSince(sentNs);
            assertTrue(tookMs >= MIN_SILENCE_MS && tookMs <= MAX_SILENCE_MS, "ended after " + tookMs + " ms");
        }
    }

    @Test
    void endsTheConnectionWhoseServerAnswersWithoutReadingTheBody() throws Exception {
        ScriptedServer.Script script = exchange -> {
            exchange.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (true) {
                exchange.send(Integer.toHexString(ANSWER_PART_BYTES) + "\r\n" + "x".repeat(ANSWER_PART_BYTES)
                        + "\r\n");
                Thread.sleep(ANSWER_PART_GAP_MS);
            }
        };
        try (ScriptedServer server = new ScriptedServer(script, SMALL_RECEIVE_BUFFER_BYTES);
                TestBench bench = start(server)) {
            TestBench.Client client = bench.client();
            long startNs = System.nanoTime();
            ScriptedServer.daemon(() -> {
                try {
                    client.send(head("Content-Length: " + BODY_BYTES));
                    client.send("x".repeat(BODY_BYTES));
                } catch (IOException e) {
                    // The proxy has ended the connection.
                }
            });
            awaitEnd(client);
            assertTrue(msSince(startNs) <= MAX_STALL_MS, "ended after " + msSince(startNs) + " ms");
        }
    }
}
