package larkworks.scale;

import org.HdrHistogram.Histogram;

/**
 * The spread of a set of values, each exact to three digits.
 *
 * @param count of values; where it is 0 the figures are 0 too
 */
public record Distribution(long count, double median, double p99, double p999, double max) {

    private static final int DIGITS = 3;

    /** An empty set for values in whole units of 1/1000 of what {@link #of} then gives. */
    static Histogram histogram() {
        return new Histogram(DIGITS);
    }

    /** The figures of a set, in thousands of the values recorded. */
    static Distribution of(Histogram values) {
        return new Distribution(values.getTotalCount(), values.getValueAtPercentile(50) / 1e3,
                values.getValueAtPercentile(99) / 1e3, values.getValueAtPercentile(99.9) / 1e3,
                values.getMaxValue() / 1e3);
    }
}
