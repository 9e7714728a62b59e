package cacheproxy.proxy;

/**
 * Thrown for a configuration that the proxy cannot start with or reload. The message is written for
 * operators.
 */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1L;

    ConfigException(String message) {
        super(message);
    }
}
