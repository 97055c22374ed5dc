package larkworks.registry;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import larkworks.rollout.RolloutState;

/**
 * The catalog as a whole in one file, {@code snapshot}: a head that counts the changes, then each of them.
 */
final class SnapshotFile {

    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record Head(int format, long index, long compacted, int changes, RolloutState rollout) { }

    private static final int FORMAT = 1;

    private final Path file;

    SnapshotFile(Path folder) {
        file = folder.resolve("snapshot");
    }

    /** Puts this image in place of the one before, whole or not at all. */
    void write(Catalog.Image image) throws IOException {
        Folders.replace(file, Frames.encode(records(image)));
    }

    /** Whether the file, read back, holds just this image. */
    boolean holds(Catalog.Image image) throws IOException {
        return Frames.encode(records(read())).equals(Frames.encode(records(image)));
    }

    /** The image as records: the head, then the changes. */
    static List<byte[]> records(Catalog.Image image) {
        List<byte[]> records = new ArrayList<>(image.changes().size() + 1);
        records.add(Words.bytes(new Head(FORMAT, image.index(), image.compacted(),
                image.changes().size(), image.rollout())));
        image.changes().forEach(change -> records.add(Words.bytes(change)));
        return records;
    }

    /**
     * Reads an image from its records.
     *
     * @throws IOException where they are not whole
     */
    static Catalog.Image image(List<byte[]> records) throws IOException {
        if (records.isEmpty()) {
            throw new IOException("no head");
        }
        Head head = Words.record(records.get(0), Head.class);
        if (head.format() != FORMAT || head.changes() != records.size() - 1) {
            throw new IOException("format " + head.format() + " with " + (records.size() - 1) + " of "
                    + head.changes() + " changes");
        }
        List<Change> changes = new ArrayList<>(head.changes());
        for (byte[] record : records.subList(1, records.size())) {
            changes.add(Words.record(record, Change.class));
        }
        return new Catalog.Image(head.index(), head.compacted(), changes, head.rollout());
    }

    /**
     * Reads the image; an empty one where none was ever written.
     *
     * @throws IOException naming the file, where it is not whole
     */
    Catalog.Image read() throws IOException {
        if (!Files.exists(file)) {
            return new Catalog.Image(0, 0, List.of(), null);
        }
        List<byte[]> records = new ArrayList<>();
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            Frames.read(channel, (record, offset) -> records.add(record));
            return image(records);
        } catch (IOException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }
}
