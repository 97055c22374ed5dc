package larkworks;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The module stays within the lines that the operators run: all files that hold decision logic. */
class ModuleSizeTest {

    @Test
    void moduleHasAtMost1200LinesOverAllItsFiles() throws IOException {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = ")).findFirst().orElseThrow();
        Matcher file = Pattern.compile("\"([^\"]+)\"").matcher(policy);
        long lines = 0;
        int files = 0;
        while (file.find()) {
            files++;
            lines += Files.readAllLines(Path.of(file.group(1))).stream().filter(l -> !l.isBlank()).count();
        }
        assertTrue(files > 0 && lines > 0 && lines <= 1200, lines + " non-blank lines in " + files);
    }
}
