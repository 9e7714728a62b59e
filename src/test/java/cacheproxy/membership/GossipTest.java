package cacheproxy.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import cacheproxy.membership.Gossip.What;
import cacheproxy.membership.Member.Status;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * What gossip is built for: deaths, partitions, bad links, wrong clocks, liars, and packets from
 * strangers.
 */
class GossipTest {

    private static void allKnowAll(Town town) {
        for (Town.Proxy p : town.proxies) {
            for (Town.Proxy other : town.proxies) {
                assertEquals(Status.ALIVE, p.knows(other.name), p.name + " of " + other.name);
            }
        }
    }

    @Test
    void aDeathIsKnownToAllAndTheNameComesBackAsANewLife() {
        Town town = Town.of(12, 1);
        allKnowAll(town);
        Town.Proxy victim = town.proxy(5);
        // It is killed in the middle of spreading a suspicion.
        victim.saw("node-3", Outcome.TIMEOUT, 3);
        town.runFor(60);
        town.kill(victim);
        town.runFor(25_000);
        for (Town.Proxy p : town.proxies) {
            assertEquals(Status.DEAD, p.knows("p5"), p.name);
            assertTrue(p.doubted.isEmpty(), "a killed peer's suspicion outlives it at " + p.name);
        }
        Town.Proxy again = town.join("p5", victim.address, 0, 1);
        double born = town.now;
        town.runFor(2000);
        assertEquals(
                12,
                again.gossip.table().stream().filter(Member::present).count(),
                "members it knows 2 s after its start");
        town.runFor(8000);
        allKnowAll(town);
        assertTrue(again.gossip.table().get(0).incarnation() > 0);
        assertTrue(town.mostBytesInASecond(born) <= Town.BYTES_PER_S);
        again.gossip.leave(again.clock(), again);
        town.kill(again);
        town.runFor(5000);
        assertTrue(town.proxies.stream().allMatch(p -> p.knows("p5") == Status.LEFT));
    }

    @Test
    void theHalvesOfACutFleetFindOneAnother() {
        Town town = Town.of(10, 2);
        List<String> left = town.proxies.subList(0, 4).stream().map(p -> p.address).toList();
        town.cut = (from, to) -> left.contains(from) != left.contains(to);
        town.runFor(30_000);
        assertEquals(Status.DEAD, town.proxy(0).knows("p9"));
        assertEquals(Status.DEAD, town.proxy(9).knows("p0"));
        // Evidence goes on within each part.
        for (int i = 0; i < 3; i++) {
            town.proxy(i).saw("node-1", Outcome.TIMEOUT, 2);
        }
        town.runFor(500);
        assertTrue(town.proxy(3).doubted.contains("node-1"));
        assertFalse(town.proxy(9).doubted.contains("node-1"));
        town.cut = (from, to) -> false;
        town.runFor(30_000);
        allKnowAll(town);
        assertTrue(town.proxies.stream().allMatch(p -> p.doubted.isEmpty()));
    }

    @Test
    void aLinkThatLosesDoublesAndReordersKillsNobodyForGood() {
        Town town = Town.of(10, 3);
        town.loss = 0.3;
        town.runFor(60_000);
        long refused = town.proxies.stream().mapToLong(p -> p.gossip.counts().replayed()).sum();
        assertTrue(refused > 0, "doubled packets are refused");
        for (int i = 0; i < 4; i++) {
            town.proxy(i).saw("node-2", Outcome.TIMEOUT, 2);
        }
        town.runFor(3000);
        assertTrue(town.proxies.stream().filter(p -> p.doubted.contains("node-2")).count() >= 9);
        town.loss = 0;
        town.runFor(20_000);
        allKnowAll(town);
    }

    @Test
    void clocksThatAreHoursApartAndRunAtOtherPacesChangeNothing() {
        Town town = new Town(4);
        for (int i = 0; i < 6; i++) {
            town.join("p" + i, i * 3_600_000.0, 0.7 + 0.12 * i);
        }
        town.runFor(10_000);
        allKnowAll(town);
        town.proxy(0).saw("node-4", Outcome.TIMEOUT, 2);
        town.proxy(5).saw("node-4", Outcome.CONNECT_FAILED, 2);
        town.runFor(600);
        assertTrue(town.proxies.stream().allMatch(p -> p.doubted.contains("node-4")));
        // Nobody renews it: by the slowest clock too it has faded then.
        town.runFor((Evidence.FADE_MS + 6000) / 0.7);
        assertTrue(town.proxies.stream().allMatch(p -> p.doubted.isEmpty()));
    }

    @Test
    void packetsOfStrangersChangeNothingAndRaiseNoTraffic() {
        Town town = Town.of(5, 5);
        Town.Proxy target = town.proxy(2);
        List<byte[]> true_ =
                new ArrayList<>(
                        town.carried.stream()
                                .filter(s -> s.to().equals(target.address))
                                .map(Town.Sent::packet)
                                .toList());
        town.runFor(10_000);
        double calm = town.mostBytesInASecond(town.now - 5000);
        List<Member> before = target.gossip.table();
        long accepted = target.gossip.counts().received();
        SplittableRandom random = new SplittableRandom(9);
        double flood = town.now;
        for (int i = 0; i < 30_000; i++) {
            byte[] packet = true_.get(random.nextInt(true_.size())).clone();
            String from =
                    random.nextBoolean()
                            ? town.proxy(random.nextInt(2)).address
                            : "10.9.9.9:" + (1 + random.nextInt(60_000));
            switch (i % 5) {
                // A replay as it was, one with a bit turned, one cut short, one too long, and
                // noise.
                case 1 -> packet[random.nextInt(packet.length)] ^= (byte) (1 << random.nextInt(8));
                case 2 -> packet = Arrays.copyOf(packet, random.nextInt(packet.length));
                case 3 ->
                        packet =
                                Arrays.copyOf(packet, Wire.MOST_BYTES + 1 + random.nextInt(60_000));
                case 4 -> {
                    packet = new byte[random.nextInt(2000)];
                    random.nextBytes(packet);
                }
                default -> {}
            }
            target.gossip.received(target.clock(), from, packet, target);
            if (i % 300 == 0) {
                town.runFor(50);
            }
        }
        Gossip.Counts counts = target.gossip.counts();
        assertTrue(counts.received() - accepted >= 30_000);
        assertTrue(counts.rubbish() >= 20_000, "refused: " + counts);
        assertTrue(town.mostBytesInASecond(flood) <= Town.BYTES_PER_S);
        assertTrue(town.mostBytesInASecond(flood) < calm + 4096, "a flood must raise no traffic");
        assertTrue(target.doubted.isEmpty());
        town.runFor(20_000);
        assertEquals(
                before.stream().map(Member::name).toList(),
                target.gossip.table().stream().map(Member::name).toList());
        allKnowAll(town);
    }

    @Test
    void whatALifeSaidIsNoNewsInTheNext() {
        Town town = Town.of(5, 6);
        Town.Proxy speaker = town.proxy(3);
        double from = town.now;
        speaker.saw("node-0", Outcome.TIMEOUT, 3);
        town.proxy(4).saw("node-0", Outcome.TIMEOUT, 3);
        town.runFor(1000);
        assertTrue(town.proxy(1).doubted.contains("node-0"));
        List<Town.Sent> recorded = town.carried.stream().filter(s -> s.at() >= from).toList();
        town.runFor(15_000);
        town.kill(speaker);
        town.runFor(15_000);
        town.join("p3", speaker.address, 0, 1);
        town.runFor(5000);
        int events = town.told.size();
        for (int i = 0; i < 3; i++) {
            recorded.forEach(s -> town.deliver(s.from(), s.to(), s.packet()));
            town.runFor(2000);
        }
        assertTrue(
                town.proxies.stream().allMatch(p -> p.doubted.isEmpty()), "a replay made a doubt");
        assertEquals(
                events,
                town.told.size(),
                () -> town.told.subList(events, town.told.size()).toString());
        allKnowAll(town);
    }

    @Test
    void aProxyThatStartsKnowsWhatIsDoubtedAlsoWhereItsListComesLater() {
        Town town = Town.of(5, 9);
        for (int i = 0; i < 3; i++) {
            town.proxy(i).saw("node-5", Outcome.TIMEOUT, 2);
        }
        town.runFor(500);
        List<cacheproxy.Router.Node> list = List.copyOf(town.nodes);
        assertTrue(town.join("early", 0, 1).doubted.isEmpty());
        town.nodes.clear();
        Town.Proxy late = town.join("late", 0, 1);
        town.runFor(400);
        assertTrue(town.proxy(5).doubted.contains("node-5"), "it knows within 0.4 s of its start");
        assertTrue(late.doubted.isEmpty());
        late.gossip.nodes(late.clock(), list, late);
        assertTrue(late.doubted.contains("node-5"), "as soon as it has a list");
        late.gossip.nodes(
                late.clock(),
                list.stream()
                        .map(
                                n ->
                                        n.id().equals("node-5")
                                                ? new cacheproxy.Router.Node(
                                                        "node-5",
                                                        "std",
                                                        "a",
                                                        0,
                                                        1,
                                                        town.now,
                                                        cacheproxy.Router.Availability.UP)
                                                : n)
                        .toList(),
                late);
        town.runFor(200);
        assertTrue(late.gossip.table().size() >= 7);
    }

    @Test
    void aKeyThatWasRemovedAndANameThatIsUsedTwiceShow() {
        Town town = Town.of(4, 7);
        Town.Proxy twin = town.join("p2", 0, 1);
        town.runFor(10_000);
        assertTrue(town.told(null, What.NAME_TWICE, "p2"), town.told.toString());
        town.kill(twin);
        town.strangers.add("p1");
        Town.Proxy removed =
                town.proxies.stream().filter(p -> p.name.equals("p1")).findFirst().orElseThrow();
        town.runFor(40_000);
        Town.Proxy other =
                town.proxies.stream().filter(p -> p.name.equals("p3")).findFirst().orElseThrow();
        assertEquals(
                Status.DEAD,
                other.knows("p1"),
                "a proxy whose key is trusted no longer is none of us");
        removed.saw("node-1", Outcome.TIMEOUT, 9);
        town.runFor(1000);
        assertTrue(other.doubted.isEmpty());
        assertNull(
                new Town(1).join("alone", 0, 1).knows("p0"),
                "without peers it starts all the same");
    }

    /**
     * Two liars among five accuse everything from the first moment; the others keep trying the
     * nodes, which answer.
     */
    @Test
    void liarsCostAProbeAndThenTheirWeight() {
        Town town = Town.of(5, 8);
        int doubts = 0;
        for (int second = 0; second < 60; second++) {
            for (int liar = 3; liar < 5; liar++) {
                boolean accuses = liar == 3 || second % 2 == 0;
                for (int n = 0; n < 6; n++) {
                    town.proxy(liar).saw("node-" + n, accuses ? Outcome.TIMEOUT : Outcome.OK, 2);
                }
            }
            for (int quarter = 0; quarter < 4; quarter++) {
                town.runFor(250);
                for (int honest = 0; honest < 3; honest++) {
                    Town.Proxy p = town.proxy(honest);
                    for (int n = 0; n < 6; n++) {
                        p.saw("node-" + n, Outcome.OK, 2);
                    }
                    doubts += p.doubted.size();
                    // The module probes what is doubted, and the nodes answer.
                    for (String node : List.copyOf(p.doubted)) {
                        p.gossip.probed(p.clock(), node, Outcome.OK, p);
                    }
                }
            }
        }
        for (int honest = 0; honest < 3; honest++) {
            Town.Proxy p = town.proxy(honest);
            assertTrue(p.gossip.weight(p.clock(), "p3") < 0.5, "the liar's weight at " + p.name);
            assertTrue(
                    p.gossip.weight(p.clock(), "p4") < 0.5,
                    "the flipping liar's weight at " + p.name);
            assertTrue(
                    p.gossip.weight(p.clock(), "p" + (honest + 1) % 3) > 0.9,
                    "an honest peer's weight at " + p.name);
        }
        assertTrue(
                doubts <= 3 * 6 * 2,
                "quarter seconds in which a healthy node was doubted: " + doubts);
        assertTrue(town.told("p0", What.DISTRUSTED, "p3"));
        // Weight comes back, slowly.
        double low = town.proxy(0).gossip.weight(town.proxy(0).clock(), "p3");
        town.runFor(30_000);
        double later = town.proxy(0).gossip.weight(town.proxy(0).clock(), "p3");
        assertTrue(later > low && later < low + 0.4, low + " to " + later);
    }
}
