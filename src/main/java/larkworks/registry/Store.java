package larkworks.registry;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The data directory of one list service, and the one thread that writes there: it takes all changes waiting,
 * writes them and calls fsync once (group commit), and only then tells the owner. A lock keeps a second
 * process out.
 */
final class Store implements Closeable {

    /** What the owner hears, on its own executor, in the order of the tickets. */
    interface Owner {
        /** These are on disk. */
        void durable(List<Ticket> tickets);

        /** These are not and will not be, nor is anything granted since; tickets of {@code era} may be. */
        void failed(List<Ticket> tickets, IOException why, long era);

        /** A recovery has ended; null where writes go on. */
        void recovered(IOException failure);
    }

    /**
     * A call waiting for the disk.
     *
     * @param change what is to be written; null where the call only waits for what was granted before it
     * @param answer to be called by the owner once its fate is known; null for success
     * @param era the store's era in which it was granted: after a failure what was built on it fails too
     */
    record Ticket(Change change, Consumer<IOException> answer, long era) { }

    private sealed interface Job permits Write, Save, Recover, Stop { }

    private record Write(Ticket ticket) implements Job { }

    private record Save(Catalog.Image image) implements Job { }

    private record Recover(Catalog.Image image) implements Job { }

    private record Stop() implements Job { }

    private static final Logger LOG = LoggerFactory.getLogger("registry");
    private static final int MOST_IN_BATCH = 4_096;

    private final Path folder;
    private final FileChannel lockFile;
    private final Catalog catalog;
    private final SnapshotFile snapshot;
    private final String epoch;
    private final BlockingQueue<Job> jobs = new LinkedBlockingQueue<>();
    private final AtomicLong syncs = new AtomicLong();
    private final Thread thread = new Thread(this::run, "store");
    private volatile Wal wal;
    private volatile long logBytes;
    private Executor executor;
    private Owner owner;
    private long era;
    private long lastIndex;

    private final long snapshotBytes;
    private volatile boolean saving;
    /** The log's length at which a snapshot is due; further on after one that failed. */
    private volatile long snapshotAt;

    private Store(Path folder, FileChannel lockFile, int maxTombstones, long snapshotBytes)
            throws IOException {
        this.snapshotBytes = snapshotBytes;
        snapshotAt = snapshotBytes;
        this.folder = folder;
        this.lockFile = lockFile;
        epoch = epoch();
        catalog = new Catalog(maxTombstones);
        snapshot = new SnapshotFile(folder);
        Catalog.Image image = snapshot.read();
        catalog.restore(image);
        wal = Wal.open(folder, image.index(), catalog::apply);
        lastIndex = catalog.index();
        logBytes = wal.bytes();
    }

    /**
     * Opens a data directory, made where there is none, and reads what it holds.
     *
     * @param maxTombstones see {@link Catalog}
     * @param snapshotBytes the log's length at which the owner is to {@link #save} a snapshot
     * @throws IOException saying which file is damaged, or that another process holds the directory
     */
    static Store open(Path folder, int maxTombstones, long snapshotBytes) throws IOException {
        FileChannel lockFile = Folders.lock(folder);
        try {
            if (Files.exists(folder.resolve(ReplicatedRegistry.DATA))) {
                throw new IOException(folder + ": it holds the data of a replica");
            }
            return new Store(folder, lockFile, maxTombstones, snapshotBytes);
        } catch (IOException | RuntimeException e) {
            lockFile.close();
            throw e;
        }
    }

    private String epoch() throws IOException {
        Path file = folder.resolve("epoch");
        if (!Files.exists(file)) {
            Folders.replace(file, ByteBuffer.wrap(
                    UUID.randomUUID().toString().getBytes(StandardCharsets.US_ASCII)));
        }
        return Files.readString(file, StandardCharsets.US_ASCII).strip();
    }

    /** What was read from disk; from now on the owner's, who applies to it what is durable. */
    Catalog catalog() {
        return catalog;
    }

    /** Which data this is: another directory has another, also for the same indexes. */
    String identity() {
        return epoch;
    }

    /** Begins to write. */
    void start(Executor owners, Owner told) {
        executor = owners;
        owner = told;
        thread.start();
    }

    /** Has a ticket written, in the order of the calls. */
    void submit(Ticket ticket) {
        jobs.add(new Write(ticket));
    }

    /** Writes the catalog down whole, after which older parts of the log can go. */
    void save(Catalog.Image image) {
        saving = true;
        jobs.add(new Save(image));
    }

    /**
     * Writes the catalog down whole and begins a new log, after one that is broken. The owner is told how it
     * went.
     *
     * @param image all that was ever acknowledged
     */
    void recover(Catalog.Image image) {
        jobs.add(new Recover(image));
    }

    /** Whether the log is long enough for a snapshot, and none is being written. */
    boolean snapshotDue() {
        return !saving && logBytes >= snapshotAt;
    }

    /** Bytes in the log's current segment. */
    long logBytes() {
        return logBytes;
    }

    /** How often fsync was called for changes. */
    long syncs() {
        return syncs.get();
    }

    /** Whether nothing can be written until a recovery has succeeded. */
    boolean isBroken() {
        return wal.isBroken();
    }

    private void run() {
        List<Ticket> batch = new ArrayList<>();
        List<Job> taken = new ArrayList<>();
        while (true) {
            taken.clear();
            try {
                taken.add(jobs.take());
            } catch (InterruptedException e) {
                return;
            }
            jobs.drainTo(taken, MOST_IN_BATCH);
            for (Job job : taken) {
                if (job instanceof Write write) {
                    batch.add(write.ticket());
                    continue;
                }
                commit(batch);
                if (job instanceof Save save) {
                    saveNow(save.image());
                } else if (job instanceof Recover recover) {
                    recoverNow(recover.image());
                } else {
                    return;
                }
            }
            commit(batch);
        }
    }

    private void commit(List<Ticket> batch) {
        if (batch.isEmpty()) {
            return;
        }
        List<Ticket> tickets = List.copyOf(batch);
        batch.clear();
        List<Ticket> current = tickets.stream().filter(t -> t.era() == era).toList();
        List<Ticket> late = tickets.stream().filter(t -> t.era() != era).toList();
        if (!late.isEmpty()) {
            fail(late, new IOException("a change granted before it could not be written"));
        }
        List<Change> changes = current.stream().map(Ticket::change).filter(c -> c != null).toList();
        try {
            if (!changes.isEmpty()) {
                wal.append(changes);
                syncs.incrementAndGet();
                lastIndex = changes.get(changes.size() - 1).index();
                logBytes = wal.bytes();
            }
        } catch (IOException e) {
            era++;
            fail(current, e);
            return;
        }
        if (!current.isEmpty()) {
            executor.execute(() -> owner.durable(current));
        }
    }

    private void fail(List<Ticket> tickets, IOException why) {
        long now = era;
        executor.execute(() -> owner.failed(tickets, why, now));
    }

    /** A failed snapshot costs nothing but a longer log; it is tried again when the log has grown on. */
    private void saveNow(Catalog.Image image) {
        try {
            snapshot.write(image);
            wal = wal.roll(lastIndex + 1);
            logBytes = 0;
            snapshotAt = snapshotBytes;
            wal.deleteThrough(image.index());
        } catch (IOException e) {
            snapshotAt = logBytes + snapshotBytes;
            LOG.atWarn().addKeyValue("why", e.toString())
                    .log("snapshot failed");
        } finally {
            saving = false;
        }
    }

    private void recoverNow(Catalog.Image image) {
        IOException failure = null;
        try {
            if (wal.isBroken()) {
                snapshot.write(image);
                if (!snapshot.holds(image)) {
                    throw new IOException("the snapshot reads otherwise than it was written");
                }
                wal = wal.beginAnew(image.index() + 1);
                lastIndex = image.index();
                logBytes = 0;
                snapshotAt = snapshotBytes;
            }
        } catch (IOException e) {
            failure = e;
        }
        IOException why = failure;
        executor.execute(() -> owner.recovered(why));
    }

    /** Writes what waits, and lets another process have the directory. */
    @Override
    public void close() throws IOException {
        if (thread.isAlive()) {
            jobs.add(new Stop());
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        wal.close();
        lockFile.close();
    }
}
