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
 * The timers of one member whose event loop is held up: what came meanwhile is read before anybody
 * is judged by them.
 */
class SwimHoldUpTest {

    private static final int HEALTH_MOST = 8;
    private static final String PEER = "peer";

    /** What the member sent last, and to how many it wanted more sent. */
    private static final class LastProbe implements Swim.Out {
        int number;
        int asked;

        @Override
        public void ping(Member to, int probe) {
            number = probe;
        }

        @Override
        public void ask(Member via, Member about, int probe) {
            asked++;
        }

        @Override
        public void call(String address) {}

        @Override
        public void changed(Member before, Member now) {}

        @Override
        public void refuted(Member news) {}

        @Override
        public void stepped(boolean down, String evidence) {}
    }

    private final LastProbe out = new LastProbe();
    private final Swim swim =
            new Swim(
                    member("self", 0, Status.ALIVE),
                    List.of(),
                    new SplittableRandom(1),
                    HEALTH_MOST);
    private double now;

    private static Member member(String name, int incarnation, Status status) {
        return new Member(name, "10.0.0.1:7000", incarnation, status);
    }

    private void startWithPeer() {
        swim.start(now, out);
        swim.take(now, member(PEER, 0, Status.ALIVE), out);
    }

    private void tickAfter(double milliseconds) {
        now += milliseconds;
        swim.tick(now, out);
    }

    private void tickUntilProbe() {
        int before = out.number;
        while (out.number == before) {
            tickAfter(Gossip.TICK_MS);
        }
    }

    private Status peer() {
        return swim.find(PEER).status();
    }

    @Test
    void aLateTickAfterReadsJudgesNoProbe() {
        startWithPeer();
        tickUntilProbe();
        // Other datagrams are read in between, so that no single gap between two calls is a pause.
        for (int read = 0; read < 2; read++) {
            now += Swim.STALL_MS - 10;
            swim.heard(now, PEER);
        }
        tickAfter(0);
        assertEquals(Status.ALIVE, peer(), "its answer may lie unread in the socket");
        swim.answered(now, out.number, PEER, out);
        tickAfter(Gossip.TICK_MS);
        assertEquals(Status.ALIVE, peer());
    }

    @ParameterizedTest
    @ValueSource(doubles = {200, 2000, 5000, 12_000})
    void aTickAfterAHoldUpEndsNoSuspicionBeforeTheRefutationIsRead(double holdUpMs) {
        startWithPeer();
        swim.take(now, member(PEER, 0, Status.SUSPECT).suspectedBy("other"), out);
        while (now + 2 * Gossip.TICK_MS < swim.suspicionMs(0)) {
            swim.answered(now, out.number, PEER, out);
            tickAfter(Gossip.TICK_MS);
        }
        assertEquals(Status.SUSPECT, peer());
        tickAfter(holdUpMs);
        assertEquals(Status.SUSPECT, peer(), "its refutation may lie unread in the socket");
        swim.take(now, member(PEER, 1, Status.ALIVE), out);
        tickAfter(Gossip.TICK_MS);
        assertEquals(Status.ALIVE, peer());
    }

    @ParameterizedTest
    @ValueSource(doubles = {2000, 5000, 12_000})
    void aHoldUpCountsAgainstTheOwnHealth(double holdUpMs) {
        startWithPeer();
        tickUntilProbe();
        tickAfter(holdUpMs);
        assertTrue(swim.health() > 0);
    }

    @Test
    void aSilentPeerIsDeclaredDeadThoughEveryTickIsLate() {
        startWithPeer();
        for (int tick = 0; tick < 200 && peer() != Status.DEAD; tick++) {
            tickAfter(Swim.STALL_MS);
        }
        assertEquals(Status.DEAD, peer());
    }
}
