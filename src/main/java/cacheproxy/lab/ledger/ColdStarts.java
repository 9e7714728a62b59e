package cacheproxy.lab.ledger;

import cacheproxy.lab.ledger.Ledger.Attempt;
import cacheproxy.lab.ledger.Ledger.Started;
import cacheproxy.lab.ledger.Ledger.Told;
import cacheproxy.lab.world.ColdWindow;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What each node that started in a run was sent while cold, by all proxies together: a window ends
 * at each attempt.
 */
public final class ColdStarts {

    /**
     * What discovery has to tell counts as told so long after it changed, whether it arrived or
     * not.
     */
    static final double TOLD_MS = 6000;

    /**
     * What came to a node in the window that ends at {@code at}, over what is allowed then: by
     * number, and by work in requests of mean work. {@code told} is the part of the work that came
     * from proxies told of this start.
     */
    public record Window(
            String machine, double startedAt, double at, double calls, double work, double told) {}

    private final Map<String, List<Attempt>> attempts = new HashMap<>();
    private final Map<String, List<Told>> told = new HashMap<>();
    private final List<Window> windows = new ArrayList<>();

    private ColdStarts(Ledger ledger) {
        ledger.started().forEach(s -> attempts.put(s.machine(), new ArrayList<>()));
        ledger.told().stream()
                .filter(t -> attempts.containsKey(t.machine()))
                .forEach(t -> told.computeIfAbsent(t.machine(), m -> new ArrayList<>()).add(t));
        // One that never arrived weighs nothing.
        ledger.attempts().stream()
                .filter(a -> a.callMs > 0 && attempts.containsKey(a.machine))
                .forEach(a -> attempts.get(a.machine).add(a));
    }

    /** The windows of every start, in the order of the starts and of time. */
    public static List<Window> windows(Ledger ledger) {
        ColdStarts starts = new ColdStarts(ledger);
        ledger.started().forEach(starts::look);
        return starts.windows;
    }

    private void look(Started start) {
        ColdWindow calls = start.window();
        ColdWindow work = start.window();
        ColdWindow known = start.window();
        attempts.get(start.machine()).stream()
                .filter(a -> calls.cold(a.lastByteAt))
                .sorted(Comparator.comparingDouble(a -> a.lastByteAt))
                .forEach(
                        a -> {
                            double size = a.callMs / start.allowance().meanWorkMs();
                            double all = work.add(a.lastByteAt, size);
                            double ofThose =
                                    known.add(
                                            a.lastByteAt,
                                            knew(a.proxy, start, a.firstByteAt) ? size : 0);
                            windows.add(
                                    new Window(
                                            start.machine(),
                                            start.at(),
                                            a.lastByteAt,
                                            calls.add(a.lastByteAt, 1),
                                            all,
                                            all > 0 ? ofThose / all : 0));
                        });
    }

    private boolean knew(int proxy, Started start, double at) {
        return at >= start.at() + TOLD_MS
                || told.getOrDefault(start.machine(), List.of()).stream()
                        .anyMatch(
                                t ->
                                        t.proxy() == proxy
                                                && t.at() <= at
                                                && t.startedAt() == start.at());
    }
}
