package cacheproxy.membership;

/**
 * What one proxy saw of one node.
 *
 * @param node the node's id, at most 64 bytes
 * @param born the start of the node's life as the server list states it: an identifier, never
 *     compared with a clock
 * @param kind how its latest attempts ended
 * @param attempts how many of them in a row, 1 to 255
 * @param sinceMs how long before the statement the first of them ended, by the observer's own clock
 */
public record Claim(String node, long startedAtMs, Kind kind, int attempts, int failingForMs) {

    /** What is wrong with the node. */
    public enum Kind {
        /** Attempts end without a word. */
        SILENT,
        /** Connections are refused, or break. */
        REFUSING,
        /** It answers with errors. */
        ERRING,
        /** It answers many times later than it usually does. */
        SLOW
    }
}
