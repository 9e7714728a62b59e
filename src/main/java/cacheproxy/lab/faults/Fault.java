package cacheproxy.lab.faults;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/**
 * One fault of the schedule. Figures that its kind does not have are 0 or empty.
 *
 * @param what its kind
 * @param atS when it begins, in seconds of the run
 * @param forS how long it lasts, in seconds
 * @param target a node ({@code node-3}, {@code *} for all, {@code 30%} for a part, a zone's name
 *     for its own), {@code origin}, a proxy ({@code proxy-0}, as for nodes) or a zone
 * @param share part of what it strikes, 0 to 1
 * @param factor how much slower or heavier, as a multiple; for {@code discovery-stale} the seconds
 *     that news is later; for {@code hostile} the peers a second
 * @param keys keys that turn hot
 * @param peer the other proxy of a link, as {@code target}
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

    /** A prime above any count, so that a part takes each index once and neighbours fall apart. */
    private static final int INDEX_STRIDE = 7919;

    /** How often a liar pretends to have seen something of each node. */
    public static final double FALSE_CLAIM_INTERVAL_MS = 250;

    /** A starved proxy is stopped once in so long. */
    public static final double STARVATION_PERIOD_MS = 1000;

    /** Keys that a fault's table may hold beside {@code what} and {@code at_s}. */
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

    /** Every kind of fault, and the keys that it has; all of them are needed. */
    public enum Kind {
        /** The node's process dies; the list hears of it late. */
        NODE_KILL(Key.NODE),
        /** It dies and is back, empty and cold, after {@code for_s}. */
        NODE_RESTART(Key.NODE, Key.FOR_S),
        /** A spare machine starts, empty and cold, under a name that no proxy has heard of. */
        NODE_START(Key.NODE),
        /**
         * Spread over {@code for_s}, a spare starts for each, which drains then: read as one {@link
         * #NODE_START} and {@link #NODE_DRAIN} each.
         */
        NODE_REPLACE(Key.NODE, Key.FOR_S),
        /** The list says that it drains; after {@code for_s} it is gone. */
        NODE_DRAIN(Key.NODE, Key.FOR_S),
        /**
         * The operators take it out at every proxy, restart it in the middle, and put it back after
         * {@code for_s}; in virtual time alone.
         */
        NODE_MAINTENANCE(Key.NODE, Key.FOR_S),
        /**
         * The machine says nothing more: connections stay open and silent, new ones never come up.
         */
        NODE_SILENT(Key.NODE, Key.FOR_S),
        /** All its work takes {@code factor} times as long. */
        NODE_SLOW(Key.NODE, Key.FOR_S, Key.FACTOR),
        /** A share of its requests ends in an error. */
        NODE_ERRORS(Key.NODE, Key.FOR_S, Key.SHARE),
        /**
         * A share of new connections is reset as soon as it is open, and idle ones at the
         * beginning.
         */
        RESET_BEFORE(Key.NODE, Key.FOR_S, Key.SHARE),
        /** A share of connections is reset in place of the answer, when the request has run. */
        RESET_AFTER(Key.NODE, Key.FOR_S, Key.SHARE),
        /** A share of answers ends in the middle. */
        HALF_ANSWER(Key.NODE, Key.FOR_S, Key.SHARE),
        /** A share of answers is no HTTP. */
        SPOILT_ANSWER(Key.NODE, Key.FOR_S, Key.SHARE),
        /** The origin works on nothing. */
        ORIGIN_STALL(Key.FOR_S),
        /** The origin takes {@code factor} times as long. */
        ORIGIN_SLOW(Key.FOR_S, Key.FACTOR),
        /** A zone is cut off from the others, both ways. */
        ZONE_CUT(Key.ZONE, Key.FOR_S),
        /** Discovery tells a proxy nothing, and takes no connection. */
        DISCOVERY_SILENT(Key.PROXY, Key.FOR_S),
        /** News of the list comes {@code factor} seconds later than usual. */
        DISCOVERY_STALE(Key.FOR_S, Key.FACTOR),
        /** A share of the keys goes void everywhere at once. */
        MASS_VOIDING(Key.SHARE),
        /** So many keys draw a share of all requests. */
        HOT_KEY(Key.FOR_S, Key.SHARE, Key.KEYS),
        /** A share of one class's requests costs {@code factor} times the usual. */
        HEAVY(Key.CLASS, Key.FOR_S, Key.SHARE, Key.FACTOR),
        /** All arrivals come {@code factor} times as often. */
        BURST(Key.FOR_S, Key.FACTOR),
        /** So many peers a second ({@code factor}) that are slow, endless, malformed or silent. */
        HOSTILE(Key.FOR_S, Key.FACTOR),
        /** A planned restart: SIGTERM, and it is started again after {@code for_s}. */
        PROXY_TERM(Key.PROXY, Key.FOR_S),
        /** SIGKILL, and it is started again after {@code for_s}. */
        PROXY_KILL(Key.PROXY, Key.FOR_S),
        /** Its discovery moves to another address, and SIGHUP tells it so. */
        PROXY_HUP(Key.PROXY),
        /** It is stopped for so long, and goes on. */
        PROXY_STOP(Key.PROXY, Key.FOR_S),
        /** It has no core for a {@code share} of each second. */
        PROXY_STARVED(Key.PROXY, Key.FOR_S, Key.SHARE),
        /**
         * So many threads ({@code factor}) of the laboratory's own keep the machine's cores busy;
         * on sockets alone.
         */
        MACHINE_BUSY(Key.FOR_S, Key.FACTOR),
        /**
         * Its own link is broken: every machine seems silent to it, while its clients and peers
         * reach it.
         */
        PROXY_BLIND(Key.PROXY, Key.FOR_S),
        /**
         * Its gossip reaches nobody and nobody's reaches it; requests flow. Several at once are cut
         * from one another too.
         */
        GOSSIP_CUT(Key.PROXY, Key.FOR_S),
        /** No other proxy's packets reach it; its own reach all. */
        GOSSIP_DEAF(Key.PROXY, Key.FOR_S),
        /** Its packets reach no other proxy; it hears all. */
        GOSSIP_MUTE(Key.PROXY, Key.FOR_S),
        /** It hears nothing of {@code peer}, which hears it; all else flows. */
        GOSSIP_ONEWAY(Key.PROXY, Key.PEER, Key.FOR_S),
        /**
         * Proxies of two parts hear those of their own part alone: that of the fault, and the rest.
         */
        GOSSIP_SPLIT(Key.PROXY, Key.FOR_S),
        /**
         * Of the packets between proxies a share is lost, as many arrive twice, and as many late
         * and out of order.
         */
        GOSSIP_LOSS(Key.FOR_S, Key.SHARE),
        /** An operator proposes a new policy there. */
        POLICY_PROPOSE(Key.PROXY),
        /** Whoever leads the policy's log then is killed, and started again after {@code for_s}. */
        LEADER_KILL(Key.FOR_S),
        /** It accuses every node, whatever it sees. */
        LIAR_ACCUSES(Key.PROXY, Key.FOR_S),
        /** It has nothing against any node, dead ones too. */
        LIAR_PRAISES(Key.PROXY, Key.FOR_S),
        /** It accuses every node and takes it back, each for a second. */
        LIAR_FLIPS(Key.PROXY, Key.FOR_S),
        /**
         * The clock that its gossip goes by steps an hour ahead and runs {@code factor} times as
         * fast.
         */
        PROXY_CLOCK(Key.PROXY, Key.FOR_S, Key.FACTOR);

        private final Set<Key> keys;

        Kind(Key first, Key... more) {
            keys = EnumSet.of(first, more);
        }

        public Set<Key> keys() {
            return keys;
        }

        /** Its name as files write it. */
        public String configName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** Whether it changes what is asked, and so belongs to the load. */
        public boolean changesLoad() {
            return this == HOT_KEY || this == HEAVY || this == BURST;
        }
    }

    /** Its kind and what it strikes. */
    public String label() {
        return kind.configName()
                + (target.isEmpty() ? "" : " " + target)
                + (peer.isEmpty() ? "" : " of " + peer);
    }

    /**
     * Whether it strikes the machine or proxy of an index among {@code count}: all for {@code *},
     * that one for its name. A part, as {@code 30%}, is spread evenly and the same at each fault,
     * and holds one at least.
     */
    public boolean affects(String prefix, int index, int count) {
        return affects(target, prefix, index, count);
    }

    /** The same of the proxy at the other end of a link. */
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
     * Whether it strikes the cache node of an index among {@code count} that stands in a zone; a
     * zone's name strikes all of its own.
     */
    public boolean affectsNode(int index, String zone, int count) {
        return target.equals(zone) || affects("node-", index, count);
    }

    /** Whether a liar accuses at this time: one that flips does so in every second second. */
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
