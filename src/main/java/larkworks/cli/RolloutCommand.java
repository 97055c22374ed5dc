package larkworks.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import larkworks.platform.Addresses;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code larkworks rollout}: each command is one call to the list service, whose answer is printed. */
@Command(name = "rollout", description = "Stages a configuration over the proxies.")
final class RolloutCommand extends Common {

    private static final Duration PATIENCE = Duration.ofSeconds(10);

    @Spec
    private CommandSpec spec;

    /** Where the service is. */
    @Option(names = "--registry", required = true, paramLabel = "IP:PORT", converter = AddressConverter.class,
            scope = picocli.CommandLine.ScopeType.INHERIT, description = "The list service.")
    private InetSocketAddress registry;

    @Command(mixinStandardHelpOptions = true, description = "Begins a rollout.")
    int publish(@Parameters(paramLabel = "PLAN", description = "JSON: name, patch, waves, bake_ms, wait_ms, "
            + "max_error_share, min_requests.") Path plan) throws IOException, InterruptedException {
        if (!Files.isReadable(plan)) {
            throw new ParameterException(spec.commandLine(), plan + ": no such file, or it may not be read");
        }
        return call("PUT", "", BodyPublishers.ofFile(plan));
    }

    @Command(mixinStandardHelpOptions = true, description = "Shows the rollout and what the proxies report.")
    int status() throws IOException, InterruptedException {
        return call("GET", "", BodyPublishers.noBody());
    }

    @Command(mixinStandardHelpOptions = true, description = "Begins no further wave.")
    int pause() throws IOException, InterruptedException {
        return call("PUT", "/pause", BodyPublishers.noBody());
    }

    @Command(mixinStandardHelpOptions = true, description = "Goes on after a pause.")
    int resume() throws IOException, InterruptedException {
        return call("PUT", "/resume", BodyPublishers.noBody());
    }

    @Command(mixinStandardHelpOptions = true, description = "Brings all back to the version before.")
    int rollback() throws IOException, InterruptedException {
        return call("PUT", "/rollback", BodyPublishers.noBody());
    }

    private int call(String method, String path, BodyPublisher body)
            throws IOException, InterruptedException {
        URI uri = URI.create("http://" + Addresses.text(registry) + "/registry/v1/rollout" + path);
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(PATIENCE).build();
        HttpResponse<String> answer;
        try {
            answer = client.send(HttpRequest.newBuilder(uri).timeout(PATIENCE).method(method, body).build(),
                    BodyHandlers.ofString());
        } catch (IOException e) {
            throw unreachable(registry, e);
        }
        if (answer.statusCode() != 200) {
            throw new IOException(answer.statusCode() + " " + answer.body().strip());
        }
        System.out.println(answer.body());
        return 0;
    }
}
