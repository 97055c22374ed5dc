package larkworks.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The clients of one proxy: some keep to the protocol, some leave, some send in pieces or not at all. */
final class SoakClient {

    /**
     * What part of the clients does what, in a thousand; all others ask, wait and take the answer.
     *
     * @param pieceMs the pause between two pieces of a request that is written in pieces
     * @param large have a large body, want a large answer or both; one that is safe to repeat may do neither
     * @param comeAgain of those that leave, send the same id once more on a new connection
     */
    record Habits(int leave, int pieces, int hurried, int halfThenStay, int pipelined, int freshConnection,
            int pieceMs, int large, int comeAgain) {

        Habits(int leave, int pieces, int hurried, int halfThenStay, int pipelined, int freshConnection,
                int pieceMs) {
            this(leave, pieces, hurried, halfThenStay, pipelined, freshConnection, pieceMs, 0, 0);
        }

        static final Habits PLAIN = new Habits(0, 0, 0, 0, 0, 400, 15);
        static final Habits MIXED = new Habits(80, 40, 50, 15, 30, 300, 15);
        static final Habits LARGE = new Habits(80, 40, 50, 15, 30, 300, 15, 80, 500);
    }

    private static final long LEAST_BUDGET_MS = 8;
    private static final long MOST_HURRIED_MS = 60;
    private static final int MOST_LEAVING_MS = 80;
    private static final int PIECES = 6;
    /** A peer that asks nothing proper is owed an error or a close by then. */
    private static final long BAD_PEER_US = 3_000_000;
    private static final int MOST_AWAY_MS = 40;
    private static final int LEAST_ANSWER_BYTES = 20_000;
    private static final int MOST_ANSWER_BYTES = 400_000;
    private static final int MOST_ANSWER_PARTS = 6;
    private static final long SIZES_SALT = 0x1A26E;
    private static final int THOUSAND = 1000;
    private static final int KEYED_SHARE = 250;
    private static final int UNSAFE_SHARE = 250;

    private final int proxy;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final History history;
    private final SplittableRandom random;
    /** Draws what is large, apart from {@link #random}: runs without large bodies stay as they were. */
    private final SplittableRandom sizes;
    private final Habits habits;
    /** The time that clients give a request as a rule. */
    private final long usualBudgetMs;
    private final Deque<Connection> idle = new ArrayDeque<>();
    /** Whether new connections may be opened: not to a process that was told to end some time ago. */
    private boolean connects = true;
    private boolean stopped;
    private boolean held;
    private int asked;

    SoakClient(int proxy, InetSocketAddress address, EventLoop loop, History history, long seed,
            Habits habits, long usualBudgetMs) {
        this.usualBudgetMs = usualBudgetMs;
        this.proxy = proxy;
        this.address = address;
        this.loop = loop;
        this.history = history;
        this.random = new SplittableRandom(seed);
        this.sizes = new SplittableRandom(seed ^ SIZES_SALT);
        this.habits = habits;
    }

    /** Whether requests may go out on new connections. */
    void connects(boolean may) {
        connects = may;
    }

    /** Asks at a mean pace until stopped. */
    void run(double perSecond) {
        if (stopped) {
            return;
        }
        long gapUs = (long) (-Math.log(1 - random.nextDouble()) * 1e6 / perSecond);
        loop.schedule(() -> {
            run(perSecond);
            ask();
        }, gapUs, TimeUnit.MICROSECONDS);
    }

    void stop() {
        stopped = true;
    }

    /** Whether no request is to begin for now. */
    void hold(boolean on) {
        held = on;
    }

    /** Opens so many connections that ask nothing and stay for a while. */
    void crowd(int connections, long ms) {
        Bootstrap idlers = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .handler(new ChannelInboundHandlerAdapter());
        for (int i = 0; i < connections; i++) {
            idlers.connect(address).addListener((ChannelFuture connected) -> {
                if (connected.isSuccess()) {
                    loop.schedule(() -> connected.channel().close(), ms, TimeUnit.MILLISECONDS);
                }
            });
        }
    }

    private void ask() {
        if (stopped || held) {
            return;
        }
        boolean fresh = random.nextInt(THOUSAND) < habits.freshConnection;
        Connection free = idle.pollLast();
        while (free != null && !free.channel.isActive()) {
            free = idle.pollLast();
        }
        if (free != null && !fresh) {
            free.ask(null);
            return;
        }
        if (free != null) {
            free.channel.close();
        }
        connect(null);
    }

    /** Opens a connection; {@code again} is a request to be sent once more, or null for a new one. */
    private void connect(History.Request again) {
        openConnection(connection -> connection.ask(again));
    }

    private void openConnection(Consumer<Connection> whenOpen) {
        if (!connects) {
            return;
        }
        Connection fresh = new Connection();
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 3_000)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(fresh);
                    }
                }).connect(address).addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        fresh.channel = connected.channel();
                        fresh.openedUs = history.nowUs();
                        whenOpen.accept(fresh);
                    }
                });
    }

    /** One connection; it has one request at a time, or two where they are sent at once. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private Channel channel;
        private long openedUs;
        private final MessageReader reader = new MessageReader();
        private final Deque<History.Request> open = new ArrayDeque<>();
        private boolean used;
        private boolean closing;
        private History.BadPeer bad;

        private void ask(History.Request again) {
            int habit = random.nextInt(THOUSAND);
            if (again == null && !used && (habit -= habits.halfThenStay) < 0) {
                halfThenStay();
                return;
            }
            boolean hurried = again == null && (habit -= habits.hurried) < 0 && habit >= -habits.hurried;
            long budgetMs = hurried ? random.nextLong(LEAST_BUDGET_MS, MOST_HURRIED_MS) : usualBudgetMs;
            History.Request request = begin(again, budgetMs);
            if (!hurried && habits.large > 0 && sizes.nextInt(THOUSAND) < habits.large) {
                askLarge(request);
                return;
            }
            String text = text(request);
            if (!hurried && (habit -= habits.pieces) < 0 && habit >= -habits.pieces) {
                pieces(request, text, 0);
                return;
            }
            send(request, text);
            if (!hurried && (habit -= habits.leave) < 0 && habit >= -habits.leave) {
                loop.schedule(this::leave, random.nextInt(MOST_LEAVING_MS), TimeUnit.MILLISECONDS);
            } else if ((habit -= habits.pipelined) < 0 && habit >= -habits.pipelined) {
                History.Request second = begin(null, usualBudgetMs);
                send(second, text(second));
            }
        }

        /** Sends the request of a connection that its client has left, with the same id. */
        private void sendAgain(History.Request left) {
            if (stopped) {
                channel.close();
                return;
            }
            History.Request again = left.again(history.nowUs());
            history.sentAgain.add(left);
            history.requests.put(again.id, again);
            used = true;
            open.add(again);
            again.sentUs = history.nowUs();
            write(text(again));
        }

        private History.Request begin(History.Request again, long budgetMs) {
            int kind = random.nextInt(THOUSAND);
            History.Effect effect = again != null ? again.effect
                    : kind < UNSAFE_SHARE ? History.Effect.UNSAFE
                    : kind < UNSAFE_SHARE + KEYED_SHARE ? History.Effect.KEYED : History.Effect.SAFE;
            History.Request request = new History.Request(history.requestId(proxy, asked++), effect, proxy,
                    budgetMs * 1000, !used);
            history.requests.put(request.id, request);
            used = true;
            open.add(request);
            return request;
        }

        /** Sends a request with a large body, or one that may have none and wants a large answer. */
        private void askLarge(History.Request request) {
            String query = sizes.nextBoolean() ? "" : "?answer="
                    + sizes.nextInt(LEAST_ANSWER_BYTES, MOST_ANSWER_BYTES) + "&parts="
                    + sizes.nextInt(1, MOST_ANSWER_PARTS);
            if (request.effect == History.Effect.SAFE) {
                send(request, head(request, query, ""));
                return;
            }
            SoakUpload upload = new SoakUpload(channel, loop, history, request, sizes);
            upload.start(head(request, query, upload.framing() + "\r\n"));
        }

        private String text(History.Request request) {
            return request.effect == History.Effect.SAFE ? head(request, "", "")
                    : head(request, "", "Content-Length: 5\r\n") + "hello";
        }

        private static String head(History.Request request, String query, String framing) {
            String name = switch (request.effect) {
                case SAFE -> "look";
                case KEYED -> "pay";
                case UNSAFE -> "act";
            };
            String method = request.effect == History.Effect.SAFE ? "GET" : "POST";
            String key = request.effect == History.Effect.KEYED
                    ? "Idempotency-Key: k" + request.id + "\r\n" : "";
            return method + " /" + name + query + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + request.id
                    + "\r\nX-Call-Class: " + name + "\r\nX-Budget-Ms: " + request.budgetUs / 1000 + "\r\n"
                    + key + framing + "\r\n";
        }

        private void send(History.Request request, String text) {
            request.firstSentUs = history.nowUs();
            request.sentUs = history.nowUs();
            write(text);
        }

        private void write(String text) {
            channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }

        private void pieces(History.Request request, String text, int piece) {
            if (!channel.isActive() || request.cutOffUs != History.NEVER) {
                return;
            }
            request.firstSentUs = piece == 0 ? history.nowUs() : request.firstSentUs;
            int from = text.length() * piece / PIECES;
            int to = text.length() * (piece + 1) / PIECES;
            if (to == text.length()) {
                request.sentUs = history.nowUs();
            }
            write(text.substring(from, to));
            if (to < text.length()) {
                loop.schedule(() -> pieces(request, text, piece + 1), habits.pieceMs, TimeUnit.MILLISECONDS);
            }
        }

        private void halfThenStay() {
            write("GET /look HTTP/1.1\r\nHost: x\r\nX-Call-");
            bad = new History.BadPeer(proxy, openedUs + BAD_PEER_US, History.NEVER, "half a head");
        }

        private void leave() {
            if (!open.isEmpty()) {
                closing = true;
                long now = history.nowUs();
                open.forEach(request -> request.clientLeftUs = now);
                channel.close();
                if (habits.comeAgain > 0 && sizes.nextInt(THOUSAND) < habits.comeAgain) {
                    History.Request left = open.peek();
                    loop.schedule(() -> openConnection(connection -> connection.sendAgain(left)),
                            sizes.nextInt(MOST_AWAY_MS), TimeUnit.MILLISECONDS);
                }
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            reader.add((ByteBuf) bytes);
            for (MessageReader.Message m = reader.next(); m != null; m = reader.next()) {
                answered(m);
            }
        }

        private void answered(MessageReader.Message answer) {
            if (bad != null) {
                endBad();
                return;
            }
            History.Request request = open.poll();
            if (request == null) {
                return;
            }
            request.answers++;
            request.answeredUs = history.nowUs();
            request.status = Integer.parseInt(answer.second());
            request.body = answer.body();
            if ("close".equals(answer.header("Connection"))) {
                closing = true;
                channel.close();
            } else if (open.isEmpty()) {
                idle.addLast(this);
            }
        }

        private void endBad() {
            if (bad != null) {
                history.badPeers.add(new History.BadPeer(proxy, bad.dueUs(), history.nowUs(), bad.what()));
                bad = null;
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(this);
            endBad();
            long now = history.nowUs();
            boolean begun = reader.hasPart();
            for (History.Request request : open) {
                if (request.clientLeftUs == History.NEVER) {
                    request.cutOffUs = now;
                    request.answerBegun = begun && request == open.peek();
                    if (!request.firstOnConnection && !begun && !closing && !stopped) {
                        // It may have crossed the end of a resting connection: once more on a new one.
                        connect(request);
                    }
                }
            }
            open.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
