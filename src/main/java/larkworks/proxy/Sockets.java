package larkworks.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Counts the sockets of this process against its limit. At the limit, connections that only wait for their
 * clients to close go first, then strangers' silent ones, idle ones to backends, and idle ones of clients: a
 * request in flight outweighs a handshake saved.
 */
final class Sockets {

    /** Descriptors for the jar, the selector, standard streams, the listener and discovery. */
    private static final int RESERVE = 48;

    private final int limit;
    private final int apart;
    private int most;
    /** Backends leave this part of the descriptors to clients, whose requests would else be lost unread. */
    private int mostForBackends;
    private List<BooleanSupplier> evictors = List.of();
    private Runnable freed = () -> { };
    /** Changed on the loop only; metrics read it. */
    private volatile int open;

    /** Divides the limit; {@code apart} of it are for connections that are not counted here. */
    Sockets(int limit, int apart) {
        this.limit = limit;
        this.apart = apart;
        divide(limit);
    }

    private void divide(int all) {
        int left = all - apart;
        most = Math.max(2, left - Math.min(RESERVE, left / 2));
        mostForBackends = Math.max(1, most - most / 8);
    }

    /** Whether another process of this proxy has a part in the limit. */
    void share(boolean shared) {
        divide(shared ? limit / 2 : limit);
        makeRoom(most + 1);
    }

    /** What is read at a time: enough for large bodies, and little where many come at once. */
    static AdaptiveRecvByteBufAllocator readBuffers() {
        return new AdaptiveRecvByteBufAllocator(512, 2048, 32 << 10);
    }

    /** Ways to close a connection, the one that can best be done without first; each false where none is. */
    void evictors(BooleanSupplier... ways) {
        evictors = List.of(ways);
    }

    void onFreed(Runnable action) {
        freed = action;
    }

    /** Closes connections until fewer than so many are open, or none is left to close. */
    private void makeRoom(int bound) {
        while (open >= bound && freeOne()) {
            // Each turn closes one connection, whose closing calls release.
        }
    }

    /** Closes the connection that can best be done without; false where none can. */
    boolean freeOne() {
        return evictors.stream().anyMatch(BooleanSupplier::getAsBoolean);
    }

    /** Takes a socket for a connection to a backend; false where none is left. */
    boolean take() {
        makeRoom(mostForBackends);
        if (open >= mostForBackends) {
            return false;
        }
        open++;
        return true;
    }

    /**
     * Connects with a socket that was taken, which counts until the connection has closed.
     *
     * @param told on the loop, never before this returns, whether it came up; null: the system gave no socket
     * @return the connection on its way, or null where the system gave no socket
     */
    Channel connect(Bootstrap bootstrap, EventLoop loop, InetSocketAddress address,
            Consumer<ChannelFuture> told) {
        return connect(bootstrap, loop, address, this::release, told);
    }

    /**
     * Connects to discovery. Its one connection is part of the reserve: it needs no socket to be taken, so
     * that it waits for none and costs nobody else's connection, whoever holds all the others.
     *
     * @see #connect(Bootstrap, EventLoop, InetSocketAddress, Consumer)
     */
    Channel connectReserved(Bootstrap bootstrap, EventLoop loop, InetSocketAddress address,
            Consumer<ChannelFuture> told) {
        return connect(bootstrap, loop, address, () -> { }, told);
    }

    private static Channel connect(Bootstrap bootstrap, EventLoop loop, InetSocketAddress address,
            Runnable ended, Consumer<ChannelFuture> told) {
        ChannelFuture connecting;
        try {
            connecting = bootstrap.connect(address);
        } catch (RuntimeException e) {
            // Nothing was opened, so nothing will tell of its closing.
            ended.run();
            throw e;
        }
        if (!connecting.channel().isRegistered() && connecting.isDone()) {
            // Such a channel has no loop: it never tells of its closing, and its listeners run elsewhere.
            ended.run();
            loop.execute(() -> told.accept(null));
            return null;
        }
        connecting.channel().closeFuture().addListener(closed -> ended.run());
        connecting.addListener(done -> told.accept(connecting));
        return connecting.channel();
    }

    /** Counts a client's connection, which is there already; false where there should be no further one. */
    boolean accepted() {
        open++;
        makeRoom(most);
        return open < most;
    }

    /** Connections open now. */
    int open() {
        return open;
    }

    /** The sockets that are counted are as many as none or more. */
    boolean consistent() {
        return open >= 0;
    }

    void release() {
        open--;
        freed.run();
    }
}
