package cacheproxy.membership;

/**
 * One proxy's report that its latest attempts at one node failed or were slow.
 *
 * @param node the node's id, at most 64 bytes
 * @param startedAtMs the start time of the node's incarnation as stated in the endpoint list; used
 *     only to identify the incarnation, never compared with a clock
 * @param kind how the latest attempts ended
 * @param attempts the number of consecutive attempts that ended this way, 1 to 255
 * @param failingForMs time from the end of the first of these attempts until the statement was
 *     made, in milliseconds of the observer's own clock
 */
public record Claim(String node, long startedAtMs, Kind kind, int attempts, int failingForMs) {

    /** The kind of failure. The ordinals are part of the packet format. */
    public enum Kind {
        /** Attempts time out without an answer. */
        SILENT,
        /** Connections are refused or reset. */
        REFUSING,
        /** The node answers with errors. */
        ERRING,
        /** The node answers, but takes several times its usual response time. */
        SLOW
    }
}
