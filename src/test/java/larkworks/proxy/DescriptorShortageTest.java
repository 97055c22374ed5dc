package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Idle clients use up the descriptors: no connection is closed on which a request or an answer is open. */
@Timeout(120)
class DescriptorShortageTest {

    private static final int DESCRIPTORS = 64;
    /** With four descriptors for connections, few clients are enough to use them up. */
    private static final int FEWEST_DESCRIPTORS = 8;
    private static final int LARGE_ANSWER_BYTES = 400_000;
    private static final int READ_BYTES = 4_000;
    /** A pause after each {@link #READ_BYTES}, which makes 64 kB a second. */
    private static final long READ_PAUSE_MS = 62;
    private static final long IDLE_CLIENT_INTERVAL_MS = 40;
    private static final String LARGE = "large";

    @TempDir
    Path folder;
    private final AtomicBoolean over = new AtomicBoolean();
    private TestBench bench;

    @BeforeEach
    void createBench() throws IOException {
        bench = new TestBench(1);
    }

    @AfterEach
    void closeBench() throws IOException {
        over.set(true);
        bench.close();
    }

    /** Guards against the loss of an answer's end that waits in the proxy for a client that reads slowly. */
    @Test
    void deliversLargeAnswersThatClientsTakeSlowly() throws Exception {
        bench.maxSockets = DESCRIPTORS;
        bench.start(folder);
        ScriptedServer.daemon(this::answerAll);
        TestBench.Client slowClient = bench.clientWithSmallBuffer().sendLook(LARGE);
        ScriptedServer.daemon(this::connectIdleClients);
        assertEquals(LARGE_ANSWER_BYTES, readSlowly(slowClient));
    }

    /** Guards against the close of a connection whose next requests were read, but not decoded yet. */
    @Test
    void answersRequestsThatWereSentAhead() throws Exception {
        bench.maxSockets = FEWEST_DESCRIPTORS;
        bench.start(folder);
        TestBench.Client client = bench.client().sendLook("first");
        StubServer.Message first = bench.backends.get(0).next();
        client.sendLook("sent ahead");
        bench.awaitInputProcessed();
        bench.inOneLoopIteration(() -> {
            first.reply(200, "");
            for (int i = 0; i < FEWEST_DESCRIPTORS; i++) {
                bench.client();
            }
        });
        assertEquals(200, client.status());
        bench.backends.get(0).next().reply(200, "");
        assertNotNull(client.answer(), "the connection was closed on a request that had been read");
    }

    /** Guards against the close of a connection in the middle of a request while others are idle. */
    @Test
    void receivesRequestsThatClientsSendSlowly() throws Exception {
        bench.maxSockets = DESCRIPTORS;
        bench.start(folder);
        ScriptedServer.daemon(this::answerAll);
        TestBench.Client client = bench.client().sendLook("first");
        assertEquals(200, client.status());
        client.send("POST /act HTTP/1.1\r\nHost: x\r\nX-Call-Id: slow\r\nX-Call-Class: act\r\n"
                + "X-Budget-Ms: 20000\r\nContent-Length: 10\r\n\r\nhalf ");
        bench.awaitInputProcessed();
        for (int i = 0; i < 2 * DESCRIPTORS; i++) {
            assertEquals(200, bench.client().sendLook("idle" + i).status());
        }
        assertEquals(200, client.send("whole").status());
    }

    private void connectIdleClients() {
        for (int i = 0; !over.get(); i++) {
            try {
                bench.client().sendLook("idle" + i);
                Thread.sleep(IDLE_CLIENT_INTERVAL_MS);
            } catch (IOException e) {
                // The proxy has closed this connection; the next one follows.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void answerAll() {
        try {
            while (!over.get()) {
                StubServer.Message request = bench.backends.get(0).next();
                boolean isLarge = LARGE.equals(request.header("X-Call-Id"));
                ScriptedServer.daemon(() -> reply(request, isLarge ? "x".repeat(LARGE_ANSWER_BYTES) : ""));
            }
        } catch (InterruptedException | AssertionError e) {
            // The test is over.
        }
    }

    private static void reply(StubServer.Message request, String body) {
        try {
            request.reply(200, body);
        } catch (UncheckedIOException e) {
            // The proxy has closed the connection.
        }
    }

    /** Reads an answer at 64 kB a second and returns the number of the body's bytes that came. */
    private static int readSlowly(TestBench.Client client) throws IOException, InterruptedException {
        assertNotNull(ScriptedServer.readHead(client.in()), "no answer");
        byte[] buffer = new byte[READ_BYTES];
        int received = 0;
        while (received < LARGE_ANSWER_BYTES) {
            int bytes = client.in().readNBytes(buffer, 0, READ_BYTES);
            if (bytes == 0) {
                return received;
            }
            received += bytes;
            Thread.sleep(READ_PAUSE_MS);
        }
        return received;
    }
}
