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

    private static final int REQUESTS = 5_000;
    private static final int CHANGES = 20;

    /** The size and use of one generation of the heap, as {@code jcmd PID GC.heap_info} prints them. */
    private static final Pattern USED = Pattern.compile("generation +total (\\d+)K, used (\\d+)K");

    private MemoryExperiment() { }

    /** Runs the experiment; the class comment describes the arguments. */
    public static void main(String[] args) throws Exception {
        for (String n : args[0].split(",")) {
            measure(Integer.parseInt(n), false);
            measure(Integer.parseInt(n), true);
        }
        System.exit(0);  // the backend's server leaves threads that keep the process alive
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
        try (Bench bench = new Bench(0)) {
            int port = Bench.freePort();
            bench.copies = Math.max(3, size);
            bench.more = members ? LargeFleet.membership(size, 0, Bench.HOST + ":" + Bench.freePort()) : "";
            Path config = Files.writeString(folder.resolve("config.json"), bench.config(port,
                    LargeFleet.list(1, true, size, i -> address, i -> "in_service")));
            try (RunCommand run = new RunCommand("", config, folder, Map.of())) {
                bench.at(port);
                Peer.Message asked = bench.discovery.next();
                asked.reply(200, LargeFleet.list(2, true, size, i -> address, i -> "in_service"));
                asked = bench.discovery.next();
                Bench.Client client = connect(port);
                Program.await(30, () -> "the proxy is not ready", () -> status(client,
                        "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200);
                tell(size, members, "idle", run);
                for (int i = 0; i < REQUESTS; i++) {
                    if (status(client, "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: r" + i
                            + "\r\nX-Call-Class: look\r\nX-Budget-Ms: 5000\r\n\r\n") != 200) {
                        throw new IllegalStateException("request " + i + " was not served");
                    }
                }
                tell(size, members, "after " + REQUESTS + " requests", run);
                for (int i = 0; i < CHANGES; i++) {
                    asked.reply(200, LargeFleet.list(3 + i, true, size, at -> address, at -> "in_service"));
                    asked = bench.discovery.next();
                }
                tell(size, members, "after " + CHANGES + " full lists", run);
            }
        }
        backend.stop(0);
    }

    private static Bench.Client connect(int port) throws Exception {
        Socket[] socket = new Socket[1];
        Program.await(30, () -> "the proxy does not listen", () -> {
            try {
                socket[0] = new Socket(InetAddress.getByName(Bench.HOST), port);
                socket[0].setSoTimeout(30_000);
                return true;
            } catch (java.io.IOException e) {
                return false;
            }
        });
        return new Bench.Client(socket[0], socket[0].getInputStream());
    }

    private static int status(Bench.Client client, String call) {
        try {
            return client.send(call).status();
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void tell(int size, boolean members, String after, RunCommand run) throws Exception {
        System.out.printf("servers=%d members=%d %s: resident=%d kB peak=%d kB, heap after a "
                + "collection: %s%n", size, members ? size : 0, after, run.memoryKb("VmRSS"),
                run.memoryKb("VmHWM"), heap(run.process.pid()));
    }

    /** Returns the used and total size of the heap after a garbage collection. */
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
