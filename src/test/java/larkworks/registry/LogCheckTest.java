package larkworks.registry;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.proto.RaftProtos.StateMachineLogEntryProto;
import org.apache.ratis.server.raftlog.segmented.SegmentedRaftLogOutputStream;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The engine's own segments, cut and damaged at each byte. */
class LogCheckTest {

    private static final int HEADER = 8;
    private static final int MOST = 1 << 20;
    /** Of the file, most of which is zeros. */
    private static final int PREALLOCATED = 4_096;

    @TempDir
    Path folder;

    /** Where the entries begin; the last is where all end. */
    private final List<Integer> bounds = new ArrayList<>(List.of(HEADER));
    private byte[] whole;
    private Path open;

    /** Lengths of one byte and of two. */
    @BeforeEach
    void writeLog() throws IOException {
        open = folder.resolve("log_inprogress_0");
        File file = open.toFile();
        try (SegmentedRaftLogOutputStream out = new SegmentedRaftLogOutputStream(file, false, PREALLOCATED,
                PREALLOCATED, ByteBuffer.allocateDirect(PREALLOCATED))) {
            for (int size : new int[] {20, 300, 40, 500}) {
                LogEntryProto entry = entry(bounds.size() - 1, size);
                out.write(entry);
                int length = entry.getSerializedSize();
                bounds.add(bounds.get(bounds.size() - 1) + (length < 128 ? 1 : 2) + length + Integer.BYTES);
            }
        }
        byte[] entries = Files.readAllBytes(open);
        assertEquals(end(), entries.length, "the engine trims what it closes");
        whole = Arrays.copyOf(entries, PREALLOCATED);
        Files.write(open, whole);
    }

    private static LogEntryProto entry(long index, int size) {
        byte[] data = new byte[size];
        Arrays.fill(data, (byte) ('a' + index));
        return LogEntryProto.newBuilder().setTerm(1).setIndex(index).setStateMachineLogEntry(
                StateMachineLogEntryProto.newBuilder().setLogData(ByteString.copyFrom(data))).build();
    }

    private int end() {
        return bounds.get(bounds.size() - 1);
    }

    /** Cuts the file, or fills it with zeros, from a byte on. */
    private void tear(int from, boolean zeros) throws IOException {
        Files.write(open, zeros ? Arrays.copyOf(Arrays.copyOf(whole, from), whole.length)
                : Arrays.copyOf(whole, from));
    }

    private void assertRefused(Path file, String told) {
        IOException refused = assertThrows(IOException.class, () -> LogCheck.mend(folder, MOST), told);
        assertTrue(refused.getMessage().startsWith(file + ": damaged at byte "), refused.getMessage());
    }

    @Test
    void aWholeLogIsLeftAsItIs() throws IOException {
        LogCheck.mend(folder, MOST);
        assertArrayEquals(whole, Files.readAllBytes(open));
        LogCheck.mend(folder.resolve("none"), MOST);
    }

    @Test
    void aTornWriteIsCutBackToTheLastWholeEntryWhereverItEnds() throws IOException {
        for (int from = 1; from < end(); from++) {
            int at = from;
            int kept = bounds.stream().filter(bound -> bound <= at).reduce(0, Math::max);
            for (boolean zeros : new boolean[] {true, false}) {
                tear(from, zeros);
                LogCheck.mend(folder, MOST);
                byte[] mended = Files.readAllBytes(open);
                int length = mended.length == whole.length ? at : mended.length;
                assertEquals(kept, length, "from byte " + from + ", zeros " + zeros);
                assertArrayEquals(Arrays.copyOf(whole, length), Arrays.copyOf(mended, length));
            }
        }
    }

    /** But for the last entry's length: one that claims more than there is looks like that of a torn one. */
    @Test
    void aByteChangedAnywhereIsRefused() throws IOException {
        int lastLength = bounds.get(bounds.size() - 2);
        for (int at = 0; at < end(); at++) {
            for (int flipped : new int[] {0x01, 0x40, 0x80, 0xff}) {
                byte[] damaged = whole.clone();
                damaged[at] ^= (byte) flipped;
                boolean looksTorn = at == lastLength || at == lastLength + 1
                        || at == end() - 1 && damaged[at] == 0;
                if (!looksTorn) {
                    Files.write(open, damaged);
                    assertRefused(open, "byte " + at + " by " + flipped);
                }
            }
        }
    }

    @Test
    void zerosInTheMiddleAreRefused() throws IOException {
        for (int at = 0; at < bounds.get(bounds.size() - 2); at++) {
            byte[] damaged = whole.clone();
            Arrays.fill(damaged, at, Math.min(at + 64, bounds.get(bounds.size() - 2)), (byte) 0);
            Files.write(open, damaged);
            assertRefused(open, "byte " + at);
        }
    }

    @Test
    void aSegmentThatIsNotTheLastOneOrIsClosedMustBeWhole() throws IOException {
        tear(end() - 1, true);
        Path later = folder.resolve("log_inprogress_4");
        Files.write(later, Arrays.copyOf(whole, HEADER));
        assertRefused(open, "an earlier one");
        Files.delete(later);
        Path closed = folder.resolve("log_0-3");
        Files.move(open, closed);
        assertRefused(closed, "a closed one");
        Files.write(closed, Arrays.copyOf(whole, end()));
        LogCheck.mend(folder, MOST);
    }
}
