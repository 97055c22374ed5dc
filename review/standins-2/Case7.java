import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that send many requests at once, take the answers at 64 kB a second, and are cut off for 6 s. The proxy must not
 * end, and the requests of other clients get their answers.
 */
public final class Case7 {

    private static final int BACKENDS = 8;
    private static final int DESCRIPTORS = 1_024;
    /** A third of the descriptors, less what the other clients need. */
    private static final int SLOW_CLIENTS = DESCRIPTORS / 3 - 12;
    private static final int OTHER_CLIENTS = 12;
    private static final int AHEAD = 60;
    private static final int ANSWER_BYTES = 16_000;
    private static final int BYTES_PER_S = 64_000;
    private static final int READ_BYTES = 4_000;
    private static final int BEFORE_MS = 3_000;
    private static final int CUT_MS = 6_000;
    private static final int AFTER_MS = 20_000;
    private static final String BODY = "x".repeat(ANSWER_BYTES);
    private static final String OTHER_IDS = "5ca1";

    private final Lab lab;
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicLong bytes = new AtomicLong();
    private volatile long cutUntilMs;
    private volatile boolean over;

    private Case7(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) throws Exception {
        Lab.main(args, lab -> new Case7(lab).run());
    }

    private List<String> run() throws Exception {
        Setup setup = new Setup();
        setup.sockets = DESCRIPTORS;
        setup.deadlineMs = 3_000;
        setup.aimMs = 1_000;
        for (int i = 0; i < BACKENDS; i++) {
            setup.known("s-" + i, startBackend());
        }
        ListStub list = new ListStub(setup.entries);
        setup.discovery = '"' + list.address() + '"';
        String listen = Lab.HOST + ":" + lab.freePort();
        Path config = lab.temp.resolve("config.json");
        setup.write(config, "n1", listen);
        Process proxy = lab.startProxy("n1", config, listen, list.address(), null);
        lab.awaitReady(listen);
        Load others = new Load(lab, listen, OTHER_CLIENTS, 3_000);
        Thread.sleep(3_000);
        lab.say("script", "before: other clients: " + others);
        watch(proxy, BEFORE_MS, others);
        if (lab.trouble) {
            cutUntilMs = lab.nowMs() + CUT_MS;
            lab.say("script", "clients send many requests at once, and are cut off before the answers come");
        }
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            Lab.daemon(() -> {
                while (!over && proxy.isAlive()) {
                    client(listen);
                }
            });
        }
        watch(proxy, CUT_MS + AFTER_MS, others);
        over = true;
        others.end();
        List<String> result = new ArrayList<>(others.lost);
        if (!proxy.isAlive()) {
            result.add(0, "the proxy has crashed: its process ended with status " + proxy.exitValue());
        }
        lab.sayLog("n1", 20);
        return result;
    }

    private void watch(Process proxy, int ms, Load others) throws InterruptedException {
        for (long endMs = lab.nowMs() + ms; lab.nowMs() < endMs && proxy.isAlive();) {
            Thread.sleep(1_000);
            lab.say("script", "slow clients: " + answered + " answers, " + bytes.get() / 1_000 + " kB, connections that ended "
                    + broken + "; other clients: " + others + memory(proxy));
        }
    }

    /** The resident memory of a process, now and at most; "" if it has ended. */
    private static String memory(Process process) {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmRSS") || line.startsWith("VmHWM"))
                    .map(line -> "; " + line.replaceAll("\\s+", " ")).reduce("", String::concat);
        } catch (IOException e) {
            return "";
        }
    }

    /** Sends many requests at once on a new connection, and takes the answers slowly. */
    private void client(String listen) throws InterruptedException {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(8 << 10);
            socket.connect(Lab.address(listen));
            socket.setSoTimeout(15_000);
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < AHEAD; i++) {
                requests.append("GET /kurs-les HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: ")
                        .append(String.format("%016x", 0x9b1f_0000_0000_0000L + ids.incrementAndGet()))
                        .append("\r\nX-Call-Class: kurs-les\r\nX-Budget-Ms: 3000\r\n\r\n");
            }
            socket.getOutputStream().write(Lab.bytes(requests.toString()));
            InputStream in = new BufferedInputStream(new SlowStream(socket.getInputStream()), READ_BYTES);
            for (int i = 0; i < AHEAD; i++) {
                Lab.Message answer = Lab.read(in);
                if (answer == null) {
                    break;
                }
                answered.incrementAndGet();
                bytes.addAndGet(answer.body().length);
                if (answer.closes()) {
                    break;
                }
            }
        } catch (IOException e) {
            broken.incrementAndGet();
            Thread.sleep(200);
        }
    }

    /** A stream that is read at 64 kB a second, and not at all while its client is cut off. */
    private final class SlowStream extends InputStream {
        private final InputStream in;

        SlowStream(InputStream in) {
            this.in = in;
        }

        @Override
        public int read() {
            throw new UnsupportedOperationException();
        }

        @Override
        public int read(byte[] into, int offset, int length) throws IOException {
            try {
                Thread.sleep(Math.max(0, cutUntilMs - lab.nowMs()));
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            int size = in.read(into, offset, Math.min(length, READ_BYTES));
            try {
                Thread.sleep(Math.max(0, size) * 1_000L / BYTES_PER_S);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            return size;
        }
    }

    private String startBackend() throws IOException {
        ServerSocket listener = new ServerSocket(0, 512, InetAddress.getByName(Lab.HOST));
        Lab.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                Lab.daemon(() -> serve(socket));
            }
        });
        return Lab.HOST + ":" + listener.getLocalPort();
    }

    private static void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Lab.Message call = Lab.read(in); call != null; call = Lab.read(in)) {
                String id = call.header("X-Call-Id");
                String body = id.isEmpty() ? "inflight=0,queue=0,util=0.1" : id.startsWith(OTHER_IDS) ? "ok" : BODY;
                socket.getOutputStream().write(Lab.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body));
            }
        }
    }
}
