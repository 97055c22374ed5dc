package larkworks.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import larkworks.Balancer.RequestClass;
import larkworks.Balancer.Settings;
import larkworks.Balancer.Tenant;
import larkworks.platform.Addresses;
import larkworks.platform.ConfigFile.Unusable;
import larkworks.rollout.Report;
import larkworks.rollout.Rollouts;
import larkworks.transport.TcpChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A proxy's part in a staged rollout: it says now and then which version it runs and how that goes, and
 * takes up the version it is told to run. While the list service can't be reached, it runs on what it has.
 */
final class Adoption {

    private static final Logger LOG = LoggerFactory.getLogger("rollout");
    private static final ObjectMapper JSON = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build();
    private static final int MOST_ANSWER = 128 << 10;
    /** An answer later than this is not waited for. */
    private static final long PATIENCE_MS = 2_000;

    /** Makes a configuration's settings of its file and a patch to it. */
    interface Reader {
        Settings settings(JsonNode patch) throws Unusable;
    }

    private final EventLoop loop;
    private final Driver driver;
    private final String name;
    private final List<InetSocketAddress> addresses;
    private final long everyMs;
    private final Reader reader;
    private final Settings first;
    private int at;
    /** The version that is run; 0 for the file alone. */
    private long version;
    private long refused;
    private String why = "";
    private Future<?> next;
    private boolean closed;

    Adoption(Config config, EventLoop loop, Driver driver, Reader reader) {
        this.loop = loop;
        this.driver = driver;
        this.name = config.name();
        this.addresses = config.discovery();
        this.everyMs = config.rolloutReportMs();
        this.reader = reader;
        this.first = config.settings();
    }

    /** Begins to report; on the loop. */
    void start() {
        next = loop.schedule(this::report, everyMs, TimeUnit.MILLISECONDS);
    }

    void close() {
        closed = true;
        if (next != null) {
            next.cancel(false);
        }
    }

    private void report() {
        if (closed) {
            return;
        }
        next = loop.schedule(this::report, everyMs, TimeUnit.MILLISECONDS);
        InetSocketAddress address = addresses.get(at);
        new Bootstrap().group(loop).channel(TcpChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) PATIENCE_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(
                                new ReadTimeoutHandler(PATIENCE_MS, TimeUnit.MILLISECONDS),
                                new HttpClientCodec(), new HttpObjectAggregator(MOST_ANSWER), new Answer());
                    }
                }).connect(address).addListener((io.netty.channel.ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        send(connected.channel(), address);
                    } else {
                        at = (at + 1) % addresses.size();
                    }
                });
    }

    private void send(Channel channel, InetSocketAddress address) throws IOException {
        byte[] body = JSON.writeValueAsBytes(new Report(version, driver.requestsAnswered(),
                driver.requestsFailed(), refused, why, driver.ejectedServers()));
        var call = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.PUT,
                "/registry/v1/rollout/reports/" + name, Unpooled.wrappedBuffer(body));
        call.headers().set(HttpHeaderNames.HOST, Addresses.text(address))
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        channel.writeAndFlush(call);
    }

    private final class Answer extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            context.close();
            if (response.status().code() != 200 || closed) {
                LOG.atWarn().addKeyValue("status", response.status().code()).log("a report was not taken");
                return;
            }
            try {
                told(JSON.readValue(ByteBufUtil.getBytes(response.content()), Rollouts.Target.class));
            } catch (IOException e) {
                LOG.atWarn().addKeyValue("why", e.getMessage()).log("an answer that can't be read");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // Silence, a reset: the next report asks the next address.
            LOG.atDebug().addKeyValue("why", cause.toString()).log("no answer to a report");
            at = (at + 1) % addresses.size();
            context.close();
        }
    }

    private void told(Rollouts.Target target) {
        if (target.version() == version || refused > 0 && target.version() == refused) {
            return;
        }
        try {
            Settings settings = reader.settings(target.patch());
            if (!names(settings).equals(names(first))) {
                throw new Unusable("rollout", List.of("classes and tenants must stay as they are"));
            }
            driver.applySettings(settings);
            LOG.atInfo().addKeyValue("from", version).addKeyValue("to", target.version()).log("adopted");
            version = target.version();
            refused = 0;
            why = "";
        } catch (Unusable | RuntimeException e) {
            // Whatever is wrong with it, the version is not run, and the list service is told why.
            refused = target.version();
            why = String.valueOf(e.getMessage());
            LOG.atError().addKeyValue("version", refused).addKeyValue("why", why).log("can't be adopted");
        }
    }

    private static List<Object> names(Settings settings) {
        return List.of(settings.classes().stream().map(RequestClass::name).toList(),
                settings.tenants().stream().map(Tenant::name).toList());
    }
}
