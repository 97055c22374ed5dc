package larkworks.proxy;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/** A backend whose connections are served by a script, each on a thread of its own. */
final class ScriptedServer implements AutoCloseable {

    /** A request head as received, and the connection that it came on. */
    record Exchange(String head, Socket socket, InputStream in) {

        /** Returns a header's value; "" if there is none. */
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return "";
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Serves one request; the connection is closed when it throws. */
    @FunctionalInterface
    interface Script {
        void serve(Exchange exchange) throws IOException, InterruptedException;
    }

    private final ServerSocket listener = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
    private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());
    private final Script script;
    private final int receiveBufferBytes;

    ScriptedServer(Script script) throws IOException {
        this(script, 0);
    }

    /**
     * Creates a server.
     *
     * @param receiveBufferBytes the size of its connections' receive buffers; 0 for the system's choice
     */
    ScriptedServer(Script script, int receiveBufferBytes) throws IOException {
        this.script = script;
        this.receiveBufferBytes = receiveBufferBytes;
        if (receiveBufferBytes > 0) {
            listener.setReceiveBufferSize(receiveBufferBytes);
        }
        daemon(this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                daemon(() -> serveAll(socket));
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private void serveAll(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 12);
            for (String head = readHead(in); head != null; head = readHead(in)) {
                script.serve(new Exchange(head, socket, in));
            }
        } catch (IOException | InterruptedException e) {
            // The proxy has closed the connection, or the test is over.
        }
    }

    /** Reads a message's head up to its blank line; returns null at the end of the connection. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int nextByte = in.read();
            if (nextByte < 0) {
                return null;
            }
            head.append((char) nextByte);
        }
        return head.toString();
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "test", 1 << 18);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : List.copyOf(sockets)) {
            socket.close();
        }
    }
}
