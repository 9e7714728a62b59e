package cacheproxy.proxy;

import cacheproxy.config.Options;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The log: events with a name and named fields. A brake holds back what strangers can cause at any
 * rate: a flood of bad input must not become a flood of lines. The platform's text form is written
 * by slf4j-simple, JSON by logback, which is loaded only where it was asked for.
 */
public final class Log {

    private static final String PROVIDER = "slf4j.provider";

    private static volatile Options.Log options = Options.DEFAULTS.log();
    private static volatile boolean chosen;

    private long windowStart = System.nanoTime();
    private int lines;
    private int dropped;

    /** Held apart, so that a choice of format comes before the library is first touched. */
    private static final class Lines {
        static final Logger LOGGER = LoggerFactory.getLogger("cacheproxy");
    }

    /** Takes the options in; the format of the first call holds for the life of this process. */
    public static void configure(Options.Log next) {
        if (chosen && next.format() != options.format()) {
            event("needs_restart", "key", "log.format");
        }
        Options.Format format = chosen ? options.format() : next.format();
        if (!chosen) {
            System.setProperty("slf4j.internal.verbosity", "WARN");
            System.setProperty(
                    PROVIDER,
                    format == Options.Format.JSON
                            ? "ch.qos.logback.classic.spi.LogbackServiceProvider"
                            : "org.slf4j.simple.SimpleServiceProvider");
            System.setProperty("logback.configurationFile", "cacheproxy-logback.xml");
        }
        chosen = true;
        options = new Options.Log(format, next.tallyS(), next.oddLines(), next.oddWindowS());
    }

    /** An event and its fields, which are names and values in turn. */
    static void event(String name, Object... fields) {
        if (options.format() == Options.Format.JSON) {
            write(Lines.LOGGER.atInfo(), name, fields);
        } else {
            Lines.LOGGER.info(text(name, fields));
        }
    }

    /** A fault of our own; never held back. */
    static void error(String name, Throwable cause) {
        Lines.LOGGER.error(name, cause);
    }

    /** Something odd from outside; past a few lines each window they are only counted. */
    void odd(String name, Object... fields) {
        long now = System.nanoTime();
        if (now - windowStart > TimeUnit.SECONDS.toNanos(options.oddWindowS())) {
            if (dropped > 0) {
                warn("left_out", "lines", dropped);
            }
            windowStart = now;
            lines = 0;
            dropped = 0;
        }
        if (lines++ < options.oddLines()) {
            warn(name, fields);
        } else {
            dropped++;
        }
    }

    /** Something for the operators to mend, told once; never held back. */
    static void warn(String name, Object... fields) {
        if (options.format() == Options.Format.JSON) {
            write(Lines.LOGGER.atWarn(), name, fields);
        } else {
            Lines.LOGGER.warn(text(name, fields));
        }
    }

    private static void write(LoggingEventBuilder line, String name, Object... fields) {
        LoggingEventBuilder open = line;
        for (int i = 0; i + 1 < fields.length; i += 2) {
            open = open.addKeyValue((String) fields[i], fields[i + 1]);
        }
        open.log(name);
    }

    /** {@code name key=value key="a value with blanks"}. */
    static String text(String name, Object... fields) {
        StringBuilder line = new StringBuilder(name);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            String value = String.valueOf(fields[i + 1]);
            boolean quoted = value.isEmpty() || value.indexOf(' ') >= 0 || value.indexOf('"') >= 0;
            line.append(' ').append(fields[i]).append('=');
            if (quoted) {
                line.append('"').append(value.replace("\"", "'")).append('"');
            } else {
                line.append(value);
            }
        }
        return line.toString();
    }
}
