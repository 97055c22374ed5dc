package larkworks.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import larkworks.platform.Datagram;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The codec and the state machine against any bytes (issue 9: drop and count, never crash or change). */
class PeerCodecTest {

    @Provide
    Arbitrary<Message> messages() {
        Arbitrary<Update> updates = Combinators.combine(Arbitraries.integers().between(0, 0xFFFF),
                Arbitraries.of(MemberState.class), Arbitraries.longs().between(0, 0xFFFF_FFFFL),
                Arbitraries.integers().between(0, 0xFFFF)).as(Update::new);
        return Combinators.combine(Arbitraries.of(Message.Type.class),
                Arbitraries.integers().between(0, 0xFFFF),
                Arbitraries.longs().between(0, 0xFFFF_FFFFL), Arbitraries.integers().between(0, 0xFFFF),
                updates.list().ofMaxSize(PeerCodec.MOST_UPDATES)).as(Message::new);
    }

    @Property
    void everyMessageFitsAndReadsBackAsWritten(@ForAll("messages") Message m) throws Datagram.Malformed {
        byte[] bytes = PeerCodec.encode(m);
        assertTrue(bytes.length <= PeerCodec.MOST_BYTES, bytes.length + " bytes");
        assertEquals(m, PeerCodec.decode(bytes, bytes.length));
    }

    @Property
    void aFlippedBitIsCaught(@ForAll("messages") Message m, @ForAll @IntRange(min = 0, max = 2047) int bit) {
        byte[] bytes = PeerCodec.encode(m);
        int at = bit % (bytes.length * 8);
        bytes[at / 8] ^= (byte) (1 << (at % 8));
        assertThrows(Datagram.Malformed.class, () -> PeerCodec.decode(bytes, bytes.length));
    }

    /** Garbage of any length from a known member's address changes no row and is counted. */
    @Property
    void garbageChangesNothing(@ForAll @Size(max = 400) List<Byte> garbage,
            @ForAll @IntRange(min = -1, max = 3) int from) {
        List<String> dropped = new ArrayList<>();
        Membership m = new Membership(0, 4, MembershipSettings.defaults(), new Random(1), 0, 100,
                events(dropped));
        List<MemberTable.Row> before = m.rows();
        byte[] bytes = new byte[garbage.size()];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = garbage.get(i);
        }
        m.receive(1_000, from, bytes, bytes.length);
        assertEquals(before, m.rows());
        assertEquals(1, dropped.size());
        assertTrue(m.drain().isEmpty() || m.drain().isEmpty());
    }

    /** A well-formed datagram that claims another sender than its address is dropped whole. */
    @Property
    void aWrongSenderChangesNothing(@ForAll @IntRange(min = 1, max = 3) int claimed) {
        List<String> dropped = new ArrayList<>();
        Membership m = new Membership(0, 4, MembershipSettings.defaults(), new Random(1), 0, 100,
                events(dropped));
        List<MemberTable.Row> before = m.rows();
        byte[] bytes = PeerCodec.encode(new Message(Message.Type.PING, claimed, 1, 0,
                List.of(new Update(2, MemberState.DEAD, 9, claimed))));
        m.receive(1_000, claimed % 3 + 1, bytes, bytes.length);
        assertEquals(before, m.rows());
        assertEquals(List.of("sender"), dropped);
    }

    static Membership.Events events(List<String> dropped) {
        return new Membership.Events() {
            @Override
            public void changed(int member, MemberState from, MemberState to, long incarnation) {
            }

            @Override
            public void dropped(String why) {
                dropped.add(why);
            }
        };
    }
}
