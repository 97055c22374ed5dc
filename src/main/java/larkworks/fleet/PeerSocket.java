package larkworks.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Carries membership's datagrams at {@code peer_listen}: maps the source address to a member id by
 * {@code peers}, hands the bytes to {@link Membership}, ticks it, and sends what it leaves. All on one
 * event loop, the owner of the state machine.
 */
public final class PeerSocket {

    private final EventLoop loop;
    private final Membership membership;
    private final List<InetSocketAddress> peers;
    private final Map<InetSocketAddress, Integer> ids = new HashMap<>();
    private final LongSupplier clockUs;
    private final long tickUs;
    private Channel channel;
    private Future<?> ticking;

    /**
     * @param peers the members' addresses by id, as {@code peers} in the configuration gives them
     * @param clockUs the caller's clock, microseconds
     * @param tickUs how often the detector is moved on
     */
    public PeerSocket(EventLoop loop, Membership membership, List<InetSocketAddress> peers,
            LongSupplier clockUs, long tickUs) {
        this.loop = loop;
        this.membership = membership;
        this.peers = List.copyOf(peers);
        this.clockUs = clockUs;
        this.tickUs = tickUs;
        for (int i = 0; i < peers.size(); i++) {
            ids.put(peers.get(i), i);
        }
    }

    /** Binds {@code listen} and starts ticking; the future fails where the address can't be had. */
    public io.netty.channel.ChannelFuture bind(InetSocketAddress listen) {
        io.netty.channel.ChannelFuture bound = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .handler(new Receiver()).bind(listen);
        bound.addListener(done -> {
            if (done.isSuccess()) {
                channel = bound.channel();
                ticking = loop.scheduleAtFixedRate(this::tick, 0, tickUs, TimeUnit.MICROSECONDS);
            }
        });
        return bound;
    }

    /** Leaves the membership and closes once the farewells are written; on the loop. */
    public Future<Void> leave() {
        ticking.cancel(false);
        membership.leave();
        flush();
        return channel.close();
    }

    private void tick() {
        membership.tick(clockUs.getAsLong());
        flush();
    }

    private void flush() {
        for (Membership.Outgoing o : membership.drain()) {
            channel.write(new DatagramPacket(channel.alloc().buffer(o.bytes().length).writeBytes(o.bytes()),
                    peers.get(o.to())));
        }
        channel.flush();
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        private final byte[] buffer = new byte[PeerCodec.MOST_BYTES];

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            ByteBuf content = packet.content();
            int length = content.readableBytes();
            Integer from = ids.get(packet.sender());
            // A longer datagram is no member's: the codec counts it, from its length alone.
            content.readBytes(buffer, 0, Math.min(length, buffer.length));
            membership.receive(clockUs.getAsLong(), from == null ? -1 : from, buffer, length);
            flush();
        }
    }
}
