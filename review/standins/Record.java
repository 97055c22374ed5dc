import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with times since the start. */
final class Record {
    private static final long START_NS = System.nanoTime();
    private final PrintWriter file;

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path), true);
    }

    /** Returns the time since the start in milliseconds. */
    static long ms() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    synchronized void note(String text) {
        file.println(String.format(Locale.ROOT, "%7d ms  %s", ms(), text));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
