package larkworks.registry;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * The log of changes: segments {@code wal-INDEX.log}, named for the first change in them, each a row of
 * {@link Frames}. One thread. After a failed write the segment is cut back to its last good frame; where that
 * can't be done, or fsync failed, what is on disk is unknown and nothing more is written to this log: see
 * {@link #beginAnew}.
 */
final class Wal implements Closeable {

    private static final String PREFIX = "wal-";
    private static final String SUFFIX = ".log";

    /** Writing has failed such that what is on disk is unknown: this log takes no more. */
    static final class Broken extends IOException {
        private static final long serialVersionUID = 1L;

        Broken(String why, Throwable cause) {
            super(why, cause);
        }
    }

    private final Path folder;
    private final FileChannel channel;
    private final List<Path> older;
    private final Path current;
    private long goodBytes;
    private Broken broken;

    private Wal(Path folder, List<Path> older, Path current, FileChannel channel, long goodBytes) {
        this.folder = folder;
        this.older = older;
        this.current = current;
        this.channel = channel;
        this.goodBytes = goodBytes;
    }

    /** Takes each change after the one asked for, in their order. */
    interface Replay {
        void change(Change change);
    }

    /**
     * Reads the log and opens its last segment for more; a torn tail of that one is cut away.
     *
     * @param after changes up to this index are in the snapshot already
     * @throws IOException naming the file, where a segment is damaged or changes are missing
     */
    static Wal open(Path folder, long after, Replay replay) throws IOException {
        List<Path> segments = segments(folder);
        if (segments.isEmpty()) {
            segments.add(folder.resolve(name(after + 1)));
        }
        long[] last = {after};
        for (int i = 0; i < segments.size(); i++) {
            Path segment = segments.get(i);
            boolean latest = i == segments.size() - 1;
            FileChannel channel = FileChannel.open(segment, StandardOpenOption.READ,
                    StandardOpenOption.WRITE, StandardOpenOption.CREATE);
            try {
                long good = read(segment, channel, last, replay);
                if (latest) {
                    cut(channel, good);
                    Folders.sync(folder);
                    return new Wal(folder, new ArrayList<>(segments.subList(0, i)), segment, channel, good);
                }
                if (good < channel.size()) {
                    throw new IOException(segment + ": cut off at byte " + good + ", yet not the last one");
                }
                channel.close();
            } catch (IOException | RuntimeException e) {
                channel.close();
                throw e;
            }
        }
        throw new IllegalStateException("no last segment");
    }

    private static long read(Path segment, FileChannel channel, long[] last, Replay replay)
            throws IOException {
        try {
            return Frames.read(channel, (record, offset) -> {
                Change change = Words.record(record, Change.class);
                if (change.index() > last[0]) {
                    if (change.index() != last[0] + 1) {
                        throw new IOException("change " + change.index() + " at byte " + offset
                                + " follows " + last[0]);
                    }
                    last[0] = change.index();
                    replay.change(change);
                }
            });
        } catch (IOException e) {
            throw new IOException(segment + ": " + e.getMessage(), e);
        }
    }

    private static void cut(FileChannel channel, long good) throws IOException {
        if (channel.size() > good) {
            channel.truncate(good);
            channel.force(true);
        }
        channel.position(good);
    }

    /**
     * Writes changes and returns once they are on disk.
     *
     * @throws Broken where nothing more can be written
     * @throws IOException where these changes are not kept, later ones may be
     */
    void append(List<Change> changes) throws IOException {
        if (broken != null) {
            throw broken;
        }
        ByteBuffer frames = Frames.encode(changes.stream().map(Words::bytes).toList());
        long size = frames.remaining();
        try {
            while (frames.hasRemaining()) {
                channel.write(frames);
            }
        } catch (IOException e) {
            undo(e);
            throw e;
        }
        try {
            channel.force(false);
        } catch (IOException e) {
            // Never synced again: the system may count these pages as written. They must not be read as
            // changes by the next start either, as they are answered as not stored.
            Broken failure = breaks("fsync failed: " + e.getMessage(), e);
            cutQuietly();
            throw failure;
        }
        goodBytes += size;
    }

    private void cutQuietly() {
        try {
            channel.truncate(goodBytes);
        } catch (IOException e) {
            broken.addSuppressed(e);
        }
    }

    private void undo(IOException cause) throws Broken {
        try {
            cut(channel, goodBytes);
        } catch (IOException e) {
            e.addSuppressed(cause);
            throw breaks("a failed write can't be undone: " + e.getMessage(), e);
        }
    }

    private Broken breaks(String why, IOException cause) {
        broken = new Broken(why, cause);
        return broken;
    }

    /** Bytes in this segment. */
    long bytes() {
        return goodBytes;
    }

    /** Whether nothing more can be written. */
    boolean isBroken() {
        return broken != null;
    }

    /** Begins a new segment for the changes from {@code first} on; this one is closed. */
    Wal roll(long first) throws IOException {
        if (goodBytes == 0) {
            return this;
        }
        Path next = folder.resolve(name(first));
        FileChannel opened = create(next);
        channel.close();
        List<Path> before = new ArrayList<>(older);
        before.add(current);
        return new Wal(folder, before, next, opened, 0);
    }

    /**
     * Begins a new log in place of a broken one, of which nothing is trusted: its segments are deleted. All
     * that they held must be in a snapshot by now.
     *
     * @param first the change that the new log begins with
     * @throws IOException where this has to be tried again
     */
    Wal beginAnew(long first) throws IOException {
        channel.close();
        for (Path segment : segments(folder)) {
            Files.delete(segment);
        }
        Path fresh = folder.resolve(name(first));
        return new Wal(folder, new ArrayList<>(), fresh, create(fresh), 0);
    }

    private FileChannel create(Path segment) throws IOException {
        FileChannel opened = FileChannel.open(segment, StandardOpenOption.READ, StandardOpenOption.WRITE,
                StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING);
        try {
            Folders.sync(folder);
            return opened;
        } catch (IOException e) {
            opened.close();
            // An empty segment behind the one that is still written would make that one's torn tail damage.
            Files.deleteIfExists(segment);
            throw e;
        }
    }

    /** Deletes the segments of which every change is at or before {@code index}. */
    void deleteThrough(long index) throws IOException {
        while (!older.isEmpty()) {
            // A segment's changes end where those of the next begin.
            Path next = older.size() > 1 ? older.get(1) : current;
            if (first(next) > index + 1) {
                return;
            }
            Files.delete(older.remove(0));
        }
    }

    private static List<Path> segments(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return new ArrayList<>(files.filter(f -> f.getFileName().toString().matches("wal-\\d{20}\\.log"))
                    .sorted().toList());
        }
    }

    private static String name(long first) {
        return PREFIX + String.format("%020d", first) + SUFFIX;
    }

    private static long first(Path segment) {
        String name = segment.getFileName().toString();
        return Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
