package cacheproxy.lab.hollow;

/**
 * What passed one plane's sockets of one kind, since its first start; with what headers add. Used
 * by its loop's thread alone.
 */
final class Traffic {

    /**
     * Of IPv4 and UDP, and of IPv4 and TCP with timestamps; a flush counts as one segment, bare
     * acknowledgements are not counted.
     */
    static final int UDP_HEADER_BYTES = 28;

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
