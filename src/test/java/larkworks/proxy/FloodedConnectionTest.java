package larkworks.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** One client sends requests at full speed for some seconds; the others are answered in their time. */
@Timeout(120)
class FloodedConnectionTest {

    private static final int DESCRIPTORS = 256;
    private static final long PROBE_INTERVAL_MS = 50;
    private static final int FLOOD_MS = 5_000;
    private static final int BUDGET_MS = 500;
    /** An answer that comes later than this after its request's time counts as lost. */
    private static final int LATE_MS = 500;
    private static final int REQUESTS_A_WRITE = 400;

    @TempDir
    Path folder;

    /** What the client sends, each time with another number. */
    enum Flood {
        HEALTH("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n", true),
        HEALTH_UNREAD("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n", false),
        UNKNOWN_CLASSES("GET /none%1$d HTTP/1.1\r\nHost: x\r\nX-Call-Id: f%1$d\r\n\r\n", true),
        UNKNOWN_CLASSES_UNREAD("GET /none%1$d HTTP/1.1\r\nHost: x\r\nX-Call-Id: f%1$d\r\n\r\n", false),
        NEW_IDS_AND_TENANTS("GET /look/%1$d HTTP/1.1\r\nHost: x\r\nX-Call-Id: f%1$d\r\nX-Caller: t%1$d\r\n"
                + "X-Budget-Ms: 500\r\n\r\n", true),
        MALFORMED("%1$d\r\n\r\n", true);

        private final String request;
        private final boolean reads;

        Flood(String request, boolean reads) {
            this.request = request;
            this.reads = reads;
        }
    }

    @ParameterizedTest
    @EnumSource
    void answersOtherClientsInTime(Flood flood) throws Exception {
        ScriptedServer.Script script = exchange ->
                exchange.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        AtomicBoolean over = new AtomicBoolean();
        try (DeployedProxy proxy = new DeployedProxy(folder, DESCRIPTORS, script)) {
            ScriptedServer.daemon(() -> flood(proxy, flood, over));
            List<String> late = proxy.probe("other", BUDGET_MS, LATE_MS, PROBE_INTERVAL_MS, FLOOD_MS);
            over.set(true);
            proxy.assertUnharmed(late);
        } finally {
            over.set(true);
        }
    }

    /** Sends on one connection, and on the next one when the proxy closes it. */
    private static void flood(DeployedProxy proxy, Flood flood, AtomicBoolean over) {
        for (int number = 0; !over.get();) {
            try (Socket socket = proxy.connect()) {
                if (flood.reads) {
                    ScriptedServer.daemon(() -> skipToEnd(socket));
                }
                while (!over.get()) {
                    StringBuilder requests = new StringBuilder();
                    for (int i = 0; i < REQUESTS_A_WRITE; i++) {
                        requests.append(String.format(flood.request, number++));
                    }
                    DeployedProxy.write(socket, requests.toString());
                }
            } catch (IOException e) {
                // The proxy has closed the connection.
                Thread.yield();
            }
        }
    }

    private static void skipToEnd(Socket socket) {
        try {
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The connection was reset, or the test is over.
        }
    }
}
