package cacheproxy.stream;

/** A change that an entry of the stream carries. */
public sealed interface Change permits Change.Purge, Change.Epoch {

    /**
     * Purges an object, or all objects whose keys start with {@code key} if {@code prefix} is set:
     * copies that were cached before this entry may not be served. Purges are idempotent.
     */
    record Purge(String key, boolean prefix) implements Change {}

    /** The complete configuration with this number, which replaces the previous one. */
    record Epoch(long number, String content) implements Change {
        /** The empty configuration that is in force before the first epoch. */
        public static final Epoch NONE = new Epoch(0, "");
    }
}
