package larkworks.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A member process alone, without a proxy: its event loop and its {@link FleetMember}. Each change of the
 * view is one line of the log.
 */
public final class Agent implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger("members");

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final FleetMember member;
    private final int self;
    private long drops;
    private long dropsLogged;

    /** Starts and joins. */
    public Agent(FleetConfig config) throws InterruptedException {
        self = config.self();
        member = new FleetMember(loop, config, new Events(), text ->
                LOG.atWarn().addKeyValue("member", self).addKeyValue("text", text).log("trouble"));
        loop.submit(member::start).sync();
        LOG.atInfo().addKeyValue("member", self).addKeyValue("incarnation", member.incarnation())
                .log("started");
        loop.scheduleAtFixedRate(() -> {
            if (drops != dropsLogged) {
                LOG.atInfo().addKeyValue("member", self).addKeyValue("count", drops).log("dropped");
                dropsLogged = drops;
            }
        }, 1, 1, TimeUnit.SECONDS);
    }

    /** Leaves and ends. */
    @Override
    public void close() {
        loop.submit(member::leave).syncUninterruptibly().getNow().syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private final class Events implements Membership.Events {
        @Override
        public void changed(int about, MemberState from, MemberState to, long incarnation) {
            LOG.atInfo().addKeyValue("member", self).addKeyValue("about", about)
                    .addKeyValue("from", FleetMember.name(from)).addKeyValue("to", FleetMember.name(to))
                    .addKeyValue("incarnation", incarnation).log("changed");
        }

        @Override
        public void dropped(String why) {
            drops++;
        }

        @Override
        public void minority(boolean now) {
            LOG.atWarn().addKeyValue("member", self).log(now ? "minority" : "majority");
        }
    }
}
