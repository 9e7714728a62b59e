package cacheproxy.proxy;

/** How fast a client writes a request and reads a response. */
final class ClientRate {

    /** Least average rate of a sound client, which sends 64 kB/s in bursts. */
    static final long MIN_BYTES_PER_S = 48_000;

    private ClientRate() {}
}
