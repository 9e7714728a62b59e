package cacheproxy.lab.hollow;

/**
 * Traffic counters of a control plane's UDP or TCP sockets since its first start, including header
 * bytes. Accessed only on its event loop.
 */
final class Traffic {

    /** Bytes of the IPv4 and UDP headers. */
    static final int UDP_HEADER_BYTES = 28;

    /**
     * Bytes of the IPv4 header and the TCP header with timestamps. A flush counts as one segment;
     * acknowledgements without data are not counted.
     */
    static final int TCP_HEADER_BYTES = 52;

    long sent;
    long sentBytes;
    long received;
    long receivedBytes;
    int connections;

    void countSent(long bytes) {
        sent++;
        sentBytes += bytes;
    }

    void countReceived(long bytes) {
        received++;
        receivedBytes += bytes;
    }
}
