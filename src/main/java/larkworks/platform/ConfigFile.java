package larkworks.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import larkworks.adapter.Json;

/** A configuration file: TOML where its name ends in {@code .toml}, else the platform's JSON. */
public final class ConfigFile {

    private ConfigFile() { }

    /** A configuration that can't be used; the message names the file and everything that is wrong. */
    public static final class Unusable extends Exception {
        private static final long serialVersionUID = 1L;

        private final List<String> faults;

        /** @param faults a line each, without the file's name */
        public Unusable(String file, List<String> faults) {
            super(file + ": " + String.join("; ", faults));
            this.faults = List.copyOf(faults);
        }

        /** What is wrong, a line each. */
        public List<String> faults() {
            return faults;
        }
    }

    /** Whether a person writes it, so that a key that is not known is a slip. */
    public static boolean isToml(Path file) {
        return file.toString().endsWith(".toml");
    }

    /**
     * Reads the file as tables, lists, texts, numbers and truths.
     *
     * @throws Unusable where it can't be read, or is not of its kind; with line and column where known
     */
    public static Map<?, ?> read(Path file) throws Unusable {
        try {
            byte[] bytes = Files.readAllBytes(file);
            return isToml(file) ? new TomlMapper().readValue(bytes, Map.class) : Json.object(bytes);
        } catch (JsonProcessingException e) {
            String where = e.getLocation() == null ? ""
                    : "line " + e.getLocation().getLineNr() + ", column " + e.getLocation().getColumnNr()
                    + ": ";
            throw unusable(file, where + firstLine(e.getOriginalMessage()));
        } catch (NoSuchFileException e) {
            throw unusable(file, "no such file");
        } catch (AccessDeniedException e) {
            throw unusable(file, "may not be read");
        } catch (IOException e) {
            throw unusable(file, firstLine(e.getMessage()));
        } catch (RuntimeException e) {
            throw unusable(file, firstLine(e.getMessage()) + " (" + e.getClass().getSimpleName() + ")");
        }
    }

    private static Unusable unusable(Path file, String fault) {
        return new Unusable(file.toString(), List.of(fault));
    }

    private static String firstLine(String text) {
        return String.valueOf(text).lines().findFirst().orElse("");
    }
}
