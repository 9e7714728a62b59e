package cacheproxy.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.stream.Change.Epoch;
import cacheproxy.stream.Change.Purge;
import cacheproxy.stream.Message.Ack;
import cacheproxy.stream.Message.Batch;
import cacheproxy.stream.Message.Beat;
import cacheproxy.stream.Message.Hello;
import cacheproxy.stream.Message.Snapshot;
import cacheproxy.stream.Subscriber.What;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** One proxy's part against messages made by hand. */
class SubscriberTest {

    private static final List<String> SERVERS = List.of("a", "b", "c", "d");

    private final class Seen implements Subscriber.Out {
        final List<String> connects = new ArrayList<>();
        final List<Message> sent = new ArrayList<>();
        final List<Long> applied = new ArrayList<>();
        final List<What> events = new ArrayList<>();
        int attempt;
        boolean keeps = true;

        @Override
        public void connect(String server, int attempt) {
            connects.add(server);
            this.attempt = attempt;
        }

        @Override
        public void disconnect(int attempt) {
            // As a socket may: its end is told from within.
            subscriber.closed(now, attempt, this);
        }

        @Override
        public void send(Message message) {
            sent.add(message);
        }

        @Override
        public boolean apply(List<Entry> entries) {
            if (keeps) {
                entries.forEach(e -> applied.add(e.seq()));
            }
            return keeps;
        }

        @Override
        public boolean reset(Snapshot snapshot) {
            return keeps;
        }

        @Override
        public void event(What what, String server) {
            events.add(what);
        }
    }

    private double now = 1000;
    private final Subscriber subscriber =
            new Subscriber(
                    new Subscriber.Parts("proxy-1", SERVERS, 1000, 10_000, new Random(1)),
                    0,
                    0,
                    now);
    private final Seen out = new Seen();

    private void pass(double ms) {
        for (double end = now + ms; now < end; now += 10) {
            subscriber.tick(now, out);
        }
    }

    private void open() {
        pass(300);
        subscriber.connected(now, out.attempt, out);
    }

    private void hear(Message m) {
        subscriber.received(now, out.attempt, m, out);
    }

    private static Batch batch(long first, int count) {
        return new Batch(
                first,
                IntStream.range(0, count)
                        .<Change>mapToObj(i -> new Purge("k" + (first + i), false))
                        .toList());
    }

    @Test
    void entriesAreAppliedOnceAndInOrderAndAGapEndsTheConnection() {
        open();
        assertEquals(new Hello("proxy-1", 0, -1, 10_000), out.sent.get(0));
        hear(batch(1, 1));
        assertEquals(List.of(), out.applied, "before it knows where it is nothing is taken");
        open();
        hear(new Snapshot(9, 4, Epoch.NONE));
        hear(batch(5, 3));
        hear(batch(5, 3));
        hear(batch(4, 6));
        hear(new Snapshot(9, 6, Epoch.NONE));
        assertEquals(List.of(5L, 6L, 7L, 8L, 9L), out.applied);
        subscriber.received(now, out.attempt - 1, batch(10, 1), out);
        assertEquals(9, subscriber.applied(), "from a connection that is over");
        hear(batch(11, 1));
        assertEquals(What.GAP, out.events.get(out.events.size() - 1));
        open();
        assertEquals(9, ((Hello) out.sent.get(out.sent.size() - 1)).cursor());
        assertEquals(2, out.events.stream().filter(What.GAP::equals).count());
    }

    @Test
    void whatCouldNotBeKeptIsNotConfirmedAndComesAgain() {
        open();
        hear(new Snapshot(9, 0, Epoch.NONE));
        out.keeps = false;
        hear(batch(1, 2));
        assertEquals(0, subscriber.applied());
        assertEquals(What.UNKEPT, out.events.get(out.events.size() - 1));
        out.keeps = true;
        open();
        hear(batch(1, 2));
        assertEquals(List.of(1L, 2L), out.applied);
    }

    @Test
    void itKnowsHowOldItsViewMayBe() {
        open();
        hear(new Snapshot(9, 0, Epoch.NONE));
        pass(600);
        Ack ask =
                (Ack)
                        out.sent.stream()
                                .filter(m -> m instanceof Ack a && a.stamp() >= 0)
                                .reduce((x, y) -> y)
                                .orElseThrow();
        hear(new Beat(ask.stamp(), 2, 30));
        assertEquals(Double.NEGATIVE_INFINITY, subscriber.asOf(), "entries are on the way");
        hear(batch(1, 1));
        assertEquals(Double.NEGATIVE_INFINITY, subscriber.asOf());
        hear(batch(2, 1));
        assertEquals(ask.stamp() - 30, subscriber.asOf());
        hear(new Beat(ask.stamp() - 400, 2, 0));
        assertEquals(ask.stamp() - 30, subscriber.asOf(), "never back");
    }

    @Test
    void aSilentServerIsLeftAndSoIsOneThatIsBehindWhileThereAreOthers() {
        open();
        String first = out.connects.get(0);
        pass(1300);
        assertEquals(What.LOST, out.events.get(out.events.size() - 1));
        open();
        assertFalse(out.connects.get(out.connects.size() - 1).equals(first));
        hear(new Beat(-1, 0, 60_000));
        assertEquals(What.STALE, out.events.get(out.events.size() - 1));
        assertNull(subscriber.server());
        for (int i = 0; i < 40; i++) {
            pass(250);
            subscriber.connected(now, out.attempt, out);
            hear(new Beat(-1, 0, 60_000));
        }
        assertTrue(
                out.connects.size() < 24,
                "where all are behind it goes from one to another less and less: " + out.connects);
    }

    @Test
    void allowanceFollowsThePaceAndTheServersShareAlike() {
        open();
        hear(new Snapshot(9, 0, Epoch.NONE));
        long allowed = 0;
        double began = now;
        long taken = Frames.costBytes(new Snapshot(9, 0, Epoch.NONE));
        for (long seq = 1; seq < 20_000; ) {
            pass(50);
            hear(new Beat(-1, 0, 0));
            allowed =
                    out.sent.stream()
                            .filter(Ack.class::isInstance)
                            .mapToLong(m -> ((Ack) m).allowedBytes())
                            .max()
                            .orElse(0);
            Batch next = batch(seq, 100);
            if (taken + Frames.costBytes(next) > allowed) {
                if (now - began > 20_000) {
                    break;
                }
                continue;
            }
            taken += Frames.costBytes(next);
            hear(next);
            seq += 100;
            assertTrue(
                    allowed <= 10_000 + (now - began + 300) * 1000 / 1000,
                    allowed + " after " + (now - began));
        }
        assertTrue(taken > 25_000, "" + taken);
        Map<String, Integer> first = new HashMap<>();
        for (int i = 0; i < 780; i++) {
            Subscriber s =
                    new Subscriber(
                            new Subscriber.Parts(
                                    "proxy-" + i, SERVERS, 1000, 10_000, new Random(i)),
                            0,
                            0,
                            0);
            Seen seen = new Seen();
            for (double t = 0; t < 300; t += 10) {
                s.tick(t, seen);
            }
            first.merge(seen.connects.get(0), 1, Integer::sum);
        }
        assertTrue(first.values().stream().allMatch(n -> n > 160 && n < 235), first.toString());
    }
}
