package larkworks.platform;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.Map;
import org.slf4j.LoggerFactory;

/** The process's logs: one JSON object a line on standard error, written by a thread of their own. */
public final class Logs {

    /** Lines that wait at most; past that they are dropped, as a full pipe must not stop an event loop. */
    private static final int MOST_WAITING = 512;
    /** How long the end waits for the lines not written yet. */
    private static final int FLUSH_MS = 500;

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
     * @param fields of the process, which stand in each line: its name, for example
     */
    public static void start(LogSettings settings, Map<String, String> fields) {
        LoggerContext context = context();
        context.reset();
        JsonLines lines = new JsonLines(fields);
        lines.setContext(context);
        lines.start();
        OutputStreamAppender<ILoggingEvent> stream = new OutputStreamAppender<>();
        stream.setContext(context);
        stream.setEncoder(lines);
        stream.setOutputStream(new FileOutputStream(FileDescriptor.err));
        stream.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(MOST_WAITING);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.setMaxFlushTime(FLUSH_MS);
        queue.addAppender(stream);
        queue.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.convertAnSLF4JLevel(settings.level()));
        root.addAppender(queue);
        settings.levels().forEach((component, level) ->
                context.getLogger(component).setLevel(Level.convertAnSLF4JLevel(level)));
    }

    /** Writes what waits; nothing is logged after. */
    public static void stop() {
        context().stop();
    }

    private static LoggerContext context() {
        return (LoggerContext) LoggerFactory.getILoggerFactory();
    }
}
