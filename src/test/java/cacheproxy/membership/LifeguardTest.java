package cacheproxy.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.membership.Gossip.EventType;
import cacheproxy.membership.Member.Status;
import org.junit.jupiter.api.Test;

/**
 * Tests in virtual time that failure detection tolerates pauses of a process, one-way cuts, and the
 * isolation of one proxy from all others (Lifeguard and the extensions to it).
 */
class LifeguardTest {

    private static long countEvents(
            TestCluster cluster, EventType type, String subject, double since) {
        return cluster.events.stream()
                .filter(
                        event ->
                                event.at() >= since
                                        && event.type() == type
                                        && event.subject().equals(subject))
                .count();
    }

    private static boolean allSeeAlive(TestCluster cluster, String name) {
        return cluster.proxies.stream()
                .allMatch(proxy -> proxy.name.equals(name) || proxy.statusOf(name) == Status.ALIVE);
    }

    @Test
    void shortPauseCausesNoDeathAndLongPauseIsRefutedWithinOneSecond() {
        TestCluster cluster = TestCluster.of(5, 11);
        TestCluster.Proxy paused = cluster.proxy(2);
        double start = cluster.now;
        cluster.pause(paused, 1000);
        cluster.runFor(6000);
        assertEquals(
                0,
                countEvents(cluster, EventType.DIED, "p2", start),
                "a pause of 1 s is shorter than any suspicion");
        for (double pauseMs : new double[] {5000, 20_000}) {
            double from = cluster.now;
            cluster.pause(paused, pauseMs);
            cluster.runFor(pauseMs);
            assertTrue(
                    countEvents(cluster, EventType.DIED, "p2", from) <= cluster.proxies.size() - 1,
                    "each other member declares it dead at most once");
            cluster.runFor(1000);
            assertTrue(
                    allSeeAlive(cluster, "p2"),
                    "refuted within 1 s of the end of a pause of " + pauseMs + " ms");
            cluster.runFor(8000);
            assertTrue(allSeeAlive(cluster, "p2"));
        }
    }

    @Test
    void crashIsDetectedWithinThreeSeconds() {
        for (long seed = 1; seed <= 10; seed++) {
            TestCluster cluster = TestCluster.of(5, seed);
            TestCluster.Proxy victim = cluster.proxy(3);
            double killed = cluster.now;
            cluster.kill(victim);
            cluster.runFor(3000);
            assertTrue(
                    countEvents(cluster, EventType.DIED, "p3", killed) > 0,
                    "declared dead within 3 s, seed " + seed);
        }
    }

    @Test
    void oneWayCutCausesNoDeathAndIsolatedMemberStepsDownAndRecovers() {
        TestCluster cluster = TestCluster.of(6, 12);
        double from = cluster.now;
        String firstAddress = cluster.proxy(1).address;
        String secondAddress = cluster.proxy(2).address;
        // For 30 s, p2 receives nothing from p1, whereas p1 receives all packets from p2; both
        // exchange packets with all others.
        cluster.linkCut = (f, t) -> f.equals(firstAddress) && t.equals(secondAddress);
        cluster.runFor(30_000);
        assertEquals(
                0,
                countEvents(cluster, EventType.DIED, "p1", from)
                        + countEvents(cluster, EventType.DIED, "p2", from));
        for (boolean deaf : new boolean[] {true, false}) {
            double cutAt = cluster.now;
            String isolatedAddress = cluster.proxy(4).address;
            cluster.linkCut =
                    deaf
                            ? (f, t) -> t.equals(isolatedAddress)
                            : (f, t) -> f.equals(isolatedAddress);
            // Bound: the isolation time plus one period at the worst health plus one tick.
            cluster.runFor(
                    Swim.ISOLATION_MS
                            + Swim.PERIOD_MS * (1 + Gossip.Settings.MAX_HEALTH)
                            + Gossip.TICK_MS);
            assertTrue(
                    cluster.proxy(4).gossip.isSteppedDown(),
                    deaf ? "receives no packets" : "its packets reach no member");
            cluster.runFor(20_000);
            assertFalse(
                    cluster.events.stream()
                            .anyMatch(
                                    t ->
                                            t.at() >= cutAt
                                                    && t.by().equals("p4")
                                                    && t.type() == EventType.DIED),
                    "an isolated proxy must not declare any member dead");
            cluster.linkCut = (f, t) -> false;
            cluster.runFor(10_000);
            assertFalse(cluster.proxy(4).gossip.isSteppedDown());
            for (TestCluster.Proxy proxy : cluster.proxies) {
                assertTrue(allSeeAlive(cluster, proxy.name), proxy.name);
            }
        }
    }

    /**
     * A proxy that was isolated has a bad health score after it reconnects, so its probes are
     * seconds apart. It must nevertheless recognize that its packets arrive and not step down.
     */
    @Test
    void reconnectedMemberDoesNotStepDownAgainWhileItProbesSlowly() {
        TestCluster cluster = TestCluster.of(5, 3);
        String isolatedAddress = cluster.proxy(1).address;
        cluster.linkCut = (f, t) -> t.equals(isolatedAddress);
        cluster.runFor(10_000);
        assertTrue(cluster.proxy(1).gossip.isSteppedDown());
        assertFalse(
                cluster.events.stream()
                        .anyMatch(
                                t ->
                                        t.by().equals("p1")
                                                && t.type() == EventType.SUSPECTED
                                                && t.at() > 1000),
                "if no relay answers, its own link is at fault and it must not suspect others");
        cluster.linkCut = (f, t) -> false;
        cluster.runFor(2000);
        double healed = cluster.now;
        cluster.runFor(30_000);
        assertEquals(0, countEvents(cluster, EventType.STEPPED_DOWN, "p1", healed));
    }

    @Test
    void refutedMemberIsNotSuspectedForEarlierProbes() {
        for (long seed = 1; seed <= 5; seed++) {
            TestCluster cluster = TestCluster.of(9, seed);
            cluster.runFor(3000);
            double from = cluster.now;
            cluster.pause(cluster.proxy(2), 1000);
            cluster.runFor(6000);
            long refutations = countEvents(cluster, EventType.REFUTED, "p2", from);
            assertTrue(
                    refutations <= 2,
                    "refuted " + refutations + " times after one pause, seed " + seed);
            assertEquals(0, countEvents(cluster, EventType.DIED, "p2", from));
        }
    }
}
