package larkworks.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Counts the sockets of this process against its descriptor limit and closes connections to stay below it.
 * They are closed in this order: connections that only wait for their clients to close, silent unproven
 * connections, idle connections to backends, idle connections of clients. Connections with a request in
 * flight are kept. To be used on the proxy's event loop only, except {@link #openCount}.
 */
final class Sockets {

    /** Descriptors reserved for the jar, the selector, the standard streams, the listener and discovery. */
    private static final int RESERVED_DESCRIPTORS = 48;

    /** Allocates the buffers of connections on the heap, see {@link ReadBufferAllocator}. */
    static final ByteBufAllocator HEAP_BUFFERS = new UnpooledByteBufAllocator(false);

    private final int limit;
    /** The number of descriptors left to connections that this class does not count. */
    private final int uncounted;
    /** The maximum number of counted sockets. */
    private int maxOpen;
    /**
     * The maximum number of counted sockets with which a connection to a backend may still be opened. The
     * rest is left to clients: without a descriptor their connections can't be accepted, and their requests
     * are lost.
     */
    private int maxOpenForBackends;
    private List<BooleanSupplier> evictors = List.of();
    private Runnable releaseAction = () -> { };
    /** The number of counted sockets. Changed on the loop only; read by the metrics thread as well. */
    private volatile int openCount;

    /**
     * Creates a count of sockets with a limit.
     *
     * @param limit the number of descriptors that this process may use
     * @param uncounted how many of them are left to connections that this class does not count
     */
    Sockets(int limit, int uncounted) {
        this.limit = limit;
        this.uncounted = uncounted;
        updateMaximums(limit);
    }

    /** Derives the maximum numbers of sockets from the number of descriptors. */
    private void updateMaximums(int descriptors) {
        int counted = descriptors - uncounted;
        maxOpen = Math.max(2, counted - Math.min(RESERVED_DESCRIPTORS, counted / 2));
        maxOpenForBackends = Math.max(1, maxOpen - maxOpen / 8);
    }

    /** Sets whether another process of this proxy shares the limit, which leaves half of it to each. */
    void setLimitShared(boolean shared) {
        updateMaximums(shared ? limit / 2 : limit);
        evictUntilBelow(maxOpen + 1);
    }

    /** Returns an allocator for the read buffers of the counted connections. */
    ReadBufferAllocator readBufferAllocator() {
        return new ReadBufferAllocator(this::openCount);
    }

    /**
     * Sets the functions that close a connection when sockets run short, in the order in which they are
     * tried. Each returns false if it has no connection to close.
     */
    void setEvictors(BooleanSupplier... functions) {
        evictors = List.of(functions);
    }

    /** Sets the action to run whenever a counted socket is released. */
    void onRelease(Runnable action) {
        releaseAction = action;
    }

    /** Closes connections until fewer than {@code bound} are open or none is left to close. */
    private void evictUntilBelow(int bound) {
        while (openCount >= bound && evictOne()) {
            // Each iteration closes one connection, and its close calls release().
        }
    }

    /** Closes one connection, in the order of the class comment; returns false if none can be closed. */
    boolean evictOne() {
        return evictors.stream().anyMatch(BooleanSupplier::getAsBoolean);
    }

    /** Counts a socket for a new connection to a backend; returns false if none is available. */
    boolean tryAcquire() {
        evictUntilBelow(maxOpenForBackends);
        if (openCount >= maxOpenForBackends) {
            return false;
        }
        openCount++;
        return true;
    }

    /**
     * Opens a connection for which {@link #tryAcquire} has counted a socket. The socket counts until the
     * connection has closed.
     *
     * @param onConnected called on the loop, never before this method returns, with the result of the
     *     connection attempt; called with null if the system provided no socket
     * @return the channel that is being connected, or null if the system provided no socket
     */
    Channel connect(Bootstrap bootstrap, EventLoop loop, InetSocketAddress address,
            Consumer<ChannelFuture> onConnected) {
        return connect(bootstrap, loop, address, this::release, onConnected);
    }

    /**
     * Opens the connection to discovery, which uses a reserved descriptor. It is not counted, so that it can
     * be opened even when all counted sockets are in use, without closing another connection.
     *
     * @see #connect(Bootstrap, EventLoop, InetSocketAddress, Consumer)
     */
    Channel connectReserved(Bootstrap bootstrap, EventLoop loop, InetSocketAddress address,
            Consumer<ChannelFuture> onConnected) {
        return connect(bootstrap, loop, address, () -> { }, onConnected);
    }

    private static Channel connect(Bootstrap bootstrap, EventLoop loop, InetSocketAddress address,
            Runnable onClosed, Consumer<ChannelFuture> onConnected) {
        ChannelFuture connecting;
        try {
            connecting = bootstrap.connect(address);
        } catch (RuntimeException e) {
            // No channel was opened, so no close listener will release the socket.
            onClosed.run();
            throw e;
        }
        if (!connecting.channel().isRegistered() && connecting.isDone()) {
            // A channel that could not be registered has no event loop: its close future never completes, and
            // its listeners run on another thread.
            onClosed.run();
            loop.execute(() -> onConnected.accept(null));
            return null;
        }
        connecting.channel().closeFuture().addListener(closed -> onClosed.run());
        connecting.addListener(done -> onConnected.accept(connecting));
        return connecting.channel();
    }

    /**
     * Counts a connection that was accepted from a client, and closes others if there are too many. Returns
     * false if no further connection should be accepted for now.
     */
    boolean addAccepted() {
        openCount++;
        evictUntilBelow(maxOpen);
        return openCount < maxOpen;
    }

    /** Returns the number of counted sockets. */
    int openCount() {
        return openCount;
    }

    /** Returns whether the count of sockets is consistent, that is, not negative. */
    boolean isConsistent() {
        return openCount >= 0;
    }

    /** Ends the counting of a socket whose connection has closed. */
    void release() {
        openCount--;
        releaseAction.run();
    }
}
