package larkworks.registry;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Looks over the log of Apache Ratis before the engine reads it, and cuts away an entry that was torn while
 * it was written: a killed process or a full disk leaves the first bytes of a write and, behind them, the
 * zeros of the preallocated file or nothing. The engine itself would either not start, or (with its policy
 * {@code WARN_AND_RETURN}) pass over damage anywhere.
 *
 * <p>Dropping a torn entry is safe: a replica acknowledges an entry, and a leader counts its own, only after
 * the whole of it was written and synced, and writes follow one another. So nothing behind the tear was
 * acknowledged either, and nothing that a majority has can hang on it. Everything else that can't be read may
 * have been acknowledged, and is refused: a wrong entry that is there to its end, or has a sound one or any
 * byte but zero behind it, and any wrong entry in an earlier segment. After a power cut pages of an unsynced
 * write may be missing before others that are there; that looks like damage, and is refused too. Damage to
 * the very last entry that leaves just its beginning can't be told from a tear.
 *
 * <p>A segment is a header and entries, each its length (a varint), its bytes and the CRC-32C of both.
 */
final class LogCheck {

    private static final Logger LOG = LoggerFactory.getLogger("registry");

    private static final byte[] HEADER = "RaftLog1".getBytes(StandardCharsets.US_ASCII);
    private static final Pattern NAME = Pattern.compile("log_(?:inprogress_([0-9]+)|([0-9]+)-([0-9]+))");
    private static final int CHECKSUM_BYTES = Integer.BYTES;
    private static final int MOST_LENGTH_BYTES = 5;
    private static final int LENGTH_BITS = 7;
    private static final int LENGTH_MASK = 0x7f;

    /** A file of the log; {@code last} is its last entry's index, or -1 where it is still written to. */
    private record Segment(Path file, long first, long last) {

        static Segment of(Path file) {
            Matcher name = NAME.matcher(file.getFileName().toString());
            if (!name.matches()) {
                return null;
            }
            return name.group(1) != null ? new Segment(file, Long.parseLong(name.group(1)), -1)
                    : new Segment(file, Long.parseLong(name.group(2)), Long.parseLong(name.group(3)));
        }

        boolean isOpen() {
            return last < 0;
        }
    }

    private final Path file;
    private final byte[] bytes;
    /** Behind the last byte that is not zero. */
    private final int written;
    private final long mostEntryBytes;

    private LogCheck(Path file, long mostEntryBytes) throws IOException {
        this.file = file;
        this.bytes = Files.readAllBytes(file);
        this.mostEntryBytes = mostEntryBytes;
        int end = bytes.length;
        while (end > 0 && bytes[end - 1] == 0) {
            end--;
        }
        written = end;
    }

    /**
     * Cuts a torn entry from the end of the log in this folder, which no process may be using.
     *
     * @param mostEntryBytes no entry is longer
     * @throws IOException naming the file and the place, where the log is damaged
     */
    static void mend(Path folder, long mostEntryBytes) throws IOException {
        List<Segment> segments = segments(folder);
        for (int i = 0; i < segments.size(); i++) {
            Segment segment = segments.get(i);
            LogCheck check = new LogCheck(segment.file(), mostEntryBytes);
            if (!segment.isOpen()) {
                check.wantEntries(segment.last() - segment.first() + 1);
            } else {
                check.mendOpen(i == segments.size() - 1);
            }
        }
    }

    private static List<Segment> segments(Path folder) throws IOException {
        List<Segment> segments = new ArrayList<>();
        if (Files.isDirectory(folder)) {
            try (Stream<Path> files = Files.list(folder)) {
                files.map(Segment::of).filter(segment -> segment != null).forEach(segments::add);
            }
        }
        segments.sort(Comparator.comparingLong(Segment::first));
        return segments;
    }

    private void wantEntries(long count) throws IOException {
        int at = HEADER.length;
        for (long i = 0; i < count; i++) {
            if (!hasHeader() || !isSound(at)) {
                throw damaged(at);
            }
            at = (int) end(at);
        }
    }

    private void mendOpen(boolean latest) throws IOException {
        int at = hasHeader() ? HEADER.length : 0;
        while (at > 0 && isSound(at)) {
            at = (int) end(at);
        }
        if (written <= at) {
            return;
        }
        if (!latest || !(at == 0 ? isTornHeader() : isTorn(at))) {
            throw damaged(at);
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(at);
            channel.force(true);
        }
        LOG.atWarn().addKeyValue("file", file.toString()).addKeyValue("byte", at)
                .addKeyValue("bytes", written - at).log("torn entry cut from the end of the log");
    }

    private IOException damaged(int at) {
        return new IOException(file + ": damaged at byte " + at + ", and not by a write that was cut short; "
                + "entries may be lost that were acknowledged");
    }

    private boolean hasHeader() {
        return written >= HEADER.length
                && ByteBuffer.wrap(bytes, 0, HEADER.length).equals(ByteBuffer.wrap(HEADER));
    }

    private boolean isTornHeader() {
        return written < HEADER.length
                && ByteBuffer.wrap(bytes, 0, written).equals(ByteBuffer.wrap(HEADER, 0, written));
    }

    /** Whether what begins here is the beginning of an entry, and not all of one, with nothing behind it. */
    private boolean isTorn(int at) {
        long end = end(at);
        if (bytes[at] == 0 || end <= written
                || end - at > MOST_LENGTH_BYTES + mostEntryBytes + CHECKSUM_BYTES) {
            return false;
        }
        // A damaged length may claim what are other entries.
        for (int next = at + 1; next < written; next++) {
            if (isSound(next)) {
                return false;
            }
        }
        return true;
    }

    /** Whether a whole entry begins here. A zero is no length: it fills the file up. */
    private boolean isSound(int at) {
        long end = end(at);
        if (at >= written || bytes[at] == 0 || end > bytes.length || end >= written + CHECKSUM_BYTES) {
            return false;
        }
        int checksumAt = (int) end - CHECKSUM_BYTES;
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, at, checksumAt - at);
        return ByteBuffer.wrap(bytes).getInt(checksumAt) == (int) checksum.getValue();
    }

    /** Where the entry that begins here ends, by its length; what is past the file counts as zeros. */
    private long end(int at) {
        long length = 0;
        for (int i = 0; i < MOST_LENGTH_BYTES; i++) {
            byte part = at + i < bytes.length ? bytes[at + i] : 0;
            length |= (long) (part & LENGTH_MASK) << (LENGTH_BITS * i);
            if (part >= 0) {
                return at + i + 1 + length + CHECKSUM_BYTES;
            }
        }
        return Long.MAX_VALUE;
    }
}
