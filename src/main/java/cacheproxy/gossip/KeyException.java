package cacheproxy.gossip;

/** A key file or key ring that can't be used; the message names the file and what is wrong. */
public final class KeyException extends Exception {

    private static final long serialVersionUID = 1;

    public KeyException(String message) {
        super(message);
    }
}
