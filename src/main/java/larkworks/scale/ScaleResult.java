package larkworks.scale;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * A run's result. Each part says whether its time is simulated or real; the same scenario and seed give the
 * same simulated parts, but for what stands under {@code machine} and lines fitted to that.
 *
 * @param slopes of the figures against size, where there were several sizes
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ScaleResult(String scenario, long seed, List<FleetResult> fleet, List<ListResult> lists,
        List<CostResult> cost, List<PathResult> path, List<Slope> slopes) {

    private static final String MEMBERS = "members";
    private static final String WATCHES = "watches";
    private static final ObjectMapper JSON = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(SerializationFeature.INDENT_OUTPUT).disable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .build();

    /** The result of these parts, with lines fitted. */
    static ScaleResult of(Scenario scenario, List<FleetResult> fleet, List<ListResult> lists,
            List<CostResult> cost, List<PathResult> path) {
        return new ScaleResult(scenario.name(), scenario.seed(), fleet, lists, cost, path,
                slopes(fleet, lists, cost));
    }

    private static List<Slope> slopes(List<FleetResult> fleet, List<ListResult> lists,
            List<CostResult> cost) {
        List<Slope> slopes = new ArrayList<>();
        if (fleet != null && fleet.size() > 1) {
            add(slopes, "datagrams out a member a second", MEMBERS, fleet, FleetResult::members,
                    r -> r.steady().datagramsOut());
            add(slopes, "bytes a member a second on the wire", MEMBERS, fleet, FleetResult::members,
                    r -> r.steady().wireBytes());
            add(slopes, "machine: us of a core a member a second", MEMBERS, fleet, FleetResult::members,
                    r -> r.machine().cpuUsPerMemberS());
            add(slopes, "machine: bytes of heap a member", MEMBERS, fleet, FleetResult::members,
                    r -> r.machine().heapBytesPerMember());
            if (fleet.get(0).verdicts() != null) {
                add(slopes, "ms until all have a verdict, p99", MEMBERS, fleet, FleetResult::members,
                        r -> r.verdicts().toAllMs().p99());
            }
            if (fleet.get(0).budget() != null) {
                add(slopes, "share of a fleet's budget spent", MEMBERS, fleet, FleetResult::members,
                        r -> r.budget().share());
            }
            for (int i = 0; i < fleet.get(0).faults().size(); i++) {
                int at = i;
                String name = fleet.get(0).faults().get(i).name();
                add(slopes, name + ": s until all agree", MEMBERS, fleet, FleetResult::members,
                        r -> r.faults().get(at).convergedS());
                add(slopes, name + ": bytes a member a second on the wire", MEMBERS, fleet,
                        FleetResult::members, r -> r.faults().get(at).traffic().wireBytes());
            }
        }
        if (lists != null && lists.size() > 1) {
            slopes.addAll(ofLists(lists));
        }
        if (cost != null && cost.size() > 1) {
            add(slopes, "machine: us of a core a call", "servers", cost, CostResult::servers,
                    CostResult::usPerCall);
            add(slopes, "machine: us of a core for a whole list read", "servers", cost, CostResult::servers,
                    CostResult::parseUs);
        }
        return slopes;
    }

    private static List<Slope> ofLists(List<ListResult> lists) {
        List<Slope> slopes = new ArrayList<>();
        add(slopes, "bytes a watch a second, no changes", WATCHES, lists, ListResult::watchers,
                r -> r.steady().bytesPerS());
        add(slopes, "service's cores, no changes", WATCHES, lists, ListResult::watchers,
                r -> r.steady().serviceCores());
        if (lists.get(0).changes() != null) {
            add(slopes, "ms until all have a change, p99", WATCHES, lists, ListResult::watchers,
                    r -> r.changes().toAllMs().p99());
            add(slopes, "service's ms of a core for a change", WATCHES, lists, ListResult::watchers,
                    r -> r.changes().serviceMsEach());
            add(slopes, "bytes a watch for a change", WATCHES, lists, ListResult::watchers,
                    r -> r.changes().bytesEach());
        }
        if (lists.get(0).burst() != null) {
            add(slopes, "s until all have a burst", WATCHES, lists, ListResult::watchers,
                    r -> r.burst().inForceS());
        }
        if (lists.get(0).reports() != null) {
            add(slopes, "service's cores, reports", WATCHES, lists, ListResult::watchers,
                    r -> r.reports().serviceCores());
            add(slopes, "service's cores, a rollout under way", WATCHES, lists, ListResult::watchers,
                    r -> r.reports().rolloutCores());
            add(slopes, "bytes of a report once a rollout is in force", WATCHES, lists, ListResult::watchers,
                    r -> r.reports().bytesEachAfter());
            add(slopes, "s until a rollout is in force", WATCHES, lists, ListResult::watchers,
                    r -> r.reports().inForceS());
        }
        for (int i = 0; i < lists.get(0).faults().size(); i++) {
            int at = i;
            add(slopes, lists.get(0).faults().get(i).name() + ": s until in force", WATCHES, lists,
                    ListResult::watchers, r -> r.faults().get(at).inForceS());
        }
        add(slopes, "service's heap, MB", WATCHES, lists, ListResult::watchers, r -> r.service().heapMb());
        return slopes;
    }

    private static <R> void add(List<Slope> slopes, String what, String against, List<R> results,
            ToDoubleFunction<R> x, ToDoubleFunction<R> y) {
        slopes.add(Slope.fit(what, against, results.stream()
                .map(r -> new Slope.Point(x.applyAsDouble(r), y.applyAsDouble(r))).toList()));
    }

    /** Writes it as JSON. */
    public void write(Path file) throws IOException {
        JSON.writeValue(file.toFile(), this);
    }

    /** As JSON, for a comparison. */
    public String json() throws IOException {
        return JSON.writeValueAsString(this);
    }
}
