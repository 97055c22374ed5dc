package larkworks.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import larkworks.adapter.Json;
import larkworks.platform.Addresses;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code larkworks members}. */
@Command(name = "members", description = "Shows the fleet as a running proxy sees it.")
final class MembersCommand extends Common implements Callable<Integer> {

    private static final int PATIENCE_MS = 5_000;

    @Parameters(paramLabel = "IP:PORT", converter = AddressConverter.class,
            description = "The proxy's second address.")
    private InetSocketAddress admin;

    @Option(names = "--json", description = "Prints the answer as it is.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        byte[] answer = get();
        if (json) {
            System.out.write(answer);
            System.out.println();
            return 0;
        }
        Map<String, Object> table = Json.object(answer);
        System.out.printf("self %s  incarnation %s  health %s  minority %s%n", table.get("self"),
                table.get("incarnation"), table.get("health"), table.get("minority"));
        System.out.printf("%5s  %-22s %-8s %12s %10s%n", "id", "address", "state", "incarnation", "heard ms");
        for (Object row : (List<?>) table.get("members")) {
            Map<?, ?> m = (Map<?, ?>) row;
            System.out.printf("%5s  %-22s %-8s %12s %10s%n", m.get("id"), m.get("address"), m.get("state"),
                    m.get("incarnation"), m.get("last_heard_ms"));
        }
        return 0;
    }

    private byte[] get() throws IOException {
        String address = Addresses.text(admin);
        HttpURLConnection call = (HttpURLConnection) URI.create("http://" + address + "/ops/members").toURL()
                .openConnection();
        call.setConnectTimeout(PATIENCE_MS);
        call.setReadTimeout(PATIENCE_MS);
        try {
            call.connect();
        } catch (IOException e) {
            throw unreachable(admin, e);
        }
        if (call.getResponseCode() != HttpURLConnection.HTTP_OK) {
            try (InputStream said = call.getErrorStream()) {
                throw new IOException(address + ": " + call.getResponseCode() + " "
                        + (said == null ? "" : new String(said.readAllBytes()).strip()));
            }
        }
        try (InputStream body = call.getInputStream()) {
            return body.readAllBytes();
        }
    }
}
