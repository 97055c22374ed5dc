package larkworks.cli;

import larkworks.platform.ConfigFile.Unusable;
import larkworks.platform.Logs;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * {@code larkworks}: every part of the program starts here. Exit codes: 0 done, 1 a failure at run time, 2 a
 * bad call or configuration; a message for the user is one line on standard error, never a stack trace.
 */
@Command(name = "larkworks", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "A load-balancing proxy for services that call services, and what its fleet needs.",
        subcommands = {ProxyCommand.class, AdapterCommand.class, RegistryCommand.class, MemberCommand.class,
            MembersCommand.class, CheckConfigCommand.class, RolloutCommand.class, ScaleCommand.class,
            HelpCommand.class})
public final class Larkworks implements Runnable {

    @Spec
    private CommandSpec spec;

    /** Runs the command named by the arguments and exits with its status. */
    public static void main(String[] args) {
        Logs.quietNetty();
        int status = platformStart(args) ? ProxyCommand.start() : commandLine().execute(args);
        // A service goes on in its own threads after 0.
        if (status != ExitCode.OK) {
            System.exit(status);
        }
    }

    /**
     * Whether this is the platform's start of a proxy, {@code larkworks proxy} and no more: there is
     * nothing to parse, and the JVM can't keep picocli's 180 classes in its archive, being compiled for
     * Java 5; to load them takes each proxy 100 ms of its core (docs/ROADMAP.md).
     */
    private static boolean platformStart(String[] args) {
        return args.length == 1 && args[0].equals("proxy");
    }

    /** The command line, its errors told in one line. */
    public static CommandLine commandLine() {
        return new CommandLine(new Larkworks())
                .setParameterExceptionHandler((e, args) -> {
                    CommandLine command = e.getCommandLine();
                    command.getErr().println("larkworks: " + e.getMessage().lines().findFirst().orElse("")
                            + " (see '" + command.getCommandSpec().qualifiedName() + " --help')");
                    return ExitCode.USAGE;
                })
                .setExecutionExceptionHandler((e, command, parsed) -> {
                    command.getErr().println(told(e));
                    return status(e);
                });
    }

    /** What the user is told of a failure: one line. */
    static String told(Exception e) {
        return "larkworks: " + (e.getMessage() == null ? e : e.getMessage());
    }

    static int status(Exception e) {
        return e instanceof Unusable ? ExitCode.USAGE : ExitCode.SOFTWARE;
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is wanted");
    }
}
