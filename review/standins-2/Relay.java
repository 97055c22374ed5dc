import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An address that leads to another one, and can be shut: no new connections, then an end of the open ones. */
final class Relay {

    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final String target;

    Relay(String target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 64, InetAddress.getByName(Lab.HOST));
        Lab.daemon(() -> {
            while (true) {
                Socket from = listener.accept();
                Lab.daemon(() -> join(from));
            }
        });
    }

    String address() {
        return Lab.HOST + ":" + listener.getLocalPort();
    }

    private void join(Socket from) throws IOException {
        Socket to = new Socket();
        sockets.add(from);
        sockets.add(to);
        try {
            to.connect(Lab.address(target));
            Lab.daemon(() -> pass(to, from));
            pass(from, to);
        } finally {
            close(from, to);
        }
    }

    private void pass(Socket from, Socket to) throws IOException {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] part = new byte[8 << 10];
            for (int size = in.read(part); size >= 0; size = in.read(part)) {
                out.write(part, 0, size);
            }
        } finally {
            close(from, to);
        }
    }

    private void close(Socket one, Socket other) throws IOException {
        one.close();
        other.close();
        sockets.remove(one);
        sockets.remove(other);
    }

    /** Takes no new connections from now on. */
    void refuse() throws IOException {
        listener.close();
    }

    /** Closes the open connections. */
    void end() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
