package cacheproxy.share;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One proxy's rights to a fleet-wide budget of so many uses a second. The budget is split once, by
 * the operators' count of proxies, into whole rights that each proxy owns whoever it hears; what
 * one does not need it lends to others for a lease (the escrow of bounded counters, Balegas et al.
 * 2015, with the leases of Doorman). Nobody uses what it does not own or hold, so whoever is cut
 * off falls back to its own within a lease, and the sum over all proxies never exceeds the budget
 * in any second:
 *
 * <ul>
 *   <li>a right is used at most once in any {@link #WINDOW_MS}, and changes hands only when it has
 *       not been used for that long;
 *   <li>the borrower's lease runs from when it asked, the lender's from when it gave, on each one's
 *       own clock and the lender's longer by {@link #DRIFT} and the window;
 *   <li>a process that starts owns nothing until what an earlier life of it may have lent has run
 *       out.
 * </ul>
 *
 * <p>{@code now} is this proxy's own clock in milliseconds, which never runs back and goes on while
 * the process stands still.
 */
public final class Budget {

    /** The span in which the budget binds. */
    public static final double WINDOW_MS = 1000;

    public static final double LEASE_MS = 800;

    /** How much faster than another a clock may run. */
    public static final double DRIFT = 0.1;

    /** How often others are asked for what is lacking. */
    public static final double ASK_MS = 200;

    private static final int ASKED = 4;

    /**
     * Demand is remembered for about so long; what is asked for beyond it is a reserve against
     * chance, which nobody keeps from others.
     */
    private static final double DEMAND_MS = 2000;

    private static final double LATELY_MS = 300;
    private static final double RESERVE = 1.15;

    /** Demand that has faded so far is none. */
    private static final double FAINT = 0.05;

    /** The time after a death by which everything that was lent is free again. */
    public static final double LENT_MS = (LEASE_MS + WINDOW_MS) * (1 + DRIFT);

    /** What goes between two proxies. */
    public sealed interface Message permits Ask, Give {}

    /**
     * {@code seq} counts the asker's questions; {@code wants} is all that it would like to hold of
     * this lender's rights, what it has already included, so that 0 gives everything back.
     */
    public record Ask(long seq, int wants) implements Message {}

    /**
     * The answer: so many are lent, from when that question was asked; {@code spare} is what more
     * could have been had.
     */
    public record Give(long seq, int amount, int spare) implements Message {}

    /** Where messages go. */
    public interface Out {
        void send(String to, Message message);
    }

    private record Lent(int amount, double until) {}

    private record Held(int amount, double until) {}

    private final String name;
    private final int own;
    private final double ownFrom;
    private final SplittableRandom random;

    /**
     * What each borrower may hold: of several answers any may be the one that arrived, so the
     * largest that has not run out counts.
     */
    private final Map<String, List<Lent>> lent = new TreeMap<>();

    private final Map<String, Held> held = new TreeMap<>();
    private final Map<String, Double> askers = new HashMap<>();
    private final Map<String, Integer> spares = new HashMap<>();
    private final Map<Long, Double> asked = new HashMap<>();
    private final Deque<Double> uses = new ArrayDeque<>();
    private double demand;
    private double lately;
    private double demandAt;
    private double askAt = Double.NEGATIVE_INFINITY;
    private long seq;

    /**
     * @param own the rights that this proxy owns, as {@link #split} says
     * @param started when its process started, by {@code now}'s clock
     */
    public Budget(String name, int own, double started, long seed) {
        this.name = name;
        this.own = own;
        this.ownFrom = started + LENT_MS;
        this.demandAt = started;
        this.random = new SplittableRandom(seed);
    }

    /** The rights of the proxy of an index among so many; they add up to the budget. */
    public static int split(int budget, int proxies, int index) {
        return budget / proxies + (index < budget % proxies ? 1 : 0);
    }

    private void forget(double now) {
        while (!uses.isEmpty() && now - uses.peekFirst() >= WINDOW_MS) {
            uses.removeFirst();
        }
        lent.values().forEach(l -> l.removeIf(part -> now >= part.until()));
        lent.values().removeIf(List::isEmpty);
        held.values().removeIf(h -> now >= h.until());
    }

    private int lentTo(String peer) {
        return lent.getOrDefault(peer, List.of()).stream().mapToInt(Lent::amount).max().orElse(0);
    }

    private int lentOut() {
        return lent.keySet().stream().mapToInt(this::lentTo).sum();
    }

    /** The rights in force here now. */
    public int share(double now) {
        forget(now);
        return (now >= ownFrom ? own - lentOut() : 0)
                + held.values().stream().mapToInt(Held::amount).sum();
    }

    /** What it would like to have, in rights. */
    public int wants(double now) {
        return (int) Math.ceil(rate(now) * RESERVE);
    }

    /**
     * Uses that are asked for here in a window: a slow mean, which chance moves little, but no more
     * than a quick one allows once demand has gone.
     */
    private double rate(double now) {
        double slow = faded(demand, now, DEMAND_MS) * WINDOW_MS / DEMAND_MS;
        double quick = faded(lately, now, LATELY_MS) * WINDOW_MS / LATELY_MS;
        return Math.min(slow, 2 * quick + 2);
    }

    private double faded(double sum, double now, double overMs) {
        return sum * Math.exp(-Math.max(0, now - demandAt) / overMs);
    }

    /** Uses one right, if one is free; counts as demand either way. */
    public boolean take(double now) {
        demand = faded(demand, now, DEMAND_MS) + 1;
        lately = faded(lately, now, LATELY_MS) + 1;
        demandAt = now;
        if (uses.size() >= share(now)) {
            return false;
        }
        uses.addLast(now);
        return true;
    }

    /** What it needs itself, or has used too lately for another to use. */
    private int kept(double now) {
        return Math.max((int) Math.ceil(rate(now) - FAINT), uses.size());
    }

    /** What is neither lent, nor used in the last window, nor wanted here. */
    private int spare(double now) {
        forget(now);
        int free = own - lentOut() - kept(now);
        return now >= ownFrom ? Math.max(0, free) : 0;
    }

    /** {@code peers} are those that membership holds to be there. */
    public void tick(double now, List<String> peers, Out out) {
        if (now - askAt < ASK_MS || peers.isEmpty()) {
            return;
        }
        askAt = now;
        forget(now);
        spares.keySet().retainAll(peers);
        int lacking = wants(now) - (now >= ownFrom ? own - lentOut() : 0);
        Map<String, Integer> wanted = new TreeMap<>();
        // Renewed first, with as much as is still wanted of each; what is not is given back.
        for (Map.Entry<String, Held> e : held.entrySet()) {
            int keep = Math.max(0, Math.min(e.getValue().amount(), lacking));
            lacking -= keep;
            e.setValue(new Held(keep, e.getValue().until()));
            wanted.put(e.getKey(), keep);
        }
        for (String peer : lacking > 0 ? candidates(peers) : List.<String>of()) {
            int more =
                    Math.min(
                            lacking,
                            Math.max(spares.getOrDefault(peer, 0), (lacking + ASKED - 1) / ASKED));
            wanted.merge(peer, more, Integer::sum);
        }
        wanted.forEach((peer, amount) -> ask(now, peer, amount, out));
    }

    /** A few to ask for more: those that last had most to spare, and else by chance. */
    private List<String> candidates(List<String> peers) {
        List<String> others = new ArrayList<>(peers);
        others.remove(name);
        for (int i = others.size(); i > 1; i--) {
            others.add(others.remove(random.nextInt(i)));
        }
        others.sort(Comparator.comparingInt(p -> -spares.getOrDefault(p, 0)));
        return others.subList(0, Math.min(ASKED, others.size()));
    }

    private void ask(double now, String peer, int amount, Out out) {
        asked.values().removeIf(at -> now - at >= LEASE_MS);
        asked.put(++seq, now);
        out.send(peer, new Ask(seq, amount));
    }

    /** A message of another proxy, whose name is proven. */
    public void received(double now, String from, Message message, Out out) {
        forget(now);
        if (message instanceof Ask a) {
            out.send(from, give(now, from, a));
        } else if (message instanceof Give g) {
            spares.put(from, g.spare());
            Double at = asked.remove(g.seq());
            if (at != null && now < at + LEASE_MS) {
                held.put(from, new Held(g.amount(), at + LEASE_MS));
                held.values().removeIf(h -> h.amount() == 0);
            }
        }
    }

    /**
     * What the borrower has already is taken back only by not renewing it; beyond that the spare is
     * dealt out evenly among those who ask.
     */
    private Give give(double now, String from, Ask a) {
        askers.values().removeIf(t -> now - t >= LEASE_MS);
        askers.put(from, now);
        int had = lentTo(from);
        int spare = spare(now);
        // What is lent is in nobody's way here while the mean demand is met; one that was taken
        // back for chance would lie idle for LENT_MS.
        int renewed = Math.min(had, own - lentOut() + had - (int) rate(now));
        int amount =
                now < ownFrom
                        ? 0
                        : Math.max(
                                0,
                                Math.min(
                                        a.wants(),
                                        renewed + (int) Math.ceil(spare / (double) askers.size())));
        if (amount > 0) {
            List<Lent> parts = lent.computeIfAbsent(from, f -> new ArrayList<>());
            parts.removeIf(part -> part.amount() <= amount);
            parts.add(new Lent(amount, now + LENT_MS));
        }
        return new Give(a.seq(), amount, Math.max(0, spare - Math.max(0, amount - had)));
    }

    /** Whether this proxy holds rights of others now. */
    public boolean borrows(double now) {
        forget(now);
        return held.values().stream().anyMatch(h -> h.amount() > 0);
    }
}
