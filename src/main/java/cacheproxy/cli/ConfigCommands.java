package cacheproxy.cli;

import cacheproxy.config.BadFileException;
import cacheproxy.config.OptionsFile;
import cacheproxy.config.Toml;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The {@code config} subcommands. */
@Command(
        name = "config",
        description = "Checks and shows the operator's options.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        synopsisSubcommandLabel = "check|show FILE")
final class ConfigCommands {

    @Command(
            name = "check",
            description =
                    "Exits with 0 if the file is valid; otherwise prints one message and exits with 2.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int check(@Parameters(paramLabel = "FILE") Path file) throws BadFileException {
        OptionsFile.read(file);
        System.out.println(file + ": valid");
        return Cli.OK;
    }

    @Command(
            name = "show",
            description = "Prints the effective value of every key and its origin.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int show(@Parameters(paramLabel = "FILE") Path file) throws BadFileException {
        for (Toml.EffectiveValue e : OptionsFile.show(file)) {
            System.out.printf("%-24s %-12s %s%n", e.key(), e.value(), e.origin());
        }
        return Cli.OK;
    }
}
