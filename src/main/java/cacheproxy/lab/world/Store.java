package cacheproxy.lab.world;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongPredicate;

/** What a cache node keeps: copies up to its memory; those used longest ago go first. */
final class Store {

    /**
     * A kept copy: its size, the version it was made of, and when it goes void (Unix-free run time,
     * ms).
     */
    record Copy(int bytes, long version, double voidAt) {}

    private final long memoryBytes;
    private final Map<Long, Copy> copies = new LinkedHashMap<>(16, 0.75f, true);
    private long used;

    Store(long memoryBytes) {
        this.memoryBytes = memoryBytes;
    }

    Copy get(long key, double now) {
        Copy copy = copies.get(key);
        if (copy != null && copy.voidAt() <= now) {
            drop(key);
            return null;
        }
        return copy;
    }

    void put(long key, Copy copy) {
        drop(key);
        copies.put(key, copy);
        used += copy.bytes();
        Iterator<Map.Entry<Long, Copy>> oldest = copies.entrySet().iterator();
        while (used > memoryBytes && oldest.hasNext()) {
            used -= oldest.next().getValue().bytes();
            oldest.remove();
        }
    }

    void drop(long key) {
        Copy old = copies.remove(key);
        used -= old == null ? 0 : old.bytes();
    }

    void dropAll() {
        copies.clear();
        used = 0;
    }

    void dropIf(LongPredicate goes) {
        copies.entrySet()
                .removeIf(
                        e -> {
                            boolean gone = goes.test(e.getKey());
                            used -= gone ? e.getValue().bytes() : 0;
                            return gone;
                        });
    }
}
