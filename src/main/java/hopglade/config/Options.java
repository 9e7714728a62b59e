package hopglade.config;

/**
 * What an operator may set beside the platform's configuration; each subsystem has a record. A plain record without the
 * TOML library behind it, so that a proxy started without a file loads nothing more.
 */
public record Options(Log log) {

    /** How a line of the log is written. */
    public enum Format { TEXT, JSON }

    /**
     * @param format    text lines or one JSON object a line; read at the start alone
     * @param tallyS    seconds between two {@code tally} events, 1 to 3600
     * @param oddLines  lines about odd input from outside that are written in a window, 1 to 10,000
     * @param oddWindowS that window's length in seconds, 1 to 3600
     */
    public record Log(Format format, int tallyS, int oddLines, int oddWindowS) { }

    /** What holds without a file. */
    public static final Options DEFAULTS = new Options(new Log(Format.TEXT, 10, 20, 10));
}
