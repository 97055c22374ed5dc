package larkworks.platform;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A table of a configuration file. Values are taken from it by key and kind; whatever is wrong is noted,
 * with the key in full and what was wanted, and reading goes on, so that one look shows all that is to be
 * mended. Where a value is wrong, some value of its kind is returned: it must not be used once there are
 * faults.
 */
public final class Section {

    private final Map<?, ?> values;
    private final String path;
    private final List<String> faults;
    private final Set<Object> asked = new HashSet<>();
    private final List<Section> inner = new ArrayList<>();

    private Section(Map<?, ?> values, String path, List<String> faults) {
        this.values = values;
        this.path = path;
        this.faults = faults;
    }

    /** The whole file. */
    public static Section top(Map<?, ?> values) {
        return new Section(values, "", new ArrayList<>());
    }

    /** Everything found wrong so far, in this section and all others of the file. */
    public List<String> faults() {
        return List.copyOf(faults);
    }

    /** Notes a fault of a key's value. */
    public void fault(String key, String what) {
        faults.add(path + key + ": " + what);
    }

    private void wanted(String key, String wanted) {
        Object value = values.get(key);
        fault(key, wanted + " is wanted" + (value == null ? "" : ", not '" + shortened(value) + "'"));
    }

    private static String shortened(Object value) {
        String text = String.valueOf(value).replaceAll("\\s+", " ");
        return text.length() > 60 ? text.substring(0, 57) + "..." : text;
    }

    /** Whether there is a value. */
    public boolean has(String key) {
        asked.add(key);
        return values.get(key) != null;
    }

    /** A text, or the fallback where there is none; a fallback of null means that it must be there. */
    public String text(String key, String fallback) {
        if (!has(key) && fallback != null) {
            return fallback;
        }
        if (values.get(key) instanceof String text) {
            return text;
        }
        wanted(key, "a text");
        return "";
    }

    /** A number within bounds; where it may be left out, {@code fallback} is not null. */
    public double number(String key, Double fallback, double least, double most) {
        if (!has(key) && fallback != null) {
            return fallback;
        }
        if (values.get(key) instanceof Number n && n.doubleValue() >= least && n.doubleValue() <= most) {
            return n.doubleValue();
        }
        wanted(key, "a number" + bounds(text(least), text(most), most == Double.MAX_VALUE));
        return least;
    }

    /** A whole number within bounds; where it may be left out, {@code fallback} is not null. */
    public long whole(String key, Long fallback, long least, long most) {
        if (!has(key) && fallback != null) {
            return fallback;
        }
        if (values.get(key) instanceof Number n && n.doubleValue() == Math.rint(n.doubleValue())
                && n.longValue() >= least && n.longValue() <= most) {
            return n.longValue();
        }
        wanted(key, "a whole number" + bounds(String.valueOf(least), String.valueOf(most),
                most == Long.MAX_VALUE));
        return least;
    }

    /** Whole numbers within bounds, at least one; {@code fallback} as with one number. */
    public List<Long> wholes(String key, List<Long> fallback, long least, long most) {
        if (!has(key) && fallback != null) {
            return fallback;
        }
        List<Long> numbers = new ArrayList<>();
        if (values.get(key) instanceof List<?> given) {
            for (Object value : given) {
                if (value instanceof Number n && n.doubleValue() == Math.rint(n.doubleValue())
                        && n.longValue() >= least && n.longValue() <= most) {
                    numbers.add(n.longValue());
                }
            }
            if (!given.isEmpty() && numbers.size() == given.size()) {
                return numbers;
            }
        }
        wanted(key, "a list of whole numbers" + bounds(String.valueOf(least), String.valueOf(most), false));
        return List.of(least);
    }

    private static String bounds(String least, String most, boolean open) {
        return open ? " of " + least + " or more" : " from " + least + " to " + most;
    }

    private static String text(double bound) {
        return bound == Math.rint(bound) && Math.abs(bound) < 1e15 ? String.valueOf((long) bound)
                : String.valueOf(bound);
    }

    /** Yes or no. */
    public boolean flag(String key, boolean fallback) {
        if (!has(key)) {
            return fallback;
        }
        if (values.get(key) instanceof Boolean truth) {
            return truth;
        }
        wanted(key, "true or false");
        return fallback;
    }

    /** {@code IP:PORT}; null where it is wrong. */
    public InetSocketAddress address(String key) {
        asked.add(key);
        return address(key, values.get(key));
    }

    /** {@code IP:PORT}, or null where there is none. */
    public InetSocketAddress optionalAddress(String key) {
        return has(key) ? address(key) : null;
    }

    private InetSocketAddress address(String key, Object value) {
        try {
            return Addresses.parse(value);
        } catch (IllegalArgumentException e) {
            fault(key, value == null ? "IP:PORT is wanted" : "IP:PORT is wanted, not '" + shortened(value)
                    + "'");
            return null;
        }
    }

    /**
     * Addresses, each once and at least one; a single one may stand for a list where {@code alone} says so.
     */
    public List<InetSocketAddress> addresses(String key, boolean alone) {
        asked.add(key);
        List<?> given = values.get(key) instanceof List<?> list ? list
                : alone && values.get(key) != null ? List.of(values.get(key)) : List.of();
        if (given.isEmpty()) {
            wanted(key, "a list of IP:PORT");
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (Object value : given) {
            InetSocketAddress address = address(key, value);
            if (address != null && addresses.contains(address)) {
                fault(key, value + " stands twice");
            }
            addresses.add(address);
        }
        return addresses;
    }

    /** A table that must be there; an empty one where it is wrong. */
    public Section section(String key) {
        if (!(values.get(key) instanceof Map<?, ?>)) {
            wanted(key, "a table");
        }
        return optionalSection(key);
    }

    /** A table; an empty one where there is none. */
    public Section optionalSection(String key) {
        boolean there = has(key);
        if (there && !(values.get(key) instanceof Map<?, ?>)) {
            wanted(key, "a table");
        }
        Map<?, ?> table = values.get(key) instanceof Map<?, ?> map ? map : Map.of();
        Section section = new Section(table, path + key + ".", faults);
        inner.add(section);
        return section;
    }

    /** All of this table, as the file has it; its keys all count as known. */
    public Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        values.forEach((key, value) -> map.put(String.valueOf(key), value));
        asked.addAll(values.keySet());
        return map;
    }

    /** The keys there are. */
    public List<String> keys() {
        return values.keySet().stream().map(String::valueOf).toList();
    }

    /** Keys that may stand here though this program has no use for them. */
    public void allow(String... keys) {
        asked.addAll(List.of(keys));
    }

    /** Notes each key, here and in the tables taken from here, that nothing asked for. */
    public void refuseUnknown() {
        for (Object key : values.keySet()) {
            if (!asked.contains(key)) {
                fault(String.valueOf(key), "no such key");
            }
        }
        inner.forEach(Section::refuseUnknown);
    }
}
