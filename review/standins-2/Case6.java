import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Backends that send some answers twice, the second one some milliseconds after the first and in small pieces. Each
 * 200 answer that a client gets has to be one that a backend made for that client's request, and no alert may run twice.
 */
public final class Case6 {

    private static final int BACKENDS = 3;
    private static final int CLIENTS = 12;
    private static final int RUN_MS = 60_000;
    /** One answer in so many is sent twice. */
    private static final int TWICE_IN = 10;
    /** One request in so many finds a queue full and is turned away. */
    private static final int FULL_IN = 5;
    private static final int SECOND_AFTER_MS = 8;
    private static final int PIECES = 5;
    private static final int PIECE_GAP_MS = 10;

    private final Lab lab;
    /** The bodies that backends made, by the id of the request. */
    private final Map<String, Set<String>> made = new ConcurrentHashMap<>();
    /** Where each alert was run, by the id of the request. */
    private final Map<String, List<String>> ran = new ConcurrentHashMap<>();
    private final AtomicInteger twice = new AtomicInteger();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();
    private final List<String> broken = Collections.synchronizedList(new ArrayList<>());

    private Case6(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) throws Exception {
        Lab.main(args, lab -> new Case6(lab).run());
    }

    private List<String> run() throws Exception {
        Setup setup = new Setup();
        for (int i = 0; i < BACKENDS; i++) {
            String name = "s-" + i;
            setup.known(name, startBackend(name));
        }
        String list = new ListStub(setup.entries).address();
        setup.discovery = '"' + list + '"';
        String listen = Lab.HOST + ":" + lab.freePort();
        Path config = lab.temp.resolve("config.json");
        setup.write(config, "n1", listen);
        Process proxy = lab.startProxy("n1", config, listen, list, null);
        lab.awaitReady(listen);
        long endMs = lab.nowMs() + RUN_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Lab.daemon(() -> {
                while (lab.nowMs() < endMs) {
                    client(listen, endMs);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        if (!proxy.isAlive()) {
            broken.add("the proxy has ended");
        }
        lab.say("script", "served " + served + ", refused or failed " + notServed + ", answers sent twice " + twice);
        if (served.get() < 500) {
            throw new AssertionError("only " + served + " requests were served");
        }
        return broken;
    }

    /** Sends requests one at a time on one connection until it is closed. */
    private void client(String listen, long endMs) throws IOException, InterruptedException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        try (Socket socket = new Socket()) {
            socket.connect(Lab.address(listen));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(5_000);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (lab.nowMs() < endMs) {
                Thread.sleep(random.nextInt(100, 300));
                boolean alert = random.nextBoolean();
                String id = String.format("%016x", 0x9b1f_0000_0000_0000L + ids.incrementAndGet());
                made.put(id, ConcurrentHashMap.newKeySet());
                String fields = " HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: "
                        + (alert ? "varsel-ny" : "kurs-les") + "\r\nX-Budget-Ms: 820\r\n";
                socket.getOutputStream().write(Lab.bytes(alert
                        ? "POST /varsel-ny" + fields + "Content-Length: 5\r\n\r\nalert" : "GET /kurs-les" + fields + "\r\n"));
                Lab.Message answer = Lab.read(in);
                if (answer == null) {
                    return;
                }
                check(id, alert, answer);
                if (answer.closes()) {
                    return;
                }
            }
        }
    }

    private void check(String id, boolean alert, Lab.Message answer) {
        if (answer.status() != 200) {
            notServed.incrementAndGet();
            return;
        }
        served.incrementAndGet();
        if (!made.get(id).contains(answer.text())) {
            String text = (alert ? "alert " : "request ") + id + " was answered 200 with '" + answer.text()
                    + "'; backends made for it: " + made.get(id);
            lab.say("client", text);
            broken.add(text);
        }
    }

    private String startBackend(String name) throws IOException {
        ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName(Lab.HOST));
        Lab.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                Lab.daemon(() -> serve(name, socket));
            }
        });
        return Lab.HOST + ":" + listener.getLocalPort();
    }

    private void serve(String name, Socket socket) throws IOException, InterruptedException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Lab.Message call = Lab.read(in); call != null; call = Lab.read(in)) {
                String id = call.header("X-Call-Id");
                if (id.isEmpty()) {
                    out.write(answer("inflight=0,queue=0,util=0.1"));
                    continue;
                }
                byte[] answer;
                if (random.nextInt(FULL_IN) == 0) {
                    answer = Lab.bytes("HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Rejected: 1\r\n"
                            + "X-Load-Report: inflight=1,queue=9,util=0.90\r\n\r\n");
                } else {
                    if (call.line().startsWith("POST")) {
                        run(id, name);
                    }
                    Thread.sleep(random.nextInt(15, 40));
                    String body = "answer to " + id + " by " + name;
                    made.get(id).add(body);
                    answer = answer(body);
                }
                synchronized (out) {
                    out.write(answer);
                }
                if (lab.trouble && random.nextInt(TWICE_IN) == 0) {
                    twice.incrementAndGet();
                    lab.say(name, "sends its answer to " + id + " a second time");
                    Lab.daemon(() -> writeAgain(out, answer));
                }
            }
        }
    }

    /** Sends an answer a second time, some milliseconds late and in pieces, as a slow peer writes it. */
    private static void writeAgain(OutputStream out, byte[] answer) throws IOException, InterruptedException {
        Thread.sleep(SECOND_AFTER_MS);
        // Whole before anything else: answers are not mixed on a connection.
        synchronized (out) {
            for (int i = 0; i < PIECES; i++) {
                int from = answer.length * i / PIECES;
                out.write(answer, from, answer.length * (i + 1) / PIECES - from);
                Thread.sleep(PIECE_GAP_MS);
            }
        }
    }

    private void run(String id, String name) {
        List<String> places = ran.computeIfAbsent(id, any -> Collections.synchronizedList(new ArrayList<>()));
        places.add(name);
        if (places.size() > 1) {
            String text = "alert " + id + " was run twice, at " + places;
            lab.say(name, text);
            broken.add(text);
        }
    }

    private static byte[] answer(String body) {
        return Lab.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length()
                + "\r\nX-Load-Report: inflight=0,queue=0,util=0.10\r\n\r\n" + body);
    }
}
