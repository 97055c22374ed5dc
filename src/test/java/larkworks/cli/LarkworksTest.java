package larkworks.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** The command line: what it takes, and how it says no. */
class LarkworksTest {

    private static final String[] NONE = {};

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return Larkworks.commandLine().setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true))
                .execute(args);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "serve", "registry", "registry --listen nowhere --data x", "proxy --what",
        "registry --listen 127.0.0.1:0 --data x --max-tombstones -1", "member", "member no-such-file",
        "members localhost:1", "scale", "scale no-such-file", "scale README.md --seed x"})
    void saysInOneLineWhatIsWrongWithTheCall(String call) {
        assertEquals(2, run(call.isEmpty() ? NONE : call.split(" ")), call);
        assertTrue(err.toString().startsWith("larkworks: "), err.toString());
        assertEquals(1, err.toString().lines().count(), err.toString());
    }

    @Test
    void everyCommandHasHelpAndVersion() {
        for (CommandLine command : Larkworks.commandLine().getSubcommands().values()) {
            if (!command.getCommandName().equals("help")) {
                assertEquals(0, run(command.getCommandName(), "--help"));
                assertEquals(0, run(command.getCommandName(), "--version"));
                assertTrue(out.toString().contains("Usage: larkworks " + command.getCommandName()));
            }
        }
    }

    @Test
    void aFailureAtRunTimeIsOneLineAndStatusOne() {
        assertEquals(1, run("members", "127.0.0.1:1"));
        assertEquals(1, err.toString().lines().count(), err.toString());
    }
}
