package larkworks.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;
import larkworks.fleet.MemberState;
import larkworks.fleet.Membership;
import org.HdrHistogram.Histogram;

/**
 * A fleet of hollow members on simulated time, with the network between them. The same scenario, size and
 * seed give the same run.
 */
final class FleetSimulation implements HollowMember.Owner {

    private static final long START_US = 1_800_000_000_000_000L;
    private static final long SECOND_US = 1_000_000;
    /** All processes start within this time: less than a probe's time-out, so none is missed. */
    private static final long START_SPREAD_US = 150_000;
    /** As in {@link larkworks.fleet.FleetMember}: ticks a probe period, and the least where shared. */
    private static final int TICKS = 20;
    private static final long SHARED_TICK_US = 10_000;

    private final FleetScenario scenario;
    private final int size;
    private final long seed;
    private final Random random;
    private final Timeline time = new Timeline(START_US);
    private final HollowMember[] members;
    private final Traffic.Counter[] counters;
    private final Views views;
    private final List<Server> servers;
    private final BitSet disturbed = new BitSet();
    private final long[] downSinceUs;
    private BitSet cut;
    private int starting;
    private long deaths;
    private long falseDeaths;
    private long falseSuspicions;
    private Histogram detections = Distribution.histogram();
    private long second;
    private long secondBytes;
    private long mostSecondBytes;
    private VerdictLoad verdicts;

    FleetSimulation(FleetScenario scenario, int size, long seed) {
        this.scenario = scenario;
        this.size = size;
        this.seed = seed;
        random = new Random(seed);
        members = new HollowMember[size];
        counters = new Traffic.Counter[size];
        views = new Views(size);
        downSinceUs = new long[size];
        servers = IntStream.range(0, scenario.load().servers())
                .mapToObj(i -> new Server(server(i), 0, 0, 0, 1, ServerStatus.UP)).toList();
        count();
        for (int i = 0; i < size; i++) {
            start(i);
        }
    }

    static String server(int number) {
        return "server-" + number;
    }

    Timeline time() {
        return time;
    }

    int size() {
        return size;
    }

    Random random() {
        return random;
    }

    HollowMember member(int id) {
        return members[id];
    }

    boolean up(int id) {
        return views.up(id) && members[id] != null && members[id].kept == null;
    }

    void carry(VerdictLoad load) {
        verdicts = load;
    }

    /** Starts a member soon; it is made just then, as its first probe's time runs from that moment. */
    private void start(int id) {
        long tickUs = Math.min(scenario.membership().probeIntervalUs() / TICKS,
                scenario.shared() == null ? Long.MAX_VALUE : SHARED_TICK_US);
        starting++;
        time.after((long) (random.nextDouble() * START_SPREAD_US), () -> {
            starting--;
            Random own = new Random(seed * 1_000_003 + id * 31L + time.nowUs());
            HollowMember member = new HollowMember(id, size, scenario.membership(), scenario.shared(),
                    servers, own, time::nowUs, counters[id], this);
            members[id] = member;
            views.set(id, true);
            member.join();
            tick(member, tickUs);
        });
    }

    private void tick(HollowMember member, long everyUs) {
        if (members[member.id] != member || !views.up(member.id)) {
            return;  // gone, or another process of this member in its place
        }
        if (member.kept == null) {
            member.tick();
        }
        time.after(everyUs, () -> tick(member, everyUs));
    }

    // ---- the network

    @Override
    public void send(HollowMember from, int to, byte[] bytes) {
        if (to != Membership.EVERYONE) {
            transmit(from, to, bytes);
            return;
        }
        for (int i = 0; i < size; i++) {
            if (i != from.id) {
                transmit(from, i, bytes);
            }
        }
    }

    private void transmit(HollowMember from, int to, byte[] bytes) {
        from.traffic.datagramsOut++;
        from.traffic.bytesOut += bytes.length;
        if (time.nowUs() / SECOND_US != second) {
            second = time.nowUs() / SECOND_US;
            secondBytes = 0;
        }
        secondBytes += bytes.length;
        mostSecondBytes = Math.max(mostSecondBytes, secondBytes);
        FleetScenario.Network network = scenario.network();
        boolean near = scenario.topology().region(from.id) == scenario.topology().region(to);
        long delayUs = (long) ((near ? network.delayUs() : network.regionDelayUs())
                * (0.5 + random.nextDouble()));
        if (random.nextDouble() >= network.loss()) {
            time.after(delayUs, () -> deliver(new HollowMember.Datagram(from.id, bytes), to));
        }
    }

    private void deliver(HollowMember.Datagram datagram, int to) {
        if (!views.up(to) || members[to] == null || cut != null && cut.get(datagram.from()) != cut.get(to)) {
            return;
        }
        HollowMember member = members[to];
        if (member.kept == null) {
            member.receive(datagram);
        } else if (member.kept.size() < HollowMember.MOST_KEPT) {
            member.kept.add(datagram);
        }
    }

    // ---- what members say

    @Override
    public void changed(HollowMember observer, int about, MemberState to) {
        if (members[observer.id] != observer) {
            return;
        }
        views.hold(observer.id, about, to);
        if (to == MemberState.SUSPECT && views.up(about) && !disturbed.get(about)) {
            falseSuspicions++;
        }
        if (to != MemberState.DEAD) {
            return;
        }
        if (!views.up(about)) {
            detections.recordValue((time.nowUs() - downSinceUs[about]) / 1_000);
        } else {
            deaths++;
            falseDeaths += disturbed.get(about) ? 0 : 1;
        }
    }

    @Override
    public void verdict(HollowMember observer, String server, long untilMs) {
        if (verdicts != null) {
            verdicts.heard(observer.id, server, untilMs);
        }
    }

    // ---- faults

    /** Does a fault once; {@code false} where no member was hit, as all chosen are down already. */
    int begin(Fault fault) {
        List<Integer> chosen = scenario.topology().choose(fault.target(), size, random).stream()
                .filter(this::up).toList();
        long forUs = (long) (fault.forS() * SECOND_US);
        switch (fault.kind()) {
            case KILL -> chosen.forEach(id -> down(id, false));
            case RESTART -> chosen.forEach(id -> {
                down(id, true);
                starting++;
                time.after(forUs, () -> {
                    starting--;
                    start(id);
                });
            });
            case PAUSE -> chosen.forEach(id -> {
                disturbed.set(id);
                members[id].pause();
                time.after(forUs, members[id]::resume);
            });
            case CUT -> {
                BitSet side = new BitSet();
                chosen.forEach(side::set);
                cut = side;
                disturbed.set(0, size);
                time.after(forUs, () -> cut = null);
            }
            default -> throw new IllegalArgumentException(fault.kind() + " hits no member");
        }
        return chosen.size();
    }

    private void down(int id, boolean leaves) {
        disturbed.set(id);
        if (leaves) {
            members[id].leave();
        }
        downSinceUs[id] = time.nowUs();
        views.set(id, false);
    }

    // ---- figures

    /** Whether all that should be up are, and all of them hold the truth. */
    boolean agreed() {
        return starting == 0 && views.wrong() == 0;
    }

    /** Faults done so far explain no death from now on. */
    void calm() {
        disturbed.clear();
    }

    /** Counts anew. */
    void count() {
        for (int i = 0; i < size; i++) {
            counters[i] = new Traffic.Counter();
            if (members[i] != null) {
                members[i].traffic = counters[i];
            }
        }
        deaths = 0;
        falseDeaths = 0;
        falseSuspicions = 0;
        detections = Distribution.histogram();
        mostSecondBytes = 0;
    }

    /** The mean of the members that are up, since counting began. */
    Traffic traffic(double seconds) {
        List<Traffic.Counter> up = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            if (views.up(i)) {
                up.add(counters[i]);
            }
        }
        return Traffic.of(up, seconds);
    }

    Distribution detections() {
        return Distribution.of(detections);
    }

    long deaths() {
        return deaths;
    }

    long falseDeaths() {
        return falseDeaths;
    }

    long falseSuspicions() {
        return falseSuspicions;
    }

    /** Payload of the busiest second, a member. */
    double mostBytesPerS() {
        return (double) mostSecondBytes / size;
    }
}
