package cacheproxy.lab;

import cacheproxy.lab.faults.Fault;
import java.util.List;

/**
 * An experiment as its file states it: ranges, not draws. Every figure has its unit in its name; a
 * range holds the least and the most. See {@link ExperimentFile} for the keys and their bounds.
 */
public record Experiment(
        String name,
        String about,
        long seed,
        double durationS,
        Fleet fleet,
        Origin origin,
        Discovery discovery,
        Proxies proxies,
        Gossip gossip,
        Policy policy,
        Load load,
        Rules rules,
        Prices prices,
        List<Fault> faults,
        List<Expect> expects) {

    /**
     * The longest value of a key, in bytes: a little over what a proxy of the largest fleet planned
     * for answers on average.
     */
    public static final int MAX_VALUE_BYTES = 2_000_000;

    /** Cache nodes, those that may take another's place, their zones and the links between them. */
    public record Fleet(
            int nodes,
            int spares,
            List<String> zones,
            double[] linkMs,
            double localMs,
            List<Kind> kinds,
            double missWorkMs,
            double handshakeMs,
            int connections,
            double errorShare,
            double ttlS,
            long keys,
            double[] bytes,
            double kept) {

        /**
         * The place among the zones of a node or spare, by its number: they are dealt out in turn.
         */
        public int zoneIndex(int node) {
            return node % zones.size();
        }

        /** The least share of its capacity that a node of any kind starts with. */
        public double slowStartInitialFraction() {
            return kinds.stream().mapToDouble(k -> k.coldFrom()[0]).min().orElse(1);
        }

        /** When a node of any kind is warm at the latest. */
        public double slowStartMs() {
            return kinds.stream().mapToDouble(k -> 1000 * k.coldS()).max().orElse(0);
        }
    }

    /** A kind of machine and its share of the nodes. */
    public record Kind(
            String name,
            double share,
            int cores,
            double[] speed,
            int slots,
            int room,
            double[] coldFrom,
            double coldS,
            double crowding) {}

    public record Origin(
            int cores,
            double speed,
            int slots,
            int room,
            int connections,
            double fetchShare,
            double writeTimes,
            double fallMultiple,
            double fallS,
            double[] downS) {}

    /**
     * {@code listsPerS} is how many whole lists it can hand out in a second, to all proxies
     * together.
     */
    public record Discovery(double[] delayS, double[] weightS, double listsPerS) {}

    /** {@code run} is the command that starts one; empty for that of deploy/balancer.toml. */
    public record Proxies(int count, String run, int memoryMb, int sockets, double noticeS) {}

    /**
     * Whether the proxies gossip, the bytes that each may send in a second, headers included, and
     * whether their timeouts heed their own health.
     */
    public record Gossip(boolean enabled, int bytesPerS, boolean health) {}

    /** How many of the first proxies vote on the fleet's policy; 0 without one. */
    public record Policy(int voters) {}

    /** {@code proxyShares} is what a proxy's traffic is drawn from, in relation to the others'. */
    public record Load(
            double rate,
            double zipf,
            double drift,
            int retries,
            double[] retryWaitMs,
            double honours,
            boolean marksRetries,
            double[] patience,
            double costHintError,
            double maxRetryAfterMs,
            double latenessMs,
            double[] proxyShares,
            List<Class> classes) {

        /** The longest time that a client of any class waits. */
        public double longestDeadlineMs() {
            return classes.stream().mapToDouble(Class::deadlineMs).max().orElse(0);
        }
    }

    /** A class of requests; {@code effect} as {@link cacheproxy.Router.Effect}. */
    public record Class(
            String name,
            double share,
            double[] workMs,
            double aimMs,
            double deadlineMs,
            double worth,
            cacheproxy.Router.Effect effect,
            boolean write,
            double repeatWindowMs) {}

    /**
     * The figures of the rules; {@code slackMs} is how late a final answer may come, {@code
     * coldFalls} whether a cold node that gets too much falls over.
     */
    public record Rules(
            double slackMs,
            double drainMs,
            double coldMultiple,
            double coldWindowMs,
            boolean coldFalls,
            double refusalIdleShare,
            int attempts,
            boolean secondCopies) {}

    /**
     * Points of worth taken off for each new connection, attempt that crosses zones and unit of
     * abandoned work, by first tries.
     */
    public record Prices(double connection, double crossing, double waste) {}

    /** A bound on a figure of the results; infinite where a side is open. */
    public record Expect(String figure, double min, double max) {}
}
