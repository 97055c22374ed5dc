package larkworks.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import larkworks.platform.Datagram;
import org.junit.jupiter.api.Test;

/** The state machine alone, on a clock of its own: merge order, refutation, suspicion's end. */
class MembershipTest {

    private static final MembershipSettings FIGURES = MembershipSettings.defaults();

    private static byte[] ping(int sender, int target, Update... updates) {
        return PeerCodec.encode(new Message(Message.Type.PING, sender, 5, target, List.of(updates)));
    }

    private static Membership member(int self, int size) {
        return new Membership(self, size, FIGURES, new Random(3), 0, 100,
                PeerCodecTest.events(new ArrayList<>()));
    }

    private static MemberState state(Membership m, int id) {
        return m.rows().get(id).state();
    }

    @Test
    void higherIncarnationWinsAndAtOneIncarnationTheLaterState() {
        Membership m = member(0, 3);
        byte[] suspect = ping(1, 0, new Update(2, MemberState.SUSPECT, 0, 1));
        m.receive(10, 1, suspect, suspect.length);
        assertEquals(MemberState.SUSPECT, state(m, 2));
        byte[] sameAlive = ping(1, 0, new Update(2, MemberState.ALIVE, 0, 2));
        m.receive(20, 1, sameAlive, sameAlive.length);
        assertEquals(MemberState.SUSPECT, state(m, 2), "alive at the held incarnation is no refutation");
        byte[] refuted = ping(1, 0, new Update(2, MemberState.ALIVE, 1, 2));
        m.receive(30, 1, refuted, refuted.length);
        assertEquals(MemberState.ALIVE, state(m, 2));
        assertEquals(1, m.rows().get(2).incarnation());
    }

    @Test
    void aMemberHeldDeadRefutesWithOneMoreAndSaysSo() throws Datagram.Malformed {
        Membership m = member(1, 3);
        byte[] accused = ping(0, 1, new Update(1, MemberState.DEAD, 100, 0));
        m.receive(10, 0, accused, accused.length);
        assertEquals(101, m.incarnation());
        Membership.Outgoing ack = m.drain().get(0);
        Message reply = PeerCodec.decode(ack.bytes(), ack.bytes().length);
        assertEquals(Message.Type.ACK, reply.type());
        assertTrue(reply.updates().contains(new Update(1, MemberState.ALIVE, 101, 1)), reply.toString());
    }

    @Test
    void aStaleAccusationIsAnsweredWithTheCurrentIncarnation() throws Datagram.Malformed {
        Membership m = member(1, 3);
        byte[] accused = ping(0, 1, new Update(1, MemberState.DEAD, 100, 0));
        m.receive(10, 0, accused, accused.length);
        m.drain();
        byte[] stale = ping(2, 1, new Update(1, MemberState.DEAD, 100, 2));
        for (int round = 0; round < 12; round++) {
            m.drain();
            m.receive(20 + round, 2, stale, stale.length);
        }
        assertEquals(101, m.incarnation(), "no second bump for the same accusation");
        Membership.Outgoing ack = m.drain().get(0);
        Message reply = PeerCodec.decode(ack.bytes(), ack.bytes().length);
        assertTrue(reply.updates().contains(new Update(1, MemberState.ALIVE, 101, 1)), reply.toString());
    }

    @Test
    void anUnansweredProbeEndsInDeathAfterTheSuspicionTime() {
        Membership m = member(0, 2);
        long step = FIGURES.probeIntervalUs() / 10;
        long now = 0;
        while (state(m, 1) != MemberState.DEAD && now < 60_000_000) {
            m.tick(now);
            m.drain();
            now += step;
        }
        assertEquals(MemberState.DEAD, state(m, 1));
        // One period to miss the ack, then the least suspicion: with two members none can confirm, and
        // Lifeguard (as memberlist) then waits the least time, not the longest.
        long expected = FIGURES.probeIntervalUs() + FIGURES.suspicionMinUs(2);
        assertTrue(Math.abs(now - expected) <= 2 * step, now + " against " + expected);
    }

    @Test
    void confirmationsShortenTheSuspicionToItsLeast() {
        Suspicion s = new Suspicion(0, 1_000, 6_000, 3, 7);
        assertEquals(6_000, s.deadlineUs());
        assertTrue(s.confirm(8));
        assertTrue(s.deadlineUs() < 6_000 && s.deadlineUs() > 1_000);
        assertTrue(!s.confirm(8), "one member confirms once");
        s.confirm(9);
        s.confirm(10);
        assertEquals(1_000, s.deadlineUs());
    }

    @Test
    void broadcastsAreSentAtMostTheirLimitAndANewerOneReplacesTheOlder() {
        Broadcasts b = new Broadcasts();
        b.add(new Update(1, MemberState.SUSPECT, 4, 0));
        b.add(new Update(1, MemberState.DEAD, 4, 0));
        assertEquals(List.of(new Update(1, MemberState.DEAD, 4, 0)), b.take(5, 2, -1));
        assertEquals(1, b.take(5, 2, -1).size());
        assertEquals(0, b.size());
    }
}
