package larkworks.registry;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** What a change costs the service's event loop with 10,000 instances listed. Run: see docs/ROADMAP.md. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class CatalogBench {

    private static final int INSTANCES = 10_000;
    private Catalog catalog;
    private Instance[] instances;

    /** A catalog with all instances. */
    @Setup(Level.Iteration)
    public void setUp() {
        catalog = new Catalog(1_000);
        instances = new Instance[INSTANCES];
        for (int i = 0; i < INSTANCES; i++) {
            instances[i] = new Instance("s-" + i, "10.0." + i / 250 + "." + i % 250 + ":1", "a", "m2", 3,
                    Status.IN_SERVICE, 1, 0, 0, false, 0);
            catalog.apply(new Change(i + 1L, instances[i]));
        }
    }

    private Change next() {
        long index = catalog.index() + 1;
        return new Change(index, instances[(int) (index * 7 % INSTANCES)]);
    }

    /** One change applied. */
    @Benchmark
    public void apply() {
        catalog.apply(next());
    }

    /** One change applied, and the body encoded that all watches get. */
    @Benchmark
    public byte[] applyAndTell() {
        long from = catalog.index();
        catalog.apply(next());
        return Words.listing(catalog.index(), false, catalog.since(from));
    }

    /** The whole list encoded, as a new proxy asks for it. */
    @Benchmark
    public byte[] whole() {
        return Words.listing(catalog.index(), true, catalog.live());
    }
}
