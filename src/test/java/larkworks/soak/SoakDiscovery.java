package larkworks.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** The list of servers, and for each proxy two addresses at which it is told, of which one is in use. */
final class SoakDiscovery {

    /** How an address misbehaves. */
    enum Fault { NONE, DOWN, SILENT, SLOW }

    private static final int SLOW_MS = 400;

    /** One line of the list. */
    private record Entry(String name, String address, String status, long sinceMs, long index) {
        String json() {
            return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"a\","
                    + "\"type\":\"m\",\"group\":1,\"status\":\"" + status
                    + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}";
        }
    }

    private final EventLoop loop;
    private final History history;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Address> addresses = new ArrayList<>();
    private long index = 1;

    SoakDiscovery(EventLoop loop, History history) {
        this.loop = loop;
        this.history = history;
    }

    /** Lists a server, or changes its line, and tells all who watch. */
    void put(String name, String address, String status, long sinceMs) {
        entries.put(name, new Entry(name, address, status, sinceMs, ++index));
        List.copyOf(addresses).forEach(Address::tell);
    }

    /** Changes a server's status, and tells all who watch. */
    void status(String name, String status) {
        Entry before = entries.get(name);
        put(name, before.address, status, before.sinceMs);
    }

    /** The whole list, without those that are gone. */
    String whole() {
        return list(true, entries.values().stream().filter(e -> !e.status.equals("terminated")).toList());
    }

    private String list(boolean whole, List<Entry> told) {
        return "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":["
                + told.stream().map(Entry::json).collect(Collectors.joining(",")) + "]}";
    }

    /** A further address at which the list is told to one proxy. */
    Address address(int proxy) throws InterruptedException {
        Address fresh = new Address(proxy);
        addresses.add(fresh);
        return fresh;
    }

    /** Where one proxy asks. */
    final class Address {
        private final int proxy;
        private final Set<Connection> connections = new HashSet<>();
        private InetSocketAddress at = new InetSocketAddress("127.0.0.1", 0);
        private Channel listener;
        private Fault fault = Fault.NONE;

        private Address(int proxy) throws InterruptedException {
            this.proxy = proxy;
            listen().sync();
            at = (InetSocketAddress) listener.localAddress();
        }

        private io.netty.channel.ChannelFuture listen() {
            var bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline().addLast(new Connection(channel, Address.this));
                        }
                    }).bind(at);
            listener = bound.channel();
            return bound;
        }

        String text() {
            return "127.0.0.1:" + at.getPort();
        }

        /** From now on misbehaves like this; silent are only the connections open now. */
        void fault(Fault next) {
            if (fault == Fault.DOWN && next != Fault.DOWN) {
                listen();
            }
            fault = next;
            if (next == Fault.DOWN) {
                listener.close();
                Set.copyOf(connections).forEach(c -> c.channel.close());
            } else if (next == Fault.SILENT) {
                connections.forEach(c -> c.silent = true);
            }
        }

        private void tell() {
            Set.copyOf(connections).forEach(Connection::tell);
        }
    }

    /** A proxy's connection, on which it asks or watches. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final Channel channel;
        private final Address address;
        private final MessageReader reader = new MessageReader();
        private boolean silent;
        /** The version that a watch waits for something newer than; negative while none is open. */
        private long watched = -1;
        private int calls;

        Connection(Channel channel, Address address) {
            this.channel = channel;
            this.address = address;
            address.connections.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            address.connections.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            reader.add((ByteBuf) bytes);
            MessageReader.Message call = reader.next();
            if (call == null) {
                return;
            }
            String target = call.second();
            int query = target.indexOf("?index=");
            if (query < 0) {
                answer(true, List.copyOf(entries.values()).stream()
                        .filter(e -> !e.status.equals("terminated")).toList());
                return;
            }
            String[] numbers = target.substring(query + "?index=".length()).split("&wait=");
            watched = Long.parseLong(numbers[0]);
            int call0 = ++calls;
            if (watched < index) {
                tell();
            } else {
                loop.schedule(() -> {
                    if (calls == call0 && watched >= 0) {
                        watched = -1;
                        answer(false, List.of());
                    }
                }, Long.parseLong(numbers[1]), TimeUnit.MILLISECONDS);
            }
        }

        private void tell() {
            if (watched >= 0 && watched < index) {
                long from = watched;
                watched = -1;
                answer(false, entries.values().stream().filter(e -> e.index > from).toList());
            }
        }

        private void answer(boolean whole, List<Entry> told) {
            if (silent) {
                return;
            }
            String body = list(whole, told);
            Runnable write = () -> {
                told.stream().filter(e -> !e.status.equals("in_service")).forEach(e ->
                        history.told.add(new History.Told(address.proxy, e.name, history.nowUs())));
                channel.writeAndFlush(Unpooled.copiedBuffer("HTTP/1.1 200 X\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body, StandardCharsets.ISO_8859_1));
            };
            if (address.fault == Fault.SLOW) {
                loop.schedule(write, SLOW_MS, TimeUnit.MILLISECONDS);
            } else {
                write.run();
            }
        }
    }
}
