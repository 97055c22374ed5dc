package larkworks.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import larkworks.scale.Slope.Point;
import org.junit.jupiter.api.Test;

/** The line fitted to measured points. */
class SlopeTest {

    @Test
    void findsTheLineThatPointsLieOn() {
        Slope slope = Slope.fit("y", "x", List.of(new Point(1, 5), new Point(2, 7), new Point(4, 11)));
        assertEquals(2, slope.slope(), 1e-9);
        assertEquals(3, slope.intercept(), 1e-9);
        assertEquals(0, slope.residual(), 1e-9);
        assertEquals(203, slope.at(100), 1e-9);
    }

    @Test
    void tellsHowFarPointsLieOffIt() {
        Slope slope = Slope.fit("y", "x", List.of(new Point(0, 1), new Point(1, 0), new Point(2, 1)));
        assertEquals(0, slope.slope(), 1e-9);
        assertEquals(2.0 / 3, slope.intercept(), 1e-9);
        assertEquals(Math.sqrt(2.0 / 9), slope.residual(), 1e-9);
        assertEquals(1, slope.worst(), 1e-9);
    }

    @Test
    void isLevelWhereThereIsOnePoint() {
        assertEquals(4, Slope.fit("y", "x", List.of(new Point(3, 4))).at(9), 1e-9);
    }
}
