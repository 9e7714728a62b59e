package cacheproxy.measure;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * The latest keys that came by, and how often each stands among them. Adding one and counting one
 * cost a look-up.
 */
public final class RecentKeys {

    private final Map<Integer, Integer> often = new HashMap<>();
    private int[] latest;

    /**
     * Keys taken in so far: a busy balancer hears more of them in its life than an int can count.
     */
    private long seen;

    /** Remembers so many. */
    public RecentKeys(int keys) {
        latest = new int[keys];
    }

    /**
     * Takes in all keys of a buffer from its start and rewinds it; what is no whole key at its end
     * is dropped.
     */
    public void addAll(ByteBuffer keys) {
        for (keys.rewind(); keys.remaining() >= Integer.BYTES; ) {
            int place = (int) (seen++ % latest.length);
            if (seen > latest.length) {
                often.computeIfPresent(latest[place], (k, n) -> n > 1 ? n - 1 : null);
            }
            latest[place] = keys.getInt();
            often.merge(latest[place], 1, Integer::sum);
        }
        keys.rewind();
    }

    /** How many are remembered by now. */
    public int size() {
        return (int) Math.min(seen, latest.length);
    }

    /** How many of them are this one. */
    public int count(int key) {
        return often.getOrDefault(key, 0);
    }

    /** Remembers so many from now on if they were fewer, and forgets those that there were. */
    public void holdAtLeast(int keys) {
        if (keys > latest.length) {
            latest = new int[keys];
            often.clear();
            seen = 0;
        }
    }
}
