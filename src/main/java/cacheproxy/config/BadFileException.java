package cacheproxy.config;

/**
 * A mistake in an operator's file. The message is one line that names file, line, key, what was
 * found and what is allowed.
 */
public final class BadFileException extends Exception {

    private static final long serialVersionUID = 1L;

    public BadFileException(String message) {
        super(message);
    }
}
