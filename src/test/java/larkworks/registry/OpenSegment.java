package larkworks.registry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * The file that a stopped replica wrote its log to last, to be damaged.
 *
 * @param last where its last entry begins
 * @param end behind that
 */
record OpenSegment(Path file, int last, int end) {

    /** Bytes before the first entry. */
    static final int HEADER = 8;
    private static final int CHECKSUM = 4;

    /** The one somewhere below a replica's data directory. */
    static OpenSegment under(Path data) throws IOException {
        try (Stream<Path> files = Files.walk(data)) {
            Path open = files.filter(file -> file.getFileName().toString().startsWith("log_inprogress_"))
                    .max(Comparator.comparingLong(OpenSegment::first)).orElseThrow();
            return of(open);
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private static long first(Path file) {
        return Long.parseLong(file.getFileName().toString().substring("log_inprogress_".length()));
    }

    private static OpenSegment of(Path file) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        int last = HEADER;
        int end = HEADER;
        while (end < bytes.length && bytes[end] != 0) {
            last = end;
            int length = 0;
            int shift = 0;
            while (bytes[end] < 0) {
                length |= (bytes[end++] & 0x7f) << shift;
                shift += 7;
            }
            length |= bytes[end++] << shift;
            end += length + CHECKSUM;
        }
        return new OpenSegment(file, last, end);
    }

    /** As if the next entry, one like the last, had been cut off after so many bytes of its write. */
    void writePart(int bytes, boolean zeros) throws IOException {
        byte[] content = Files.readAllBytes(file);
        byte[] part = Arrays.copyOf(content, end + bytes);
        System.arraycopy(content, last, part, end, bytes);
        Files.write(file, zeros ? Arrays.copyOf(part, Math.max(content.length, part.length + end)) : part);
    }

    /** Damages one byte. */
    void change(int at) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        bytes[at] ^= 1;
        Files.write(file, bytes);
    }
}
