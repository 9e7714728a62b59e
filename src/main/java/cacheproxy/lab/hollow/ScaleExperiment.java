package cacheproxy.lab.hollow;

import cacheproxy.lab.Experiment;
import cacheproxy.lab.capacity.Slope;
import java.util.List;
import java.util.Map;

/**
 * Definition of a scale test: the same scenario at each of several fleet sizes, with one or more
 * runs per size.
 *
 * @param settleS longest time from the start of the fleet until the calm period, in seconds; a
 *     fleet that converges earlier shortens it. 0 measures the start itself
 * @param calmS wait after that until the measurement begins, in seconds
 * @param durationS length of the measurement, in seconds
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
     * Size and layout of the fleet. {@code proxies} lists the sizes to run; the proxies share
     * {@code processes} processes, each control machine has a process of its own.
     */
    record Fleet(
            List<Integer> proxies, int processes, int control, int sites, int zones, int regions) {}

    record Gossip(boolean enabled, int bytesPerS, int verificationsPerS) {}

    /**
     * Load of the policy log.
     *
     * @param changes number of proposals, made one after the other during the measurement
     * @param everyMs shortest interval between proposals
     * @param pastEpochs number of epochs that every control machine's log already contains at the
     *     start; the proxies start without any epoch
     */
    record Policy(boolean enabled, int changes, double everyMs, int pastEpochs) {}

    /**
     * One-way delay in ms and loss probability of packets for each distance, in the order of {@link
     * PlaneLocation.Distance}. Stream connections have the delay only.
     */
    record Links(List<Double> delayMs, List<Double> loss) {}

    enum Kind {
        CONTROL_KILL,
        PROXY_REPLACE,
        CUT
    }

    /**
     * A fault. {@code CONTROL_KILL} kills a control machine's process and restarts it after {@code
     * durationS}. {@code PROXY_REPLACE} makes {@code count} proxies leave and start again, spread
     * over {@code durationS}. {@code CUT} blocks the traffic from one area to another, in both
     * directions if {@code both} is set; packets are lost, stream data is delayed until the end.
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
     * A slope to fit over the sizes. Its value in one run is the sum of the {@code figures},
     * multiplied by {@code factor}; {@code name}, {@code unit} and {@code role} go to the slope
     * file.
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
