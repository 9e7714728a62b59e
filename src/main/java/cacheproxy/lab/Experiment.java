package cacheproxy.lab;

import cacheproxy.lab.faults.Fault;
import java.util.List;

/**
 * An experiment as specified by its file: ranges, not the random values drawn from them. Every
 * quantity has its unit in its name; a range is a pair of minimum and maximum. See {@link
 * ExperimentFile} for the keys and their bounds.
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
     * Largest allowed size of a value, in bytes: slightly above the average response size of a
     * proxy in the largest planned fleet.
     */
    public static final int MAX_VALUE_BYTES = 2_000_000;

    /**
     * The cache nodes, spare nodes that may replace them, their zones and the links between zones.
     */
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

        /** Returns the zone index of a node or spare; nodes are assigned to zones in rotation. */
        public int zoneIndex(int node) {
            return node % zones.size();
        }

        /** Returns the smallest fraction of its capacity that a node of any kind starts with. */
        public double slowStartInitialFraction() {
            return kinds.stream().mapToDouble(k -> k.coldFrom()[0]).min().orElse(1);
        }

        /** Returns the longest warm-up of any kind of node, in ms. */
        public double slowStartMs() {
            return kinds.stream().mapToDouble(k -> 1000 * k.coldS()).max().orElse(0);
        }
    }

    /** A kind of machine and its relative share of the nodes. */
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

    /**
     * The origin. It stops when the work sent to it over {@code fallS} exceeds {@code fallMultiple}
     * times its capacity; {@code downS} is the range of the duration of such a stop.
     */
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
     * Discovery. {@code delayS} is the delay until an update reaches a proxy, {@code weightS} the
     * interval between weight updates, {@code listsPerS} the number of snapshots that it can send
     * per second to all proxies together.
     */
    public record Discovery(double[] delayS, double[] weightS, double listsPerS) {}

    /**
     * The proxies. {@code run} is the command that starts one; if empty, the one in
     * deploy/balancer.toml is used.
     */
    public record Proxies(int count, String run, int memoryMb, int sockets, double noticeS) {}

    /**
     * Gossip between the proxies: whether it is enabled, the bytes per second that each proxy may
     * send, including headers, and whether a proxy extends its timeouts when its own health is
     * poor.
     */
    public record Gossip(boolean enabled, int bytesPerS, boolean health) {}

    /**
     * The policy log. {@code voters} is the number of proxies, counted from proxy-0, that are
     * voters; 0 disables the policy log.
     */
    public record Policy(int voters) {}

    /** The load. {@code proxyShares} is the range of the relative share of traffic of a proxy. */
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

        /** Returns the longest deadline of any class, in ms. */
        public double longestDeadlineMs() {
            return classes.stream().mapToDouble(Class::deadlineMs).max().orElse(0);
        }
    }

    /**
     * A class of requests. {@code aimMs} is its latency objective, {@code worth} its priority
     * weight; {@code effect} is as in {@link cacheproxy.Router.Effect}.
     */
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
     * Parameters of the rules. {@code slackMs} is the tolerance for a final answer after its
     * deadline, {@code coldFalls} whether a node that is overloaded while warming up crashes.
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
     * Costs subtracted from the share of priority weight served: for each new connection, each
     * attempt that crosses zones and each unit of abandoned work, all per request.
     */
    public record Prices(double connection, double crossing, double waste) {}

    /** Bounds on a figure of the results; an open side is infinite. */
    public record Expect(String figure, double min, double max) {}
}
