package larkworks.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Carries datagrams at {@code peer_listen}: maps the source address to a member id by {@code peers}, and an
 * id to its address. It knows nothing of what they say. All on one event loop.
 */
final class PeerSocket {

    /** Who takes the datagrams; called on the loop. */
    interface Receiver {
        /**
         * One datagram came.
         *
         * @param from id of the member whose address it came from, -1 for an address not in {@code peers}
         * @param bytes its first {@link PeerCodec#MOST_BYTES} bytes at most; not to be kept
         * @param length its whole length, which may be greater
         */
        void receive(int from, byte[] bytes, int length);
    }

    /** One byte past the limit, so that an oversized datagram shows as one, however long it was. */
    private static final int READ_BYTES = PeerCodec.MOST_BYTES + 1;
    /** Read in one turn of the loop at most: a flood of garbage must leave clients their turn. */
    private static final int MOST_AT_ONCE = 32;

    private final EventLoop loop;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress everyone;
    private final int self;
    private final Receiver receiver;
    private final Map<InetSocketAddress, Integer> ids = new HashMap<>();
    private Channel channel;
    private long sent;
    private long received;

    PeerSocket(EventLoop loop, FleetConfig config, Receiver receiver) {
        this.loop = loop;
        this.peers = config.peers();
        this.everyone = config.everyone();
        this.self = config.self();
        this.receiver = receiver;
        for (int i = 0; i < peers.size(); i++) {
            ids.put(peers.get(i), i);
        }
    }

    /** Binds {@code listen}; the future fails where the address can't be had. */
    ChannelFuture bind(InetSocketAddress listen) {
        ChannelFuture bound = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(MOST_AT_ONCE))
                .handler(new Handler()).bind(listen);
        bound.addListener(done -> {
            if (done.isSuccess()) {
                channel = bound.channel();
            }
        });
        return bound;
    }

    /** Sends what a state machine left; without {@code peers_all} a farewell goes to each on its own. */
    void send(List<Membership.Outgoing> datagrams) {
        if (channel == null || datagrams.isEmpty()) {
            return;
        }
        for (Membership.Outgoing o : datagrams) {
            if (o.to() != Membership.EVERYONE) {
                write(o.bytes(), peers.get(o.to()));
            } else if (everyone != null) {
                write(o.bytes(), everyone);
            } else {
                for (int i = 0; i < peers.size(); i++) {
                    if (i != self) {
                        write(o.bytes(), peers.get(i));
                    }
                }
            }
        }
        channel.flush();
    }

    private void write(byte[] bytes, InetSocketAddress to) {
        sent++;
        channel.write(new DatagramPacket(channel.alloc().buffer(bytes.length).writeBytes(bytes), to));
    }

    /** Closes once all that was sent is written; done at once where nothing was bound. */
    io.netty.util.concurrent.Future<Void> close() {
        return channel == null ? loop.newSucceededFuture(null) : channel.close();
    }

    long sent() {
        return sent;
    }

    long received() {
        return received;
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        private final byte[] buffer = new byte[PeerCodec.MOST_BYTES];

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            received++;
            ByteBuf content = packet.content();
            int length = content.readableBytes();
            content.readBytes(buffer, 0, Math.min(length, buffer.length));
            receiver.receive(ids.getOrDefault(packet.sender(), -1), buffer, length);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A port unreachable from a member that is gone: loss, as far as UDP is concerned.
        }
    }
}
