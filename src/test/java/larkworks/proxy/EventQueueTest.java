package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order in which events are handled. */
class EventQueueTest {

    private final EventQueue events = new EventQueue();
    private final List<String> handled = new ArrayList<>();

    private void add(String name, Runnable during) {
        events.run(() -> {
            handled.add(name + " begins");
            during.run();
            handled.add(name + " ends");
        });
    }

    @Test
    void handlesEventsThatOccurWithinAnotherAfterItInTheirOrder() {
        add("outer", () -> {
            add("first", () -> add("third", () -> { }));
            add("second", () -> { });
        });
        add("last", () -> { });
        assertEquals(List.of("outer begins", "outer ends", "first begins", "first ends", "second begins",
                "second ends", "third begins", "third ends", "last begins", "last ends"), handled);
    }

    @Test
    void handlesLaterEventsAfterOneThatThrows() {
        events.run(() -> {
            add("waiting", () -> { });
            throw new IllegalStateException("thrown by a test's event");
        });
        add("next", () -> { });
        assertEquals(List.of("waiting begins", "waiting ends", "next begins", "next ends"), handled);
    }
}
