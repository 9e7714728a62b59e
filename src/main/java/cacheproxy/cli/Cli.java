package cacheproxy.cli;

import cacheproxy.config.BadFileException;
import cacheproxy.store.FileWriteException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The commands and their exit codes. */
@Command(
        name = "flintmill",
        description = "A caching fleet's proxy, its configuration and its laboratory.",
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
            "0:done, and every bound holds",
            "1:a bound is missed, a rule is broken, or a start failed",
            "2:a bad configuration or experiment file",
            "64:a wrong command line"
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

    /** Shown in the help; the program takes these words itself, before any of this is loaded. */
    @Command(
            name = "serve",
            description =
                    "Runs one proxy in the foreground, as BALANCER_CONFIG says. SIGHUP reads the configuration again, "
                            + "SIGTERM drains and ends.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    static final class Serve {
        @Option(
                names = "--options",
                paramLabel = "FILE",
                description =
                        "the operator's options, as deploy/flintmill.toml; read again on SIGHUP")
        String options;
    }

    @Command(
            name = "benchlink",
            description =
                    "The same decisions on the simulator's wire, on standard input and output.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    static final class Benchlink {}

    @Command(
            name = "rehearse",
            description =
                    "A start that ends at once: the build archives the classes that it loads.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    static final class Rehearse {}
}
