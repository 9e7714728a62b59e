package cacheproxy.config;

import java.util.List;

/**
 * What an operator may set beside the platform's configuration; each subsystem has a record. A
 * plain record without the TOML library behind it, so that a proxy started without a file loads
 * nothing more.
 */
public record Options(Log log, Gossip gossip, Policy policy, Nodes nodes) {

    /** How a line of the log is written. */
    public enum Format {
        TEXT,
        JSON
    }

    /**
     * @param format text lines or one JSON object a line; read at the start alone
     * @param tallyS seconds between two {@code tally} events, 1 to 3600
     * @param oddLines lines about odd input from outside that are written in a window, 1 to 10,000
     * @param oddWindowS that window's length in seconds, 1 to 3600
     */
    public record Log(Format format, int tallyS, int oddLines, int oddWindowS) {}

    /**
     * Gossip between proxies; all of it is read at the start alone, but for what the key files
     * hold.
     *
     * @param enabled whether this proxy takes part
     * @param listen a numeric address and port for UDP, at which the others reach it
     * @param advertise the address that the others are told, where it is not {@code listen}; empty
     *     where it is
     * @param seeds addresses of a few proxies that are asked for the others
     * @param keyFile this proxy's own key
     * @param ringFile the keys that are trusted
     * @param bytesPerS the most that is sent in any second, headers included, 4096 to 1,048,576
     * @param verificationsPerS signatures that are checked in any second at most, 10 to 10,000
     * @param membersSocket where {@code flintmill members} asks; empty for nowhere
     * @param healthMost the highest local health score, by which a proxy that is slow itself waits
     *     longer; 0 to 16, 0 for none
     */
    public record Gossip(
            boolean enabled,
            String listen,
            String advertise,
            List<String> seeds,
            String keyFile,
            String ringFile,
            int bytesPerS,
            int verificationsPerS,
            String membersSocket,
            int healthMost) {

        public Gossip {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * The fleet's policy by a replicated log; read at the start alone. It needs gossip's keys, by
     * which proxies know one another.
     *
     * @param voters names and addresses of those that vote, as {@code proxy-0=10.0.0.5:7947}; none
     *     where the local file alone counts
     * @param listen a numeric address and port for TCP, at which a voter is reached
     * @param folder where this proxy keeps the log and the last epoch; empty for {@code policy-}
     *     and its name in the folder for temporary files
     * @param socket where {@code flintmill policy} asks; empty for nowhere
     */
    public record Policy(List<String> voters, String listen, String folder, String socket) {

        public Policy {
            voters = List.copyOf(voters);
        }

        public boolean enabled() {
            return !voters.isEmpty();
        }
    }

    /** {@code out} names cache nodes that are taken out of service. */
    public record Nodes(List<String> out) {

        public Nodes {
            out = List.copyOf(out);
        }
    }

    /** What holds without a file. */
    public static final Options DEFAULTS =
            new Options(
                    new Log(Format.TEXT, 10, 20, 10),
                    new Gossip(
                            false,
                            "127.0.0.1:7946",
                            "",
                            List.of(),
                            "gossip.key",
                            "gossip.ring",
                            4096,
                            200,
                            "",
                            8),
                    new Policy(List.of(), "127.0.0.1:7947", "", ""),
                    new Nodes(List.of()));
}
