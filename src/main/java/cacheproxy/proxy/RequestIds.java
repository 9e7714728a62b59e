package cacheproxy.proxy;

import cacheproxy.measure.Hash;
import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The ids of recent requests that may have run and must not run twice, as a table of fixed size.
 * The two processes of an upgrade share it as a mapped file; an id that both claim at once is
 * granted to one of them. A full bucket forgets its oldest id.
 */
final class RequestIds {

    private static final int BUCKETS = 1024;
    private static final int ENTRIES_PER_BUCKET = 8;

    /** An entry is the hash of an id, 0 if it is free, and when it was claimed. */
    private static final int ENTRY_BYTES = 2 * Long.BYTES;

    private static final int BUCKET_BYTES = ENTRIES_PER_BUCKET * ENTRY_BYTES;
    private static final int TABLE_BYTES = BUCKETS * BUCKET_BYTES;
    private static final long FREE = 0;

    private static final VarHandle LONGS =
            MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer table;

    private RequestIds(ByteBuffer table) {
        this.table = table;
    }

    /** A table of this process alone. */
    static RequestIds ofProcess() {
        return new RequestIds(ByteBuffer.allocateDirect(TABLE_BYTES));
    }

    /** The table that all processes share that use this file, which is made if it is missing. */
    static RequestIds shared(Path file) throws IOException {
        try (FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE)) {
            return new RequestIds(channel.map(FileChannel.MapMode.READ_WRITE, 0, TABLE_BYTES));
        }
    }

    /** Claims an id at a Unix time. Returns false if it is claimed already. */
    boolean claim(String id, double nowMs) {
        long hash = hash(id);
        while (true) {
            int entry = findOrOldest(hash);
            long found = hashAt(entry);
            if (found == hash) {
                return false;
            }
            if (LONGS.compareAndSet(table, entry, found, hash)) {
                LONGS.setVolatile(table, entry + Long.BYTES, (long) nowMs);
                return true;
            }
        }
    }

    /** Gives a claimed id up: its request provably has not run. */
    void release(String id) {
        long hash = hash(id);
        LONGS.compareAndSet(table, findOrOldest(hash), hash, FREE);
    }

    /** The entry of a hash or, if there is none, a free one or the oldest of its bucket. */
    private int findOrOldest(long hash) {
        int bucket = (int) Long.remainderUnsigned(hash, BUCKETS) * BUCKET_BYTES;
        int oldest = bucket;
        long oldestMs = Long.MAX_VALUE;
        for (int i = 0; i < ENTRIES_PER_BUCKET; i++) {
            int entry = bucket + i * ENTRY_BYTES;
            long found = hashAt(entry);
            if (found == hash) {
                return entry;
            }
            long claimedMs =
                    found == FREE
                            ? Long.MIN_VALUE
                            : (long) LONGS.getVolatile(table, entry + Long.BYTES);
            if (claimedMs < oldestMs) {
                oldestMs = claimedMs;
                oldest = entry;
            }
        }
        return oldest;
    }

    private long hashAt(int entry) {
        return (long) LONGS.getVolatile(table, entry);
    }

    private static long hash(String id) {
        long hash = Hash.mix(Hash.hashText(id));
        return hash == FREE ? 1 : hash;
    }
}
