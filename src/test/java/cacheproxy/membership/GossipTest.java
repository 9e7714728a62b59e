package cacheproxy.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import cacheproxy.membership.Gossip.EventType;
import cacheproxy.membership.Member.Status;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Tests gossip under member deaths, partitions, lossy links, wrong clocks, false accusations, and
 * forged or replayed packets.
 */
class GossipTest {

    private static void assertAllAlive(TestCluster cluster) {
        for (TestCluster.Proxy proxy : cluster.proxies) {
            for (TestCluster.Proxy other : cluster.proxies) {
                assertEquals(
                        Status.ALIVE, proxy.statusOf(other.name), proxy.name + " of " + other.name);
            }
        }
    }

    @Test
    void detectsDeathAndAcceptsRestartUnderTheSameName() {
        TestCluster cluster = TestCluster.of(12, 1);
        assertAllAlive(cluster);
        TestCluster.Proxy victim = cluster.proxy(5);
        // Kills it while its claim is being disseminated.
        victim.recordOutcomes("node-3", Outcome.TIMEOUT, 3);
        cluster.runFor(60);
        cluster.kill(victim);
        cluster.runFor(25_000);
        for (TestCluster.Proxy proxy : cluster.proxies) {
            assertEquals(Status.DEAD, proxy.statusOf("p5"), proxy.name);
            assertTrue(
                    proxy.suspectedNodes.isEmpty(),
                    "a killed peer's claim is still in force at " + proxy.name);
        }
        TestCluster.Proxy restarted = cluster.join("p5", victim.address, 0, 1);
        double restartedAt = cluster.now;
        cluster.runFor(2000);
        assertEquals(
                12,
                restarted.gossip.table().stream().filter(Member::isPresent).count(),
                "members known 2 s after its start");
        cluster.runFor(8000);
        assertAllAlive(cluster);
        assertTrue(restarted.gossip.table().get(0).incarnation() > 0);
        assertTrue(cluster.maxBytesInASecond(restartedAt) <= TestCluster.BYTES_PER_S);
        restarted.gossip.leave(restarted.clock(), restarted);
        cluster.kill(restarted);
        cluster.runFor(5000);
        assertTrue(cluster.proxies.stream().allMatch(proxy -> proxy.statusOf("p5") == Status.LEFT));
    }

    @Test
    void partitionedFleetMergesAfterThePartitionHeals() {
        TestCluster cluster = TestCluster.of(10, 2);
        List<String> left =
                cluster.proxies.subList(0, 4).stream().map(proxy -> proxy.address).toList();
        cluster.linkCut = (from, to) -> left.contains(from) != left.contains(to);
        cluster.runFor(30_000);
        assertEquals(Status.DEAD, cluster.proxy(0).statusOf("p9"));
        assertEquals(Status.DEAD, cluster.proxy(9).statusOf("p0"));
        // Evidence is still shared within each part.
        for (int i = 0; i < 3; i++) {
            cluster.proxy(i).recordOutcomes("node-1", Outcome.TIMEOUT, 2);
        }
        cluster.runFor(500);
        assertTrue(cluster.proxy(3).suspectedNodes.contains("node-1"));
        assertFalse(cluster.proxy(9).suspectedNodes.contains("node-1"));
        cluster.linkCut = (from, to) -> false;
        cluster.runFor(30_000);
        assertAllAlive(cluster);
        assertTrue(cluster.proxies.stream().allMatch(proxy -> proxy.suspectedNodes.isEmpty()));
    }

    @Test
    void packetLossDuplicationAndReorderingLeaveNoMemberDead() {
        TestCluster cluster = TestCluster.of(10, 3);
        cluster.lossRate = 0.3;
        cluster.runFor(60_000);
        long replayed =
                cluster.proxies.stream().mapToLong(proxy -> proxy.gossip.counts().replayed()).sum();
        assertTrue(replayed > 0, "duplicated packets are rejected");
        for (int i = 0; i < 4; i++) {
            cluster.proxy(i).recordOutcomes("node-2", Outcome.TIMEOUT, 2);
        }
        cluster.runFor(3000);
        assertTrue(
                cluster.proxies.stream()
                                .filter(proxy -> proxy.suspectedNodes.contains("node-2"))
                                .count()
                        >= 9);
        cluster.lossRate = 0;
        cluster.runFor(20_000);
        assertAllAlive(cluster);
    }

    @Test
    void toleratesClockOffsetsAndRateDifferences() {
        TestCluster cluster = new TestCluster(4);
        for (int i = 0; i < 6; i++) {
            cluster.join("p" + i, i * 3_600_000.0, 0.7 + 0.12 * i);
        }
        cluster.runFor(10_000);
        assertAllAlive(cluster);
        cluster.proxy(0).recordOutcomes("node-4", Outcome.TIMEOUT, 2);
        cluster.proxy(5).recordOutcomes("node-4", Outcome.CONNECT_FAILED, 2);
        cluster.runFor(600);
        assertTrue(
                cluster.proxies.stream()
                        .allMatch(proxy -> proxy.suspectedNodes.contains("node-4")));
        // No observer renews its claim, so it expires even by the slowest clock.
        cluster.runFor((Evidence.CLAIM_LIFETIME_MS + 6000) / 0.7);
        assertTrue(cluster.proxies.stream().allMatch(proxy -> proxy.suspectedNodes.isEmpty()));
    }

    @Test
    void forgedPacketsHaveNoEffectAndCauseNoExtraTraffic() {
        TestCluster cluster = TestCluster.of(5, 5);
        TestCluster.Proxy target = cluster.proxy(2);
        List<byte[]> genuinePackets =
                new ArrayList<>(
                        cluster.sentPackets.stream()
                                .filter(sentPacket -> sentPacket.to().equals(target.address))
                                .map(TestCluster.SentPacket::packet)
                                .toList());
        cluster.runFor(10_000);
        double bytesBefore = cluster.maxBytesInASecond(cluster.now - 5000);
        List<Member> before = target.gossip.table();
        long receivedBefore = target.gossip.counts().received();
        SplittableRandom random = new SplittableRandom(9);
        double floodStartedAt = cluster.now;
        for (int i = 0; i < 30_000; i++) {
            byte[] packet = genuinePackets.get(random.nextInt(genuinePackets.size())).clone();
            String from =
                    random.nextBoolean()
                            ? cluster.proxy(random.nextInt(2)).address
                            : "10.9.9.9:" + (1 + random.nextInt(60_000));
            switch (i % 5) {
                // An unchanged replay, one with a flipped bit, a truncated one, an oversized one,
                // and random bytes.
                case 1 -> packet[random.nextInt(packet.length)] ^= (byte) (1 << random.nextInt(8));
                case 2 -> packet = Arrays.copyOf(packet, random.nextInt(packet.length));
                case 3 ->
                        packet =
                                Arrays.copyOf(
                                        packet,
                                        PacketCodec.MAX_PACKET_BYTES + 1 + random.nextInt(60_000));
                case 4 -> {
                    packet = new byte[random.nextInt(2000)];
                    random.nextBytes(packet);
                }
                default -> {}
            }
            target.gossip.received(target.clock(), from, packet, target);
            if (i % 300 == 0) {
                cluster.runFor(50);
            }
        }
        Gossip.Counts counts = target.gossip.counts();
        assertTrue(counts.received() - receivedBefore >= 30_000);
        assertTrue(counts.invalid() >= 20_000, "rejected: " + counts);
        assertTrue(cluster.maxBytesInASecond(floodStartedAt) <= TestCluster.BYTES_PER_S);
        assertTrue(
                cluster.maxBytesInASecond(floodStartedAt) < bytesBefore + 4096,
                "a flood must not cause extra traffic");
        assertTrue(target.suspectedNodes.isEmpty());
        cluster.runFor(20_000);
        assertEquals(
                before.stream().map(Member::name).toList(),
                target.gossip.table().stream().map(Member::name).toList());
        assertAllAlive(cluster);
    }

    @Test
    void replayedPacketsOfAnEarlierIncarnationHaveNoEffect() {
        TestCluster cluster = TestCluster.of(5, 6);
        TestCluster.Proxy observer = cluster.proxy(3);
        double from = cluster.now;
        observer.recordOutcomes("node-0", Outcome.TIMEOUT, 3);
        cluster.proxy(4).recordOutcomes("node-0", Outcome.TIMEOUT, 3);
        cluster.runFor(1000);
        assertTrue(cluster.proxy(1).suspectedNodes.contains("node-0"));
        List<TestCluster.SentPacket> recorded =
                cluster.sentPackets.stream().filter(sentPacket -> sentPacket.at() >= from).toList();
        cluster.runFor(15_000);
        cluster.kill(observer);
        cluster.runFor(15_000);
        cluster.join("p3", observer.address, 0, 1);
        cluster.runFor(5000);
        int eventsBefore = cluster.events.size();
        for (int i = 0; i < 3; i++) {
            recorded.forEach(
                    sentPacket ->
                            cluster.deliver(
                                    sentPacket.from(), sentPacket.to(), sentPacket.packet()));
            cluster.runFor(2000);
        }
        assertTrue(
                cluster.proxies.stream().allMatch(proxy -> proxy.suspectedNodes.isEmpty()),
                "a replay caused a suspicion");
        assertEquals(
                eventsBefore,
                cluster.events.size(),
                () -> cluster.events.subList(eventsBefore, cluster.events.size()).toString());
        assertAllAlive(cluster);
    }

    @Test
    void newMemberLearnsSuspectedNodesEvenIfItsEndpointListArrivesLater() {
        TestCluster cluster = TestCluster.of(5, 9);
        for (int i = 0; i < 3; i++) {
            cluster.proxy(i).recordOutcomes("node-5", Outcome.TIMEOUT, 2);
        }
        cluster.runFor(500);
        List<cacheproxy.Router.Node> endpoints = List.copyOf(cluster.nodes);
        assertTrue(cluster.join("early", 0, 1).suspectedNodes.isEmpty());
        cluster.nodes.clear();
        TestCluster.Proxy late = cluster.join("late", 0, 1);
        cluster.runFor(400);
        assertTrue(
                cluster.proxy(5).suspectedNodes.contains("node-5"),
                "suspected within 0.4 s of its start");
        assertTrue(late.suspectedNodes.isEmpty());
        late.gossip.updateNodes(late.clock(), endpoints, late);
        assertTrue(
                late.suspectedNodes.contains("node-5"), "suspected once it has an endpoint list");
        late.gossip.updateNodes(
                late.clock(),
                endpoints.stream()
                        .map(
                                node ->
                                        node.id().equals("node-5")
                                                ? new cacheproxy.Router.Node(
                                                        "node-5",
                                                        "std",
                                                        "a",
                                                        0,
                                                        1,
                                                        cluster.now,
                                                        cacheproxy.Router.Availability.UP)
                                                : node)
                        .toList(),
                late);
        cluster.runFor(200);
        assertTrue(late.gossip.table().size() >= 7);
    }

    @Test
    void detectsRemovedKeyAndDuplicateName() {
        TestCluster cluster = TestCluster.of(4, 7);
        TestCluster.Proxy duplicate = cluster.join("p2", 0, 1);
        cluster.runFor(10_000);
        assertTrue(cluster.hasEvent(null, EventType.NAME_TWICE, "p2"), cluster.events.toString());
        cluster.kill(duplicate);
        cluster.untrustedNames.add("p1");
        TestCluster.Proxy removed =
                cluster.proxies.stream()
                        .filter(proxy -> proxy.name.equals("p1"))
                        .findFirst()
                        .orElseThrow();
        cluster.runFor(40_000);
        TestCluster.Proxy other =
                cluster.proxies.stream()
                        .filter(proxy -> proxy.name.equals("p3"))
                        .findFirst()
                        .orElseThrow();
        assertEquals(
                Status.DEAD,
                other.statusOf("p1"),
                "a proxy whose key is no longer trusted must be declared dead");
        removed.recordOutcomes("node-1", Outcome.TIMEOUT, 9);
        cluster.runFor(1000);
        assertTrue(other.suspectedNodes.isEmpty());
        assertNull(
                new TestCluster(1).join("alone", 0, 1).statusOf("p0"),
                "a proxy without peers must start and know no other member");
    }

    /**
     * Two of five proxies falsely accuse all nodes from the start, one of them in turns; the other
     * three keep sending attempts to the nodes, which answer.
     */
    @Test
    void falseAccusersLoseTheirWeight() {
        TestCluster cluster = TestCluster.of(5, 8);
        int suspectedCount = 0;
        for (int second = 0; second < 60; second++) {
            for (int falseAccuser = 3; falseAccuser < 5; falseAccuser++) {
                boolean accuses = falseAccuser == 3 || second % 2 == 0;
                for (int nodeIndex = 0; nodeIndex < 6; nodeIndex++) {
                    cluster.proxy(falseAccuser)
                            .recordOutcomes(
                                    "node-" + nodeIndex, accuses ? Outcome.TIMEOUT : Outcome.OK, 2);
                }
            }
            for (int quarter = 0; quarter < 4; quarter++) {
                cluster.runFor(250);
                for (int honest = 0; honest < 3; honest++) {
                    TestCluster.Proxy proxy = cluster.proxy(honest);
                    for (int nodeIndex = 0; nodeIndex < 6; nodeIndex++) {
                        proxy.recordOutcomes("node-" + nodeIndex, Outcome.OK, 2);
                    }
                    suspectedCount += proxy.suspectedNodes.size();
                    // The decision module probes the suspected nodes, which answer.
                    for (String node : List.copyOf(proxy.suspectedNodes)) {
                        proxy.gossip.probeEnded(proxy.clock(), node, Outcome.OK, proxy);
                    }
                }
            }
        }
        for (int honest = 0; honest < 3; honest++) {
            TestCluster.Proxy proxy = cluster.proxy(honest);
            assertTrue(
                    proxy.gossip.weight(proxy.clock(), "p3") < 0.5,
                    "weight of the constant false accuser at " + proxy.name);
            assertTrue(
                    proxy.gossip.weight(proxy.clock(), "p4") < 0.5,
                    "weight of the alternating false accuser at " + proxy.name);
            assertTrue(
                    proxy.gossip.weight(proxy.clock(), "p" + (honest + 1) % 3) > 0.9,
                    "weight of a correct peer at " + proxy.name);
        }
        assertTrue(
                suspectedCount <= 3 * 6 * 2,
                "quarter seconds in which a healthy node was suspected: " + suspectedCount);
        assertTrue(cluster.hasEvent("p0", EventType.DISTRUSTED, "p3"));
        // The weight recovers slowly.
        double low = cluster.proxy(0).gossip.weight(cluster.proxy(0).clock(), "p3");
        cluster.runFor(30_000);
        double later = cluster.proxy(0).gossip.weight(cluster.proxy(0).clock(), "p3");
        assertTrue(later > low && later < low + 0.4, low + " to " + later);
    }
}
