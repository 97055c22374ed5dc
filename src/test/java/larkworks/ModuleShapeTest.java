package larkworks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that the deploy file lists all source files of the decision module, and that these files stay below
 * a maximum length and use no I/O and no clock.
 */
class ModuleShapeTest {

    private static final Path MODULE_DIRECTORY = Path.of("src/main/java/larkworks");
    /** Files with types and checks that the decision module shares with its callers; they decide nothing. */
    private static final Set<String> SHARED_FILES = Set.of("Balancer.java", "SettingsCheck.java",
            "package-info.java");
    private static final int MAX_NON_BLANK_LINES = 1_200;
    private static final Pattern FORBIDDEN_DEPENDENCIES =
            Pattern.compile("java\\.(io|nio|net|time)|io\\.netty|org\\.slf4j"
            + "|\\bSystem\\.|\\bThread\\b|Math\\.random|larkworks\\.[a-z]+\\.");

    private static List<Path> filesListedInDeployFile() throws IOException {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = ")).findFirst().orElseThrow();
        return Pattern.compile("\"([^\"]+)\"").matcher(policy).results().map(match -> Path.of(match.group(1)))
                .toList();
    }

    @Test
    void deployFileListsAllSourceFilesOfTheDecisionModule() throws IOException {
        try (Stream<Path> files = Files.list(MODULE_DIRECTORY)) {
            Set<Path> moduleFiles = files.filter(Files::isRegularFile)
                    .filter(file -> !SHARED_FILES.contains(file.getFileName().toString()))
                    .collect(Collectors.toCollection(TreeSet::new));
            assertEquals(moduleFiles, new TreeSet<>(filesListedInDeployFile()));
        }
    }

    @Test
    void noSourceFileExceedsTheMaximumLength() throws IOException {
        for (Path file : filesListedInDeployFile()) {
            long lines = Files.readAllLines(file).stream().filter(line -> !line.isBlank()).count();
            assertTrue(lines > 0 && lines <= MAX_NON_BLANK_LINES,
                    file + " has " + lines + " non-blank lines");
        }
    }

    @Test
    void decisionModuleUsesNoInputOutputAndNoClock() throws IOException {
        for (Path file : filesListedInDeployFile()) {
            Matcher forbidden = FORBIDDEN_DEPENDENCIES.matcher(Files.readString(file));
            assertFalse(forbidden.find(), () -> file + " uses " + forbidden.group());
        }
    }
}
