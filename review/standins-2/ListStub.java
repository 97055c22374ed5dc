import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;

/** Discovery with a list that does not change: a watch is answered with no changes when its wait is over. */
final class ListStub {

    private final ServerSocket listener;
    private final List<String> entries;

    ListStub(List<String> entries) throws IOException {
        this.entries = entries;
        listener = new ServerSocket(0, 64, InetAddress.getByName(Lab.HOST));
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
            for (Lab.Message call = Lab.read(in); call != null; call = Lab.read(in)) {
                boolean watch = call.line().contains("index=1&");
                if (watch) {
                    Thread.sleep(Integer.parseInt(call.line().replaceAll(".*wait=([0-9]+).*", "$1")));
                }
                String body = "{\"index\":1,\"snapshot\":" + !watch + ",\"endpoints\":["
                        + (watch ? "" : String.join(",", entries)) + "]}";
                socket.getOutputStream().write(Lab.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body));
            }
        }
    }
}
