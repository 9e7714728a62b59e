package cacheproxy.proxy;

/** The key that a path names. */
public final class PathKey {

    /** Keys are below 2^53, as on the simulator's wire. */
    private static final long KEY_MASK = (1L << 53) - 1;

    private PathKey() {}

    /**
     * Hashes the path's last part (FNV-1a, folded) as all proxies do, so that a key goes to the
     * same nodes whichever has it.
     */
    public static long of(String path) {
        long hash = 0xcbf29ce484222325L;
        for (int i = path.lastIndexOf('/') + 1; i < path.length(); i++) {
            hash = (hash ^ path.charAt(i)) * 0x100000001b3L;
        }
        return (hash ^ hash >>> 32) & KEY_MASK;
    }
}
