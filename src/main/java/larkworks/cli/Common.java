package larkworks.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import larkworks.platform.Addresses;
import picocli.CommandLine.Command;

/** What every command has: {@code --help} and {@code --version}. */
@Command(mixinStandardHelpOptions = true, versionProvider = Version.class)
abstract class Common {

    /** A failure to reach an address, which the system's own messages don't name. */
    static IOException unreachable(InetSocketAddress address, IOException cause) {
        return new IOException(Addresses.text(address) + ": " + (cause instanceof java.net.ConnectException
                ? "can't connect" : cause.getMessage()), cause);
    }
}
