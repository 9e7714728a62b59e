package cacheproxy.config;

/**
 * Thrown for an error in an operator's file. The message is a single line with the file, line, key,
 * the value found and the values allowed.
 */
public final class BadFileException extends Exception {

    private static final long serialVersionUID = 1L;

    public BadFileException(String message) {
        super(message);
    }
}
