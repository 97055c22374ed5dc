import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The configuration of one proxy, with the figures of the site file kursdata-oslo for its first tier. */
final class Setup {

    /** Fields of the configuration beside the usual ones, each followed by a comma. */
    String extra = "";
    /** JSON of the discovery address, or of a list of them. */
    String discovery;
    /** The way of discovery: on_request, as at kursdata-oslo, or pushed. */
    String way = "on_request";
    int maxAttempts = 3;
    boolean probes = true;
    int sockets = 512;
    int deadlineMs = 820;
    int aimMs = 330;
    final List<String> entries = new ArrayList<>();

    /** Adds a backend to the list that the proxy had last. */
    void known(String name, String address) {
        entries.add(entry(name, address, "in_service", 0));
    }

    /** A line of discovery's list. */
    static String entry(String name, String address, String status, long sinceMs) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"hall-a\",\"type\":\"front-std\","
                + "\"group\":1,\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}";
    }

    /** The classes of requests; the second may never run twice. */
    String categories() {
        return "[" + category("kurs-les", "pure", 5) + "," + category("varsel-ny", "side_effect", 10) + "]";
    }

    private String category(String name, String effect, int worth) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"all\",\"goalTimeUs\":"
                + aimMs * 1000 + ",\"deadlineUs\":" + deadlineMs * 1000 + ",\"worth\":" + worth
                + ".0,\"lateWorth\":0.0,\"dedupWindowUs\":0}";
    }

    /** Writes the configuration of a proxy. */
    void write(Path file, String name, String listen) throws IOException {
        Files.writeString(file, "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":" + discovery
                + ",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "}," + extra
                + "\"known\":{\"index\":1,\"snapshot\":true,\"endpoints\":[" + String.join(",", entries) + "]},"
                + "\"settings\":{\"balancers\":1,\"me\":0,\"locality\":0,\"dcs\":[\"hall-a\"],\"discovery\":\"" + way
                + "\",\"resolutionUs\":1000,\"categories\":" + categories()
                + ",\"fees\":{\"probe\":0.002,\"crossZone\":0.005},\"limits\":{\"cancel\":true,"
                + "\"connectTimeoutUs\":150000,\"keepaliveUs\":10000000,\"maxAttempts\":" + maxAttempts
                + ",\"maxOpen\":20000,\"maxRetryAfterUs\":2000000,\"mayDuplicate\":true,\"peers\":true,\"probes\":"
                + probes + ",\"retryAfter\":true},\"loadInfo\":{\"fields\":[\"inflight\",\"queue\",\"util\"],"
                + "\"how\":\"answers\"},\"rules\":{\"answerSlackUs\":5000,\"askEveryUs\":10000000,\"coldFrom\":0.13,"
                + "\"coldUs\":23000000,\"drainGraceUs\":1000000,\"overloadForUs\":1500000,\"tipMultiple\":3.0},"
                + "\"tenants\":[],\"weightSource\":\"none\",\"layers\":[\"front\",\"kurs\"],\"layer\":0}}");
    }
}
