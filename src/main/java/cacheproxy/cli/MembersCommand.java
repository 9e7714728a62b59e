package cacheproxy.cli;

import cacheproxy.gossip.MembersSocket;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(
        name = "members",
        description =
                "Shows whom a running proxy knows: name, state, address, incarnation, and how far it believes each.",
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
