package larkworks.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import larkworks.fleet.MemberState;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** The count of wrong views, kept up to date, beside one made anew. */
class ViewsTest {

    private static final int SIZE = 6;

    @Property(tries = 200)
    void theCountIsThatOfAllPairs(@ForAll long seed) {
        Random random = new Random(seed);
        Views views = new Views(SIZE);
        MemberState[][] held = new MemberState[SIZE][SIZE];
        for (MemberState[] row : held) {
            java.util.Arrays.fill(row, MemberState.ALIVE);
        }
        for (int step = 0; step < 60; step++) {
            int member = random.nextInt(SIZE);
            if (random.nextInt(4) == 0) {
                views.set(member, !views.up(member));
                if (views.up(member)) {
                    java.util.Arrays.fill(held[member], MemberState.ALIVE);
                }
            } else {
                int about = random.nextInt(SIZE);
                held[member][about] = MemberState.values()[random.nextInt(MemberState.values().length)];
                views.hold(member, about, held[member][about]);
            }
            assertEquals(wrong(views, held), views.wrong());
        }
    }

    private static long wrong(Views views, MemberState[][] held) {
        long wrong = 0;
        for (int observer = 0; observer < SIZE; observer++) {
            for (int about = 0; about < SIZE; about++) {
                MemberState state = held[observer][about];
                boolean right = views.up(about) ? state == MemberState.ALIVE
                        : state == MemberState.DEAD || state == MemberState.LEFT;
                wrong += observer != about && views.up(observer) && !right ? 1 : 0;
            }
        }
        return wrong;
    }
}
