package cacheproxy.measure;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * The latest keys that came by, and how often each stands among them. Adding one and counting one
 * cost a look-up.
 */
public final class RecentKeys {

    private final Map<Integer, Integer> counts = new HashMap<>();
    private int[] ring;

    /**
     * Keys taken in so far: a busy balancer hears more of them in its life than an int can count.
     */
    private long added;

    /** Remembers so many. */
    public RecentKeys(int keys) {
        ring = new int[keys];
    }

    /**
     * Takes in all keys of a buffer from its start and rewinds it; what is no whole key at its end
     * is dropped.
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

    /** How many are remembered by now. */
    public int size() {
        return (int) Math.min(added, ring.length);
    }

    /** How many of them are this one. */
    public int count(int key) {
        return counts.getOrDefault(key, 0);
    }

    /** Remembers so many from now on if they were fewer, and forgets those that there were. */
    public void ensureCapacity(int keys) {
        if (keys > ring.length) {
            ring = new int[keys];
            counts.clear();
            added = 0;
        }
    }
}
