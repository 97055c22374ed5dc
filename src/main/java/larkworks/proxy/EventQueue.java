package larkworks.proxy;

import java.util.ArrayDeque;
import java.util.Queue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles events one at a time, in the order in which they occurred. An event that occurs while another is
 * handled waits until that one and those that wait already have been handled. To be used on one thread only.
 */
final class EventQueue {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");

    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private boolean running;

    /** Runs an event now or, if it occurred within another one, before the outermost call returns. */
    void run(Runnable event) {
        waiting.add(event);
        if (running) {
            return;
        }
        running = true;
        try {
            while (!waiting.isEmpty()) {
                handle(waiting.remove());
            }
        } finally {
            running = false;
        }
    }

    private static void handle(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            // The process must keep running for the other requests. Those affected by the exception are
            // answered as failed shortly before their deadlines.
            LOG.error("failed to handle an event for the decision module", e);
        }
    }
}
