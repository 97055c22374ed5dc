package larkworks.registry;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/** A replica's state machine in one file: a head with what is not in the catalog, then its records. */
final class ReplicaSnapshot {

    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record Head(int format, String epoch, Admission.Settings admission, int maxTombstones) { }

    private static final int FORMAT = 1;

    private ReplicaSnapshot() { }

    /** The image as the bytes of a file. */
    static ByteBuffer bytes(ListStateMachine.Image image) {
        List<byte[]> records = new ArrayList<>();
        records.add(Words.bytes(new Head(FORMAT, image.epoch(), image.admission(), image.maxTombstones())));
        records.addAll(SnapshotFile.records(image.catalog()));
        return Frames.encode(records);
    }

    /**
     * Reads an image.
     *
     * @throws IOException naming the file, where it is not whole
     */
    static ListStateMachine.Image read(Path file) throws IOException {
        List<byte[]> records = new ArrayList<>();
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            long good = Frames.read(channel, (record, offset) -> records.add(record));
            if (good < channel.size() || records.isEmpty()) {
                throw new IOException("cut off at byte " + good);
            }
            Head head = Words.record(records.get(0), Head.class);
            if (head.format() != FORMAT) {
                throw new IOException("format " + head.format());
            }
            return new ListStateMachine.Image(head.epoch(), head.admission(), head.maxTombstones(),
                    SnapshotFile.image(records.subList(1, records.size())));
        } catch (IOException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }
}
