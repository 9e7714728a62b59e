package cacheproxy.cli;

import cacheproxy.config.BadFileException;
import cacheproxy.store.FileWriteException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The top-level command with its subcommands and their exit codes. */
@Command(
        name = "flintmill",
        description = "A caching proxy, its configuration and its testbed.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        subcommands = {
            Cli.Serve.class,
            Cli.Benchlink.class,
            Cli.Rehearse.class,
            ConfigCommands.class,
            KeysCommands.class,
            MembersCommand.class,
            PolicyCommands.class,
            LabCommands.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done, and every bound is met",
            "1:a bound is missed, a rule is violated, or a start failed",
            "2:an invalid configuration or experiment file",
            "64:an invalid command line"
        })
public final class Cli {

    static final int OK = 0;
    static final int FAILED = 1;
    static final int BAD_FILE = 2;
    static final int USAGE = 64;

    private Cli() {}

    /** Runs a command line and returns its exit code. */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new Cli());
        line.setUsageHelpAutoWidth(true);
        setUsageExitCodes(line);
        line.setExecutionExceptionHandler(
                (e, command, result) -> {
                    if (e instanceof BadFileException) {
                        System.err.println("flintmill: " + e.getMessage());
                        return BAD_FILE;
                    }
                    String message =
                            e instanceof FileWriteException ? e.getMessage() : e.toString();
                    System.err.println("flintmill: " + message);
                    return FAILED;
                });
        if (args.length == 0) {
            line.usage(System.err);
            return USAGE;
        }
        return line.execute(args);
    }

    private static void setUsageExitCodes(CommandLine line) {
        line.getCommandSpec().exitCodeOnInvalidInput(USAGE);
        line.getSubcommands().values().forEach(Cli::setUsageExitCodes);
    }

    /** Only documents the subcommand: {@code Main} handles it before this class is loaded. */
    @Command(
            name = "serve",
            description =
                    "Runs one proxy in the foreground, configured by BALANCER_CONFIG. SIGHUP reloads the configuration, "
                            + "SIGTERM drains the proxy and stops it.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    static final class Serve {
        @Option(
                names = "--options",
                paramLabel = "FILE",
                description =
                        "the operator's options, as deploy/flintmill.toml; reloaded on SIGHUP")
        String options;
    }

    @Command(
            name = "benchlink",
            description =
                    "Runs the decision module on the simulator's protocol, on standard input and output.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    static final class Benchlink {}

    @Command(
            name = "rehearse",
            description =
                    "Starts and exits at once, so that the build can archive the classes that a start loads.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    static final class Rehearse {}
}
