package larkworks.registry;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Records in a file: length (4 bytes, big-endian), CRC32C of the length (4), CRC32C of the record (4), the
 * record. A frame that the end of the file cuts off is a torn tail, which was never acknowledged; a bad one
 * with more behind it is damage. The length has a checksum of its own, or a damaged one could point past the
 * end of the file and have all that follows it taken for a torn tail.
 */
final class Frames {

    static final int HEAD = 12;
    /** The longest record; a length past it was never written. */
    static final int MOST = 1 << 16;
    private static final int BUFFER = 1 << 20;

    private Frames() { }

    /** Takes a record at its offset in the file. */
    interface Sink {
        void record(byte[] record, long offset) throws IOException;
    }

    /** All records as frames, ready to be written. */
    static ByteBuffer encode(List<byte[]> records) {
        int size = 0;
        for (byte[] record : records) {
            if (record.length == 0 || record.length > MOST) {
                throw new IllegalArgumentException("a record of " + record.length + " bytes");
            }
            size += HEAD + record.length;
        }
        ByteBuffer frames = ByteBuffer.allocate(size);
        for (byte[] record : records) {
            frames.putInt(record.length).putInt(checksum(record.length)).putInt(checksum(record)).put(record);
        }
        return frames.flip();
    }

    private static int checksum(int length) {
        return checksum(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
    }

    private static int checksum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }

    /**
     * Reads a file from its start.
     *
     * @return the offset behind the last good frame: the file's size, or where a torn tail begins
     * @throws IOException where a bad frame has more behind it, with its offset
     */
    static long read(FileChannel file, Sink sink) throws IOException {
        long size = file.size();
        long at = 0;
        ByteBuffer window = ByteBuffer.allocate(BUFFER);
        window.limit(0);
        while (at < size) {
            long left = size - at;
            if (left < HEAD) {
                return at;
            }
            fill(file, window, at, HEAD);
            int length = window.getInt(window.position());
            int sum = window.getInt(window.position() + 8);
            if (window.getInt(window.position() + 4) != checksum(length) || length <= 0 || length > MOST) {
                return torn(allZero(file, at, size), at);
            }
            if (left < HEAD + length) {
                return at;
            }
            fill(file, window, at, HEAD + length);
            byte[] record = new byte[length];
            window.position(window.position() + HEAD);
            window.get(record);
            if (checksum(record) != sum) {
                return torn(left == HEAD + length, at);
            }
            sink.record(record, at);
            at += HEAD + length;
        }
        return at;
    }

    private static long torn(boolean tail, long at) throws IOException {
        if (!tail) {
            throw new IOException("damaged at byte " + at + ", with more behind it");
        }
        return at;
    }

    /** Has the window hold so many bytes from {@code at}, which is where its position stands in the file. */
    private static void fill(FileChannel file, ByteBuffer window, long at, int wanted) throws IOException {
        if (window.remaining() >= wanted) {
            return;
        }
        long from = at + window.remaining();
        window.compact();
        while (window.position() < wanted) {
            int read = file.read(window, from);
            if (read < 0) {
                throw new IOException("the file became shorter while it was read");
            }
            from += read;
        }
        window.flip();
    }

    /** A file may have been made longer by a write whose bytes never came. */
    private static boolean allZero(FileChannel file, long from, long to) throws IOException {
        ByteBuffer window = ByteBuffer.allocate(BUFFER);
        for (long at = from; at < to;) {
            window.clear();
            int read = file.read(window, at);
            if (read < 0) {
                return true;
            }
            for (int i = 0; i < read; i++) {
                if (window.get(i) != 0) {
                    return false;
                }
            }
            at += read;
        }
        return true;
    }
}
