package cacheproxy.cli;

import cacheproxy.config.BadFileException;
import cacheproxy.config.OptionsFile;
import cacheproxy.config.Toml;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(
        name = "config",
        description = "Checks and shows the operator's options.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        synopsisSubcommandLabel = "check|show FILE")
final class ConfigCommands {

    @Command(
            name = "check",
            description = "Exit 0 if the file would be taken; else one message and exit 2.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int check(@Parameters(paramLabel = "FILE") Path file) throws BadFileException {
        OptionsFile.read(file);
        System.out.println(file + ": good");
        return Cli.OK;
    }

    @Command(
            name = "show",
            description = "Prints the effective value of every key and where it came from.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int show(@Parameters(paramLabel = "FILE") Path file) throws BadFileException {
        for (Toml.EffectiveValue e : OptionsFile.show(file)) {
            System.out.printf("%-24s %-12s %s%n", e.key(), e.value(), e.origin());
        }
        return Cli.OK;
    }
}
