package larkworks.scale;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** A client of some addresses in turn, at a rate of its caller's: no call waits for another. */
final class PathClient {

    private final EventLoop loop;
    private final InetSocketAddress from;
    private final List<InetSocketAddress> to;
    private final ServiceConnection.Bytes bytes = new ServiceConnection.Bytes();
    private final List<Deque<Caller>> idle;
    private final String idPrefix;
    private Histogram times = Distribution.histogram();
    private long calls;
    private final List<Failure> failures = new ArrayList<>();

    /** A call without an answer of status 200; the status is 0 if its connection was lost. */
    record Failure(String callId, int status, long afterMs) { }

    PathClient(EventLoop loop, InetSocketAddress from, List<InetSocketAddress> to, String idPrefix) {
        this.loop = loop;
        this.from = from;
        this.to = to;
        this.idPrefix = idPrefix;
        idle = to.stream().map(address -> (Deque<Caller>) new ArrayDeque<Caller>()).toList();
    }

    void call() {
        int at = (int) (calls++ % to.size());
        Caller caller = idle.get(at).poll();
        if (caller == null) {
            new Caller(at);
        } else {
            caller.send();
        }
    }

    Distribution times() {
        return Distribution.of(times);
    }

    List<Failure> failures() {
        return List.copyOf(failures);
    }

    /** Counts anew. */
    void clear() {
        times = Distribution.histogram();
        failures.clear();
    }

    private final class Caller implements ServiceConnection.Client {
        private final int at;
        private final ServiceConnection connection;
        private long sentNs = System.nanoTime();
        private boolean calling = true;
        private String callId = "";

        Caller(int at) {
            this.at = at;
            connection = new ServiceConnection(loop, from, to.get(at), bytes, this);
        }

        void send() {
            calling = true;
            sentNs = System.nanoTime();
            callId = String.format("%s%012x", idPrefix, calls);
            connection.get("/read", Map.of("X-Call-Id", callId, "X-Call-Class", "read", "X-Budget-Ms",
                    "1000"));
        }

        @Override
        public void connected() {
            send();
        }

        @Override
        public void answered(ServiceConnection.Answer answer) {
            calling = false;
            if (answer.status() == 200) {
                times.recordValue((System.nanoTime() - sentNs) / 1_000);
            } else {
                addFailure(answer.status());
            }
            idle.get(at).add(this);
        }

        @Override
        public void lost() {
            if (calling) {
                addFailure(0);
            }
            idle.get(at).remove(this);
        }

        private void addFailure(int status) {
            failures.add(new Failure(callId, status, (System.nanoTime() - sentNs) / 1_000_000));
        }
    }
}
