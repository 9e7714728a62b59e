package cacheproxy.proxy;

import cacheproxy.config.Options;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The log: events with a name and named fields. Events that external input can cause at any rate
 * are rate-limited, so that a flood of bad input does not flood the log. The platform's text format
 * is written by slf4j-simple; JSON is written by logback, which is loaded only where JSON is
 * configured.
 */
public final class Log {

    private static final String PROVIDER_PROPERTY = "slf4j.provider";

    private static volatile Options.Log options = Options.DEFAULTS.log();
    private static volatile boolean formatConfigured;

    private long windowStartNanos = System.nanoTime();
    private int linesInWindow;
    private int suppressedLines;

    /** A separate class, so that the format is configured before the logging library loads. */
    private static final class LoggerHolder {
        static final Logger LOGGER = LoggerFactory.getLogger("cacheproxy");
    }

    /** Applies the options. The format of the first call stays until the process ends. */
    public static void configure(Options.Log next) {
        if (formatConfigured && next.format() != options.format()) {
            event("needs_restart", "key", "log.format");
        }
        Options.Format format = formatConfigured ? options.format() : next.format();
        if (!formatConfigured) {
            System.setProperty("slf4j.internal.verbosity", "WARN");
            System.setProperty(
                    PROVIDER_PROPERTY,
                    format == Options.Format.JSON
                            ? "ch.qos.logback.classic.spi.LogbackServiceProvider"
                            : "org.slf4j.simple.SimpleServiceProvider");
            System.setProperty("logback.configurationFile", "cacheproxy-logback.xml");
        }
        formatConfigured = true;
        options = new Options.Log(format, next.tallyS(), next.oddLines(), next.oddWindowS());
    }

    /** Logs an event. {@code fields} holds field names and values in turn. */
    static void event(String name, Object... fields) {
        if (options.format() == Options.Format.JSON) {
            write(LoggerHolder.LOGGER.atInfo(), name, fields);
        } else {
            LoggerHolder.LOGGER.info(formatLine(name, fields));
        }
    }

    /** Logs a fault of the proxy itself; never rate-limited. */
    static void error(String name, Throwable cause) {
        LoggerHolder.LOGGER.error(name, cause);
    }

    /**
     * Logs an irregularity caused from outside. Beyond a number of lines per time window, events
     * are only counted and reported as one {@code left_out} line.
     */
    void warnLimited(String name, Object... fields) {
        long nowNanos = System.nanoTime();
        if (nowNanos - windowStartNanos > TimeUnit.SECONDS.toNanos(options.oddWindowS())) {
            if (suppressedLines > 0) {
                warn("left_out", "lines", suppressedLines);
            }
            windowStartNanos = nowNanos;
            linesInWindow = 0;
            suppressedLines = 0;
        }
        if (linesInWindow++ < options.oddLines()) {
            warn(name, fields);
        } else {
            suppressedLines++;
        }
    }

    /** Logs a condition that operators have to fix; never rate-limited. */
    static void warn(String name, Object... fields) {
        if (options.format() == Options.Format.JSON) {
            write(LoggerHolder.LOGGER.atWarn(), name, fields);
        } else {
            LoggerHolder.LOGGER.warn(formatLine(name, fields));
        }
    }

    /** The name of a constant as it is logged. */
    static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private static void write(LoggingEventBuilder builder, String name, Object... fields) {
        LoggingEventBuilder withFields = builder;
        for (int i = 0; i + 1 < fields.length; i += 2) {
            withFields = withFields.addKeyValue((String) fields[i], fields[i + 1]);
        }
        withFields.log(name);
    }

    /** Returns {@code name key=value key="a value with blanks"}. */
    static String formatLine(String name, Object... fields) {
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
