package hopglade.config;

import hopglade.config.Options.Format;
import java.nio.file.Path;
import java.util.List;

/** Reads {@code deploy/flintmill.toml} or a file of its form. */
public final class OptionsFile {

    private static final int HOUR_S = 3600;
    private static final int MOST_LINES = 10_000;

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
                log.whole("odd_window_s", absent.oddWindowS(), 1, HOUR_S)));
        log.done();
        root.done();
        return options;
    }
}
