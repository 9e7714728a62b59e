package cacheproxy.lab.ledger;

import cacheproxy.lab.ledger.Ledger.Attempt;
import cacheproxy.lab.ledger.Ledger.ListNotification;
import cacheproxy.lab.ledger.Ledger.MachineStart;
import cacheproxy.lab.world.SlowStartWindow;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The load that all proxies together sent to each node that started in a run, while it was warming
 * up. One window ends at each attempt.
 */
public final class SlowStartLoad {

    /**
     * A proxy counts as notified of a change of the endpoint list this long after the change,
     * whether or not it received the update, in ms.
     */
    static final double MAX_NOTIFICATION_DELAY_MS = 6000;

    /**
     * The load of a node in the window that ends at {@code at}, as a ratio to the allowed load: by
     * number of requests, and by work in units of an average read. {@code notifiedShare} is the
     * share of the work sent by proxies that had been notified of this start.
     */
    public record LoadWindow(
            String machine,
            double startedAt,
            double at,
            double callRatio,
            double workRatio,
            double notifiedShare) {}

    private final Map<String, List<Attempt>> attempts = new HashMap<>();
    private final Map<String, List<ListNotification>> notifications = new HashMap<>();
    private final List<LoadWindow> windows = new ArrayList<>();

    private SlowStartLoad(Ledger ledger) {
        ledger.started().forEach(s -> attempts.put(s.machine(), new ArrayList<>()));
        ledger.notified().stream()
                .filter(t -> attempts.containsKey(t.machine()))
                .forEach(
                        t ->
                                notifications
                                        .computeIfAbsent(t.machine(), m -> new ArrayList<>())
                                        .add(t));
        // Attempts that never arrived have no work.
        ledger.attempts().stream()
                .filter(a -> a.requestWorkMs > 0 && attempts.containsKey(a.machine))
                .forEach(a -> attempts.get(a.machine).add(a));
    }

    /** Returns the windows of every start, ordered by start and time. */
    public static List<LoadWindow> windows(Ledger ledger) {
        SlowStartLoad starts = new SlowStartLoad(ledger);
        ledger.started().forEach(starts::addWindows);
        return starts.windows;
    }

    private void addWindows(MachineStart start) {
        SlowStartWindow callWindow = start.window();
        SlowStartWindow workWindow = start.window();
        SlowStartWindow notifiedWindow = start.window();
        attempts.get(start.machine()).stream()
                .filter(attempt -> callWindow.isWarmingUp(attempt.lastByteAt))
                .sorted(Comparator.comparingDouble(attempt -> attempt.lastByteAt))
                .forEach(
                        attempt -> {
                            double relativeWork =
                                    attempt.requestWorkMs / start.allowance().meanWorkMs();
                            double workRatio = workWindow.add(attempt.lastByteAt, relativeWork);
                            double notifiedRatio =
                                    notifiedWindow.add(
                                            attempt.lastByteAt,
                                            wasNotified(attempt.proxy, start, attempt.firstByteAt)
                                                    ? relativeWork
                                                    : 0);
                            windows.add(
                                    new LoadWindow(
                                            start.machine(),
                                            start.at(),
                                            attempt.lastByteAt,
                                            callWindow.add(attempt.lastByteAt, 1),
                                            workRatio,
                                            workRatio > 0 ? notifiedRatio / workRatio : 0));
                        });
    }

    private boolean wasNotified(int proxy, MachineStart start, double at) {
        return at >= start.at() + MAX_NOTIFICATION_DELAY_MS
                || notifications.getOrDefault(start.machine(), List.of()).stream()
                        .anyMatch(
                                t ->
                                        t.proxy() == proxy
                                                && t.at() <= at
                                                && t.startedAt() == start.at());
    }
}
