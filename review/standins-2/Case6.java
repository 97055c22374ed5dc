import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Idle clients fill the descriptors while others take large answers at 64 kB a second. Each answer that has begun has to
 * come whole, as its backend gave all of it.
 */
public final class Case6 {

    private static final int BACKENDS = 4;
    private static final int DESCRIPTORS = 256;
    private static final int SLOW_CLIENTS = 16;
    private static final int IDLE_CLIENTS = 300;
    private static final int IDLE_A_SECOND = 25;
    /** An idle client whose connection was closed comes back so much later. */
    private static final int BACK_MS = 3_000;
    private static final int ANSWER_BYTES = 600_000;
    private static final int BYTES_PER_S = 64_000;
    private static final int READ_BYTES = 4_000;
    private static final int RUN_MS = 50_000;
    private static final byte[] BODY = Lab.bytes("0123456789abcdef".repeat(ANSWER_BYTES / 16));

    private final Lab lab;
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger idle = new AtomicInteger();
    private final List<String> broken = Collections.synchronizedList(new ArrayList<>());
    private volatile long endMs;

    private Case6(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) throws Exception {
        Lab.main(args, lab -> new Case6(lab).run());
    }

    private List<String> run() throws Exception {
        Setup setup = new Setup();
        setup.sockets = DESCRIPTORS;
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
        endMs = lab.nowMs() + RUN_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            clients.add(Lab.daemon(() -> {
                while (lab.nowMs() < endMs) {
                    takeSlowly(listen);
                }
            }));
            Thread.sleep(200);
        }
        Thread.sleep(6_000);
        if (lab.trouble) {
            lab.say("script", "idle clients come, " + IDLE_A_SECOND + " a second, up to " + IDLE_CLIENTS);
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                Lab.daemon(() -> {
                    while (lab.nowMs() < endMs) {
                        rest(listen);
                    }
                });
                Thread.sleep(1_000 / IDLE_A_SECOND);
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        lab.say("script", "large answers that came whole " + whole + ", requests refused, failed or not taken " + refused
                + ", requests of idle clients " + idle);
        if (!proxy.isAlive()) {
            broken.add("the proxy has ended");
        }
        if (whole.get() < SLOW_CLIENTS) {
            throw new AssertionError("only " + whole + " large answers came whole");
        }
        return broken;
    }

    private String request() {
        return "GET /kurs-les HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: "
                + String.format("%016x", 0x9b1f_0000_0000_0000L + ids.incrementAndGet())
                + "\r\nX-Call-Class: kurs-les\r\nX-Budget-Ms: 820\r\n";
    }

    /** Makes one request for a small answer, then keeps the connection until the proxy closes it. */
    private void rest(String listen) throws InterruptedException {
        try (Socket socket = new Socket()) {
            socket.connect(Lab.address(listen));
            socket.setSoTimeout((int) Math.max(1, endMs - lab.nowMs()));
            socket.getOutputStream().write(Lab.bytes(request().replace("/kurs-les", "/kurs-les/small") + "\r\n"));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            if (Lab.read(in) != null) {
                idle.incrementAndGet();
                in.read();
            }
        } catch (IOException e) {
            // New connections may be shut unread in a crowd.
        }
        Thread.sleep(BACK_MS);
    }

    /** Requests large answers on one connection, one after another, and takes them slowly. */
    private void takeSlowly(String listen) throws InterruptedException {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(16 << 10);
            socket.connect(Lab.address(listen));
            socket.setSoTimeout(5_000);
            InputStream in = socket.getInputStream();
            while (lab.nowMs() < endMs) {
                String request = request();
                String id = request.replaceAll("(?s).*X-Call-Id: ([0-9a-f]+).*", "$1");
                socket.getOutputStream().write(Lab.bytes(request + "\r\n"));
                byte[] part = new byte[READ_BYTES];
                int size = in.read(part, 0, READ_BYTES);
                String text = size < 0 ? "" : new String(part, 0, size, StandardCharsets.ISO_8859_1);
                if (!text.startsWith("HTTP/1.1 200") || !text.contains("\r\n\r\n")) {
                    refused.incrementAndGet();
                    return;
                }
                long left = ANSWER_BYTES - (size - text.indexOf("\r\n\r\n") - 4);
                try {
                    while (left > 0) {
                        Thread.sleep(size * 1_000L / BYTES_PER_S);
                        size = in.read(part, 0, (int) Math.min(left, READ_BYTES));
                        if (size < 0) {
                            throw new IOException("the connection ended");
                        }
                        left -= size;
                    }
                    whole.incrementAndGet();
                } catch (IOException e) {
                    String what = "answer to " + id + " was cut off, " + left + " of " + ANSWER_BYTES + " bytes missing: " + e;
                    lab.say("client", what);
                    broken.add(what);
                    return;
                }
            }
        } catch (IOException e) {
            refused.incrementAndGet();
            Thread.sleep(200);
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

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Lab.Message call = Lab.read(in); call != null; call = Lab.read(in)) {
                byte[] body = call.header("X-Call-Id").isEmpty() ? Lab.bytes("inflight=0,queue=0,util=0.1")
                        : call.line().contains("small") ? Lab.bytes("ok") : BODY;
                socket.getOutputStream().write(Lab.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
                socket.getOutputStream().write(body);
            }
        }
    }
}
