package cacheproxy.gossip;

/** A key file or key ring is unusable; the message states the file and the reason. */
public final class KeyException extends Exception {

    private static final long serialVersionUID = 1;

    public KeyException(String message) {
        super(message);
    }
}
