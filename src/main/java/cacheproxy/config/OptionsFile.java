package cacheproxy.config;

import cacheproxy.config.Options.Format;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads the operator's options from {@code deploy/flintmill.toml} or a file of that format. */
public final class OptionsFile {

    private static final int MAX_INTERVAL_S = 3600;
    private static final int MAX_COUNT = 10_000;
    private static final int MIN_GOSSIP_BYTES_PER_S = 4096;
    private static final int MAX_GOSSIP_BYTES_PER_S = 1 << 20;
    private static final int MIN_VERIFICATIONS_PER_S = 10;
    private static final int MAX_HEALTH_SCORE = 16;
    private static final int MIN_VOTERS = 3;
    private static final int MAX_VOTERS = 7;
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):\\d{1,5}");

    private OptionsFile() {}

    public static Options read(Path file) throws BadFileException {
        return fromToml(Toml.read(file));
    }

    /** Returns every key with its effective value and its origin. */
    public static List<Toml.EffectiveValue> show(Path file) throws BadFileException {
        Toml toml = Toml.read(file);
        fromToml(toml);
        return toml.effective();
    }

    static Options fromToml(Toml toml) throws BadFileException {
        Toml.Table root = toml.root();
        Toml.Table log = root.table("log");
        Options.Log defaults = Options.DEFAULTS.log();
        Format format = log.enumValue("format", defaults.format(), Format.class);
        Options options =
                new Options(
                        readLog(log, format, defaults),
                        readGossip(root.table("gossip")),
                        readPolicy(root.table("policy")),
                        readNodes(root.table("nodes"), Options.DEFAULTS.nodes()));
        if (options.policy().enabled() && !options.gossip().enabled()) {
            throw root.invalidValue(
                    "policy.voters",
                    options.policy().voters().toString(),
                    "none unless gossip.enabled is true, as voters use the gossip keys");
        }
        root.rejectUnknownKeys();
        return options;
    }

    /**
     * Returns {@code ownOptions} with the values of the fleet's policy in place of the proxy's own.
     * A policy may contain {@code [nodes]} and the keys of {@code [log]} that can be changed at run
     * time; all others are specific to each proxy and are rejected.
     */
    public static Options withPolicy(String text, Options ownOptions) throws BadFileException {
        Toml.Table root = Toml.parse("policy", text).root();
        Options.Log log = readLog(root.table("log"), ownOptions.log().format(), ownOptions.log());
        Options.Nodes nodes = readNodes(root.table("nodes"), ownOptions.nodes());
        root.rejectUnknownKeys();
        return new Options(log, ownOptions.gossip(), ownOptions.policy(), nodes);
    }

    private static Options.Log readLog(Toml.Table table, Format format, Options.Log defaults)
            throws BadFileException {
        Options.Log log =
                new Options.Log(
                        format,
                        table.integer("tally_s", defaults.tallyS(), 1, MAX_INTERVAL_S),
                        table.integer("odd_lines", defaults.oddLines(), 1, MAX_COUNT),
                        table.integer("odd_window_s", defaults.oddWindowS(), 1, MAX_INTERVAL_S));
        table.rejectUnknownKeys();
        return log;
    }

    private static Options.Nodes readNodes(Toml.Table table, Options.Nodes defaults)
            throws BadFileException {
        Options.Nodes nodes = new Options.Nodes(table.strings("out", defaults.out()));
        table.rejectUnknownKeys();
        return nodes;
    }

    private static Options.Policy readPolicy(Toml.Table table) throws BadFileException {
        Options.Policy defaults = Options.DEFAULTS.policy();
        Options.Policy policy =
                new Options.Policy(
                        table.strings("voters", defaults.voters()),
                        checkAddress(table, "listen", table.string("listen", defaults.listen())),
                        table.string("folder", defaults.folder()),
                        table.string("socket", defaults.socket()));
        Set<String> names = new HashSet<>();
        for (String voter : policy.voters()) {
            int equals = voter.indexOf('=');
            if (equals < 1 || !names.add(voter.substring(0, equals))) {
                throw table.invalidValue(
                        "voters", '"' + voter + '"', "NAME=ADDRESS:PORT, each name once");
            }
            checkAddress(table, "voters", voter.substring(equals + 1));
        }
        if (policy.enabled()
                && (names.size() < MIN_VOTERS
                        || names.size() > MAX_VOTERS
                        || names.size() % 2 == 0)) {
            throw table.invalidValue("voters", names.size() + " voters", "3, 5 or 7");
        }
        table.rejectUnknownKeys();
        return policy;
    }

    private static Options.Gossip readGossip(Toml.Table table) throws BadFileException {
        Options.Gossip defaults = Options.DEFAULTS.gossip();
        Options.Gossip gossip =
                new Options.Gossip(
                        table.bool("enabled", defaults.enabled()),
                        checkAddress(table, "listen", table.string("listen", defaults.listen())),
                        table.has("advertise")
                                ? checkAddress(table, "advertise", table.string("advertise", ""))
                                : defaults.advertise(),
                        table.strings("seeds", defaults.seeds()),
                        table.string("key_file", defaults.keyFile()),
                        table.string("ring_file", defaults.ringFile()),
                        table.integer(
                                "bytes_per_s",
                                defaults.bytesPerS(),
                                MIN_GOSSIP_BYTES_PER_S,
                                MAX_GOSSIP_BYTES_PER_S),
                        table.integer(
                                "verifications_per_s",
                                defaults.verificationsPerS(),
                                MIN_VERIFICATIONS_PER_S,
                                MAX_COUNT),
                        table.has("members_socket")
                                ? table.string("members_socket", "")
                                : defaults.membersSocket(),
                        table.integer("health_most", defaults.healthMost(), 0, MAX_HEALTH_SCORE));
        for (String seed : gossip.seeds()) {
            checkAddress(table, "seeds", seed);
        }
        table.rejectUnknownKeys();
        return gossip;
    }

    /**
     * Checks that a text is a numeric address and port. Host names are rejected: they would have to
     * be resolved, and the answers of a name server are not authenticated.
     */
    private static String checkAddress(Toml.Table table, String key, String text)
            throws BadFileException {
        if (!ADDRESS.matcher(text).matches()) {
            throw table.invalidValue(
                    key, '"' + text + '"', "a numeric address and port, as 10.0.0.5:7946");
        }
        return text;
    }
}
