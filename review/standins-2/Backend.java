import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A backend that serves each request after some milliseconds, or turns each away as its queue is full. */
final class Backend {

    /** A request as it came: its id, when its first byte came, and whether it is served. */
    record Taken(String id, long atMs, boolean served) { }

    final String name;
    final List<Taken> taken = new CopyOnWriteArrayList<>();
    volatile boolean full;
    private final Lab lab;
    private final ServerSocket listener;

    Backend(Lab lab, String name) throws IOException {
        this.lab = lab;
        this.name = name;
        listener = new ServerSocket(0, 256, InetAddress.getByName(Lab.HOST));
        Lab.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                Lab.daemon(() -> serve(socket));
            }
        });
    }

    String address() {
        return Lab.HOST + ":" + listener.getLocalPort();
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                in.mark(1);
                if (in.read() < 0) {
                    return;
                }
                long atMs = lab.nowMs();
                in.reset();
                Lab.Message call = Lab.read(in);
                String id = call.header("X-Call-Id");
                if (id.isEmpty()) {
                    out.write(answer("200 OK", "", "inflight=0,queue=0,util=0.1"));
                } else if (full) {
                    taken.add(new Taken(id, atMs, false));
                    out.write(answer("503 Full", "X-Rejected: 1\r\n", ""));
                } else {
                    taken.add(new Taken(id, atMs, true));
                    Thread.sleep(25);
                    out.write(answer("200 OK", "X-Load-Report: inflight=0,queue=0,util=0.10\r\n",
                            "answer to " + id + " by " + name));
                }
            }
        }
    }

    private static byte[] answer(String status, String fields, String body) {
        return Lab.bytes("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }
}
