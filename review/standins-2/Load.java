import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send requests of the class that may be repeated, some 40 a second for 12 of them. */
final class Load {

    /** An answer may come half a second after the request's time, and 50 ms later on sockets. */
    private static final int ANSWER_SLACK_MS = 550;

    private final Lab lab;
    private final String listen;
    private final int budgetMs;
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean ended;
    /** Requests that were not answered in their time and half a second, or whose connection ended without an answer. */
    final List<String> lost = Collections.synchronizedList(new ArrayList<>());

    Load(Lab lab, String listen, int count) {
        this(lab, listen, count, 820);
    }

    /** Clients that give each request so much time. */
    Load(Lab lab, String listen, int count, int budgetMs) {
        this.budgetMs = budgetMs;
        this.lab = lab;
        this.listen = listen;
        for (int i = 0; i < count; i++) {
            clients.add(Lab.daemon(() -> {
                while (!ended) {
                    connection();
                }
            }));
        }
    }

    private void connection() throws InterruptedException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String sent = null;
        try (Socket socket = new Socket()) {
            socket.connect(Lab.address(listen));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(budgetMs + ANSWER_SLACK_MS);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (!ended) {
                Thread.sleep(random.nextInt(150, 350));
                String id = String.format("%016x", 0x5ca1_0000_0000_0000L + ids.incrementAndGet());
                socket.getOutputStream().write(Lab.bytes("GET /kurs-les HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id
                        + "\r\nX-Call-Class: kurs-les\r\nX-Budget-Ms: " + budgetMs + "\r\n\r\n"));
                sent = id;
                Lab.Message answer = Lab.read(in);
                sent = null;
                if (answer == null) {
                    return;
                }
                (answer.status() == 200 ? served : notServed).incrementAndGet();
                if (answer.closes()) {
                    return;
                }
            }
        } catch (IOException e) {
            notServed.incrementAndGet();
            lab.say("client", (sent == null ? "" : sent + ": ") + e);
            if (sent != null) {
                lost.add("request " + sent + " was sent and got no answer: " + e);
            }
            Thread.sleep(100);
        }
    }

    void end() throws InterruptedException {
        ended = true;
        for (Thread client : clients) {
            client.join();
        }
    }

    @Override
    public String toString() {
        return "served " + served + ", not served " + notServed;
    }
}
