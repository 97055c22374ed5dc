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
    private static final int MAX_ANSWER_BYTES = 128 << 10;
    /** Timeout of a connection attempt, and of an answer to a report. */
    private static final long ANSWER_TIMEOUT_MS = 2_000;

    /** Reads the settings from the configuration file with a merge patch applied to it. */
    interface SettingsSource {
        Settings settings(JsonNode patch) throws Unusable;
    }

    private final EventLoop loop;
    private final Driver driver;
    private final String name;
    private final List<InetSocketAddress> addresses;
    private final long reportIntervalMs;
    private final SettingsSource settingsSource;
    private final Settings initialSettings;
    private int addressIndex;
    /** The version that this proxy runs; 0 for the configuration file without a patch. */
    private long version;
    private long refusedVersion;
    private String refusalReason = "";
    private Future<?> nextReportTask;
    private boolean closed;

    RolloutClient(Config config, EventLoop loop, Driver driver, SettingsSource settingsSource) {
        this.loop = loop;
        this.driver = driver;
        this.name = config.name();
        this.addresses = config.discovery();
        this.reportIntervalMs = config.rolloutReportMs();
        this.settingsSource = settingsSource;
        this.initialSettings = config.settings();
    }

    /** Starts reporting; to be called on the loop. */
    void start() {
        nextReportTask = loop.schedule(this::sendReport, reportIntervalMs, TimeUnit.MILLISECONDS);
    }

    void close() {
        closed = true;
        if (nextReportTask != null) {
            nextReportTask.cancel(false);
        }
    }

    private void sendReport() {
        if (closed) {
            return;
        }
        nextReportTask = loop.schedule(this::sendReport, reportIntervalMs, TimeUnit.MILLISECONDS);
        InetSocketAddress address = addresses.get(addressIndex);
        new Bootstrap().group(loop).channel(TcpChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) ANSWER_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(
                                new ReadTimeoutHandler(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS),
                                new HttpClientCodec(), new HttpObjectAggregator(MAX_ANSWER_BYTES),
                                new AnswerHandler());
                    }
                }).connect(address).addListener((io.netty.channel.ChannelFuture connectFuture) -> {
                    if (connectFuture.isSuccess()) {
                        writeReport(connectFuture.channel(), address);
                    } else {
                        addressIndex = (addressIndex + 1) % addresses.size();
                    }
                });
    }

    private void writeReport(Channel channel, InetSocketAddress address) throws IOException {
        byte[] body = JSON.writeValueAsBytes(new Report(version, driver.requestsAnswered(),
                driver.requestsFailed(), refusedVersion, refusalReason, driver.ejectedServers()));
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.PUT,
                "/registry/v1/rollout/reports/" + name, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(address))
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        channel.writeAndFlush(request);
    }

    private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            context.close();
            if (response.status().code() != 200 || closed) {
                LOG.atWarn().addKeyValue("status", response.status().code())
                        .log("the list service did not accept a rollout report");
                return;
            }
            try {
                applyTarget(JSON.readValue(ByteBufUtil.getBytes(response.content()), Rollouts.Target.class));
            } catch (IOException e) {
                LOG.atWarn().addKeyValue("why", e.getMessage())
                        .log("the answer to a rollout report can't be parsed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // For example a timeout or a reset: the next report goes to the next address.
            LOG.atDebug().addKeyValue("why", cause.toString()).log("no answer to a rollout report");
            addressIndex = (addressIndex + 1) % addresses.size();
            context.close();
        }
    }

    private void applyTarget(Rollouts.Target target) {
        if (target.version() == version || refusedVersion > 0 && target.version() == refusedVersion) {
            return;
        }
        try {
            Settings settings = settingsSource.settings(target.patch());
            if (!classAndTenantNames(settings).equals(classAndTenantNames(initialSettings))) {
                throw new Unusable("rollout", List.of("classes and tenants must stay as they are"));
            }
            driver.applySettings(settings);
            LOG.atInfo().addKeyValue("from", version).addKeyValue("to", target.version())
                    .log("configuration version applied");
            version = target.version();
            refusedVersion = 0;
            refusalReason = "";
        } catch (Unusable | RuntimeException e) {
            // Whatever the fault, the version is not applied, and the next report gives the reason.
            refusedVersion = target.version();
            refusalReason = String.valueOf(e.getMessage());
            LOG.atError().addKeyValue("version", refusedVersion).addKeyValue("why", refusalReason)
                    .log("configuration version can't be applied; keeping the present one");
        }
    }

    private static List<Object> classAndTenantNames(Settings settings) {
        return List.of(settings.classes().stream().map(RequestClass::name).toList(),
                settings.tenants().stream().map(Tenant::name).toList());
    }
}
