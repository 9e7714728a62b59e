package cacheproxy.lab.world;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongPredicate;

/** The copies cached by a node, limited by its memory; evicts the least recently used first. */
final class LruStore {

    /**
     * A cached copy: its size, the version of the value it was made from, and the time of the run
     * at which it expires, in ms.
     */
    record Copy(int bytes, long version, double expiresAt) {}

    private final long memoryBytes;
    private final Map<Long, Copy> copies = new LinkedHashMap<>(16, 0.75f, true);
    private long usedBytes;

    LruStore(long memoryBytes) {
        this.memoryBytes = memoryBytes;
    }

    Copy get(long key, double now) {
        Copy copy = copies.get(key);
        if (copy != null && copy.expiresAt() <= now) {
            remove(key);
            return null;
        }
        return copy;
    }

    void put(long key, Copy copy) {
        remove(key);
        copies.put(key, copy);
        usedBytes += copy.bytes();
        Iterator<Map.Entry<Long, Copy>> oldest = copies.entrySet().iterator();
        while (usedBytes > memoryBytes && oldest.hasNext()) {
            usedBytes -= oldest.next().getValue().bytes();
            oldest.remove();
        }
    }

    void remove(long key) {
        Copy removed = copies.remove(key);
        usedBytes -= removed == null ? 0 : removed.bytes();
    }

    void clear() {
        copies.clear();
        usedBytes = 0;
    }

    void removeIf(LongPredicate predicate) {
        copies.entrySet()
                .removeIf(
                        e -> {
                            boolean removed = predicate.test(e.getKey());
                            usedBytes -= removed ? e.getValue().bytes() : 0;
                            return removed;
                        });
    }
}
