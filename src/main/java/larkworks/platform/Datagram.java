package larkworks.platform;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * What all datagrams between proxies have in common (PROTOCOL, "Between proxies"): at most {@link
 * #MOST_BYTES} bytes, the first of them the version, the last four a CRC32 of all before.
 */
public final class Datagram {

    /** The peers' limit; a longer one voids a run. */
    public static final int MOST_BYTES = 256;
    /** Bytes of the checksum. */
    public static final int CHECK = 4;

    private Datagram() { }

    /**
     * A datagram that is not one of ours; the message is one of a few fixed texts, for the count of drops.
     */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        public Malformed(String why) {
            super(why, null, false, false);
        }
    }

    /** Ends a datagram with its checksum; the buffer has room for just that. */
    public static byte[] sealed(ByteBuffer written) {
        written.putInt(checksum(written.array(), written.position()));
        return written.array();
    }

    /**
     * Opens a datagram of {@code length} bytes at the start of {@code bytes}, behind its version.
     *
     * @param least bytes that any has, the checksum included
     * @throws Malformed where its length, checksum or version is wrong
     */
    public static ByteBuffer open(byte[] bytes, int length, int least, int version) throws Malformed {
        if (length < least || length > MOST_BYTES || length > bytes.length) {
            throw new Malformed("length");
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 0, length);
        if (in.getInt(length - CHECK) != checksum(bytes, length - CHECK)) {
            throw new Malformed("checksum");
        }
        if (in.get() != version) {
            throw new Malformed("version");
        }
        return in;
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }
}
