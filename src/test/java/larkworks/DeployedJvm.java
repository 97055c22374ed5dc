package larkworks;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import larkworks.platform.ConfigFile;

/** The JVM of the deploy file's {@code run} command, for tests that run classes of their own class path. */
public final class DeployedJvm {

    /** Options that name files which only the package phase makes. */
    private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=";

    private DeployedJvm() { }

    /** Returns the command that starts {@code larkworks} with the deployed options for memory and threads. */
    public static List<String> command() throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        String run;
        try {
            run = (String) ConfigFile.read(Path.of("deploy/balancer.toml")).get("run");
        } catch (ConfigFile.Unusable e) {
            throw new IOException(e);
        }
        for (String word : run.split(" ")) {
            if (word.matches("-[XD].*") && !word.startsWith(ARCHIVE_OPTION)) {
                command.add(word);
            }
        }
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "larkworks.cli.Larkworks"));
        return command;
    }
}
