package cacheproxy.stream;

import cacheproxy.stream.Message.Row;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who has which entry: the confirmations of a control machine's own subscribers, and the tallies of
 * others. An entry is everywhere once all who are there have confirmed it. Whoever has not been
 * heard for {@code apartMs} is apart: it knows by then that its view is old ({@link
 * Subscriber#asOf}), is not waited for, and is named.
 */
public final class Deliveries {

    /** An entry that has come to be everywhere, and how long after it was committed. */
    public record Everywhere(long seq, double tookMs) {}

    private record Known(long acked, double heardAt) {}

    private record Pending(long seq, double at) {}

    private static final int MOST_PENDING = 4096;

    private final double apartMs;
    private final double forgetMs;
    private final Map<String, Known> known = new TreeMap<>();
    private final Deque<Pending> pending = new ArrayDeque<>();
    private Map<String, Long> changed = new HashMap<>();

    /**
     * @param forgetMs who was silent for so long counts as replaced, and is named no more
     */
    public Deliveries(double apartMs, double forgetMs) {
        this.apartMs = apartMs;
        this.forgetMs = forgetMs;
    }

    /** A subscriber has confirmed all up to an entry; what is older than known moves nothing. */
    public void acked(double now, String name, long seq) {
        Known before = known.get(name);
        long acked = before == null ? seq : Math.max(before.acked(), seq);
        known.put(name, new Known(acked, now));
        changed.put(name, acked);
    }

    /** Another control machine's tally. */
    public void add(double now, List<Row> rows) {
        rows.forEach(r -> acked(now, r.name(), r.acked()));
    }

    /** What has been heard since the last call: the tally for whoever sums. */
    public List<Row> heard() {
        Map<String, Long> news = changed;
        changed = new HashMap<>();
        return news.entrySet().stream().map(e -> new Row(e.getKey(), e.getValue())).toList();
    }

    /** An entry has been committed; its way is watched from now on. */
    public void committed(double now, long seq) {
        if (pending.size() < MOST_PENDING) {
            pending.add(new Pending(seq, now));
        }
    }

    /** Another control machine, which sums, has seen all up to an entry to be everywhere. */
    public void settled(long seq) {
        while (!pending.isEmpty() && pending.peek().seq() <= seq) {
            pending.remove();
        }
    }

    /** The first entry whose way is still watched; {@link Long#MAX_VALUE} where there is none. */
    public long firstPending() {
        return pending.isEmpty() ? Long.MAX_VALUE : pending.peek().seq();
    }

    /** The entries that have come to be everywhere since the last call. */
    public List<Everywhere> everywhere(double now) {
        known.values().removeIf(k -> now - k.heardAt() > forgetMs);
        long floor = floor(now);
        List<Everywhere> found = new ArrayList<>();
        while (!pending.isEmpty() && pending.peek().seq() <= floor) {
            Pending p = pending.remove();
            found.add(new Everywhere(p.seq(), now - p.at()));
        }
        return found;
    }

    /** The last entry that all have who are there; -1 where nobody is. */
    public long floor(double now) {
        return known.values().stream()
                .filter(k -> now - k.heardAt() <= apartMs)
                .mapToLong(Known::acked)
                .min()
                .orElse(-1);
    }

    /** Those who are there and lack an entry, by name. */
    public List<String> behind(double now, long seq) {
        return known.entrySet().stream()
                .filter(e -> now - e.getValue().heardAt() <= apartMs && e.getValue().acked() < seq)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Those who have not been heard for a while, by name. */
    public List<String> apart(double now) {
        return known.entrySet().stream()
                .filter(e -> now - e.getValue().heardAt() > apartMs)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** How many are there. */
    public int present(double now) {
        return (int) known.values().stream().filter(k -> now - k.heardAt() <= apartMs).count();
    }
}
