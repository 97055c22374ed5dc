package larkworks.cli;

import picocli.CommandLine.Command;

/** What every command has: {@code --help} and {@code --version}. */
@Command(mixinStandardHelpOptions = true, versionProvider = Version.class)
abstract class Common {
}
