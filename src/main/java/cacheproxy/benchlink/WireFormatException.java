package cacheproxy.benchlink;

/** A line that does not follow the wire's rules. */
public final class WireFormatException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    WireFormatException(String message) {
        super(message);
    }
}
