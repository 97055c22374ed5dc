package larkworks.scale;

import java.util.List;

/**
 * A straight line fitted to measured points by least squares.
 *
 * @param what the figure
 * @param against what it was measured against
 * @param slope of the line
 * @param intercept of the line
 * @param residual the root of the mean square of the points' distances from the line
 * @param worst the greatest of these distances, as a part of the line's value there
 */
public record Slope(String what, String against, double slope, double intercept, double residual,
        double worst, List<Point> points) {

    /** A measured point. */
    public record Point(double x, double y) { }

    /** Fits a line; with one point it is level. */
    static Slope fit(String what, String against, List<Point> points) {
        double n = points.size();
        double meanX = points.stream().mapToDouble(Point::x).sum() / n;
        double meanY = points.stream().mapToDouble(Point::y).sum() / n;
        double xx = points.stream().mapToDouble(p -> (p.x - meanX) * (p.x - meanX)).sum();
        double xy = points.stream().mapToDouble(p -> (p.x - meanX) * (p.y - meanY)).sum();
        double slope = xx == 0 ? 0 : xy / xx;
        double intercept = meanY - slope * meanX;
        double squares = 0;
        double worst = 0;
        for (Point p : points) {
            double line = intercept + slope * p.x;
            squares += (p.y - line) * (p.y - line);
            worst = Math.max(worst, Math.abs(p.y - line) / Math.max(1e-12, Math.abs(line)));
        }
        return new Slope(what, against, slope, intercept, Math.sqrt(squares / n), worst,
                List.copyOf(points));
    }

    /** The line's value. */
    double at(double x) {
        return intercept + slope * x;
    }
}
