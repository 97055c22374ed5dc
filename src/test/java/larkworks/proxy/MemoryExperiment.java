package larkworks.proxy;

import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import larkworks.Program;

/**
 * Measures the memory of a proxy. This is not a test; run it from the root directory after a build with
 * {@code java -cp CLASSES larkworks.proxy.MemoryExperiment N[,N...]}. It starts one process, with the deploy
 * file's {@code run} command, with N servers listed, first on its own and then as one of N members. It prints
 * the resident memory, its peak so far, and the heap after a garbage collection: when the process is idle,
 * after requests, and after it has received the full list several times.
 */
public final class MemoryExperiment {

    private static final int REQUEST_COUNT = 5_000;
    private static final int FULL_LIST_COUNT = 20;

    /** The size and use of one generation of the heap, as {@code jcmd PID GC.heap_info} prints them. */
    private static final Pattern HEAP_GENERATION = Pattern.compile("generation +total (\\d+)K, used (\\d+)K");

    private MemoryExperiment() { }

    /** Runs the experiment; the class comment describes the arguments. */
    public static void main(String[] args) throws Exception {
        for (String serverCountText : args[0].split(",")) {
            measure(Integer.parseInt(serverCountText), false);
            measure(Integer.parseInt(serverCountText), true);
        }
        System.exit(0);  // the backend's server leaves threads that keep the process alive
    }

    private static void measure(int serverCount, boolean isMember) throws Exception {
        HttpServer backend = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        backend.setExecutor(Executors.newFixedThreadPool(4));
        backend.createContext("/", exchange -> {
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        backend.start();
        String address = "127.0.0.1:" + backend.getAddress().getPort();
        Path folder = Files.createTempDirectory("memory");
        try (TestBench bench = new TestBench(0)) {
            int port = TestBench.freePort();
            bench.copies = Math.max(3, serverCount);
            bench.extraConfig = isMember
                    ? LargeFleet.membership(serverCount, 0, TestBench.HOST + ":" + TestBench.freePort()) : "";
            Path config = Files.writeString(folder.resolve("config.json"), bench.configJson(port,
                    LargeFleet.list(1, true, serverCount, i -> address, i -> "in_service")));
            try (ProxyProcess proxyProcess = new ProxyProcess("", config, folder, Map.of())) {
                bench.useProxyAt(port);
                StubServer.Message discoveryCall = bench.discovery.next();
                discoveryCall.reply(200,
                        LargeFleet.list(2, true, serverCount, i -> address, i -> "in_service"));
                discoveryCall = bench.discovery.next();
                TestBench.Client client = awaitConnection(port);
                Program.await(30, () -> "the proxy is not ready", () -> requestStatus(client,
                        "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200);
                printMemory(serverCount, isMember, "idle", proxyProcess);
                for (int i = 0; i < REQUEST_COUNT; i++) {
                    if (requestStatus(client, "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: r" + i
                            + "\r\nX-Call-Class: look\r\nX-Budget-Ms: 5000\r\n\r\n") != 200) {
                        throw new IllegalStateException("request " + i + " was not served");
                    }
                }
                printMemory(serverCount, isMember, "after " + REQUEST_COUNT + " requests", proxyProcess);
                for (int i = 0; i < FULL_LIST_COUNT; i++) {
                    discoveryCall.reply(200, LargeFleet.list(3 + i, true, serverCount, server -> address,
                            server -> "in_service"));
                    discoveryCall = bench.discovery.next();
                }
                printMemory(serverCount, isMember, "after " + FULL_LIST_COUNT + " full lists", proxyProcess);
            }
        }
        backend.stop(0);
    }

    private static TestBench.Client awaitConnection(int port) throws Exception {
        Socket[] socket = new Socket[1];
        Program.await(30, () -> "the proxy does not listen", () -> {
            try {
                socket[0] = new Socket(InetAddress.getByName(TestBench.HOST), port);
                socket[0].setSoTimeout(30_000);
                return true;
            } catch (java.io.IOException e) {
                return false;
            }
        });
        return new TestBench.Client(socket[0], socket[0].getInputStream());
    }

    private static int requestStatus(TestBench.Client client, String request) {
        try {
            return client.send(request).status();
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void printMemory(int serverCount, boolean isMember, String stage,
            ProxyProcess proxyProcess) throws Exception {
        System.out.printf("servers=%d members=%d %s: resident=%d kB peak=%d kB, heap after a "
                + "collection: %s%n", serverCount, isMember ? serverCount : 0, stage,
                proxyProcess.memoryKb("VmRSS"), proxyProcess.memoryKb("VmHWM"),
                heapUsage(proxyProcess.process.pid()));
    }

    /** Returns the used and total size of the heap after a garbage collection. */
    private static String heapUsage(long pid) throws Exception {
        jcmd(pid, "GC.run");
        Matcher generation = HEAP_GENERATION.matcher(jcmd(pid, "GC.heap_info"));
        long usedKb = 0;
        long totalKb = 0;
        while (generation.find()) {
            totalKb += Long.parseLong(generation.group(1));
            usedKb += Long.parseLong(generation.group(2));
        }
        return usedKb + " of " + totalKb + " kB";
    }

    private static String jcmd(long pid, String command) throws Exception {
        Process process = new ProcessBuilder("jcmd", String.valueOf(pid), command).redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        process.waitFor();
        return output;
    }
}
