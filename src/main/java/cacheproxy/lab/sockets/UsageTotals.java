package cacheproxy.lab.sockets;

import cacheproxy.lab.sockets.ProxyProcess.Usage;
import java.util.Map;

/** Adds up what the proxies of a run use, over all their restarts. */
final class UsageTotals {

    /** The latest usage of each proxy; null before the first. */
    private final Usage[] previous;

    private double cpuS;
    private double systemS;
    private double maxResidentMb;
    private int maxDescriptors;

    UsageTotals(int proxies) {
        previous = new Usage[proxies];
    }

    /**
     * Adds what a proxy has used since its last call.
     *
     * @param countsCpu whether its CPU time counts: before the run it is not caused by requests
     */
    void add(int proxy, Usage usage, boolean countsCpu) {
        Usage before = previous[proxy];
        // The counters of a restarted proxy begin at 0.
        boolean restarted = before == null || usage.cpuS() < before.cpuS();
        if (countsCpu) {
            cpuS += usage.cpuS() - (restarted ? 0 : before.cpuS());
            systemS += Math.max(0, usage.systemS() - (restarted ? 0 : before.systemS()));
        }
        previous[proxy] = usage;
        maxResidentMb = Math.max(maxResidentMb, usage.residentMb());
        maxDescriptors = Math.max(maxDescriptors, usage.descriptors());
    }

    void addFiguresTo(Map<String, Double> figures) {
        figures.put("proxy.cpu_s", cpuS);
        figures.put("proxy.cpu_system_s", systemS);
        figures.put("proxy.resident_mb_max", maxResidentMb);
        figures.put("proxy.descriptors_max", (double) maxDescriptors);
    }
}
