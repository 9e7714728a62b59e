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
public final class QuotaLeases {

    /** The span in which the budget binds. */
    public static final double WINDOW_MS = 1000;

    public static final double LEASE_MS = 800;

    /** How much faster than another a clock may run. */
    public static final double CLOCK_DRIFT_MARGIN = 0.1;

    /** How often others are asked for what is lacking. */
    public static final double REQUEST_INTERVAL_MS = 200;

    private static final int MAX_LENDERS_ASKED = 4;

    /**
     * Demand is remembered for about so long; what is asked for beyond it is a reserve against
     * chance, which nobody keeps from others.
     */
    private static final double SLOW_DEMAND_DECAY_MS = 2000;

    private static final double FAST_DEMAND_DECAY_MS = 300;
    private static final double DEMAND_HEADROOM = 1.15;

    /** Demand that has faded so far is none. */
    private static final double NEGLIGIBLE_DEMAND = 0.05;

    /** The time after a death by which everything that was lent is free again. */
    public static final double LENDER_LEASE_MS = (LEASE_MS + WINDOW_MS) * (1 + CLOCK_DRIFT_MARGIN);

    /** What goes between two proxies. */
    public sealed interface Message permits LeaseRequest, LeaseGrant {}

    /**
     * {@code seq} counts the asker's questions; {@code wants} is all that it would like to hold of
     * this lender's rights, what it has already included, so that 0 gives everything back.
     */
    public record LeaseRequest(long seq, int wanted) implements Message {}

    /**
     * The answer: so many are lent, from when that question was asked; {@code spare} is what more
     * could have been had.
     */
    public record LeaseGrant(long seq, int amount, int spare) implements Message {}

    /** Where messages go. */
    public interface Out {
        void send(String to, Message message);
    }

    private record LentLease(int amount, double expiresAt) {}

    private record BorrowedLease(int amount, double expiresAt) {}

    private final String name;
    private final int owned;
    private final double ownedFrom;
    private final SplittableRandom random;

    /**
     * What each borrower may hold: of several answers any may be the one that arrived, so the
     * largest that has not run out counts.
     */
    private final Map<String, List<LentLease>> lentByBorrower = new TreeMap<>();

    private final Map<String, BorrowedLease> borrowedByLender = new TreeMap<>();
    private final Map<String, Double> lastRequestByBorrower = new HashMap<>();
    private final Map<String, Integer> spareByLender = new HashMap<>();
    private final Map<Long, Double> requestTimes = new HashMap<>();
    private final Deque<Double> recentUses = new ArrayDeque<>();
    private double slowDemand;
    private double fastDemand;
    private double demandUpdatedAt;
    private double lastRequestAt = Double.NEGATIVE_INFINITY;
    private long seq;

    /**
     * @param own the rights that this proxy owns, as {@link #split} says
     * @param started when its process started, by {@code now}'s clock
     */
    public QuotaLeases(String name, int owned, double startedAt, long seed) {
        this.name = name;
        this.owned = owned;
        this.ownedFrom = startedAt + LENDER_LEASE_MS;
        this.demandUpdatedAt = startedAt;
        this.random = new SplittableRandom(seed);
    }

    /** The rights of the proxy of an index among so many; they add up to the budget. */
    public static int split(int quota, int proxies, int index) {
        return quota / proxies + (index < quota % proxies ? 1 : 0);
    }

    private void removeExpired(double now) {
        while (!recentUses.isEmpty() && now - recentUses.peekFirst() >= WINDOW_MS) {
            recentUses.removeFirst();
        }
        lentByBorrower.values().forEach(l -> l.removeIf(part -> now >= part.expiresAt()));
        lentByBorrower.values().removeIf(List::isEmpty);
        borrowedByLender.values().removeIf(h -> now >= h.expiresAt());
    }

    private int lentTo(String peer) {
        return lentByBorrower.getOrDefault(peer, List.of()).stream()
                .mapToInt(LentLease::amount)
                .max()
                .orElse(0);
    }

    private int totalLent() {
        return lentByBorrower.keySet().stream().mapToInt(this::lentTo).sum();
    }

    /** The rights in force here now. */
    public int availableRights(double now) {
        removeExpired(now);
        return (now >= ownedFrom ? owned - totalLent() : 0)
                + borrowedByLender.values().stream().mapToInt(BorrowedLease::amount).sum();
    }

    /** What it would like to have, in rights. */
    public int wantedRights(double now) {
        return (int) Math.ceil(expectedDemand(now) * DEMAND_HEADROOM);
    }

    /**
     * Uses that are asked for here in a window: a slow mean, which chance moves little, but no more
     * than a quick one allows once demand has gone.
     */
    private double expectedDemand(double now) {
        double slow =
                decayed(slowDemand, now, SLOW_DEMAND_DECAY_MS) * WINDOW_MS / SLOW_DEMAND_DECAY_MS;
        double fast =
                decayed(fastDemand, now, FAST_DEMAND_DECAY_MS) * WINDOW_MS / FAST_DEMAND_DECAY_MS;
        return Math.min(slow, 2 * fast + 2);
    }

    private double decayed(double sum, double now, double decayMs) {
        return sum * Math.exp(-Math.max(0, now - demandUpdatedAt) / decayMs);
    }

    /** Uses one right, if one is free; counts as demand either way. */
    public boolean tryAcquire(double now) {
        slowDemand = decayed(slowDemand, now, SLOW_DEMAND_DECAY_MS) + 1;
        fastDemand = decayed(fastDemand, now, FAST_DEMAND_DECAY_MS) + 1;
        demandUpdatedAt = now;
        if (recentUses.size() >= availableRights(now)) {
            return false;
        }
        recentUses.addLast(now);
        return true;
    }

    /** What it needs itself, or has used too lately for another to use. */
    private int rightsNeededHere(double now) {
        return Math.max(
                (int) Math.ceil(expectedDemand(now) - NEGLIGIBLE_DEMAND), recentUses.size());
    }

    /** What is neither lent, nor used in the last window, nor wanted here. */
    private int spareRights(double now) {
        removeExpired(now);
        int free = owned - totalLent() - rightsNeededHere(now);
        return now >= ownedFrom ? Math.max(0, free) : 0;
    }

    /** {@code peers} are those that membership holds to be there. */
    public void tick(double now, List<String> peers, Out out) {
        if (now - lastRequestAt < REQUEST_INTERVAL_MS || peers.isEmpty()) {
            return;
        }
        lastRequestAt = now;
        removeExpired(now);
        spareByLender.keySet().retainAll(peers);
        int missing = wantedRights(now) - (now >= ownedFrom ? owned - totalLent() : 0);
        Map<String, Integer> wanted = new TreeMap<>();
        // Renewed first, with as much as is still wanted of each; what is not is given back.
        for (Map.Entry<String, BorrowedLease> entry : borrowedByLender.entrySet()) {
            int renewed = Math.max(0, Math.min(entry.getValue().amount(), missing));
            missing -= renewed;
            entry.setValue(new BorrowedLease(renewed, entry.getValue().expiresAt()));
            wanted.put(entry.getKey(), renewed);
        }
        for (String peer : missing > 0 ? lendersToAsk(peers) : List.<String>of()) {
            int additional =
                    Math.min(
                            missing,
                            Math.max(
                                    spareByLender.getOrDefault(peer, 0),
                                    (missing + MAX_LENDERS_ASKED - 1) / MAX_LENDERS_ASKED));
            wanted.merge(peer, additional, Integer::sum);
        }
        wanted.forEach((peer, amount) -> sendRequest(now, peer, amount, out));
    }

    /** A few to ask for more: those that last had most to spare, and else by chance. */
    private List<String> lendersToAsk(List<String> peers) {
        List<String> others = new ArrayList<>(peers);
        others.remove(name);
        for (int i = others.size(); i > 1; i--) {
            others.add(others.remove(random.nextInt(i)));
        }
        others.sort(Comparator.comparingInt(p -> -spareByLender.getOrDefault(p, 0)));
        return others.subList(0, Math.min(MAX_LENDERS_ASKED, others.size()));
    }

    private void sendRequest(double now, String peer, int amount, Out out) {
        requestTimes.values().removeIf(at -> now - at >= LEASE_MS);
        requestTimes.put(++seq, now);
        out.send(peer, new LeaseRequest(seq, amount));
    }

    /** A message of another proxy, whose name is proven. */
    public void received(double now, String from, Message message, Out out) {
        removeExpired(now);
        if (message instanceof LeaseRequest request) {
            out.send(from, grant(now, from, request));
        } else if (message instanceof LeaseGrant grant) {
            spareByLender.put(from, grant.spare());
            Double sentAt = requestTimes.remove(grant.seq());
            if (sentAt != null && now < sentAt + LEASE_MS) {
                borrowedByLender.put(from, new BorrowedLease(grant.amount(), sentAt + LEASE_MS));
                borrowedByLender.values().removeIf(h -> h.amount() == 0);
            }
        }
    }

    /**
     * What the borrower has already is taken back only by not renewing it; beyond that the spare is
     * dealt out evenly among those who ask.
     */
    private LeaseGrant grant(double now, String from, LeaseRequest request) {
        lastRequestByBorrower.values().removeIf(t -> now - t >= LEASE_MS);
        lastRequestByBorrower.put(from, now);
        int alreadyLent = lentTo(from);
        int spare = spareRights(now);
        // What is lent is in nobody's way here while the mean demand is met; one that was taken
        // back for chance would lie idle for LENT_MS.
        int renewed =
                Math.min(
                        alreadyLent, owned - totalLent() + alreadyLent - (int) expectedDemand(now));
        int amount =
                now < ownedFrom
                        ? 0
                        : Math.max(
                                0,
                                Math.min(
                                        request.wanted(),
                                        renewed
                                                + (int)
                                                        Math.ceil(
                                                                spare
                                                                        / (double)
                                                                                lastRequestByBorrower
                                                                                        .size())));
        if (amount > 0) {
            List<LentLease> parts = lentByBorrower.computeIfAbsent(from, f -> new ArrayList<>());
            parts.removeIf(part -> part.amount() <= amount);
            parts.add(new LentLease(amount, now + LENDER_LEASE_MS));
        }
        return new LeaseGrant(
                request.seq(), amount, Math.max(0, spare - Math.max(0, amount - alreadyLent)));
    }

    /** Whether this proxy holds rights of others now. */
    public boolean isBorrowing(double now) {
        removeExpired(now);
        return borrowedByLender.values().stream().anyMatch(h -> h.amount() > 0);
    }
}
