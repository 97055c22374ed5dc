package larkworks.transport;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.concurrent.TimeUnit;

/**
 * When an event loop polled its sockets, which bounds how long bytes may have lain unread: what is read now
 * was not there at the poll before the latest. A heartbeat has the loop poll at least every
 * {@link #HEARTBEAT_MS}, so that a longer gap shows that the loop, or the whole process, was held up. For the
 * loop's thread only, but for {@link #longestGapMs}.
 */
public final class PollTimes {

    /** A loop that has nothing to do polls this often. */
    public static final long HEARTBEAT_MS = 50;
    /** A gap that is longer shows that the loop was held up. */
    private static final long LATE_GAP_NS = TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MS) * 3 / 2;

    private long polledNs = System.nanoTime();
    private long polledBeforeNs = polledNs;
    private long polls;
    /** Whether the latest poll may have ended without a look at the sockets, see {@link #ended}. */
    private boolean doubtful;
    private volatile long longestGapNs;

    /** The same handlers, whose polls are noted here; for a group of one loop. */
    public IoHandlerFactory observe(IoHandlerFactory handlers) {
        return executor -> new ObservedHandler(handlers.newHandler(executor));
    }

    /** Has the loop poll regularly from now on. */
    public void start(EventLoop loop) {
        loop.scheduleAtFixedRate(() -> { }, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    private void polled() {
        polledBeforeNs = polledNs;
        polledNs = System.nanoTime();
        polls++;
        if (polledNs - polledBeforeNs > longestGapNs) {
            longestGapNs = polledNs - polledBeforeNs;
        }
    }

    /**
     * A poll that was stopped with its process, and came back late and empty, may have been interrupted
     * before it looked: the next one is taken to follow the poll before it.
     */
    private void ended(int handled) {
        doubtful = handled == 0 && !doubtful && polledNs - polledBeforeNs > LATE_GAP_NS;
        if (doubtful) {
            polledNs = polledBeforeNs;
        }
    }

    /** Counts the polls so far. */
    public long polls() {
        return polls;
    }

    /**
     * How long what is read now may have lain unread, by {@link System#nanoTime}; 0 where the loop is on
     * time, as the pause between two heartbeats tells nothing.
     */
    public long unreadNs() {
        return unreadSinceNs(polledBeforeNs);
    }

    /** The same for bytes that may have come at any time since then. */
    public long unreadSinceNs(long sinceNs) {
        return ifLate(System.nanoTime() - sinceNs);
    }

    private static long ifLate(long gapNs) {
        return gapNs > LATE_GAP_NS ? gapNs : 0;
    }

    /** The earliest time at which what is read now can have come. */
    public long earliestNs() {
        return polledBeforeNs;
    }

    /** The longest time between two polls since this was last asked, in milliseconds; from any thread. */
    public long longestGapMs() {
        long gap = longestGapNs;
        longestGapNs = 0;
        return TimeUnit.NANOSECONDS.toMillis(gap);
    }

    /** Passes everything on, and notes when each poll has returned. */
    private final class ObservedHandler implements IoHandler {
        private final IoHandler handler;
        private final ObservedContext observed = new ObservedContext();

        ObservedHandler(IoHandler handler) {
            this.handler = handler;
        }

        @Override
        public void initialize() {
            handler.initialize();
        }

        @Override
        public int run(IoHandlerContext context) {
            observed.context = context;
            int handled = handler.run(observed);
            ended(handled);
            return handled;
        }

        @Override
        public void prepareToDestroy() {
            handler.prepareToDestroy();
        }

        @Override
        public void destroy() {
            handler.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return handler.register(handle);
        }

        @Override
        public void wakeup() {
            handler.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return handler.isCompatible(handleType);
        }
    }

    /** A handler asks between its poll and the first socket whether to report how long the sockets take. */
    private final class ObservedContext implements IoHandlerContext {
        private IoHandlerContext context;

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return context.delayNanos(currentTimeNanos);
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            polled();
            return context.shouldReportActiveIoTime();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            context.reportActiveIoTime(activeNanos);
        }
    }
}
