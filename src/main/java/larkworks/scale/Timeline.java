package larkworks.scale;

import java.util.PriorityQueue;

/** A queue of events on simulated time: they run in the order of their times, and of their coming. */
final class Timeline {

    private static final class Event implements Comparable<Event> {
        final long atUs;
        final long order;
        final Runnable action;

        Event(long atUs, long order, Runnable action) {
            this.atUs = atUs;
            this.order = order;
            this.action = action;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** Ends a wait early. */
    interface Condition {
        boolean holds();
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowUs;
    private long added;

    /** @param nowUs where it begins */
    Timeline(long nowUs) {
        this.nowUs = nowUs;
    }

    long nowUs() {
        return nowUs;
    }

    void after(long delayUs, Runnable action) {
        events.add(new Event(nowUs + Math.max(0, delayUs), added++, action));
    }

    /** Runs all events of the next so many microseconds. */
    void run(long forUs) {
        runUntil(forUs, () -> false);
    }

    /** Runs events until the condition holds after one of them; false where it did not within the time. */
    boolean runUntil(long withinUs, Condition condition) {
        long untilUs = nowUs + withinUs;
        while (!condition.holds()) {
            Event next = events.peek();
            if (next == null || next.atUs > untilUs) {
                nowUs = untilUs;
                return condition.holds();
            }
            events.remove();
            nowUs = next.atUs;
            next.action.run();
        }
        return true;
    }
}
