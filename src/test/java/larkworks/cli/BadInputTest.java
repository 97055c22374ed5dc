package larkworks.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import larkworks.Program;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What each command says to input that it can't use: one line that names the thing, and its status. */
@Timeout(120)
class BadInputTest {

    private static final long LIMIT_S = 60;

    @TempDir
    Path folder;

    @BeforeEach
    void write() throws Exception {
        Files.writeString(folder.resolve("cut.json"), "{\"listen\":");
        Files.writeString(folder.resolve("cut.toml"), "peers = [");
        Files.writeString(folder.resolve("file"), "kept");
    }

    /** {@code DIR} stands for the test's folder, {@code USED} for an address at which somebody listens. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "''                                             | 2 | command",
        "nosuch                                         | 2 | nosuch",
        "proxy                                          | 2 | GW_CONFIG",
        "proxy --what                                   | 2 | --what",
        "proxy --config DIR/none.json                   | 2 | none.json",
        "proxy --config DIR                             | 2 | DIR",
        "proxy --config DIR/cut.json                    | 2 | cut.json",
        "proxy --config DIR/cut.toml                    | 2 | cut.toml",
        "adapter --what                                 | 2 | --what",
        "registry                                       | 2 | --listen",
        "registry --listen 127.0.0.1:0                  | 2 | --data",
        "registry --listen 127.0.0.1:0 --data DIR/d --x | 2 | --x",
        "registry --listen 127.0.0.1:0 --data DIR/file  | 1 | DIR/file",
        "registry --listen USED --data DIR/d            | 1 | USED",
        "member                                         | 2 | FILE",
        "member DIR/none.toml                           | 2 | none.toml",
        "member DIR/cut.toml                            | 2 | cut.toml",
        "members                                        | 2 | IP:PORT",
        "members 127.0.0.1:1                            | 1 | 127.0.0.1:1",
        "rollout status                                 | 2 | --registry",
        "rollout status --registry 127.0.0.1:1          | 1 | 127.0.0.1:1",
        "rollout publish --registry 127.0.0.1:1         | 2 | PLAN",
        "rollout publish --registry 127.0.0.1:1 DIR/no  | 2 | DIR/no",
        "check-config                                   | 2 | FILE",
        "check-config DIR/none.json                     | 2 | none.json",
        "check-config DIR/cut.json                      | 2 | cut.json",
        "check-config DIR/cut.toml                      | 2 | cut.toml"})
    void isToldInOneLineThatNamesIt(String call, int status, String thing) throws Exception {
        try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + used.getLocalPort();
            String[] args = call.isEmpty() ? new String[0]
                    : call.replace("DIR", folder.toString()).replace("USED", address).split(" ");
            try (Program program = new Program("", Map.of("GW_CONFIG", ""), args)) {
                assertTrue(program.process.waitFor(LIMIT_S, TimeUnit.SECONDS), "it goes on");
                Program.await((int) LIMIT_S, () -> "nothing was said", () -> !program.lines.isEmpty());
                List<String> said = program.lines;
                assertEquals(status, program.process.exitValue(), said.toString());
                assertEquals(1, said.size(), said.toString());
                String named = thing.replace("DIR", folder.toString()).replace("USED", address);
                assertTrue(said.get(0).contains(named), said.toString());
                assertFalse(said.get(0).contains("Exception"), said.toString());
            }
        }
        assertEquals("kept", Files.readString(folder.resolve("file")));
    }
}
