package cacheproxy.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.membership.Member.Status;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the timers of a member whose event loop was blocked: packets that arrived meanwhile must be
 * read before a timer fails a probe or ends a suspicion.
 */
class SwimBlockedLoopTest {

    private static final int MAX_HEALTH = 8;
    private static final String PEER = "peer";

    /** Records the number of the last probe and counts the requested indirect probes. */
    private static final class LastProbe implements Swim.Actions {
        int number;
        int pingRequests;

        @Override
        public void sendPing(Member to, int probe) {
            number = probe;
        }

        @Override
        public void sendPingRequest(Member relay, Member target, int probe) {
            pingRequests++;
        }

        @Override
        public void pingAddress(String address) {}

        @Override
        public void memberChanged(Member before, Member after) {}

        @Override
        public void selfRefuted(Member update) {}

        @Override
        public void isolationChanged(boolean isolated, String evidence) {}
    }

    private final LastProbe lastProbe = new LastProbe();
    private final Swim swim =
            new Swim(
                    member("self", 0, Status.ALIVE),
                    List.of(),
                    new SplittableRandom(1),
                    MAX_HEALTH);
    private double now;

    private static Member member(String name, int incarnation, Status status) {
        return new Member(name, "10.0.0.1:7000", incarnation, status);
    }

    private void startWithPeer() {
        swim.start(now, lastProbe);
        swim.applyUpdate(now, member(PEER, 0, Status.ALIVE), lastProbe);
    }

    private void tickAfter(double milliseconds) {
        now += milliseconds;
        swim.tick(now, lastProbe);
    }

    private void tickUntilProbe() {
        int before = lastProbe.number;
        while (lastProbe.number == before) {
            tickAfter(Gossip.TICK_MS);
        }
    }

    private Status peerStatus() {
        return swim.find(PEER).status();
    }

    @Test
    void lateTickAfterReadsFailsNoProbe() {
        startWithPeer();
        tickUntilProbe();
        // Reads other datagrams in between, so that no gap between two calls counts as a pause.
        for (int read = 0; read < 2; read++) {
            now += Swim.STALL_MS - 10;
            swim.packetReceived(now, PEER);
        }
        tickAfter(0);
        assertEquals(Status.ALIVE, peerStatus(), "its answer may still be unread in the socket");
        swim.ackReceived(now, lastProbe.number, PEER, lastProbe);
        tickAfter(Gossip.TICK_MS);
        assertEquals(Status.ALIVE, peerStatus());
    }

    @ParameterizedTest
    @ValueSource(doubles = {200, 2000, 5000, 12_000})
    void tickAfterBlockEndsNoSuspicionBeforeTheRefutationIsRead(double blockMs) {
        startWithPeer();
        swim.applyUpdate(now, member(PEER, 0, Status.SUSPECT).asSuspect("other"), lastProbe);
        while (now + 2 * Gossip.TICK_MS < swim.suspicionMs(0)) {
            swim.ackReceived(now, lastProbe.number, PEER, lastProbe);
            tickAfter(Gossip.TICK_MS);
        }
        assertEquals(Status.SUSPECT, peerStatus());
        tickAfter(blockMs);
        assertEquals(
                Status.SUSPECT, peerStatus(), "its refutation may still be unread in the socket");
        swim.applyUpdate(now, member(PEER, 1, Status.ALIVE), lastProbe);
        tickAfter(Gossip.TICK_MS);
        assertEquals(Status.ALIVE, peerStatus());
    }

    @ParameterizedTest
    @ValueSource(doubles = {2000, 5000, 12_000})
    void blockRaisesOwnHealthScore(double blockMs) {
        startWithPeer();
        tickUntilProbe();
        tickAfter(blockMs);
        assertTrue(swim.health() > 0);
    }

    @Test
    void silentPeerIsDeclaredDeadWhileEveryTickIsLate() {
        startWithPeer();
        for (int tick = 0; tick < 200 && peerStatus() != Status.DEAD; tick++) {
            tickAfter(Swim.STALL_MS);
        }
        assertEquals(Status.DEAD, peerStatus());
    }
}
