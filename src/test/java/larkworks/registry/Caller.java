package larkworks.registry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import larkworks.adapter.Json;

/** A caller of the list service, for tests. */
public final class Caller {

    /** An answer: its status, its headers and its body. */
    public record Answer(int status, HttpHeaders headers, Map<String, Object> body) {
        /** The first value of a header; "" where there is none. */
        public String header(String name) {
            return headers.firstValue(name).orElse("");
        }

        /** Why the call was refused. */
        public String error() {
            return String.valueOf(body.get("error"));
        }

        public long index() {
            return ((Number) body.get("index")).longValue();
        }

        /** The names told, each with its status, in their order. */
        public List<String> endpoints() {
            return ((List<?>) body.get("endpoints")).stream().map(e -> (Map<?, ?>) e)
                    .map(e -> e.get("name") + " " + e.get("status")).toList();
        }
    }

    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String base;

    public Caller(String address) {
        base = "http://" + address;
    }

    public Answer call(String method, String path, String body) throws IOException, InterruptedException {
        HttpResponse<String> answer = http.send(HttpRequest.newBuilder(URI.create(base + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .timeout(Duration.ofSeconds(30)).build(), HttpResponse.BodyHandlers.ofString());
        return new Answer(answer.statusCode(), answer.headers(),
                Json.object(answer.body().getBytes(StandardCharsets.UTF_8)));
    }

    public Answer register(String name, String address, String more)
            throws IOException, InterruptedException {
        return call("PUT", "/registry/v1/instances/" + name,
                "{\"address\":\"" + address + "\",\"zone\":\"a\",\"group\":1" + more + "}");
    }

    public Answer status(String name, String status) throws IOException, InterruptedException {
        return call("PUT", "/registry/v1/instances/" + name + "/status", "{\"status\":\"" + status + "\"}");
    }

    public Answer list(String query) throws IOException, InterruptedException {
        return call("GET", "/registry/instances" + query, "");
    }
}
