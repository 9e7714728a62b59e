package cacheproxy.lab.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.lab.sockets.ProxyProcess.Usage;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** CPU time counts from the start of the run, over all proxies and restarts. */
class UsageTotalsTest {

    private final UsageTotals totals = new UsageTotals(2);

    private Map<String, Double> figures() {
        Map<String, Double> figures = new HashMap<>();
        totals.addFiguresTo(figures);
        return figures;
    }

    @Test
    void cpuTimeBeforeTheRunIsNotCounted() {
        totals.add(0, new Usage(3, 1, 50, 20), false);
        totals.add(0, new Usage(5, 1.5, 40, 30), true);
        assertEquals(2, figures().get("proxy.cpu_s"));
        assertEquals(0.5, figures().get("proxy.cpu_system_s"));
        assertEquals(50, figures().get("proxy.resident_mb_max"));
        assertEquals(30, figures().get("proxy.descriptors_max"));
    }

    @Test
    void countersOfRestartedProxiesBeginAtZero() {
        totals.add(0, new Usage(4, 2, 50, 20), true);
        totals.add(1, new Usage(1, 0.5, 50, 20), true);
        totals.add(0, new Usage(1, 0.25, 50, 20), true);
        assertEquals(6, figures().get("proxy.cpu_s"));
        assertEquals(2.75, figures().get("proxy.cpu_system_s"));
    }
}
