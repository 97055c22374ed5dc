package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Large requests that a server reads slowly, and large answers that it writes slowly. */
@Timeout(120)
class SlowServerTest {

    private static final int BODY_BYTES = 980_231;
    private static final int BUDGET_MS = 752;
    /** An answer that comes later than this after its request's time counts as lost. */
    private static final int LATE_MS = 500;
    private static final int READ_BYTES = 4_096;
    private static final int CHUNK_BYTES = 8_000;

    @TempDir
    Path folder;

    /** Reads about so many bytes a second until the proxy closes the connection; 0 for none at all. */
    private static ScriptedServer.Script reader(int bytesPerSecond) {
        return exchange -> {
            byte[] buffer = new byte[READ_BYTES];
            if (bytesPerSecond == 0) {
                Thread.sleep(TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_S));
            }
            while (exchange.in().read(buffer) >= 0) {
                Thread.sleep(READ_BYTES * 1000L / bytesPerSecond);
            }
        };
    }

    private TestBench start(ScriptedServer server) throws Exception {
        return new TestBench(0).start(folder,
                TestBench.listJson(1, true, TestBench.entry("b0", server.address(), "in_service")));
    }

    private static String head(String requestClass, String framing) {
        return "POST /" + requestClass + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: slow\r\nX-Call-Class: "
                + requestClass + "\r\nX-Budget-Ms: " + BUDGET_MS + "\r\n" + framing + "\r\n";
    }

    private static void sendBody(TestBench.Client client, int bodyBytes, boolean chunked)
            throws IOException {
        for (int sent = 0; sent < bodyBytes; sent += CHUNK_BYTES) {
            int size = Math.min(CHUNK_BYTES, bodyBytes - sent);
            client.send(chunked ? Integer.toHexString(size) + "\r\n" + "x".repeat(size) + "\r\n"
                    : "x".repeat(size));
        }
        if (chunked) {
            client.send("0\r\n\r\n");
        }
    }

    @ParameterizedTest
    @CsvSource({"116940,980231,true", "116940,5000000,true", "116940,5000000,false",
        "400000,5000000,true", "0,5000000,true", "0,5000000,false"})
    void answersInTimeThoughTheServerReadsALargeBodySlowly(int bytesPerSecond, int bodyBytes,
            boolean chunked) throws Exception {
        try (ScriptedServer server = new ScriptedServer(reader(bytesPerSecond), READ_BYTES);
                TestBench bench = start(server)) {
            TestBench.Client client = bench.client();
            client.send(head("act", chunked ? "Transfer-Encoding: chunked\r\n"
                    : "Content-Length: " + bodyBytes + "\r\n"));
            CompletableFuture<Long> written = new CompletableFuture<>();
            ScriptedServer.daemon(() -> {
                try {
                    sendBody(client, bodyBytes, chunked);
                    written.complete(System.nanoTime());
                } catch (IOException e) {
                    // The proxy answered before it had read everything: no time can have passed since.
                    written.complete(Long.MAX_VALUE);
                }
            });
            StubServer.Message answer = client.answer();
            long answeredNs = System.nanoTime();
            assertNotNull(answer, "the connection was closed with no answer");
            long writtenNs = written.get(StubServer.TIMEOUT_S, TimeUnit.SECONDS);
            if (writtenNs != Long.MAX_VALUE) {
                long tookMs = TimeUnit.NANOSECONDS.toMillis(answeredNs - writtenNs);
                assertTrue(tookMs <= BUDGET_MS + LATE_MS, "answered " + tookMs + " ms after the last byte");
            }
        }
    }

    @Test
    void servesALargeBodyThatAClientTakesLongerToSendThanItsTime() throws Exception {
        ScriptedServer.Script script = exchange -> {
            exchange.in().skipNBytes(Long.parseLong(exchange.header("Content-Length")));
            exchange.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        };
        try (ScriptedServer server = new ScriptedServer(script); TestBench bench = start(server)) {
            TestBench.Client client = bench.client();
            client.send(head("act", "Content-Length: " + BODY_BYTES + "\r\n"));
            for (int sent = 0; sent < BODY_BYTES; sent += CHUNK_BYTES) {
                client.send("x".repeat(Math.min(CHUNK_BYTES, BODY_BYTES - sent)));
                Thread.sleep(15);
            }
            assertEquals(200, client.status());
        }
    }

    @Test
    void passesOnALargeAnswerThatItsServerWritesSlowly() throws Exception {
        int parts = 40;
        ScriptedServer.Script script = exchange -> {
            exchange.send("HTTP/1.1 200 OK\r\nContent-Length: " + parts * 2_000 + "\r\n\r\n");
            for (int i = 0; i < parts; i++) {
                exchange.send("x".repeat(2_000));
                Thread.sleep(100);
            }
        };
        try (ScriptedServer server = new ScriptedServer(script); TestBench bench = start(server)) {
            TestBench.Client client = bench.client().sendLook("slow", BUDGET_MS);
            assertEquals(parts * 2_000, client.answer().body().length);
        }
    }

    /** The client takes the rest at full speed, as the system keeps megabytes of an answer cut off. */
    @Test
    void passesOnAllOfAnAnswerThatItsClientTakesAt64KilobytesASecond() throws Exception {
        int answerBytes = 32_000_000;
        int slowMs = 32_000;
        int bytesPerMs = 64;
        ScriptedServer.Script script = exchange -> {
            exchange.send("HTTP/1.1 200 OK\r\nContent-Length: " + answerBytes + "\r\n\r\n");
            exchange.send("x".repeat(answerBytes));
        };
        try (ScriptedServer server = new ScriptedServer(script); TestBench bench = start(server)) {
            InputStream in = bench.client().sendLook("slow", BUDGET_MS).socket().getInputStream();
            ScriptedServer.readHead(in);
            byte[] buffer = new byte[1 << 13];
            long startNs = System.nanoTime();
            int taken = 0;
            for (int read = 0; read >= 0 && taken < answerBytes; taken += Math.max(0, read)) {
                long dueNs = startNs + TimeUnit.MILLISECONDS.toNanos(taken / bytesPerMs);
                if (taken < slowMs * bytesPerMs) {
                    TimeUnit.NANOSECONDS.sleep(dueNs - System.nanoTime());
                }
                read = in.read(buffer);
            }
            assertEquals(answerBytes, taken, "the answer was cut off");
        }
    }
}
