package larkworks.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.slf4j.event.Level;

/**
 * What is logged.
 *
 * @param level the level of all components that are not named
 * @param levels by component: {@code proxy}, {@code decisions}, {@code discovery}, {@code members}, ...
 */
public record LogSettings(Level level, Map<String, Level> levels) {

    private static final List<String> WORDS = List.of("trace", "debug", "info", "warn", "error");

    /** Level info for all. */
    public static LogSettings defaults() {
        return new LogSettings(Level.INFO, Map.of());
    }

    /** Reads {@code level} and {@code levels} of a {@code logs} table. */
    public static LogSettings of(Section logs) {
        Section named = logs.optionalSection("levels");
        Map<String, Level> levels = new LinkedHashMap<>();
        for (String component : named.keys()) {
            levels.put(component, level(named, component));
        }
        return new LogSettings(level(logs, "level"), levels);
    }

    private static Level level(Section section, String key) {
        String word = section.text(key, "info");
        if (!WORDS.contains(word)) {
            section.fault(key, "one of " + String.join(", ", WORDS) + " is wanted, not '" + word + "'");
            return Level.INFO;
        }
        return Level.valueOf(word.toUpperCase(Locale.ROOT));
    }
}
