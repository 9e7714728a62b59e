package cacheproxy.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests quota leases in virtual time, with many proxies, delayed and lost messages, network
 * partitions, pauses, restarts and clocks of different rates.
 */
class QuotaLeasesTest {

    private record ScheduledEvent(double atMs, long sequence, Runnable action)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return atMs != other.atMs
                    ? Double.compare(atMs, other.atMs)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private static final class SimulatedFleet {
        final Random random;
        final PriorityQueue<ScheduledEvent> eventQueue = new PriorityQueue<>();
        final List<String> names;
        final QuotaLeases[] quotaLeases;
        final double[] clockRate;
        final double[] pausedUntil;
        final int[] incarnations;
        final int quota;
        final List<Double> uses = new ArrayList<>();
        IntToDoubleFunction demandPerSecond = i -> 0;
        BiPredicate<Integer, Integer> isCut = (a, b) -> false;
        double lossProbability;
        int requestCount;
        double now;
        long nextSequence;

        SimulatedFleet(int proxies, int quota, long seed) {
            this.random = new Random(seed);
            this.quota = quota;
            names = IntStream.range(0, proxies).mapToObj(i -> "p" + i).toList();
            quotaLeases = new QuotaLeases[proxies];
            clockRate =
                    IntStream.range(0, proxies)
                            .mapToDouble(i -> 0.96 + 0.08 * random.nextDouble())
                            .toArray();
            pausedUntil = new double[proxies];
            incarnations = new int[proxies];
            IntStream.range(0, proxies).forEach(this::start);
        }

        void schedule(double delayMs, Runnable action) {
            eventQueue.add(new ScheduledEvent(now + delayMs, nextSequence++, action));
        }

        double clock(int proxy) {
            return 1e6 * proxy + now * clockRate[proxy];
        }

        void start(int proxy) {
            int incarnation = ++incarnations[proxy];
            quotaLeases[proxy] =
                    new QuotaLeases(
                            names.get(proxy),
                            QuotaLeases.split(quota, names.size(), proxy),
                            clock(proxy),
                            random.nextLong());
            schedule(random.nextDouble() * 50, () -> tick(proxy, incarnation));
            schedule(random.nextDouble() * 50, () -> requestArrives(proxy, incarnation));
        }

        private void tick(int proxy, int incarnation) {
            if (incarnations[proxy] == incarnation) {
                if (now >= pausedUntil[proxy]) {
                    quotaLeases[proxy].tick(
                            clock(proxy),
                            names,
                            (to, message) ->
                                    transmit(proxy, Integer.parseInt(to.substring(1)), message));
                }
                schedule(50, () -> tick(proxy, incarnation));
            }
        }

        private void requestArrives(int proxy, int incarnation) {
            if (incarnations[proxy] == incarnation) {
                double rate = demandPerSecond.applyAsDouble(proxy);
                if (rate > 0 && now >= pausedUntil[proxy]) {
                    requestCount++;
                    if (quotaLeases[proxy].tryAcquire(clock(proxy))) {
                        uses.add(now);
                    }
                }
                schedule(
                        rate > 0 ? -Math.log(1 - random.nextDouble()) / rate * 1000 : 50,
                        () -> requestArrives(proxy, incarnation));
            }
        }

        private void transmit(int from, int to, QuotaLeases.Message message) {
            if (!isCut.test(from, to) && random.nextDouble() >= lossProbability) {
                schedule(
                        3
                                + 7 * random.nextDouble()
                                + (random.nextDouble() < lossProbability
                                        ? 600 * random.nextDouble()
                                        : 0),
                        () -> deliver(from, to, message));
            }
        }

        private void deliver(int from, int to, QuotaLeases.Message message) {
            if (now < pausedUntil[to]) {
                schedule(pausedUntil[to] - now, () -> deliver(from, to, message));
            } else {
                quotaLeases[to].received(
                        clock(to),
                        names.get(from),
                        message,
                        (back, answer) -> transmit(to, from, answer));
            }
        }

        void runFor(double ms) {
            double end = now + ms;
            while (!eventQueue.isEmpty() && eventQueue.peek().atMs() <= end) {
                ScheduledEvent next = eventQueue.remove();
                now = next.atMs();
                next.action().run();
            }
            now = end;
        }

        /** Returns the maximum number of uses in any sliding window of one second. */
        int maxUsesPerSecond() {
            int max = 0;
            for (int i = 0, j = 0; i < uses.size(); i++) {
                while (uses.get(i) - uses.get(j) >= 999.999 * 0.96) {
                    j++;
                }
                max = Math.max(max, i - j + 1);
            }
            return max;
        }

        double usedFraction(double from) {
            return uses.stream().filter(t -> t >= from).count() * 1000.0 / (now - from) / quota;
        }
    }

    /**
     * Clocks run up to 4% slow or fast, so a window by such a proxy's clock is that much longer or
     * shorter than a second; the uses are counted in the shortest such window.
     */
    private static void assertNeverOverQuota(SimulatedFleet fleet, String scenario) {
        assertTrue(
                fleet.maxUsesPerSecond() <= fleet.quota,
                scenario
                        + ": "
                        + fleet.maxUsesPerSecond()
                        + " uses in a second, the quota is "
                        + fleet.quota);
    }

    private static void assertUsesMostOfQuota(SimulatedFleet fleet, double ms, String when) {
        double from = fleet.now;
        fleet.runFor(ms);
        assertTrue(
                fleet.usedFraction(from) >= 0.8,
                when + ": fraction used " + fleet.usedFraction(from));
    }

    private static QuotaLeases.LeaseGrant requestLease(
            QuotaLeases lender, double now, long seq, int wanted) {
        QuotaLeases.Message[] answer = new QuotaLeases.Message[1];
        lender.received(
                now, "y", new QuotaLeases.LeaseRequest(seq, wanted), (to, m) -> answer[0] = m);
        return (QuotaLeases.LeaseGrant) answer[0];
    }

    private static int countAcquired(QuotaLeases quotaLeases, double now, int tries) {
        return (int) IntStream.range(0, tries).filter(i -> quotaLeases.tryAcquire(now)).count();
    }

    @Test
    void usedRightIsNeitherLentNorReusedWithinWindow() {
        QuotaLeases lender = new QuotaLeases("x", 10, 0, 1);
        double now = 10_000;
        assertEquals(10, countAcquired(lender, now, 12));
        assertEquals(0, requestLease(lender, now + 1, 1, 10).amount(), "all were used just now");
        now += 20_000;
        assertEquals(10, requestLease(lender, now, 2, 10).amount());
        assertEquals(
                0,
                lender.availableRights(now + QuotaLeases.LEASE_MS + QuotaLeases.WINDOW_MS),
                "the borrower may have used them at the end of its lease");
        assertEquals(10, lender.availableRights(now + QuotaLeases.LENDER_LEASE_MS));
        now += 20_000;
        assertEquals(10, requestLease(lender, now, 3, 10).amount());
        assertEquals(2, requestLease(lender, now + 100, 4, 2).amount());
        assertEquals(
                0,
                lender.availableRights(now + 200),
                "the answer may be lost and the ten still borrowed");
        assertEquals(8, lender.availableRights(now + QuotaLeases.LENDER_LEASE_MS + 1));
        assertEquals(
                0,
                countAcquired(
                        new QuotaLeases("x", 10, now, 1), now + QuotaLeases.LENDER_LEASE_MS - 1, 1),
                "a new process owns nothing that its predecessor may have lent");
    }

    @Test
    void healthyFleetUsesQuotaWhereverDemandIs() {
        SimulatedFleet fleet = new SimulatedFleet(14, 280, 1);
        // Three proxies demand the whole quota; later three others do.
        fleet.demandPerSecond = i -> i < 3 ? 120 : 2;
        fleet.runFor(6000);
        assertUsesMostOfQuota(fleet, 10_000, "healthy");
        fleet.demandPerSecond = i -> i >= 11 ? 120 : 2;
        fleet.runFor(6000);
        assertUsesMostOfQuota(fleet, 10_000, "6 s after the demand moved");
        assertNeverOverQuota(fleet, "demand that moves");
    }

    @Test
    void partitionedHalvesTogetherStayWithinQuota() {
        SimulatedFleet fleet = new SimulatedFleet(14, 280, 2);
        fleet.demandPerSecond = i -> i % 7 < 2 ? 150 : 1;
        fleet.runFor(6000);
        fleet.isCut = (a, b) -> a < 7 != b < 7;
        fleet.runFor(60_000);
        fleet.isCut = (a, b) -> false;
        fleet.runFor(2000);
        assertUsesMostOfQuota(fleet, 8000, "2 s after the partition healed");
        assertNeverOverQuota(fleet, "partition into 7 and 7");
    }

    @Test
    void isolatedProxyFallsBackToOwnRightsAndPausedProxyUsesNoExpiredLease() {
        SimulatedFleet fleet = new SimulatedFleet(10, 100, 3);
        fleet.demandPerSecond = i -> i == 0 ? 90 : 0;
        fleet.runFor(6000);
        assertTrue(fleet.quotaLeases[0].availableRights(fleet.clock(0)) > 50);
        fleet.isCut = (a, b) -> a == 0 || b == 0;
        fleet.runFor(QuotaLeases.LEASE_MS / 0.96);
        assertEquals(10, fleet.quotaLeases[0].availableRights(fleet.clock(0)), "within a lease");
        fleet.isCut = (a, b) -> false;
        fleet.runFor(4000);
        assertTrue(fleet.quotaLeases[0].isBorrowing(fleet.clock(0)));
        fleet.pausedUntil[0] = fleet.now + 1500;
        fleet.runFor(1500);
        assertEquals(10, fleet.quotaLeases[0].availableRights(fleet.clock(0)), "after the pause");
        assertNeverOverQuota(fleet, "isolated and paused");
    }

    @Test
    void simultaneousRestartsNeverExceedQuota() {
        SimulatedFleet fleet = new SimulatedFleet(14, 140, 4);
        fleet.demandPerSecond = i -> i < 4 ? 60 : 5;
        for (int round = 0; round < 5; round++) {
            fleet.runFor(5000 + 700 * round);
            IntStream.range(0, 14).forEach(fleet::start);
        }
        fleet.runFor(5000);
        assertNeverOverQuota(fleet, "all restart");
    }

    /**
     * Injects faults at random times, also with fewer rights than proxies; {@code -Dbudget.seeds=50
     * -Dbudget.proxies=300} runs more and larger cases.
     */
    @Test
    void randomFaultsNeverExceedQuota() {
        int fixedProxies = Integer.getInteger("budget.proxies", 0);
        for (int seed = 1; seed <= Integer.getInteger("budget.seeds", 6); seed++) {
            Random random = new Random(seed);
            int proxies = fixedProxies > 0 ? fixedProxies : new int[] {5, 14, 60}[seed % 3];
            SimulatedFleet fleet =
                    new SimulatedFleet(
                            proxies, (int) (proxies * (0.3 + 8 * random.nextDouble())), seed);
            double demandPerProxy = 2.0 * fleet.quota / proxies;
            for (int step = 0; step < 12; step++) {
                int busiest = random.nextInt(proxies);
                int width = 1 + random.nextInt(proxies);
                fleet.demandPerSecond =
                        i -> Math.abs(i - busiest) < width ? demandPerProxy : demandPerProxy / 20;
                fleet.lossProbability = random.nextInt(3) == 0 ? 0.3 : 0;
                int boundary = random.nextInt(proxies + 1);
                int partitionKind = random.nextInt(4);
                fleet.isCut =
                        partitionKind == 0
                                ? (a, b) -> a < boundary != b < boundary
                                : partitionKind == 1
                                        ? (a, b) -> a == busiest
                                        : partitionKind == 2
                                                ? (a, b) -> b == busiest
                                                : (a, b) -> false;
                for (int i = 0; i < proxies; i++) {
                    if (random.nextInt(8) == 0) {
                        fleet.pausedUntil[i] = fleet.now + random.nextDouble() * 3000;
                    } else if (random.nextInt(12) == 0) {
                        fleet.start(i);
                    }
                }
                fleet.runFor(300 + random.nextDouble() * 2500);
            }
            assertTrue(!fleet.uses.isEmpty(), "seed " + seed);
            assertNeverOverQuota(fleet, "seed " + seed);
        }
    }
}
