import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.StringJoiner;
import java.util.concurrent.CopyOnWriteArrayList;

/** The discovery service of the protocol page, with watches. */
class Discovery {

    /** A backend in the list. */
    static final class Entry {
        private final Backend backend;
        private String status = "in_service";
        private long changedAt;

        Entry(Backend backend) {
            this.backend = backend;
        }

        private String json() {
            return "{\"name\":\"" + backend.name + "\",\"address\":\"127.0.0.1:" + backend.port()
                    + "\",\"zone\":\"a\",\"type\":\"m\",\"group\":1,\"status\":\"" + status
                    + "\",\"weight\":1.0,\"since_ms\":0}";
        }
    }

    static final long FIRST_INDEX = 41;
    /** The longest wait of a watch. */
    private static final long MAX_WAIT_MS = 60_000;

    private final ServerSocket listener;
    private final List<Entry> entries = new CopyOnWriteArrayList<>();
    private long index = FIRST_INDEX;

    Discovery(List<Backend> backends) throws IOException {
        backends.forEach(backend -> entries.add(new Entry(backend)));
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Record.thread("discovery", this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Changes the status of a backend, which may be new; open watches are told at once. */
    synchronized void change(Backend backend, String status) {
        Entry entry = entries.stream().filter(e -> e.backend == backend).findFirst().orElse(null);
        if (entry == null) {
            entry = new Entry(backend);
            entries.add(entry);
        }
        entry.status = status;
        entry.changedAt = ++index;
        notifyAll();
    }

    /** Returns the whole list if {@code since} is negative, else the changes after that version. */
    synchronized String list(long since, long waitMs) throws InterruptedException {
        long untilNs = System.nanoTime() + waitMs * 1_000_000;
        while (since >= index && System.nanoTime() - untilNs < 0) {
            wait(Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
        }
        StringJoiner lines = new StringJoiner(",");
        entries.stream().filter(e -> e.changedAt > since && !(since < 0 && e.status.equals("terminated")))
                .forEach(e -> lines.add(e.json()));
        return "{\"index\":" + index + ",\"snapshot\":" + (since < 0) + ",\"endpoints\":[" + lines + "]}";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Record.thread("discovery-connection", () -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed: the case is over.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                String target = call.startLine.split(" ")[1];
                long since = parameter(target, "index", -1);
                String list = list(since, since < 0 ? 0 : Math.min(MAX_WAIT_MS, parameter(target, "wait", 0)));
                write(socket, target,
                        Http.answer("200 OK", "Content-Type: application/json\r\n", Http.bytes(list)));
            }
        } catch (IOException | InterruptedException e) {
            // The proxy closed the connection.
        }
    }

    /** Writes an answer; a case may replace this to let answers break off or stall. */
    void write(Socket socket, String target, byte[] answer) throws IOException {
        socket.getOutputStream().write(answer);
    }

    private static long parameter(String target, String name, long otherwise) {
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return Long.parseLong(pair.substring(name.length() + 1));
            }
        }
        return otherwise;
    }
}
