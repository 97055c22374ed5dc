import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Discovery as the protocol page has it, for one proxy: its answers can stall, and its open watches can fall silent. */
final class Listing {

    private record Entry(String line, String status, long index) { }

    /** When a change was written to the proxy. */
    record Told(String name, String status, long atMs) { }

    private final Lab lab;
    private final ServerSocket listener;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    final List<Told> told = new ArrayList<>();
    private long index = 1;
    /** Whether answers begin and then stall, on connections that stay open. */
    private volatile boolean stalls;
    /** Run once when the next watch has come, null if nothing is to be run. */
    private volatile Runnable onWatch;

    Listing(Lab lab) throws IOException {
        this.lab = lab;
        listener = new ServerSocket(0, 64, InetAddress.getByName(Lab.HOST));
        Lab.daemon(() -> {
            while (true) {
                Connection connection = new Connection(listener.accept());
                connections.add(connection);
                Lab.daemon(connection::serve);
            }
        });
    }

    String address() {
        return Lab.HOST + ":" + listener.getLocalPort();
    }

    synchronized void put(String name, String address) {
        addresses.put(name, address);
        entries.put(name, new Entry(Setup.entry(name, address, "in_service", 0), "in_service", index));
    }

    /** Changes a backend's status; who watches is told. */
    synchronized void status(String name, String status) {
        index++;
        entries.put(name, new Entry(Setup.entry(name, addresses.get(name), status, 0), status, index));
        lab.say("discovery", name + " is " + status + ", index " + index);
        notifyAll();
    }

    void stall(boolean begin) {
        lab.say("discovery", begin ? "answers stall from now on" : "answers come whole again");
        stalls = begin;
    }

    /** Has the open watches fall silent once the next one has come, and then runs the action. */
    void silenceNextWatch(Runnable then) {
        onWatch = () -> {
            connections.forEach(connection -> connection.silent = true);
            lab.say("discovery", "the open watches fall silent");
            then.run();
        };
    }

    private final class Connection {
        private final Socket socket;
        private volatile boolean silent;

        Connection(Socket socket) {
            this.socket = socket;
        }

        private void serve() throws IOException, InterruptedException {
            try (socket) {
                socket.setTcpNoDelay(true);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                for (Lab.Message call = Lab.read(in); call != null; call = Lab.read(in)) {
                    answer(call.line());
                    if (silent) {
                        // The connection stays open until the proxy closes it.
                        in.transferTo(java.io.OutputStream.nullOutputStream());
                        return;
                    }
                }
            } finally {
                connections.remove(this);
            }
        }

        private void answer(String line) throws IOException, InterruptedException {
            long from = line.contains("index=") ? Long.parseLong(line.replaceAll(".*index=([0-9]+).*", "$1")) : -1;
            long waitMs = line.contains("wait=") ? Long.parseLong(line.replaceAll(".*wait=([0-9]+).*", "$1")) : 0;
            long comeMs = lab.nowMs();
            lab.say("discovery", line);
            Runnable action = waitMs > 1_000 ? onWatch : null;
            if (action != null) {
                onWatch = null;
                Lab.daemon(action::run);
            }
            synchronized (Listing.this) {
                while (from >= index && lab.nowMs() < comeMs + waitMs) {
                    Listing.this.wait(Math.max(1, comeMs + waitMs - lab.nowMs()));
                }
            }
            if (silent) {
                return;
            }
            boolean stall = stalls;
            StringBuilder lines = new StringBuilder();
            String body;
            synchronized (Listing.this) {
                entries.forEach((name, entry) -> {
                    if (entry.index > from) {
                        lines.append(lines.length() > 0 ? "," : "").append(entry.line);
                    }
                    if (entry.index > from && !stall) {
                        told.add(new Told(name, entry.status, lab.nowMs()));
                    }
                });
                body = "{\"index\":" + index + ",\"snapshot\":" + (from < 0) + ",\"endpoints\":[" + lines + "]}";
            }
            byte[] answer = Lab.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            if (stall) {
                socket.getOutputStream().write(answer, 0, answer.length - body.length() / 2);
                lab.say("discovery", "the answer stalls after " + (lab.nowMs() - comeMs) + " ms");
                silent = true;
                return;
            }
            socket.getOutputStream().write(answer);
            lab.say("discovery", "answered after " + (lab.nowMs() - comeMs) + " ms, "
                    + (lines.length() > 0 ? "with changes" : "nothing new"));
        }
    }
}
