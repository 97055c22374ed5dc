package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import larkworks.DeployedJvm;

/** A proxy process with the deployed heap, and scripted servers behind it. */
final class DeployedProxy implements AutoCloseable {

    /** The least memory of a deployment, 32 MB, and what a JVM may be told on top. */
    private static final long LEAST_MEMORY_KB = (32 + 64) << 10;
    private static final int SERVERS = 8;
    private static final int SERVER_BUFFER_BYTES = 1 << 13;
    private static final int CLIENT_BUFFER_BYTES = 1 << 13;
    private static final int CLIENT_TIMEOUT_MS = 6_000;

    private final Path folder;
    private final int port = TestBench.freePort();
    private final TestBench bench = new TestBench(0);
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final Process process;

    /** Starts the process and waits until it is ready. */
    DeployedProxy(Path folder, int descriptors, ScriptedServer.Script script) throws Exception {
        this.folder = folder;
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ScriptedServer(script, SERVER_BUFFER_BYTES));
            entries.add(TestBench.entry("b" + i, servers.get(i).address(), "in_service"));
        }
        bench.maxSockets = descriptors;
        String list = TestBench.listJson(1, true, entries.toArray(String[]::new));
        bench.answerDiscoveryWith(list);
        Path config = Files.writeString(folder.resolve("config.json"), bench.configJson(port, list));
        List<String> command = new ArrayList<>(DeployedJvm.command());
        command.add("proxy");
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        awaitReady();
    }

    private void awaitReady() throws InterruptedException {
        long timeoutAtNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_S);
        while (System.nanoTime() < timeoutAtNs) {
            try (Socket socket = connect()) {
                write(socket, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                String head = ScriptedServer.readHead(socket.getInputStream());
                if (head != null && head.startsWith("HTTP/1.1 200")) {
                    return;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            Thread.sleep(20);
        }
        throw new AssertionError("the proxy is not ready");
    }

    /** Opens a client's connection with a small receive buffer. */
    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(CLIENT_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getByName(TestBench.HOST), port),
                CLIENT_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(CLIENT_TIMEOUT_MS);
        return socket;
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns a request's head: its first line, the protocol's fields, and further fields. */
    static String head(String method, String requestClass, String id, int budgetMs, String fields) {
        return method + " /" + requestClass + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: " + requestClass + "\r\nX-Budget-Ms: " + budgetMs + "\r\n" + fields
                + "\r\n";
    }

    /**
     * Sends small requests, one after another, each on a new connection, for some time. Returns those that
     * were not answered by their due time.
     *
     * @param lateMs an answer that comes later than this after its request's time is late
     */
    List<String> probe(String idPrefix, int budgetMs, int lateMs, long intervalMs, long durationMs)
            throws InterruptedException {
        List<String> late = new ArrayList<>();
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
        for (int i = 0; System.nanoTime() < endNs; i++) {
            long sentNs = System.nanoTime();
            String outcome;
            try (Socket socket = connect()) {
                sentNs = System.nanoTime();
                write(socket, head("GET", "look", idPrefix + i, budgetMs, ""));
                String head = ScriptedServer.readHead(socket.getInputStream());
                outcome = head == null ? "closed" : head.split("\r\n")[0];
            } catch (IOException e) {
                outcome = e.toString();
            }
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNs);
            if (!outcome.startsWith("HTTP/1.1 ") || tookMs > budgetMs + lateMs) {
                late.add(i + ": " + outcome + " after " + tookMs + " ms");
            }
            Thread.sleep(intervalMs);
        }
        return late;
    }

    /**
     * Checks that the process lives within the least memory, has logged no error, and that no probe was
     * answered late.
     */
    void assertUnharmed(List<String> lateProbes) throws IOException {
        List<String> errors = errorsLogged();
        assertTrue(process.isAlive(), "the process ended; " + errors);
        long peakKb = peakKb();
        System.out.println("peak of resident memory: " + peakKb + " kB");
        assertTrue(peakKb <= LEAST_MEMORY_KB, "the process held " + peakKb + " kB");
        assertEquals(List.of(), errors);
        assertEquals(List.of(), lateProbes);
    }

    /** Returns the peak of the resident memory so far, in kB. */
    private long peakKb() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).sum();
    }

    /** Returns the first lines of the log that tell of errors. */
    private List<String> errorsLogged() throws IOException {
        return Files.readAllLines(folder.resolve("log")).stream()
                .filter(line -> line.contains("OutOfMemory") || line.contains("\"level\":\"ERROR\"")
                        || line.contains("Exception in thread")).limit(5).toList();
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly().onExit().join();
        bench.close();
        for (ScriptedServer server : servers) {
            server.close();
        }
    }
}
