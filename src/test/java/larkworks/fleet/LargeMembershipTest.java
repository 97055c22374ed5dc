package larkworks.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import larkworks.platform.Datagram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** More than a thousand members' state machines on one clock, without sockets: joins, a death, a return. */
@Timeout(120)
class LargeMembershipTest {

    /** More than the periods of a window, so that a member does not hear from all in it. */
    private static final int CUT_SIZE = 400;
    private static final MembershipSettings FIGURES = MembershipSettings.defaults();
    private static final long STEP_US = FIGURES.probeIntervalUs() / 10;
    private static final long LIMIT_US = 120_000_000;

    private final List<Membership> members = new ArrayList<>();
    private long nowUs;
    private int size = 1_100;
    private int longest;
    /** Members below it and the others don't hear each other. */
    private int cut;

    private Membership member(int id, long incarnation) {
        return new Membership(id, size, FIGURES, new Random(id), nowUs, incarnation,
                PeerCodecTest.events(new ArrayList<>()));
    }

    /** Carries what waits at each member, until no more does; a member that is null hears nothing. */
    private void carry() {
        boolean more = true;
        while (more) {
            more = false;
            for (int from = 0; from < size; from++) {
                if (members.get(from) == null) {
                    continue;
                }
                for (Membership.Outgoing o : members.get(from).drain()) {
                    more = true;
                    longest = Math.max(longest, o.bytes().length);
                    if (o.to() == Membership.EVERYONE) {
                        for (int to = 0; to < size; to++) {
                            deliver(from, to, o.bytes());
                        }
                    } else {
                        deliver(from, o.to(), o.bytes());
                    }
                }
            }
        }
    }

    private void deliver(int from, int to, byte[] bytes) {
        if (members.get(to) != null && (from < cut) == (to < cut)) {
            members.get(to).receive(nowUs, from, bytes, bytes.length);
        }
    }

    private boolean allHold(int about, MemberState state, long incarnation) {
        return members.stream().allMatch(m -> {
            if (m == null) {
                return true;
            }
            MemberTable.Row row = m.rows().get(about);
            return row.state() == state && row.incarnation() == incarnation;
        });
    }

    private void step() {
        nowUs += STEP_US;
        members.forEach(m -> {
            if (m != null) {
                m.tick(nowUs);
            }
        });
        carry();
    }

    private long minorities(int from, int to) {
        return members.subList(from, to).stream().filter(Membership::minority).count();
    }

    /** Moves the clock until all hold this of a member; how long that took. */
    private double secondsUntilAllHold(int about, MemberState state, long incarnation) {
        long from = nowUs;
        while (!allHold(about, state, incarnation)) {
            assertTrue(nowUs - from < LIMIT_US, "not held by all: " + about + " " + state);
            step();
        }
        return (nowUs - from) / 1e6;
    }

    @Test
    void aThousandMembersJoinHearOfADeathAndOfAReturnInDatagramsOfTheLimit() {
        joinAll();
        for (int id = 0; id < size; id++) {
            assertTrue(allHold(id, MemberState.ALIVE, 100), "joined: " + id);
        }
        // The last id needs both bytes of its field.
        int victim = size - 1;
        members.set(victim, null);
        double dead = secondsUntilAllHold(victim, MemberState.DEAD, 100);
        // The least suspicion, as long again to find it, have it confirmed and tell all: by this clock. Were
        // gossip of the joins not kept behind it, the news would wait for that, nearly a minute.
        assertTrue(dead < 2 * FIGURES.suspicionMinUs(size) / 1e6, "dead after " + dead + " s");
        members.set(victim, member(victim, 200));
        members.get(victim).join();
        carry();
        assertTrue(allHold(victim, MemberState.ALIVE, 200), "back at once, by its announcement");
        for (int id = 0; id < size; id++) {
            assertEquals(100 + (id == victim ? 100 : 0), members.get(id).incarnation(),
                    "nobody had to refute a death of its own");
        }
        assertTrue(longest <= Datagram.MOST_BYTES, longest + " bytes");
    }

    private void joinAll() {
        for (int id = 0; id < size; id++) {
            members.add(member(id, 100));
        }
        members.forEach(Membership::join);
        carry();
    }

    /** Steps past the window in which a member has to be heard. */
    private void stayWhole() {
        long untilUs = nowUs + FIGURES.suspicionMaxUs(size) * 5 / 4;
        while (nowUs < untilUs) {
            step();
            assertEquals(0, minorities(0, size), "whole, after " + nowUs / 1e6 + " s");
        }
    }

    /** One hears each other member directly but now and then, the more members the less often. */
    @Test
    void noneOfAThousandThatAllReachEachOtherTakesItselfForAMinority() {
        joinAll();
        stayWhole();
    }

    @Test
    void onlyTheSmallerSideOfACutTakesItselfForAMinority() {
        size = CUT_SIZE;
        joinAll();
        stayWhole();
        cut = size / 4;
        long cutUs = nowUs;
        while (minorities(0, cut) < cut) {
            assertTrue(nowUs - cutUs < LIMIT_US, minorities(0, cut) + " of the smaller side know of it");
            step();
            assertEquals(0, minorities(cut, size), "larger side, after " + (nowUs - cutUs) / 1e6 + " s");
        }
    }

    /** Who hears nobody has none to tell it who died: it goes by the silence. */
    @Test
    void oneThatIsCutOffFromAThousandTakesItselfForAMinority() {
        members.add(member(0, 100));
        for (int id = 1; id < size; id++) {
            members.add(null);
        }
        long untilUs = 2 * FIGURES.suspicionMaxUs(size);
        while (!members.get(0).minority()) {
            assertTrue(nowUs < untilUs, "not known after " + nowUs / 1e6 + " s");
            step();
        }
    }
}
