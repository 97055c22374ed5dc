import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send requests of the class that may be repeated, some 40 a second for 12 of them. */
final class Load {

    private final Lab lab;
    private final String listen;
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean ended;

    Load(Lab lab, String listen, int count) {
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
        try (Socket socket = new Socket()) {
            socket.connect(Lab.address(listen));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(5_000);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (!ended) {
                Thread.sleep(random.nextInt(150, 350));
                String id = String.format("%016x", 0x5ca1_0000_0000_0000L + ids.incrementAndGet());
                socket.getOutputStream().write(Lab.bytes("GET /kurs-les HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id
                        + "\r\nX-Call-Class: kurs-les\r\nX-Budget-Ms: 820\r\n\r\n"));
                Lab.Message answer = Lab.read(in);
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
            lab.say("client", e.toString());
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
