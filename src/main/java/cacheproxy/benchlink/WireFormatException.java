package cacheproxy.benchlink;

/** Thrown for a line or settings that violate the simulator's protocol. */
public final class WireFormatException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    WireFormatException(String message) {
        super(message);
    }
}
