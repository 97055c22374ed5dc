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
 * The proxy's client of staged rollouts: reports at a fixed interval which configuration version it runs and
 * how requests fare with it, and applies the version that the answer names. While the list service can't be
 * reached, the proxy keeps its present version.
 */
final class RolloutClient {

    private static final Logger LOG = LoggerFactory.getLogger("rollout");
    private static final ObjectMapper JSON = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build();
    private static final int MOST_ANSWER = 128 << 10;
    /** Timeout of connecting, and of the wait for an answer. */
    private static final long PATIENCE_MS = 2_000;

    /** Reads the settings from the configuration file with a merge patch applied to it. */
    interface SettingsReader {
        Settings settings(JsonNode patch) throws Unusable;
    }

    private final EventLoop loop;
    private final Driver driver;
    private final String name;
    private final List<InetSocketAddress> addresses;
    private final long everyMs;
    private final SettingsReader reader;
    private final Settings first;
    private int at;
    /** The version that this proxy runs; 0 for the configuration file without a patch. */
    private long version;
    private long refused;
    private String why = "";
    private Future<?> next;
    private boolean closed;

    RolloutClient(Config config, EventLoop loop, Driver driver, SettingsReader reader) {
        this.loop = loop;
        this.driver = driver;
        this.name = config.name();
        this.addresses = config.discovery();
        this.everyMs = config.rolloutReportMs();
        this.reader = reader;
        this.first = config.settings();
    }

    /** Starts reporting; to be called on the loop. */
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
        byte[] body = JSON.writeValueAsBytes(new Report(version, driver.requestsEnded(),
                driver.requestsFailed(), refused, why, driver.resting()));
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
                LOG.atWarn().addKeyValue("status", response.status().code())
                        .log("the list service did not accept a rollout report");
                return;
            }
            try {
                told(JSON.readValue(ByteBufUtil.getBytes(response.content()), Rollouts.Target.class));
            } catch (IOException e) {
                LOG.atWarn().addKeyValue("why", e.getMessage())
                        .log("the answer to a rollout report can't be parsed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // For example a timeout or a reset: the next report goes to the next address.
            LOG.atDebug().addKeyValue("why", cause.toString()).log("no answer to a rollout report");
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
            driver.adopt(settings);
            LOG.atInfo().addKeyValue("from", version).addKeyValue("to", target.version()).log("adopted");
            version = target.version();
            refused = 0;
            why = "";
        } catch (Unusable | RuntimeException e) {
            // Whatever the fault, the version is not applied, and the next report gives the reason.
            refused = target.version();
            why = String.valueOf(e.getMessage());
            LOG.atError().addKeyValue("version", refused).addKeyValue("why", why)
                    .log("configuration version can't be applied; keeping the present one");
        }
    }

    private static List<Object> names(Settings settings) {
        return List.of(settings.classes().stream().map(RequestClass::name).toList(),
                settings.tenants().stream().map(Tenant::name).toList());
    }
}
