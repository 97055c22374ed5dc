package larkworks.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import larkworks.platform.Datagram;
import larkworks.platform.Datagram.Malformed;

/**
 * The datagrams of membership, at most {@link #MOST_BYTES} bytes as PROTOCOL's "Between proxies" allows.
 *
 * <p>Layout, big-endian: version (1 byte, {@link #VERSION}), type (1), sender id (2), sequence (4),
 * target id (2), update count (1), then each update as member id (2), state (1), incarnation (4), origin
 * id (2), and last a CRC32 (4) of all before it.
 */
public final class PeerCodec {

    /** The wire version; a datagram of another is dropped. */
    public static final int VERSION = 1;
    /** The peers' limit. */
    public static final int MOST_BYTES = Datagram.MOST_BYTES;
    /** Where a message names no member. */
    public static final int NO_MEMBER = 0xFFFF;

    private static final int HEAD = 11;
    private static final int UPDATE = 9;
    /** As many updates as fit in one datagram: 26. */
    public static final int MOST_UPDATES = (MOST_BYTES - HEAD - Datagram.CHECK) / UPDATE;

    private PeerCodec() { }

    /**
     * Writes a message.
     *
     * @throws IllegalArgumentException where it holds more than {@link #MOST_UPDATES} updates or an id or
     *     number out of its range: a fault of the caller, never of the network
     */
    public static byte[] encode(Message message) {
        List<Update> updates = message.updates();
        if (updates.size() > MOST_UPDATES) {
            throw new IllegalArgumentException(updates.size() + " updates, at most " + MOST_UPDATES);
        }
        ByteBuffer out = ByteBuffer.allocate(HEAD + UPDATE * updates.size() + Datagram.CHECK);
        out.put((byte) VERSION).put((byte) message.type().ordinal());
        out.putShort(id(message.sender())).putInt(u32(message.sequence())).putShort(id(message.target()));
        out.put((byte) updates.size());
        for (Update u : updates) {
            out.putShort(id(u.member())).put((byte) u.state().ordinal()).putInt(u32(u.incarnation()))
                    .putShort(id(u.origin()));
        }
        return Datagram.sealed(out);
    }

    /**
     * Reads a datagram of {@code length} bytes at the start of {@code bytes}.
     *
     * @throws Malformed where its length, version, type, state, update count or checksum is wrong
     */
    public static Message decode(byte[] bytes, int length) throws Malformed {
        ByteBuffer in = Datagram.open(bytes, length, HEAD + Datagram.CHECK, VERSION);
        Message.Type type = Message.Type.ofCode(in.get());
        if (type == null) {
            throw new Malformed("type");
        }
        int sender = Short.toUnsignedInt(in.getShort());
        long sequence = Integer.toUnsignedLong(in.getInt());
        int target = Short.toUnsignedInt(in.getShort());
        int count = Byte.toUnsignedInt(in.get());
        if (length != HEAD + UPDATE * count + Datagram.CHECK) {
            throw new Malformed("update count");
        }
        List<Update> updates = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int member = Short.toUnsignedInt(in.getShort());
            MemberState state = MemberState.ofCode(in.get());
            if (state == null) {
                throw new Malformed("state");
            }
            updates.add(new Update(member, state, Integer.toUnsignedLong(in.getInt()),
                    Short.toUnsignedInt(in.getShort())));
        }
        return new Message(type, sender, sequence, target, updates);
    }

    private static short id(int id) {
        if (id < 0 || id > NO_MEMBER) {
            throw new IllegalArgumentException("member id " + id);
        }
        return (short) id;
    }

    private static int u32(long value) {
        if (value < 0 || value > 0xFFFF_FFFFL) {
            throw new IllegalArgumentException("number " + value + " beyond 32 bits");
        }
        return (int) value;
    }
}
