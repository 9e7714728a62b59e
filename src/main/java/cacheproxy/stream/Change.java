package cacheproxy.stream;

/** What an entry of the stream changes. */
public sealed interface Change permits Change.Purge, Change.Epoch {

    /**
     * An object, or all whose keys begin so, may not be served from before this entry; twice is as
     * good as once.
     */
    record Purge(String key, boolean prefix) implements Change {}

    /** The configuration with this number, whole; it replaces the one before. */
    record Epoch(long number, String content) implements Change {
        /** Before the first. */
        public static final Epoch NONE = new Epoch(0, "");
    }
}
