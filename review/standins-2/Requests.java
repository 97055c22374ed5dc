import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A client that sends requests one after another. */
final class Requests {

    /** What became of some requests; attempts are those that backends saw. */
    record Result(int served, int refused, int failed, int mostAttempts) { }

    private final Lab lab;
    private final String listen;
    private int ids;

    Requests(Lab lab, String listen) {
        this.lab = lab;
        this.listen = listen;
    }

    /** Sends so many requests of the class that may be repeated, and tells what backends and client saw. */
    Result send(String when, int count, List<Backend> backends) throws IOException, InterruptedException {
        int[] counts = new int[3];
        Map<String, Integer> attempts = new HashMap<>();
        for (int i = 0; i < count; i++) {
            String id = String.format("%016x", 0x9b1f_0000_0000_0000L + ++ids);
            attempts.put(id, 0);
            int status;
            try (Socket socket = new Socket()) {
                socket.connect(Lab.address(listen));
                socket.setSoTimeout(5_000);
                socket.getOutputStream().write(Lab.bytes("GET /kurs-les HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id
                        + "\r\nX-Call-Class: kurs-les\r\nX-Budget-Ms: 820\r\nConnection: close\r\n\r\n"));
                Lab.Message answer = Lab.read(new BufferedInputStream(socket.getInputStream()));
                status = answer == null ? 0 : answer.status();
            }
            counts[status == 200 ? 0 : status == 503 || status == 429 ? 1 : 2]++;
            Thread.sleep(150);
        }
        backends.forEach(backend -> backend.taken.stream().filter(taken -> attempts.containsKey(taken.id()))
                .forEach(taken -> attempts.merge(taken.id(), 1, Integer::sum)));
        Result result = new Result(counts[0], counts[1], counts[2],
                attempts.values().stream().mapToInt(n -> n).max().orElse(0));
        lab.say("client", when + ": " + result);
        return result;
    }
}
