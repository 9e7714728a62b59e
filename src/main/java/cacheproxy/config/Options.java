package cacheproxy.config;

import java.util.List;

/**
 * The operator's options, which exist beside the platform's configuration; each subsystem has a
 * record. These are plain records that do not depend on the TOML library, so that a proxy that is
 * started without an options file does not load it.
 */
public record Options(Log log, Gossip gossip, Policy policy, Nodes nodes) {

    /** The format of log lines. */
    public enum Format {
        TEXT,
        JSON
    }

    /**
     * Options of the log.
     *
     * @param format text lines or one JSON object per line; a reload does not change it
     * @param tallyS seconds between two {@code tally} events, 1 to 3600
     * @param oddLines the maximum number of lines about unexpected external input per window, 1 to
     *     10,000
     * @param oddWindowS the length of that window in seconds, 1 to 3600
     */
    public record Log(Format format, int tallyS, int oddLines, int oddWindowS) {}

    /**
     * Options of the gossip between proxies. A reload changes none of them; only the contents of
     * the key files are read again.
     *
     * @param enabled whether this proxy takes part
     * @param listen the numeric address and UDP port at which the other proxies reach this one
     * @param advertise the address that is advertised to the other proxies if it differs from
     *     {@code listen}; empty otherwise
     * @param seeds addresses of a few proxies from which this one learns of the others
     * @param keyFile the file with this proxy's own key
     * @param ringFile the file with the trusted keys
     * @param bytesPerS the maximum sent in any second, headers included, 4096 to 1,048,576
     * @param verificationsPerS the maximum number of signatures verified in any second, 10 to
     *     10,000
     * @param membersSocket the socket that {@code flintmill members} queries; empty for none
     * @param healthMost the maximum local health score, by which a proxy that is slow itself
     *     extends its time-outs; 0 to 16, 0 to disable
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
     * Options of the fleet's policy, which is distributed by a replicated log; a reload does not
     * change them. Requires gossip, whose keys authenticate the proxies to each other.
     *
     * @param voters names and addresses of the voters, as {@code proxy-0=10.0.0.5:7947}; empty if
     *     only the local options file is used
     * @param listen the numeric address and TCP port at which a voter accepts connections
     * @param folder where this proxy stores the log and the last epoch; empty for {@code policy-}
     *     followed by its name in the directory for temporary files
     * @param socket the socket that {@code flintmill policy} queries; empty for none
     */
    public record Policy(List<String> voters, String listen, String folder, String socket) {

        public Policy {
            voters = List.copyOf(voters);
        }

        public boolean enabled() {
            return !voters.isEmpty();
        }
    }

    /**
     * Options of the cache nodes.
     *
     * @param out the names of cache nodes in maintenance, which are not used
     */
    public record Nodes(List<String> out) {

        public Nodes {
            out = List.copyOf(out);
        }
    }

    /** The options that apply without an options file. */
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
