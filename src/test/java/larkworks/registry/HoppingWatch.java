package larkworks.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import larkworks.Program;

/** A watch that goes on at another replica after each answer, with its index alone. */
final class HoppingWatch {

    private final Replicas replicas;
    private final Map<String, String> held = new TreeMap<>();
    private final Thread thread = new Thread(this::run, "watch");
    private volatile long index = -1;
    private volatile long wholeLists;
    private volatile boolean ended;
    private volatile Throwable failure;

    HoppingWatch(Replicas replicas) {
        this.replicas = replicas;
        thread.start();
    }

    private void run() {
        try {
            List<String> ids = replicas.ids();
            for (int at = 0; !ended; at++) {
                try {
                    Caller.Answer answer = replicas.caller(ids.get(at % ids.size()))
                            .list(index < 0 ? "" : "?index=" + index + "&wait=1000");
                    if (answer.status() == 200) {
                        take(answer);
                    } else {
                        assertEquals(503, answer.status(), answer.error());
                    }
                } catch (IOException e) {
                    // Killed under us; the next one goes on.
                }
            }
        } catch (InterruptedException | RuntimeException | AssertionError e) {
            failure = e;
        }
    }

    private void take(Caller.Answer answer) {
        assertTrue(answer.index() >= index, () -> answer.index() + " after " + index);
        if (Boolean.TRUE.equals(answer.body().get("snapshot"))) {
            wholeLists++;
            held.clear();
        }
        for (String entry : answer.endpoints()) {
            String[] words = entry.split(" ");
            if (words[1].equals("terminated")) {
                held.remove(words[0]);
            } else {
                held.put(words[0], words[1]);
            }
        }
        index = answer.index();
    }

    /** Waits until it has come to a version. */
    void await(long wanted) throws InterruptedException {
        Program.await(30, () -> index + " of " + wanted + ", " + failure,
                () -> index >= wanted || failure != null);
    }

    /** Ends, and checks that it came to this list by changes alone, after the first whole one. */
    void check(Caller.Answer list) throws InterruptedException {
        ended = true;
        thread.join();
        assertEquals(null, failure);
        assertEquals(1, wholeLists);
        assertEquals(list.index(), index);
        Map<String, String> wanted = new TreeMap<>();
        list.endpoints().forEach(entry -> wanted.put(entry.split(" ")[0], entry.split(" ")[1]));
        assertEquals(wanted, held);
    }
}
