package larkworks.shared;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import larkworks.platform.Datagram;
import larkworks.platform.Datagram.Malformed;
import larkworks.shared.StateMessage.Ask;
import larkworks.shared.StateMessage.Gossip;
import larkworks.shared.StateMessage.Grant;
import larkworks.shared.StateMessage.Register;

/**
 * The datagrams of shared state, at most {@link #MOST_BYTES} bytes (PROTOCOL, "Between proxies").
 *
 * <p>Layout, big-endian: version (1 byte, {@link #VERSION}; membership's are of version 1), type (1),
 * sender id (2), body, CRC32 (4) of all before it. Body of a gossip: count (1), then each register as
 * server (8), reason (1), until (6), stamp (8), origin (2). Body of an ask and of a grant: key (8), epoch
 * (4), nonce (4), tokens (2).
 */
final class StateCodec {

    static final int VERSION = 2;
    static final int MOST_BYTES = Datagram.MOST_BYTES;
    private static final int HEAD = 4;
    private static final int CHECK = Datagram.CHECK;
    private static final int REGISTER = 25;
    private static final int TOKENS = 18;
    /** Registers in one datagram: 9. */
    static final int MOST_REGISTERS = (MOST_BYTES - HEAD - 1 - CHECK) / REGISTER;
    private static final int GOSSIP = 0;
    private static final int ASK = 1;
    private static final int GRANT = 2;

    private StateCodec() { }

    static byte[] encode(StateMessage message) {
        ByteBuffer out;
        if (message instanceof Gossip gossip) {
            if (gossip.registers().size() > MOST_REGISTERS) {
                throw new IllegalArgumentException(gossip.registers().size() + " registers");
            }
            out = start(GOSSIP, message.sender(), 1 + REGISTER * gossip.registers().size());
            out.put((byte) gossip.registers().size());
            for (Register r : gossip.registers()) {
                out.putLong(r.server()).put((byte) r.reason().ordinal());
                out.putShort((short) (r.untilMs() >>> 32)).putInt((int) r.untilMs());
                out.putLong(r.stamp()).putShort((short) r.origin());
            }
        } else if (message instanceof Ask ask) {
            out = tokens(ASK, ask.sender(), ask.key(), ask.epoch(), ask.nonce(), ask.tokens());
        } else {
            Grant grant = (Grant) message;
            out = tokens(GRANT, grant.sender(), grant.key(), grant.epoch(), grant.nonce(), grant.tokens());
        }
        return Datagram.sealed(out);
    }

    private static ByteBuffer start(int type, int sender, int body) {
        return ByteBuffer.allocate(HEAD + body + CHECK).put((byte) VERSION).put((byte) type)
                .putShort((short) sender);
    }

    private static ByteBuffer tokens(int type, int sender, long key, long epoch, long nonce, int tokens) {
        return start(type, sender, TOKENS).putLong(key).putInt((int) epoch).putInt((int) nonce)
                .putShort((short) tokens);
    }

    /**
     * Reads a datagram.
     *
     * @throws Malformed where its length, version, type, reason, count or checksum is wrong
     */
    static StateMessage decode(byte[] bytes, int length) throws Malformed {
        ByteBuffer in = Datagram.open(bytes, length, HEAD + CHECK, VERSION);
        int type = in.get();
        int sender = Short.toUnsignedInt(in.getShort());
        int body = length - HEAD - CHECK;
        if (type == GOSSIP) {
            return gossip(in, sender, body);
        }
        if (type != ASK && type != GRANT) {
            throw new Malformed("type");
        }
        if (body != TOKENS) {
            throw new Malformed("length");
        }
        long key = in.getLong();
        long epoch = Integer.toUnsignedLong(in.getInt());
        long nonce = Integer.toUnsignedLong(in.getInt());
        int tokens = Short.toUnsignedInt(in.getShort());
        return type == ASK ? new Ask(sender, key, epoch, nonce, tokens)
                : new Grant(sender, key, epoch, nonce, tokens);
    }

    private static Gossip gossip(ByteBuffer in, int sender, int body) throws Malformed {
        int count = body < 1 ? -1 : Byte.toUnsignedInt(in.get());
        if (body != 1 + REGISTER * count) {
            throw new Malformed("register count");
        }
        List<Register> registers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long server = in.getLong();
            Reason reason = Reason.ofCode(in.get());
            if (reason == null) {
                throw new Malformed("reason");
            }
            long untilMs = Short.toUnsignedLong(in.getShort()) << 32 | Integer.toUnsignedLong(in.getInt());
            registers.add(new Register(server, reason, untilMs, in.getLong(),
                    Short.toUnsignedInt(in.getShort())));
        }
        return new Gossip(sender, registers);
    }
}
