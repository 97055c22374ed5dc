package larkworks.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * When each version of the list was asked for and when each watch heard of it. A watch may hear of a version
 * before its writer knows which it became, so both sides are kept until they meet.
 */
final class ChangeTimes {

    private static final class Version {
        final List<Long> sentNs = new ArrayList<>();
        final long[] heardNs;
        int heard;

        Version(int watchers) {
            heardNs = new long[watchers];
        }
    }

    private final int watchers;
    private final Map<Long, Version> versions = new HashMap<>();
    private Histogram lag = Distribution.histogram();
    private Histogram toAll = Distribution.histogram();

    ChangeTimes(int watchers) {
        this.watchers = watchers;
    }

    /** A write that was sent then is in force with this version; several may be with one. */
    void made(long index, long sentNs) {
        Version version = versions.computeIfAbsent(index, at -> new Version(watchers));
        version.sentNs.add(sentNs);
        if (version.heard == watchers) {
            record(version, sentNs);
        }
    }

    /** A watch that held {@code from} now holds {@code to}. */
    void heard(long from, long to, long nowNs) {
        for (long index = from + 1; index <= to; index++) {
            Version version = versions.computeIfAbsent(index, at -> new Version(watchers));
            if (version.heard < watchers) {
                version.heardNs[version.heard++] = nowNs;
                if (version.heard == watchers) {
                    version.sentNs.forEach(sentNs -> record(version, sentNs));
                }
            }
        }
    }

    private void record(Version version, long sentNs) {
        for (long heardNs : version.heardNs) {
            lag.recordValue(Math.max(0, heardNs - sentNs) / 1_000);
        }
        toAll.recordValue(Math.max(0, version.heardNs[watchers - 1] - sentNs) / 1_000);
    }

    /** Counts anew, of versions made from now on. */
    void clear() {
        versions.clear();
        lag = Distribution.histogram();
        toAll = Distribution.histogram();
    }

    Distribution lag() {
        return Distribution.of(lag);
    }

    Distribution toAll() {
        return Distribution.of(toAll);
    }
}
