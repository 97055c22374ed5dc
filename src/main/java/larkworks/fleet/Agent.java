package larkworks.fleet;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import larkworks.adapter.Json;

/**
 * A member process alone: {@code java -cp larkworks.jar larkworks.fleet.Agent CONFIG}. CONFIG is JSON, see
 * {@link FleetConfig#of}. Each change of the view is one JSON line on standard output; exit 2 on a bad
 * configuration.
 */
public final class Agent {

    private static final JsonFactory JSON = new JsonFactory();
    private final PrintStream log = System.out;
    private final int self;
    private long drops;
    private long dropsLogged;

    private Agent(int self) {
        this.self = self;
    }

    /** Runs one member until SIGTERM (leaves) or SIGKILL. */
    public static void main(String[] args) throws InterruptedException {
        FleetConfig config;
        try {
            if (args.length != 1) {
                throw new IllegalArgumentException("usage: Agent CONFIG");
            }
            config = FleetConfig.of(Json.object(Files.readAllBytes(Path.of(args[0]))));
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("larkworks agent: " + e.getMessage());
            System.exit(2);
            return;
        }
        new Agent(config.self()).run(config);
    }

    private void run(FleetConfig config) throws InterruptedException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        FleetMember member = new FleetMember(loop, config, new Events(),
                text -> line("trouble", g -> g.writeStringField("text", text)));
        loop.submit(member::start).sync();
        line("started", g -> g.writeNumberField("incarnation", member.incarnation()));
        loop.scheduleAtFixedRate(() -> {
            if (drops != dropsLogged) {
                long count = drops;
                line("dropped", g -> g.writeNumberField("count", count));
                dropsLogged = count;
            }
        }, 1, 1, TimeUnit.SECONDS);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            loop.submit(member::leave).syncUninterruptibly().getNow().syncUninterruptibly();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }));
        group.terminationFuture().sync();
    }

    private final class Events implements Membership.Events {
        @Override
        public void changed(int member, MemberState from, MemberState to, long incarnation) {
            line("changed", g -> {
                g.writeNumberField("about", member);
                g.writeStringField("from", FleetMember.name(from));
                g.writeStringField("to", FleetMember.name(to));
                g.writeNumberField("incarnation", incarnation);
            });
        }

        @Override
        public void dropped(String why) {
            drops++;
        }

        @Override
        public void minority(boolean now) {
            line(now ? "minority" : "majority", g -> { });
        }
    }

    private interface Fields {
        void write(JsonGenerator g) throws IOException;
    }

    /** One JSON object a line; Jackson escapes quotes, newlines and non-ASCII text. */
    private void line(String message, Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(160);
        try (JsonGenerator g = JSON.createGenerator(bytes, JsonEncoding.UTF8)) {
            g.writeStartObject();
            g.writeNumberField("ts", System.currentTimeMillis());
            g.writeStringField("level", "INFO");
            g.writeStringField("component", "members");
            g.writeNumberField("member", self);
            g.writeStringField("message", message);
            fields.write(g);
            g.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        synchronized (log) {
            log.println(bytes.toString(StandardCharsets.UTF_8));
            log.flush();
        }
    }
}
