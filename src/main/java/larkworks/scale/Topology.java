package larkworks.scale;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import larkworks.platform.Section;

/**
 * Where hollow members stand: member i is in zone i modulo {@code zones}, zone z in region z modulo
 * {@code regions}; the members of a zone fill its racks one after the other.
 *
 * @param regions that may be cut from each other
 * @param zones in all regions together
 * @param rack members in a rack
 */
public record Topology(int regions, int zones, int rack) {

    /** Which members a fault hits. */
    enum Scope {
        ONE, RACK, ZONE, REGION
    }

    /** Reads {@code regions}, {@code zones} and {@code rack}; what is wrong is noted in the section. */
    static Topology of(Section section) {
        int regions = (int) section.whole("regions", 1L, 1, 16);
        return new Topology(regions, (int) section.whole("zones", (long) regions, regions, 64),
                (int) section.whole("rack", 20L, 1, 1_000));
    }

    int zone(int member) {
        return member % zones;
    }

    int region(int member) {
        return zone(member) % regions;
    }

    private int rackOf(int member) {
        return member / zones / rack;
    }

    /** The members of one group of this scope, chosen at random among {@code size}. */
    List<Integer> choose(Scope scope, int size, Random random) {
        int one = random.nextInt(size);
        return IntStream.range(0, size).filter(i -> switch (scope) {
            case ONE -> i == one;
            case RACK -> zone(i) == zone(one) && rackOf(i) == rackOf(one);
            case ZONE -> zone(i) == zone(one);
            case REGION -> region(i) == region(one);
        }).boxed().toList();
    }
}
