package cacheproxy.lab.faults;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/**
 * A fault of the schedule. Parameters that its kind does not have are 0 or empty.
 *
 * @param kind the kind of fault
 * @param atS when it begins, in seconds of the run
 * @param forS how long it lasts, in seconds
 * @param target a node ({@code node-3}; {@code *} for all, {@code 30%} for a share of them, the
 *     name of a zone for its nodes), {@code origin}, a proxy ({@code proxy-0}; {@code *} and {@code
 *     30%} as for nodes) or a zone
 * @param share the share of requests, answers, keys or time affected, 0 to 1
 * @param factor the slowdown or the increase of work or load, as a multiple; for {@code
 *     discovery-stale} the additional delay in seconds, for {@code hostile} the peers per second,
 *     for {@code machine-busy} the number of threads
 * @param keys the number of keys that become hot
 * @param peer the other proxy of a link, in the form of {@code target}
 */
public record Fault(
        Kind kind,
        double atS,
        double forS,
        String target,
        double share,
        double factor,
        int keys,
        String peer) {

    public Fault(
            Kind kind,
            double atS,
            double forS,
            String target,
            double share,
            double factor,
            int keys) {
        this(kind, atS, forS, target, share, factor, keys, "");
    }

    /**
     * Stride of the permutation of indexes from which a share of nodes or proxies is taken: a prime
     * above any count, so that every index occurs once and neighboring indexes are spread.
     */
    private static final int INDEX_STRIDE = 7919;

    /** Interval at which a lying proxy publishes a false claim about each node, in ms. */
    public static final double FALSE_CLAIM_INTERVAL_MS = 250;

    /** A starved proxy is paused once per period of this length, in ms. */
    public static final double STARVATION_PERIOD_MS = 1000;

    /** Keys of a fault's table in addition to {@code what} and {@code at_s}. */
    public enum Key {
        FOR_S,
        NODE,
        PROXY,
        PEER,
        ZONE,
        SHARE,
        FACTOR,
        KEYS,
        CLASS
    }

    /** The kinds of fault and the keys of each; all keys of a kind are required. */
    public enum Kind {
        /** The node's process dies; the endpoint list is updated after the delay of discovery. */
        NODE_KILL(Key.NODE),
        /** The node dies and restarts after {@code for_s} with an empty cache, warming up. */
        NODE_RESTART(Key.NODE, Key.FOR_S),
        /** A spare starts with an empty cache, warming up, under a name unknown to the proxies. */
        NODE_START(Key.NODE),
        /**
         * Each node is replaced by a spare, at even intervals over {@code for_s}. It is read as one
         * {@link #NODE_START} and one {@link #NODE_DRAIN} per node.
         */
        NODE_REPLACE(Key.NODE, Key.FOR_S),
        /** The endpoint list marks the node as draining; after {@code for_s} it is killed. */
        NODE_DRAIN(Key.NODE, Key.FOR_S),
        /**
         * Operators put the node into maintenance at every proxy, restart it halfway, and end the
         * maintenance after {@code for_s}. Only in virtual time.
         */
        NODE_MAINTENANCE(Key.NODE, Key.FOR_S),
        /**
         * The machine does not answer: connections stay open but silent, and new ones are never
         * established.
         */
        NODE_SILENT(Key.NODE, Key.FOR_S),
        /** All work of the node takes {@code factor} times as long. */
        NODE_SLOW(Key.NODE, Key.FOR_S, Key.FACTOR),
        /** A share of the node's requests fails with an error. */
        NODE_ERRORS(Key.NODE, Key.FOR_S, Key.SHARE),
        /**
         * A share of new connections is reset as soon as they are established, and idle connections
         * are reset at the beginning of the fault.
         */
        RESET_BEFORE(Key.NODE, Key.FOR_S, Key.SHARE),
        /**
         * A share of connections is reset instead of the answer, after the request was executed.
         */
        RESET_AFTER(Key.NODE, Key.FOR_S, Key.SHARE),
        /** A share of answers is truncated. */
        HALF_ANSWER(Key.NODE, Key.FOR_S, Key.SHARE),
        /** A share of answers is not valid HTTP. */
        SPOILT_ANSWER(Key.NODE, Key.FOR_S, Key.SHARE),
        /** The origin suspends all work. */
        ORIGIN_STALL(Key.FOR_S),
        /** All work of the origin takes {@code factor} times as long. */
        ORIGIN_SLOW(Key.FOR_S, Key.FACTOR),
        /** A zone is partitioned from the others, in both directions. */
        ZONE_CUT(Key.ZONE, Key.FOR_S),
        /** Discovery sends a proxy nothing and accepts no connection from it. */
        DISCOVERY_SILENT(Key.PROXY, Key.FOR_S),
        /** Endpoint list updates are delayed by another {@code factor} seconds. */
        DISCOVERY_STALE(Key.FOR_S, Key.FACTOR),
        /** All copies of a share of the keys expire at once. */
        MASS_VOIDING(Key.SHARE),
        /** A share of all requests is for {@code keys} hot keys. */
        HOT_KEY(Key.FOR_S, Key.SHARE, Key.KEYS),
        /** The work of a share of one class's requests is multiplied by {@code factor}. */
        HEAVY(Key.CLASS, Key.FOR_S, Key.SHARE, Key.FACTOR),
        /** The rate of arrivals is multiplied by {@code factor}. */
        BURST(Key.FOR_S, Key.FACTOR),
        /**
         * {@code factor} clients per second that send slow, endless or malformed requests, or none.
         */
        HOSTILE(Key.FOR_S, Key.FACTOR),
        /** A planned restart of a proxy: SIGTERM, and a new start after {@code for_s}. */
        PROXY_TERM(Key.PROXY, Key.FOR_S),
        /** A proxy is killed with SIGKILL and started again after {@code for_s}. */
        PROXY_KILL(Key.PROXY, Key.FOR_S),
        /**
         * The proxy's discovery moves to another address, and the proxy is reloaded with SIGHUP.
         */
        PROXY_HUP(Key.PROXY),
        /** A proxy's process is paused for {@code for_s} and then resumed. */
        PROXY_STOP(Key.PROXY, Key.FOR_S),
        /** A proxy gets no CPU for a {@code share} of each second. */
        PROXY_STARVED(Key.PROXY, Key.FOR_S, Key.SHARE),
        /** {@code factor} threads of the testbed keep the machine's cores busy. Only on sockets. */
        MACHINE_BUSY(Key.FOR_S, Key.FACTOR),
        /**
         * The link from the proxy to the machines is broken: every machine seems silent to it,
         * while its clients and peers reach it.
         */
        PROXY_BLIND(Key.PROXY, Key.FOR_S),
        /**
         * The proxy's gossip is cut off in both directions, requests are not. Several affected
         * proxies are also cut off from one another.
         */
        GOSSIP_CUT(Key.PROXY, Key.FOR_S),
        /** The proxy receives no packets of other proxies; its own packets arrive. */
        GOSSIP_DEAF(Key.PROXY, Key.FOR_S),
        /** The proxy's packets reach no other proxy; it receives theirs. */
        GOSSIP_MUTE(Key.PROXY, Key.FOR_S),
        /** The proxy receives no packets of {@code peer}; all other packets arrive. */
        GOSSIP_ONEWAY(Key.PROXY, Key.PEER, Key.FOR_S),
        /** The proxies are partitioned into the affected ones and the rest. */
        GOSSIP_SPLIT(Key.PROXY, Key.FOR_S),
        /**
         * Of the packets between proxies, a {@code share} is lost, an equal share is duplicated,
         * and an equal share is delayed and thereby reordered.
         */
        GOSSIP_LOSS(Key.FOR_S, Key.SHARE),
        /** An operator proposes a new policy at the proxy. */
        POLICY_PROPOSE(Key.PROXY),
        /** The present leader of the policy log is killed and restarted after {@code for_s}. */
        LEADER_KILL(Key.FOR_S),
        /** The proxy claims that every node fails, whatever it observes. */
        LIAR_ACCUSES(Key.PROXY, Key.FOR_S),
        /** The proxy never claims a failure of any node, not even of dead ones. */
        LIAR_PRAISES(Key.PROXY, Key.FOR_S),
        /**
         * The proxy claims that every node fails and withdraws the claims, alternating every
         * second.
         */
        LIAR_FLIPS(Key.PROXY, Key.FOR_S),
        /**
         * The gossip clock of the proxy jumps one hour ahead and runs {@code factor} times as fast.
         */
        PROXY_CLOCK(Key.PROXY, Key.FOR_S, Key.FACTOR);

        private final Set<Key> keys;

        Kind(Key first, Key... more) {
            keys = EnumSet.of(first, more);
        }

        public Set<Key> keys() {
            return keys;
        }

        /** Returns the name of this kind in experiment files. */
        public String configName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** Whether this kind of fault changes the load and is applied by the load plan. */
        public boolean changesLoad() {
            return this == HOT_KEY || this == HEAVY || this == BURST;
        }
    }

    /** Returns a label of its kind and target. */
    public String label() {
        return kind.configName()
                + (target.isEmpty() ? "" : " " + target)
                + (peer.isEmpty() ? "" : " of " + peer);
    }

    /**
     * Whether the target includes the machine or proxy of an index among {@code count}: {@code *}
     * includes all, a name that one. A percentage such as {@code 30%} includes at least one; it is
     * spread evenly over the indexes and is the same set for each fault.
     */
    public boolean affects(String prefix, int index, int count) {
        return affects(target, prefix, index, count);
    }

    /** Whether {@code peer}, the other end of a link, includes the proxy of an index. */
    public boolean affectsPeer(int index, int count) {
        return affects(peer, "proxy-", index, count);
    }

    private static boolean affects(String target, String prefix, int index, int count) {
        if (target.endsWith("%")) {
            int percentage = Integer.parseInt(target.substring(0, target.length() - 1));
            return (long) index * INDEX_STRIDE % count
                    < Math.max(1, Math.round(percentage * count / 100.0));
        }
        return target.equals("*") || target.equals(prefix + index);
    }

    /**
     * Whether the target includes the cache node of an index among {@code count} in a zone; the
     * name of a zone includes all its nodes.
     */
    public boolean affectsNode(int index, String zone, int count) {
        return target.equals(zone) || affects("node-", index, count);
    }

    /**
     * Whether a lying proxy claims failures at a time; with {@link Kind#LIAR_FLIPS} it does so in
     * every second second of the run.
     */
    public boolean accusesAt(double ms) {
        return kind == Kind.LIAR_ACCUSES || kind == Kind.LIAR_FLIPS && (long) (ms / 1000) % 2 == 0;
    }

    public double atMs() {
        return atS * 1000;
    }

    public double endMs() {
        return (atS + forS) * 1000;
    }

    public boolean isActiveAt(double ms) {
        return ms >= atMs() && ms < endMs();
    }
}
