import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that leave before their answer and send the same request, with the same id, once more. The class may be
 * repeated within one zone, whose backends discard repeats; so no request may take effect in two zones.
 */
public final class Case10 {

    private static final int ZONES = 2;
    private static final int BACKENDS_A_ZONE = 2;
    private static final int CLIENTS = 4;
    private static final int RUN_MS = 30_000;
    private static final int WORK_MS = 250;
    private static final int LEAVES_AFTER_MS = 100;

    private final Lab lab;
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger left = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    /** The zones in which each request took effect. */
    private final Map<String, Set<String>> effects = new ConcurrentHashMap<>();

    private Case10(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) throws Exception {
        Lab.main(args, lab -> new Case10(lab).run());
    }

    private List<String> run() throws Exception {
        Setup setup = new Setup();
        for (int zone = 0; zone < ZONES; zone++) {
            for (int i = 0; i < BACKENDS_A_ZONE; i++) {
                String hall = "hall-" + (char) ('a' + zone);
                String name = "s-" + (char) ('a' + zone) + i;
                setup.entries.add(Setup.entry(name, startBackend(name, hall), "in_service", 0)
                        .replace("hall-a", hall).replace("\"group\":1", "\"group\":" + (zone + 1)));
            }
        }
        ListStub list = new ListStub(setup.entries);
        setup.discovery = '"' + list.address() + '"';
        String listen = Lab.HOST + ":" + lab.freePort();
        Path config = lab.temp.resolve("config.json");
        setup.write(config, "n1", listen);
        Files.writeString(config, Files.readString(config).replace("\"dcs\":[\"hall-a\"]", "\"dcs\":[\"hall-a\",\"hall-b\"]")
                .replace("\"effect\":\"side_effect\",\"group\":\"all\"", "\"effect\":\"token\",\"group\":\"zone\"")
                .replace("\"dedupWindowUs\":0", "\"dedupWindowUs\":5000000"));
        Process proxy = lab.startProxy("n1", config, listen, list.address(), null);
        lab.awaitReady(listen);
        long endMs = lab.nowMs() + RUN_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Lab.daemon(() -> {
                while (lab.nowMs() < endMs) {
                    client(listen);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(1_000);
        List<String> broken = new ArrayList<>();
        effects.forEach((id, zones) -> {
            if (zones.size() > 1) {
                broken.add("request " + id + " took effect in " + zones);
            }
        });
        lab.say("script", "requests " + effects.size() + ", clients that left " + left + ", served " + served
                + ", refused or failed " + other);
        if (!proxy.isAlive()) {
            throw new AssertionError("the proxy has ended");
        }
        return broken;
    }

    private void client(String listen) throws InterruptedException {
        Thread.sleep(ThreadLocalRandom.current().nextInt(50, 250));
        String id = String.format("%016x", 0x9b1f_0000_0000_0000L + ids.incrementAndGet());
        String request = "POST /varsel-ny HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: varsel-ny\r\nX-Budget-Ms: 820\r\nIdempotency-Key: k" + id
                + "\r\nContent-Length: 5\r\n\r\nalert";
        try {
            if (lab.trouble && ThreadLocalRandom.current().nextInt(4) == 0) {
                try (Socket socket = new Socket()) {
                    socket.connect(Lab.address(listen));
                    socket.getOutputStream().write(Lab.bytes(request));
                    Thread.sleep(LEAVES_AFTER_MS);
                }
                left.incrementAndGet();
                lab.say("client", id + ": leaves before its answer, sends its request once more");
                Thread.sleep(20);
            }
            try (Socket socket = new Socket()) {
                socket.connect(Lab.address(listen));
                socket.setSoTimeout(2_000);
                socket.getOutputStream().write(Lab.bytes(request));
                Lab.Message answer = Lab.read(new BufferedInputStream(socket.getInputStream()));
                (answer != null && answer.status() == 200 ? served : other).incrementAndGet();
            }
        } catch (IOException e) {
            other.incrementAndGet();
        }
    }

    private String startBackend(String name, String zone) throws IOException {
        ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName(Lab.HOST));
        Lab.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                Lab.daemon(() -> serve(name, zone, socket));
            }
        });
        return Lab.HOST + ":" + listener.getLocalPort();
    }

    private void serve(String name, String zone, Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Lab.Message call = Lab.read(in); call != null; call = Lab.read(in)) {
                String id = call.header("X-Call-Id");
                String body = id.isEmpty() ? "inflight=0,queue=0,util=0.1" : "done";
                if (!id.isEmpty()) {
                    boolean fresh = effects.computeIfAbsent(id, any -> ConcurrentHashMap.newKeySet()).add(zone);
                    lab.say(name, id + (fresh ? " takes effect in " : " is a repeat in ") + zone);
                    Thread.sleep(WORK_MS);
                }
                out.write(Lab.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length()
                        + "\r\nX-Load-Report: inflight=0,queue=0,util=0.10\r\n\r\n" + body));
            }
        }
    }
}
