package cacheproxy.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.membership.Gossip.What;
import cacheproxy.membership.Member.Status;
import org.junit.jupiter.api.Test;

/**
 * Failure detection that bears pauses, and cuts of one direction or of one proxy from all
 * (Lifeguard and beyond), in virtual time.
 */
class LifeguardTest {

    private static long told(Town town, What what, String subject, double since) {
        return town.told.stream()
                .filter(t -> t.at() >= since && t.what() == what && t.subject().equals(subject))
                .count();
    }

    private static boolean allKnowAlive(Town town, String name) {
        return town.proxies.stream()
                .allMatch(p -> p.name.equals(name) || p.knows(name) == Status.ALIVE);
    }

    @Test
    void aPauseBelowTheSuspicionKillsNobodyAndALongerOneIsRefutedWithinASecondOfWaking() {
        Town town = Town.of(5, 11);
        Town.Proxy paused = town.proxy(2);
        double start = town.now;
        town.pause(paused, 1000);
        town.runFor(6000);
        assertEquals(
                0,
                told(town, What.DIED, "p2", start),
                "a pause of 1 s is shorter than any suspicion");
        for (double pauseMs : new double[] {5000, 20_000}) {
            double from = town.now;
            town.pause(paused, pauseMs);
            town.runFor(pauseMs);
            assertTrue(
                    told(town, What.DIED, "p2", from) <= town.proxies.size() - 1,
                    "each declares it down once at most");
            town.runFor(1000);
            assertTrue(
                    allKnowAlive(town, "p2"),
                    "refuted within 1 s of waking, after " + pauseMs + " ms");
            town.runFor(8000);
            assertTrue(allKnowAlive(town, "p2"));
        }
    }

    @Test
    void aCrashIsKnownWithinThreeSecondsOverSeeds() {
        for (long seed = 1; seed <= 10; seed++) {
            Town town = Town.of(5, seed);
            Town.Proxy victim = town.proxy(3);
            double killed = town.now;
            town.kill(victim);
            town.runFor(3000);
            assertTrue(
                    told(town, What.DIED, "p3", killed) > 0, "known dead within 3 s, seed " + seed);
        }
    }

    @Test
    void aOneWayCutKillsNobodyAndOneCutOffFromAllStepsDownAndComesBack() {
        Town town = Town.of(6, 12);
        double from = town.now;
        String a = town.proxy(1).address;
        String b = town.proxy(2).address;
        // p2 hears nothing of p1, p1 all of p2, for 30 s; both hear the others.
        town.cut = (f, t) -> f.equals(a) && t.equals(b);
        town.runFor(30_000);
        assertEquals(0, told(town, What.DIED, "p1", from) + told(town, What.DIED, "p2", from));
        for (boolean deaf : new boolean[] {true, false}) {
            double cutAt = town.now;
            String lone = town.proxy(4).address;
            town.cut = deaf ? (f, t) -> t.equals(lone) : (f, t) -> f.equals(lone);
            // Within the time without answers and one period at the worst health.
            town.runFor(
                    Swim.ISOLATED_MS
                            + Swim.PERIOD_MS * (1 + Gossip.Settings.HEALTH_MOST)
                            + Gossip.TICK_MS);
            assertTrue(
                    town.proxy(4).gossip.steppedDown(), deaf ? "hears nobody" : "heard by nobody");
            town.runFor(20_000);
            assertFalse(
                    town.told.stream()
                            .anyMatch(
                                    t ->
                                            t.at() >= cutAt
                                                    && t.by().equals("p4")
                                                    && t.what() == What.DIED),
                    "one that is cut off declares nobody dead");
            town.cut = (f, t) -> false;
            town.runFor(10_000);
            assertFalse(town.proxy(4).gossip.steppedDown());
            for (Town.Proxy p : town.proxies) {
                assertTrue(allKnowAlive(town, p.name), p.name);
            }
        }
    }

    /**
     * One that was cut off comes back with a bad health score, probes seconds apart, and knows all
     * the same that it is heard.
     */
    @Test
    void oneThatIsHeardAgainStaysUpHoweverSlowlyItProbes() {
        Town town = Town.of(5, 3);
        String lone = town.proxy(1).address;
        town.cut = (f, t) -> t.equals(lone);
        town.runFor(10_000);
        assertTrue(town.proxy(1).gossip.steppedDown());
        assertFalse(
                town.told.stream()
                        .anyMatch(
                                t ->
                                        t.by().equals("p1")
                                                && t.what() == What.SUSPECTED
                                                && t.at() > 1000),
                "silence of every relay is its own link's, and accuses nobody");
        town.cut = (f, t) -> false;
        town.runFor(2000);
        double healed = town.now;
        town.runFor(30_000);
        assertEquals(0, told(town, What.STEPPED_DOWN, "p1", healed));
    }

    @Test
    void oneThatWakesAndRefutesIsNotAccusedForProbesFromBefore() {
        for (long seed = 1; seed <= 5; seed++) {
            Town town = Town.of(9, seed);
            town.runFor(3000);
            double from = town.now;
            town.pause(town.proxy(2), 1000);
            town.runFor(6000);
            long again = told(town, What.REFUTED, "p2", from);
            assertTrue(again <= 2, "refuted " + again + " times after one pause, seed " + seed);
            assertEquals(0, told(town, What.DIED, "p2", from));
        }
    }
}
