package larkworks.platform;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.OutputStream;
import java.util.Map;
import org.slf4j.LoggerFactory;

/** Sets up the process's logs: one JSON object a line on the stream given. */
public final class Logs {

    private Logs() { }

    /**
     * Keeps Netty from our logs: it would set them up at the start of each proxy only to say at level debug
     * what it found, which costs 130 ms and 6 MB (measured, docs/ROADMAP.md).
     */
    public static void quietNetty() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /**
     * Begins; what was set up before is dropped.
     *
     * @param out where the lines go
     * @param levels by component, "" for all that are not named; INFO where nothing is said
     */
    public static void start(OutputStream out, Map<String, Level> levels) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        JsonLines lines = new JsonLines();
        lines.setContext(context);
        lines.start();
        OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
        appender.setContext(context);
        appender.setEncoder(lines);
        appender.setOutputStream(out);
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(levels.getOrDefault("", Level.INFO));
        root.addAppender(appender);
        levels.forEach((component, level) -> {
            if (!component.isEmpty()) {
                context.getLogger(component).setLevel(level);
            }
        });
    }
}
