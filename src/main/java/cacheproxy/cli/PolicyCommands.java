package cacheproxy.cli;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Options;
import cacheproxy.config.OptionsFile;
import cacheproxy.raft.PolicySocket;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The {@code policy} subcommands. */
@Command(
        name = "policy",
        description =
                "Shows and changes the fleet's policy through a running proxy's policy.socket.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        synopsisSubcommandLabel = "status|history|propose|revert")
final class PolicyCommands {

    private static int ask(Path socket, String question, String content, long epoch) {
        try {
            PolicySocket.Answer answer = PolicySocket.ask(socket, question, content, epoch);
            (answer.exit() == Cli.OK ? System.out : System.err)
                    .println((answer.exit() == Cli.OK ? "" : "flintmill: ") + answer.text());
            return answer.exit();
        } catch (IOException e) {
            System.err.println("flintmill: no proxy answers at " + socket + ": " + e.getMessage());
            return Cli.FAILED;
        }
    }

    @Command(
            name = "status",
            description =
                    "Shows the epoch in force at this proxy, since when, whether the proxy considers it current, and what a voter knows of the others.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int status(
            @Parameters(paramLabel = "SOCKET", description = "a proxy's policy.socket")
                    Path socket) {
        return ask(socket, "status", "", 0);
    }

    @Command(
            name = "history",
            description = "Shows every stored epoch, with its content.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int history(
            @Parameters(paramLabel = "SOCKET", description = "a proxy's policy.socket")
                    Path socket) {
        return ask(socket, "history", "", 0);
    }

    @Command(
            name = "propose",
            description = "Puts a policy in force on the whole fleet.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:in force",
                "1:rejected, nothing was changed",
                "2:an invalid policy, nothing was changed",
                "3:no majority of voters, nothing was changed",
                "4:outcome unknown: it may still come into force"
            })
    int propose(
            @Parameters(paramLabel = "SOCKET", description = "a proxy's policy.socket") Path socket,
            @Parameters(
                            paramLabel = "FILE",
                            description = "the policy: [log] and [nodes] as in flintmill.toml")
                    Path file)
            throws BadFileException, IOException {
        String content = Files.readString(file);
        OptionsFile.withPolicy(content, Options.DEFAULTS);
        return ask(socket, "propose", content, 0);
    }

    @Command(
            name = "revert",
            description =
                    "Puts the content of an earlier epoch in force, as a new epoch; same exit codes as propose.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int revert(
            @Parameters(paramLabel = "SOCKET", description = "a proxy's policy.socket") Path socket,
            @Parameters(paramLabel = "N", description = "the epoch") long epoch) {
        return ask(socket, "revert", "", epoch);
    }
}
