package larkworks.scale;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;

/** A proxy's part in rollouts without the proxy: a report now and then, each on a connection of its own. */
final class HollowReporter {

    /** What the run counts, over all of them. */
    static final class Counts {
        final ServiceConnection.Bytes bytes = new ServiceConnection.Bytes();
        Histogram answers = Distribution.histogram();
        long due;
        long answered;
        long failed;

        /** Counts anew. */
        Void clear() {
            answers = Distribution.histogram();
            due = 0;
            answered = 0;
            failed = 0;
            bytes.sent = 0;
            bytes.received = 0;
            return null;
        }

        /** Above TCP, of a report and its answer. */
        double bytesEach() {
            return (bytes.sent + bytes.received) / (double) Math.max(1, answered);
        }
    }

    private static final Pattern TARGET = Pattern.compile("\\{\"version\":(\\d+)");
    private static final long PATIENCE_MS = 2_000;

    private final EventLoop loop;
    private final InetSocketAddress from;
    private final InetSocketAddress service;
    private final String path;
    private final long everyMs;
    private final Counts counts;
    private long version;
    private boolean closed;

    HollowReporter(EventLoop loop, int number, InetSocketAddress from, InetSocketAddress service,
            long everyMs, Counts counts) {
        this.loop = loop;
        this.from = from;
        this.service = service;
        this.everyMs = everyMs;
        this.counts = counts;
        path = "/registry/v1/rollout/reports/proxy-" + number;
    }

    /** The version that it was told to run. */
    long version() {
        return version;
    }

    void start(long delayMs) {
        loop.schedule(this::report, delayMs, TimeUnit.MILLISECONDS);
    }

    private void report() {
        if (closed) {
            return;
        }
        loop.schedule(this::report, everyMs, TimeUnit.MILLISECONDS);
        counts.due++;
        new Report();
    }

    void close() {
        closed = true;
    }

    private final class Report implements ServiceConnection.Client {
        private final long begunNs = System.nanoTime();
        private final ServiceConnection connection;
        private final Future<?> patience;
        private boolean over;

        Report() {
            connection = new ServiceConnection(loop, from, service, counts.bytes, this);
            patience = loop.schedule(() -> {
                connection.close();
                lost();
            }, PATIENCE_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void connected() {
            connection.put(path, "{\"version\":" + version + ",\"requests\":136,\"failures\":0,\"refused\":0,"
                    + "\"why\":\"\",\"resting\":[]}");
        }

        @Override
        public void answered(ServiceConnection.Answer answer) {
            over = true;
            patience.cancel(false);
            connection.close();
            Matcher target = TARGET.matcher(answer.head());
            if (answer.status() != 200 || !target.lookingAt()) {
                counts.failed++;
                return;
            }
            counts.answered++;
            counts.answers.recordValue((System.nanoTime() - begunNs) / 1_000);
            version = Long.parseLong(target.group(1));
        }

        @Override
        public void lost() {
            if (!over) {
                over = true;
                patience.cancel(false);
                counts.failed++;
            }
        }
    }
}
