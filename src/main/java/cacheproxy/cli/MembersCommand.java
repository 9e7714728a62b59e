package cacheproxy.cli;

import cacheproxy.gossip.MembersSocket;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The {@code members} command, which queries a running proxy for its view of the membership. */
@Command(
        name = "members",
        description =
                "Lists the members that a running proxy knows: name, state, address, incarnation, and how far it trusts each.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class)
final class MembersCommand implements Callable<Integer> {

    @Parameters(paramLabel = "SOCKET", description = "the proxy's gossip.members_socket")
    private Path socket;

    @Override
    public Integer call() {
        try {
            System.out.print(MembersSocket.ask(socket));
            return Cli.OK;
        } catch (IOException e) {
            System.err.println("flintmill: no proxy answers at " + socket + ": " + e.getMessage());
            return Cli.FAILED;
        }
    }
}
