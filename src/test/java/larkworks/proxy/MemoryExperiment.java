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
 * Issue 20's figures of memory, not a test, from the root after a build:
 * {@code java -cp CLASSES larkworks.proxy.MemoryExperiment N[,N...]}. One process of {@code run} with N
 * servers listed, alone and as a member among N proxies; prints its resident memory, the greatest so far,
 * and its heap after a collection, idle, after requests, and after the whole list has come some times anew.
 */
public final class MemoryExperiment {

    private static final int REQUESTS = 5_000;
    private static final int CHANGES = 20;

    /** A generation of the heap. */
    private static final Pattern USED = Pattern.compile("generation +total (\\d+)K, used (\\d+)K");

    private MemoryExperiment() { }

    /** Runs the experiment; arguments as above. */
    public static void main(String[] args) throws Exception {
        for (String n : args[0].split(",")) {
            measure(Integer.parseInt(n), false);
            measure(Integer.parseInt(n), true);
        }
        System.exit(0);  // the backend's server leaves threads that hold the process
    }

    private static void measure(int size, boolean members) throws Exception {
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
            bench.copies = Math.max(3, size);
            bench.extraConfig = members
                    ? LargeFleet.membership(size, 0, TestBench.HOST + ":" + TestBench.freePort()) : "";
            Path config = Files.writeString(folder.resolve("config.json"), bench.configJson(port,
                    LargeFleet.list(1, true, size, i -> address, i -> "in_service")));
            try (RunCommand run = new RunCommand("", config, folder, Map.of())) {
                bench.useProxyAt(port);
                StubServer.Message asked = bench.discovery.next();
                asked.reply(200, LargeFleet.list(2, true, size, i -> address, i -> "in_service"));
                asked = bench.discovery.next();
                TestBench.Client client = connect(port);
                Program.await(30, () -> "not ready", () -> status(client,
                        "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200);
                tell(size, members, "idle", run);
                for (int i = 0; i < REQUESTS; i++) {
                    if (status(client, "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: r" + i
                            + "\r\nX-Call-Class: look\r\nX-Budget-Ms: 5000\r\n\r\n") != 200) {
                        throw new IllegalStateException("request " + i + " was not served");
                    }
                }
                tell(size, members, REQUESTS + " requests", run);
                for (int i = 0; i < CHANGES; i++) {
                    asked.reply(200, LargeFleet.list(3 + i, true, size, at -> address, at -> "in_service"));
                    asked = bench.discovery.next();
                }
                tell(size, members, CHANGES + " whole lists", run);
            }
        }
        backend.stop(0);
    }

    private static TestBench.Client connect(int port) throws Exception {
        Socket[] socket = new Socket[1];
        Program.await(30, () -> "nobody listens", () -> {
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

    private static int status(TestBench.Client client, String call) {
        try {
            return client.send(call).status();
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void tell(int size, boolean members, String after, RunCommand run) throws Exception {
        System.out.printf("servers=%d members=%d after %s: resident=%d kB most=%d kB, heap after a "
                + "collection: %s%n", size, members ? size : 0, after, run.memoryKb("VmRSS"),
                run.memoryKb("VmHWM"), heap(run.process.pid()));
    }

    /** The heap's use as {@code jcmd} tells it, after the collection that {@code GC.run} asks for. */
    private static String heap(long pid) throws Exception {
        jcmd(pid, "GC.run");
        Matcher used = USED.matcher(jcmd(pid, "GC.heap_info"));
        long sumK = 0;
        long totalK = 0;
        while (used.find()) {
            totalK += Long.parseLong(used.group(1));
            sumK += Long.parseLong(used.group(2));
        }
        return sumK + " of " + totalK + " kB";
    }

    private static String jcmd(long pid, String command) throws Exception {
        Process process = new ProcessBuilder("jcmd", String.valueOf(pid), command).redirectErrorStream(true)
                .start();
        String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        process.waitFor();
        return said;
    }
}
