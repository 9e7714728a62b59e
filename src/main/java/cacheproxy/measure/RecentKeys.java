package cacheproxy.measure;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * Ring buffer of recent keys with the number of occurrences of each. Adding or counting a key costs
 * a hash table look-up.
 */
public final class RecentKeys {

    private final Map<Integer, Integer> counts = new HashMap<>();
    private int[] ring;

    /** Keys added so far. A busy proxy adds more of them over its lifetime than fit into an int. */
    private long added;

    /** Creates a buffer for {@code keys} keys. */
    public RecentKeys(int keys) {
        ring = new int[keys];
    }

    /**
     * Adds all keys of a buffer, from its start, and rewinds it. An incomplete key at the end is
     * ignored.
     */
    public void addAll(ByteBuffer keys) {
        for (keys.rewind(); keys.remaining() >= Integer.BYTES; ) {
            int index = (int) (added++ % ring.length);
            if (added > ring.length) {
                counts.computeIfPresent(ring[index], (k, n) -> n > 1 ? n - 1 : null);
            }
            ring[index] = keys.getInt();
            counts.merge(ring[index], 1, Integer::sum);
        }
        keys.rewind();
    }

    /** Number of keys in the buffer. */
    public int size() {
        return (int) Math.min(added, ring.length);
    }

    /** Occurrences of a key in the buffer. */
    public int count(int key) {
        return counts.getOrDefault(key, 0);
    }

    /** Enlarges the buffer to {@code keys} keys if it is smaller, which clears it. */
    public void ensureCapacity(int keys) {
        if (keys > ring.length) {
            ring = new int[keys];
            counts.clear();
            added = 0;
        }
    }
}
