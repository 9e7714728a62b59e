package cacheproxy.gossip;

import cacheproxy.config.Options;
import java.nio.file.Path;
import java.util.List;

/** Gossip options of test members that listen on loopback and keep their keys in one directory. */
final class GossipTestOptions {

    private static final String ANY_LOOPBACK_PORT = "127.0.0.1:0";
    private static final int BYTES_PER_S = 65_536;
    private static final int VERIFICATIONS_PER_S = 1000;
    private static final int MAX_LOCAL_HEALTH = 8;

    private GossipTestOptions() {}

    /**
     * @param seeds the addresses of members that this one contacts first
     * @param membersSocket the local socket for operators, or an empty text for none
     */
    static Options.Gossip of(
            Path directory, String name, List<String> seeds, String membersSocket) {
        return new Options.Gossip(
                true,
                ANY_LOOPBACK_PORT,
                "",
                seeds,
                key(directory, name).toString(),
                ring(directory).toString(),
                BYTES_PER_S,
                VERIFICATIONS_PER_S,
                membersSocket,
                MAX_LOCAL_HEALTH);
    }

    static Path key(Path directory, String name) {
        return directory.resolve(name + ".key");
    }

    static Path ring(Path directory) {
        return directory.resolve("ring");
    }
}
