package larkworks.scale;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import larkworks.platform.WallClock;

/** A backend without its service: it registers, keeps its lease, drains, crashes and comes back. */
final class HollowBackend implements ServiceConnection.Client {

    private static final String API = "/registry/v1/instances/";
    private static final long AGAIN_MS = 200;

    /** A write that waits for its answer, tried again until it has one. */
    private record Write(String path, String body, long sentNs, LongConsumer made) { }

    private final EventLoop loop;
    private final InetSocketAddress from;
    private final InetSocketAddress service;
    private final ServiceConnection.Bytes bytes;
    private final ListScenario scenario;
    private final ChangeTimes times;
    private final String name;
    private final String registration;
    private final Deque<Write> writes = new ArrayDeque<>();
    private ServiceConnection connection;
    private boolean up;
    private boolean calling;
    private boolean alive;
    private boolean inService = true;
    private int life;

    HollowBackend(EventLoop loop, int number, InetSocketAddress from, InetSocketAddress service,
            ServiceConnection.Bytes bytes, ListScenario scenario, ChangeTimes times) {
        this.loop = loop;
        this.from = from;
        this.service = service;
        this.bytes = bytes;
        this.scenario = scenario;
        this.times = times;
        name = "s-" + Integer.toHexString(0x5be00000 + number);
        registration = "{\"address\":\"" + from.getHostString() + ":9000\",\"zone\":\"zone-"
                + scenario.topology().zone(number) + "\",\"type\":\"m2\",\"group\":" + number / 20
                + ",\"ttl_ms\":" + scenario.ttlMs() + ",\"since_ms\":";
    }

    /** Registers, and keeps its lease from then on. */
    void start(LongConsumer made) {
        alive = true;
        inService = true;
        int own = ++life;
        // A start is new by its time, so that a later one is another change.
        write(API + name, registration + WallClock.unixMs() + "}", made);
        loop.schedule(() -> beat(own), scenario.heartbeatMs(), TimeUnit.MILLISECONDS);
    }

    private void beat(int own) {
        if (own != life || !alive) {
            return;
        }
        if (writes.isEmpty()) {
            writes.add(new Write(API + name + "/heartbeat", "", 0, null));
            next();
        }
        loop.schedule(() -> beat(own), scenario.heartbeatMs(), TimeUnit.MILLISECONDS);
    }

    /** Whether it keeps its lease. */
    boolean alive() {
        return alive;
    }

    /** Begins to drain, or takes calls again: one change of the list. */
    void turn(LongConsumer made) {
        inService = !inService;
        write(API + name + "/status", "{\"status\":\"" + (inService ? "in_service" : "terminating") + "\"}",
                made);
    }

    /** Is gone, without a word: its lease ends by itself. */
    void crash() {
        alive = false;
        life++;
        writes.clear();
        calling = false;
        up = false;
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void write(String path, String body, LongConsumer made) {
        writes.add(new Write(path, body, System.nanoTime(), made));
        next();
    }

    private void next() {
        if (calling || writes.isEmpty()) {
            return;
        }
        if (connection == null) {
            connection = new ServiceConnection(loop, from, service, bytes, this);
        } else if (up) {
            calling = true;
            connection.put(writes.peek().path(), writes.peek().body());
        }
    }

    @Override
    public void connected() {
        up = true;
        next();
    }

    @Override
    public void answered(ServiceConnection.Answer answer) {
        calling = false;
        if (answer.status() >= 500) {
            loop.schedule(this::next, AGAIN_MS, TimeUnit.MILLISECONDS);
            return;
        }
        Write write = writes.poll();
        if (write != null && write.made() != null) {
            if (answer.status() != 200) {
                throw new IllegalStateException(write.path() + ": " + answer);
            }
            long index = Long.parseLong(answer.head().replaceAll("\\D", ""));
            times.made(index, write.sentNs());
            write.made().accept(index);
        }
        next();
    }

    @Override
    public void lost() {
        connection = null;
        up = false;
        calling = false;
        loop.schedule(this::next, AGAIN_MS, TimeUnit.MILLISECONDS);
    }
}
