package larkworks.proxy;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A stub backend or discovery: it queues the requests that it receives, and the test answers them. */
final class StubServer implements AutoCloseable {

    static final long TIMEOUT_S = 30;

    private final ServerSocket listener;
    private final Thread acceptThread;
    private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

    StubServer() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        acceptThread = startThread(() -> {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                startThread(() -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Waits for the next message that the test has not taken yet, and returns it. */
    Message next() throws InterruptedException {
        Message message = received.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (message == null) {
            throw new AssertionError("no message was received within " + TIMEOUT_S + " s");
        }
        return message;
    }

    /** Returns whether a message that the test has not taken yet is received within this time. */
    boolean awaitMessage(long ms) throws InterruptedException {
        long timeoutAtNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (received.isEmpty() && System.nanoTime() < timeoutAtNs) {
            Thread.sleep(1);
        }
        return !received.isEmpty();
    }

    /** Returns how many messages were received that the test has not taken yet. */
    int pendingMessages() {
        return received.size();
    }

    /** Returns how many connections were accepted so far, including closed ones. */
    int connections() {
        return sockets.size();
    }

    private void serve(Socket socket) throws IOException {
        CountDownLatch connectionEnded = new CountDownLatch(1);
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Message message = Message.read(in, socket, connectionEnded);
            while (message != null) {
                received.add(message);
                message = Message.read(in, socket, connectionEnded);
            }
        } finally {
            connectionEnded.countDown();
        }
    }

    /** Also waits for the accept thread to end: until its accept call returns, the port takes connections. */
    @Override
    public void close() throws IOException {
        listener.close();
        try {
            acceptThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while waiting for the accepting thread to end");
        }
        for (Socket socket : List.copyOf(sockets)) {
            socket.close();
        }
    }

    /** A task that ends when its socket is closed. */
    private interface SocketTask {
        void run() throws IOException;
    }

    private static Thread startThread(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The socket was closed, by the test or by the proxy.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** An HTTP request or response, with the connection on which it was received. */
    record Message(String line, Map<String, String> headers, byte[] body, Socket socket,
            CountDownLatch connectionEnded) {

        /** Reads a message with a Content-Length or no body; returns null at the end of the connection. */
        static Message read(InputStream in, Socket socket, CountDownLatch connectionEnded)
                throws IOException {
            String line = readLine(in);
            if (line == null) {
                return null;
            }
            Map<String, String> headers = new LinkedHashMap<>();
            for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
                int colon = header.indexOf(':');
                headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT),
                        header.substring(colon + 1).strip());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            return new Message(line, headers, in.readNBytes(length), socket, connectionEnded);
        }

        private static String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int nextByte = in.read(); nextByte != '\n'; nextByte = in.read()) {
                if (nextByte < 0) {
                    return null;
                }
                line.write(nextByte);
            }
            return line.toString(StandardCharsets.ISO_8859_1).strip();
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** Sends a response; each header is a line without its line end. */
        void reply(int status, String text, String... headers) {
            StringBuilder response = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            for (String header : headers) {
                response.append(header).append("\r\n");
            }
            response.append("Content-Length: ").append(text.length()).append("\r\n\r\n").append(text);
            sendRaw(response.toString());
        }

        /** Sends these characters as they are, without adding a head. */
        void sendRaw(String characters) {
            try {
                socket.getOutputStream().write(characters.getBytes(StandardCharsets.UTF_8));
                socket.getOutputStream().flush();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        void resetConnection() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Waits until the other side has closed the connection. */
        void awaitConnectionEnd() throws InterruptedException {
            if (!connectionEnded.await(TIMEOUT_S, TimeUnit.SECONDS)) {
                throw new AssertionError("the connection was not closed within " + TIMEOUT_S + " s");
            }
        }
    }
}
