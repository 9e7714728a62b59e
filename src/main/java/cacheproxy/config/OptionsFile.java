package cacheproxy.config;

import cacheproxy.config.Options.Format;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads {@code deploy/flintmill.toml} or a file of its form. */
public final class OptionsFile {

    private static final int HOUR_S = 3600;
    private static final int MOST_LINES = 10_000;
    private static final int LEAST_BYTES = 4096;
    private static final int MOST_BYTES = 1 << 20;
    private static final int LEAST_VERIFICATIONS = 10;
    private static final int MOST_HEALTH = 16;
    private static final int LEAST_VOTERS = 3;
    private static final int MOST_VOTERS = 7;
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):\\d{1,5}");

    private OptionsFile() {}

    public static Options read(Path file) throws BadFileException {
        return options(Toml.read(file));
    }

    /** Every key with its effective value and where it came from. */
    public static List<Toml.Effective> show(Path file) throws BadFileException {
        Toml toml = Toml.read(file);
        options(toml);
        return toml.effective();
    }

    static Options options(Toml toml) throws BadFileException {
        Toml.Table root = toml.root();
        Toml.Table log = root.table("log");
        Options.Log absent = Options.DEFAULTS.log();
        Format format = log.choice("format", absent.format(), Format.class);
        Options options =
                new Options(
                        log(log, format, absent),
                        gossip(root.table("gossip")),
                        voting(root.table("policy")),
                        nodes(root.table("nodes"), Options.DEFAULTS.nodes()));
        if (options.policy().enabled() && !options.gossip().enabled()) {
            throw root.bad(
                    "policy.voters",
                    options.policy().voters().toString(),
                    "none without gossip.enabled, by whose keys proxies know one another");
        }
        root.done();
        return options;
    }

    /**
     * The options with what the fleet's policy says in place of its own: the keys of {@code [log]}
     * that a running proxy can change, and {@code [nodes]}. Anything else is each proxy's own and
     * refused.
     */
    public static Options policy(String text, Options own) throws BadFileException {
        Toml.Table root = Toml.parse("policy", text).root();
        Options.Log log = log(root.table("log"), own.log().format(), own.log());
        Options.Nodes nodes = nodes(root.table("nodes"), own.nodes());
        root.done();
        return new Options(log, own.gossip(), own.policy(), nodes);
    }

    private static Options.Log log(Toml.Table t, Format format, Options.Log absent)
            throws BadFileException {
        Options.Log log =
                new Options.Log(
                        format,
                        t.whole("tally_s", absent.tallyS(), 1, HOUR_S),
                        t.whole("odd_lines", absent.oddLines(), 1, MOST_LINES),
                        t.whole("odd_window_s", absent.oddWindowS(), 1, HOUR_S));
        t.done();
        return log;
    }

    private static Options.Nodes nodes(Toml.Table t, Options.Nodes absent) throws BadFileException {
        Options.Nodes nodes = new Options.Nodes(t.texts("out", absent.out()));
        t.done();
        return nodes;
    }

    private static Options.Policy voting(Toml.Table t) throws BadFileException {
        Options.Policy absent = Options.DEFAULTS.policy();
        Options.Policy policy =
                new Options.Policy(
                        t.texts("voters", absent.voters()),
                        address(t, "listen", t.text("listen", absent.listen())),
                        t.text("folder", absent.folder()),
                        t.text("socket", absent.socket()));
        Set<String> names = new HashSet<>();
        for (String voter : policy.voters()) {
            int equals = voter.indexOf('=');
            if (equals < 1 || !names.add(voter.substring(0, equals))) {
                throw t.bad("voters", '"' + voter + '"', "NAME=ADDRESS:PORT, each name once");
            }
            address(t, "voters", voter.substring(equals + 1));
        }
        if (policy.enabled()
                && (names.size() < LEAST_VOTERS
                        || names.size() > MOST_VOTERS
                        || names.size() % 2 == 0)) {
            throw t.bad("voters", names.size() + " voters", "3, 5 or 7");
        }
        t.done();
        return policy;
    }

    private static Options.Gossip gossip(Toml.Table t) throws BadFileException {
        Options.Gossip absent = Options.DEFAULTS.gossip();
        Options.Gossip gossip =
                new Options.Gossip(
                        t.flag("enabled", absent.enabled()),
                        address(t, "listen", t.text("listen", absent.listen())),
                        t.has("advertise")
                                ? address(t, "advertise", t.text("advertise", ""))
                                : absent.advertise(),
                        t.texts("seeds", absent.seeds()),
                        t.text("key_file", absent.keyFile()),
                        t.text("ring_file", absent.ringFile()),
                        t.whole("bytes_per_s", absent.bytesPerS(), LEAST_BYTES, MOST_BYTES),
                        t.whole(
                                "verifications_per_s",
                                absent.verificationsPerS(),
                                LEAST_VERIFICATIONS,
                                MOST_LINES),
                        t.has("members_socket")
                                ? t.text("members_socket", "")
                                : absent.membersSocket(),
                        t.whole("health_most", absent.healthMost(), 0, MOST_HEALTH));
        for (String seed : gossip.seeds()) {
            address(t, "seeds", seed);
        }
        t.done();
        return gossip;
    }

    /**
     * Numbers alone: a name would have to be looked up, and who answers that could answer anything.
     */
    private static String address(Toml.Table t, String key, String text) throws BadFileException {
        if (!ADDRESS.matcher(text).matches()) {
            throw t.bad(key, '"' + text + '"', "a numeric address and port, as 10.0.0.5:7946");
        }
        return text;
    }
}
