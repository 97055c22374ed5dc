package larkworks.transport;

import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A listening socket that goes on accepting after a failed accept. Netty's own bootstrap stops accepting for
 * a second after any failure, while connections wait in the system's queue with their clients' time running
 * out. Here a failed call is made again at once; only one that keeps failing is paused for some milliseconds,
 * so that the loop does not spin. For the channel's loop only.
 */
public final class TcpListener extends NioServerSocketChannel {

    private static final Logger LOG = LoggerFactory.getLogger("transport");
    private static final int TRIES_IN_TURN = 4;
    private static final long FIRST_PAUSE_MS = 1;
    private static final long MOST_PAUSE_MS = 16;
    /** For so long the queue of a listener that closes is tried again where accepting fails. */
    private static final long CLOSING_TRIES_MS = 2_000;
    private static final long LOG_EVERY_NS = TimeUnit.SECONDS.toNanos(1);

    /** Who hears of failed accepts. */
    @FunctionalInterface
    public interface FailureListener {

        /**
         * An accept has failed.
         *
         * @param persists whether it did several times in a row: what is short, such as descriptors, should
         *     be freed
         */
        void acceptFailed(SystemError error, boolean persists);
    }

    /** Polls after which a connection that is accepted can't have waited since an earlier one any more. */
    private static final int QUEUE_POLLS = 2;

    /** Null where nobody asks since when connections may have waited. */
    private final PollTimes polls;
    /** Whether no connection was left in the queue when it was last looked at. */
    private boolean queueEmpty = true;
    /** Since when the connections accepted last may have waited in it, and the poll that told so. */
    private long queuedSinceNs;
    private long queuePoll;
    private FailureListener failures = (error, persists) -> { };
    /** Whether its owner wants no connections now. */
    private boolean suspended;
    /** Whether accepting rests after failures. */
    private boolean pausing;
    private long pauseMs = FIRST_PAUSE_MS;
    private boolean everLogged;
    private long loggedAtNs;
    private int failedSinceLogged;

    /** A listener of which nobody asks since when its connections have waited. */
    public TcpListener() {
        this(null);
    }

    /** A listener on a loop whose polls are noted; see {@link #queuedSinceNs}. */
    public TcpListener(PollTimes polls) {
        this.polls = polls;
    }

    /**
     * Since when the connection accepted last may have waited in the system's queue, by
     * {@link System#nanoTime}: it is taken out when the loop comes to it, and while connections are wanted.
     */
    public long queuedSinceNs() {
        return queuedSinceNs;
    }

    private void looked(boolean empty) {
        if (polls == null) {
            return;
        }
        boolean goesOn = !queueEmpty && polls.polls() <= queuePoll + QUEUE_POLLS;
        if (!empty && !goesOn) {
            queuedSinceNs = polls.earliestNs();
        }
        queueEmpty = empty;
        queuePoll = polls.polls();
    }

    private void waits(boolean begins) {
        if (polls != null && begins && queueEmpty) {
            queuedSinceNs = System.nanoTime();
            queueEmpty = false;
        }
        if (polls != null && !begins) {
            queuePoll = polls.polls();
        }
    }

    /** Has the owner told of failed accepts. */
    public void onFailure(FailureListener listener) {
        failures = listener;
    }

    /** Has new connections wait in the system's queue, or not any more. */
    public void suspend(boolean wait) {
        suspended = wait;
        regulate();
    }

    private void regulate() {
        boolean accept = !suspended && !pausing;
        if (config().isAutoRead() != accept) {
            waits(!accept);
            config().setAutoRead(accept);
        }
    }

    @Override
    protected int doReadMessages(List<Object> into) {
        SocketChannel accepted;
        try {
            accepted = accept();
        } catch (IOException e) {
            pause();
            return 0;
        }
        pauseMs = FIRST_PAUSE_MS;
        return accepted != null && wrap(accepted, into) ? 1 : 0;
    }

    /** The next connection of the queue; null where there is none. */
    private SocketChannel accept() throws IOException {
        for (int i = 1; ; i++) {
            try {
                SocketChannel accepted = javaChannel().accept();
                looked(accepted == null);
                return accepted;
            } catch (IOException e) {
                boolean last = i == TRIES_IN_TURN || !javaChannel().isOpen();
                failed(e, last);
                if (last) {
                    throw e;
                }
            }
        }
    }

    private boolean wrap(SocketChannel accepted, List<Object> into) {
        try {
            into.add(new TcpChannel(this, accepted));
            return true;
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("an accepted connection can't be used");
            try {
                accepted.close();
            } catch (IOException closing) {
                LOG.atWarn().setCause(closing).log("nor closed");
            }
            return false;
        }
    }

    private void failed(IOException why, boolean persists) {
        SystemError error = SystemError.of(why);
        failedSinceLogged++;
        long now = System.nanoTime();
        if (!everLogged || now - loggedAtNs > LOG_EVERY_NS) {
            LOG.atWarn().addKeyValue("error", error).addKeyValue("why", why.getMessage())
                    .addKeyValue("failures", failedSinceLogged).log("accept failed");
            everLogged = true;
            loggedAtNs = now;
            failedSinceLogged = 0;
        }
        failures.acceptFailed(error, persists);
    }

    private void pause() {
        if (pausing) {
            return;
        }
        pausing = true;
        regulate();
        eventLoop().schedule(() -> {
            pausing = false;
            regulate();
        }, pauseMs, TimeUnit.MILLISECONDS);
        pauseMs = Math.min(MOST_PAUSE_MS, 2 * pauseMs);
    }

    /**
     * Takes what waits in the system's queue, which would be reset with the listener, and closes. While a
     * selector knows the listener, the system closes it only some time after it was told to, with all that
     * came meanwhile; so the selector forgets it first.
     */
    public void drainAndClose() {
        EventLoop loop = eventLoop();
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSING_TRIES_MS);
        deregister().addListener(done -> drain(loop, untilNs));
    }

    private void drain(EventLoop loop, long untilNs) {
        if (javaChannel().isRegistered() || !takeQueue() && System.nanoTime() - untilNs < 0) {
            loop.schedule(() -> drain(loop, untilNs), FIRST_PAUSE_MS, TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }

    /** Hands on all connections of the queue; false where accepting failed before it was empty. */
    private boolean takeQueue() {
        try {
            for (SocketChannel next = accept(); next != null; next = accept()) {
                List<Object> wrapped = new ArrayList<>(1);
                if (wrap(next, wrapped)) {
                    pipeline().fireChannelRead(wrapped.get(0));
                }
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
