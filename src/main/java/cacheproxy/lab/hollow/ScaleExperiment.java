package cacheproxy.lab.hollow;

import cacheproxy.lab.Experiment;
import cacheproxy.lab.capacity.Slope;
import java.util.List;
import java.util.Map;

/**
 * What a scale test plays: the same at each of several sizes, a few runs each.
 *
 * @param settleS how long the fleet may take from its start until the measuring begins, which is
 *     sooner where it is whole sooner; 0 measures the start itself
 * @param calmS from then until it is measured
 * @param durationS how long is measured
 */
record ScaleExperiment(
        String file,
        String name,
        String about,
        int seed,
        double settleS,
        double calmS,
        double durationS,
        int runs,
        Fleet fleet,
        Gossip gossip,
        Policy policy,
        Links links,
        List<Fault> faults,
        List<SlopeDefinition> slopes,
        List<Experiment.Expect> expects) {

    /**
     * {@code proxies} are the sizes; they share so many processes, control machines have one each.
     */
    record Fleet(
            List<Integer> proxies, int processes, int control, int sites, int zones, int regions) {}

    record Gossip(boolean enabled, int bytesPerS, int verificationsPerS) {}

    /**
     * @param changes proposed one after the other while it is measured
     * @param everyMs from one proposal to the next, at least
     * @param pastEpochs in force already, in every control machine's log; no proxy has any
     */
    record Policy(boolean enabled, int changes, double everyMs, int pastEpochs) {}

    /**
     * One-way delay and loss of packets by distance, in {@link PlaneLocation.Distance}'s order.
     * Streams have the delay alone.
     */
    record Links(List<Double> delayMs, List<Double> loss) {}

    enum Kind {
        CONTROL_KILL,
        PROXY_REPLACE,
        CUT
    }

    /**
     * {@code CONTROL_KILL} ends a control machine's process and starts it again after {@code forS};
     * {@code PROXY_REPLACE} lets {@code count} proxies, spread over {@code forS}, leave and start
     * again; {@code CUT} holds what goes from one area to another, both ways where {@code both}.
     */
    record Fault(
            Kind kind,
            double atS,
            double durationS,
            int control,
            int count,
            String from,
            String to,
            boolean both) {}

    /**
     * A slope to fit: figures of the run, added up and taken so many times, and the name, unit and
     * role that this has in the slopes' file.
     */
    record SlopeDefinition(
            List<String> figures, double factor, Slope.Role role, String name, String unit) {

        boolean isMeasuredIn(Map<String, Double> figuresOfRun) {
            return figuresOfRun.keySet().containsAll(figures);
        }

        double value(Map<String, Double> figuresOfRun) {
            return factor * figures.stream().mapToDouble(figuresOfRun::get).sum();
        }
    }
}
