package cacheproxy.proxy;

/** Computes the key of a request path. */
public final class PathKey {

    /** Keys are below 2^53, as in the simulator's protocol. */
    private static final long KEY_MASK = (1L << 53) - 1;

    private PathKey() {}

    /**
     * Hashes the last segment of the path (FNV-1a, folded). All proxies use the same hash, so a key
     * goes to the same nodes whichever proxy receives the request.
     */
    public static long of(String path) {
        long hash = 0xcbf29ce484222325L;
        for (int i = path.lastIndexOf('/') + 1; i < path.length(); i++) {
            hash = (hash ^ path.charAt(i)) * 0x100000001b3L;
        }
        return (hash ^ hash >>> 32) & KEY_MASK;
    }
}
