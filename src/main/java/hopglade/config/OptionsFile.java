package hopglade.config;

import hopglade.config.Options.Format;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;

/** Reads {@code deploy/flintmill.toml} or a file of its form. */
public final class OptionsFile {

    private static final int HOUR_S = 3600;
    private static final int MOST_LINES = 10_000;
    private static final int LEAST_BYTES = 4096;
    private static final int MOST_BYTES = 1 << 20;
    private static final int LEAST_VERIFICATIONS = 10;
    private static final int MOST_HEALTH = 16;
    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):\\d{1,5}");

    private OptionsFile() { }

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
        Options options = new Options(new Options.Log(log.choice("format", absent.format(), Format.class),
                log.whole("tally_s", absent.tallyS(), 1, HOUR_S),
                log.whole("odd_lines", absent.oddLines(), 1, MOST_LINES),
                log.whole("odd_window_s", absent.oddWindowS(), 1, HOUR_S)), gossip(root.table("gossip")));
        log.done();
        root.done();
        return options;
    }

    private static Options.Gossip gossip(Toml.Table t) throws BadFileException {
        Options.Gossip absent = Options.DEFAULTS.gossip();
        Options.Gossip gossip = new Options.Gossip(t.flag("enabled", absent.enabled()), address(t, "listen", t.text("listen", absent.listen())),
                t.has("advertise") ? address(t, "advertise", t.text("advertise", "")) : absent.advertise(),
                t.texts("seeds", absent.seeds()), t.text("key_file", absent.keyFile()), t.text("ring_file", absent.ringFile()),
                t.whole("bytes_per_s", absent.bytesPerS(), LEAST_BYTES, MOST_BYTES),
                t.whole("verifications_per_s", absent.verificationsPerS(), LEAST_VERIFICATIONS, MOST_LINES),
                t.has("members_socket") ? t.text("members_socket", "") : absent.membersSocket(),
                t.whole("health_most", absent.healthMost(), 0, MOST_HEALTH));
        for (String seed : gossip.seeds()) {
            address(t, "seeds", seed);
        }
        t.done();
        return gossip;
    }

    /** Numbers alone: a name would have to be looked up, and who answers that could answer anything. */
    private static String address(Toml.Table t, String key, String text) throws BadFileException {
        if (!ADDRESS.matcher(text).matches()) {
            throw t.bad(key, '"' + text + '"', "a numeric address and port, as 10.0.0.5:7946");
        }
        return text;
    }
}
