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
 * One proxy's rights to a fleet-wide quota, given in uses per second. The quota is split once, by
 * the configured number of proxies, into whole rights. Each proxy owns its rights no matter which
 * peers it can reach, and lends those that it does not need to other proxies as leases (the escrow
 * of bounded counters, Balegas et al. 2015, with the leases of Doorman). A proxy uses only rights
 * that it owns or has borrowed, so an isolated proxy falls back to its own within the length of a
 * lease, and the sum over all proxies never exceeds the quota in any second:
 *
 * <ul>
 *   <li>a right is used at most once in any {@link #WINDOW_MS}, and is lent or returned only when
 *       it has not been used for that long;
 *   <li>the borrower's lease starts when it sent the request, the lender's when it granted the
 *       lease, each by its own clock; the lender's is longer by the window and by {@link
 *       #CLOCK_DRIFT_MARGIN};
 *   <li>a process that starts owns no rights until all leases that an earlier incarnation may have
 *       granted have expired.
 * </ul>
 *
 * <p>{@code now} is this proxy's own monotonic clock in milliseconds, which keeps running while the
 * process is paused.
 */
public final class QuotaLeases {

    /** Length of the window in which the number of uses is limited to the quota. */
    public static final double WINDOW_MS = 1000;

    /** Length of a lease at the borrower, from when it sent the request. */
    public static final double LEASE_MS = 800;

    /** Fraction by which one proxy's clock may run faster than another's. */
    public static final double CLOCK_DRIFT_MARGIN = 0.1;

    /** Interval between lease requests. */
    public static final double REQUEST_INTERVAL_MS = 200;

    /** Maximum number of lenders asked for additional rights at a time. */
    private static final int MAX_LENDERS_ASKED = 4;

    /** Time constant of the exponential decay of the slow demand mean. */
    private static final double SLOW_DEMAND_DECAY_MS = 2000;

    /** Time constant of the exponential decay of the fast demand mean. */
    private static final double FAST_DEMAND_DECAY_MS = 300;

    /**
     * Rights requested per unit of expected demand. The excess is a reserve against random
     * variation; a lender does not withhold such a reserve from others.
     */
    private static final double DEMAND_HEADROOM = 1.15;

    /** Demand, in rights, that counts as none; the exponential decay never reaches 0. */
    private static final double NEGLIGIBLE_DEMAND = 0.05;

    /**
     * Length of a lease at the lender. So long after a proxy's process ends, every right that it
     * has lent is free again.
     */
    public static final double LENDER_LEASE_MS = (LEASE_MS + WINDOW_MS) * (1 + CLOCK_DRIFT_MARGIN);

    /** A message between two proxies. */
    public sealed interface Message permits LeaseRequest, LeaseGrant {}

    /**
     * A borrower's request for a lease.
     *
     * @param seq sequence number of the borrower's request
     * @param wanted total number of this lender's rights that the borrower wants, including those
     *     it already has; 0 returns all of them
     */
    public record LeaseRequest(long seq, int wanted) implements Message {}

    /**
     * A lender's answer to a request.
     *
     * @param seq the sequence number of the request
     * @param amount number of rights lent; the lease starts when the request was sent
     * @param spare number of further rights that the lender could have lent
     */
    public record LeaseGrant(long seq, int amount, int spare) implements Message {}

    /** Sends messages to other proxies. */
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
     * The unexpired leases granted to each borrower. Any of several grants may be the one that
     * arrived, so the largest unexpired one counts.
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
     * @param owned number of rights that this proxy owns, as computed by {@link #split}
     * @param startedAt when its process started, by the clock of {@code now}
     */
    public QuotaLeases(String name, int owned, double startedAt, long seed) {
        this.name = name;
        this.owned = owned;
        this.ownedFrom = startedAt + LENDER_LEASE_MS;
        this.demandUpdatedAt = startedAt;
        this.random = new SplittableRandom(seed);
    }

    /** Returns the rights of the proxy of this index; the rights of all add up to the quota. */
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

    /** Returns the number of rights that this proxy may use now, owned and borrowed. */
    public int availableRights(double now) {
        removeExpired(now);
        return (now >= ownedFrom ? owned - totalLent() : 0)
                + borrowedByLender.values().stream().mapToInt(BorrowedLease::amount).sum();
    }

    /** Returns the number of rights that this proxy wants for its demand. */
    public int wantedRights(double now) {
        return (int) Math.ceil(expectedDemand(now) * DEMAND_HEADROOM);
    }

    /**
     * Returns the expected demand in uses per window: a slow mean, on which random variation has
     * little effect, capped by a fast mean, so that it falls quickly when demand ends.
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

    /** Uses one right if one is free; the call counts as demand either way. */
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

    /** Returns the rights needed for local demand, or used too recently to be lent. */
    private int rightsNeededHere(double now) {
        return Math.max(
                (int) Math.ceil(expectedDemand(now) - NEGLIGIBLE_DEMAND), recentUses.size());
    }

    /** Returns the rights that are neither lent, nor used in the last window, nor needed here. */
    private int spareRights(double now) {
        removeExpired(now);
        int free = owned - totalLent() - rightsNeededHere(now);
        return now >= ownedFrom ? Math.max(0, free) : 0;
    }

    /**
     * Renews, returns and requests leases every {@link #REQUEST_INTERVAL_MS}.
     *
     * @param peers the proxies that are live by membership
     */
    public void tick(double now, List<String> peers, Out out) {
        if (now - lastRequestAt < REQUEST_INTERVAL_MS || peers.isEmpty()) {
            return;
        }
        lastRequestAt = now;
        removeExpired(now);
        spareByLender.keySet().retainAll(peers);
        int missing = wantedRights(now) - (now >= ownedFrom ? owned - totalLent() : 0);
        Map<String, Integer> wanted = new TreeMap<>();
        // Existing leases are renewed first, by as much as is still wanted; the rest is returned.
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

    /** Returns a few peers to ask for more: those that last had most to spare, others at random. */
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

    /** Handles a message from another proxy whose name has been authenticated. */
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
     * Grants a lease. Rights that the borrower already has are reclaimed only by not renewing them;
     * beyond these, spare rights are divided evenly among the proxies that have recently asked.
     */
    private LeaseGrant grant(double now, String from, LeaseRequest request) {
        lastRequestByBorrower.values().removeIf(t -> now - t >= LEASE_MS);
        lastRequestByBorrower.put(from, now);
        int alreadyLent = lentTo(from);
        int spare = spareRights(now);
        // Lent rights are not missed here while the mean demand is met; a right reclaimed because
        // of a random peak would be unused for LENDER_LEASE_MS.
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

    /** Whether this proxy has borrowed rights of others now. */
    public boolean isBorrowing(double now) {
        removeExpired(now);
        return borrowedByLender.values().stream().anyMatch(h -> h.amount() > 0);
    }
}
