package larkworks.scale;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A proxy's discovery client without the proxy: it watches the list as the real one does where lists are
 * pushed, with the same times, pauses and jitter, and reads of each answer the version alone.
 */
final class HollowProxy implements ServiceConnection.Client {

    /** What the run counts, over all hollow proxies. */
    static final class Counts {
        final ServiceConnection.Bytes bytes = new ServiceConnection.Bytes();
        long calls;
        long failures;
        long wholeLists;
    }

    private static final Pattern LISTING = Pattern.compile("\\{\"index\":(\\d+),\"snapshot\":(true|false)");
    private static final String PATH = "/registry/instances";
    private static final long SILENCE_MS = 2_000;
    private static final long FIRST_PAUSE_MS = 50;
    private static final long MOST_PAUSE_MS = 1_000;
    private static final long IDLE_PAUSE_MS = 20;

    private final EventLoop loop;
    private final InetSocketAddress from;
    private final InetSocketAddress service;
    private final ListScenario scenario;
    private final ChangeTimes times;
    private final Counts counts;
    private final SplittableRandom jitter;
    private ServiceConnection connection;
    private boolean up;
    private boolean calling;
    private boolean cut;
    private boolean closed;
    private Future<?> silence;
    private long index = -1;
    private long heardIndex = -1;
    private long calledNs;
    private long pauseMs = FIRST_PAUSE_MS;

    HollowProxy(EventLoop loop, InetSocketAddress from, InetSocketAddress service, ListScenario scenario,
            ChangeTimes times, Counts counts, long seed) {
        this.loop = loop;
        this.from = from;
        this.service = service;
        this.scenario = scenario;
        this.times = times;
        this.counts = counts;
        jitter = new SplittableRandom(seed);
    }

    /** The version that it has heard of. */
    long index() {
        return heardIndex;
    }

    /** Asks for the list, or watches. */
    void call() {
        if (closed || calling) {
            return;
        }
        calling = true;
        calledNs = System.nanoTime();
        counts.calls++;
        // Cut off, a connection does not come up in its time; an open one is silent for longer.
        silence = loop.schedule(this::failed, (index < 0 || cut && !up ? 0 : scenario.waitMs()) + SILENCE_MS,
                TimeUnit.MILLISECONDS);
        if (up) {
            write();
        } else if (!cut) {
            connection = new ServiceConnection(loop, from, service, counts.bytes, this);
        }
    }

    private void write() {
        connection.get(index < 0 ? PATH : PATH + "?index=" + index + "&wait=" + scenario.waitMs());
    }

    @Override
    public void connected() {
        up = true;
        write();
    }

    @Override
    public void lost() {
        up = false;
        connection = null;
        if (calling) {
            failed();
        }
    }

    private void failed() {
        if (!calling || closed) {
            return;
        }
        counts.failures++;
        calling = false;
        silence.cancel(false);
        drop();
        if (scenario.forget()) {
            index = -1;
        }
        loop.schedule(this::call, pauseMs * 3 / 4 + jitter.nextLong(pauseMs / 2 + 1), TimeUnit.MILLISECONDS);
        pauseMs = Math.min(2 * pauseMs, MOST_PAUSE_MS);
    }

    private void drop() {
        up = false;
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    @Override
    public void answered(ServiceConnection.Answer answer) {
        if (!calling) {
            return;
        }
        Matcher listing = LISTING.matcher(answer.head());
        if (answer.status() != 200 || !listing.lookingAt()) {
            index = -1;
            failed();
            return;
        }
        calling = false;
        silence.cancel(false);
        pauseMs = FIRST_PAUSE_MS;
        long now = System.nanoTime();
        long next = Long.parseLong(listing.group(1));
        counts.wholeLists += listing.group(2).equals("true") ? 1 : 0;
        boolean idle = next == index && now - calledNs < IDLE_PAUSE_MS * 1_000_000;
        index = next;
        if (heardIndex >= 0 && next > heardIndex) {
            times.heard(heardIndex, next, now);
        }
        heardIndex = Math.max(heardIndex, next);
        if (idle) {
            loop.schedule(this::call, IDLE_PAUSE_MS, TimeUnit.MILLISECONDS);
        } else {
            call();
        }
    }

    /** Cut off: its connection is silent, and no other comes up. */
    void cut() {
        cut = true;
        if (connection != null) {
            connection.silence();
        }
    }

    /** The cut is over; a connection from before is reset. */
    void heal() {
        cut = false;
        drop();
    }

    void close() {
        closed = true;
        if (silence != null) {
            silence.cancel(false);
        }
        drop();
    }
}
