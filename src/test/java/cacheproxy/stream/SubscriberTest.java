package cacheproxy.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.stream.Change.Epoch;
import cacheproxy.stream.Change.Purge;
import cacheproxy.stream.Message.Ack;
import cacheproxy.stream.Message.Batch;
import cacheproxy.stream.Message.Heartbeat;
import cacheproxy.stream.Message.Hello;
import cacheproxy.stream.Message.Snapshot;
import cacheproxy.stream.Subscriber.SubscriberEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests a subscriber with scripted messages. */
class SubscriberTest {

    private static final List<String> SERVERS = List.of("a", "b", "c", "d");

    private final class RecordingSubscriberActions implements Subscriber.SubscriberActions {
        final List<String> connects = new ArrayList<>();
        final List<Message> sent = new ArrayList<>();
        final List<Long> applied = new ArrayList<>();
        final List<SubscriberEvent> events = new ArrayList<>();
        int attempt;
        boolean storesEntries = true;

        @Override
        public void connect(String server, int attempt) {
            connects.add(server);
            this.attempt = attempt;
        }

        @Override
        public void disconnect(int attempt) {
            // Like a socket that reports its end before the call returns.
            subscriber.closed(now, attempt, this);
        }

        @Override
        public void send(Message message) {
            sent.add(message);
        }

        @Override
        public boolean apply(List<Entry> entries) {
            if (storesEntries) {
                entries.forEach(e -> applied.add(e.seq()));
            }
            return storesEntries;
        }

        @Override
        public boolean reset(Snapshot snapshot) {
            return storesEntries;
        }

        @Override
        public void event(SubscriberEvent event, String server) {
            events.add(event);
        }
    }

    private double now = 1000;
    private final Subscriber subscriber =
            new Subscriber(
                    new Subscriber.Parts("proxy-1", SERVERS, 1000, 10_000, new Random(1)),
                    0,
                    0,
                    now);
    private final RecordingSubscriberActions actions = new RecordingSubscriberActions();

    private void advance(double ms) {
        for (double end = now + ms; now < end; now += 10) {
            subscriber.tick(now, actions);
        }
    }

    private void openConnection() {
        advance(300);
        subscriber.connected(now, actions.attempt, actions);
    }

    private void receive(Message message) {
        subscriber.received(now, actions.attempt, message, actions);
    }

    private static Batch batch(long first, int count) {
        return new Batch(
                first,
                IntStream.range(0, count)
                        .<Change>mapToObj(i -> new Purge("k" + (first + i), false))
                        .toList());
    }

    @Test
    void appliesEntriesOnceInOrderAndDisconnectsOnGap() {
        openConnection();
        assertEquals(new Hello("proxy-1", 0, -1, 10_000), actions.sent.get(0));
        receive(batch(1, 1));
        assertEquals(List.of(), actions.applied, "no entry is applied before the first snapshot");
        openConnection();
        receive(new Snapshot(9, 4, Epoch.NONE));
        receive(batch(5, 3));
        receive(batch(5, 3));
        receive(batch(4, 6));
        receive(new Snapshot(9, 6, Epoch.NONE));
        assertEquals(List.of(5L, 6L, 7L, 8L, 9L), actions.applied);
        subscriber.received(now, actions.attempt - 1, batch(10, 1), actions);
        assertEquals(9, subscriber.applied(), "messages of an earlier connection are ignored");
        receive(batch(11, 1));
        assertEquals(SubscriberEvent.SEQUENCE_GAP, actions.events.get(actions.events.size() - 1));
        openConnection();
        assertEquals(9, ((Hello) actions.sent.get(actions.sent.size() - 1)).cursor());
        assertEquals(
                2, actions.events.stream().filter(SubscriberEvent.SEQUENCE_GAP::equals).count());
    }

    @Test
    void doesNotAcknowledgeEntriesThatCouldNotBeStored() {
        openConnection();
        receive(new Snapshot(9, 0, Epoch.NONE));
        actions.storesEntries = false;
        receive(batch(1, 2));
        assertEquals(0, subscriber.applied());
        assertEquals(SubscriberEvent.NOT_STORED, actions.events.get(actions.events.size() - 1));
        actions.storesEntries = true;
        openConnection();
        receive(batch(1, 2));
        assertEquals(List.of(1L, 2L), actions.applied);
    }

    @Test
    void computesAgeOfItsView() {
        openConnection();
        receive(new Snapshot(9, 0, Epoch.NONE));
        advance(600);
        Ack ask =
                (Ack)
                        actions.sent.stream()
                                .filter(m -> m instanceof Ack a && a.stamp() >= 0)
                                .reduce((x, y) -> y)
                                .orElseThrow();
        receive(new Heartbeat(ask.stamp(), 2, 30));
        assertEquals(Double.NEGATIVE_INFINITY, subscriber.asOf(), "entries have not arrived yet");
        receive(batch(1, 1));
        assertEquals(Double.NEGATIVE_INFINITY, subscriber.asOf());
        receive(batch(2, 1));
        assertEquals(ask.stamp() - 30, subscriber.asOf());
        receive(new Heartbeat(ask.stamp() - 400, 2, 0));
        assertEquals(ask.stamp() - 30, subscriber.asOf(), "never decreases");
    }

    @Test
    void leavesSilentServerAndStaleServerIfThereIsAnother() {
        openConnection();
        String first = actions.connects.get(0);
        advance(1300);
        assertEquals(
                SubscriberEvent.CONNECTION_LOST, actions.events.get(actions.events.size() - 1));
        openConnection();
        assertFalse(actions.connects.get(actions.connects.size() - 1).equals(first));
        receive(new Heartbeat(-1, 0, 60_000));
        assertEquals(SubscriberEvent.SERVER_STALE, actions.events.get(actions.events.size() - 1));
        assertNull(subscriber.server());
        for (int i = 0; i < 40; i++) {
            advance(250);
            subscriber.connected(now, actions.attempt, actions);
            receive(new Heartbeat(-1, 0, 60_000));
        }
        assertTrue(
                actions.connects.size() < 24,
                "switches less and less often when all servers are stale: " + actions.connects);
    }

    @Test
    void limitsAllowanceToRateAndSpreadsSubscribersEvenly() {
        openConnection();
        receive(new Snapshot(9, 0, Epoch.NONE));
        long allowed = 0;
        double startMs = now;
        long receivedBytes = FrameCodec.costBytes(new Snapshot(9, 0, Epoch.NONE));
        for (long seq = 1; seq < 20_000; ) {
            advance(50);
            receive(new Heartbeat(-1, 0, 0));
            allowed =
                    actions.sent.stream()
                            .filter(Ack.class::isInstance)
                            .mapToLong(m -> ((Ack) m).allowedBytes())
                            .max()
                            .orElse(0);
            Batch next = batch(seq, 100);
            if (receivedBytes + FrameCodec.costBytes(next) > allowed) {
                if (now - startMs > 20_000) {
                    break;
                }
                continue;
            }
            receivedBytes += FrameCodec.costBytes(next);
            receive(next);
            seq += 100;
            assertTrue(
                    allowed <= 10_000 + (now - startMs + 300) * 1000 / 1000,
                    allowed + " after " + (now - startMs));
        }
        assertTrue(receivedBytes > 25_000, "" + receivedBytes);
        Map<String, Integer> firstConnects = new HashMap<>();
        for (int i = 0; i < 780; i++) {
            Subscriber other =
                    new Subscriber(
                            new Subscriber.Parts(
                                    "proxy-" + i, SERVERS, 1000, 10_000, new Random(i)),
                            0,
                            0,
                            0);
            RecordingSubscriberActions recorded = new RecordingSubscriberActions();
            for (double t = 0; t < 300; t += 10) {
                other.tick(t, recorded);
            }
            firstConnects.merge(recorded.connects.get(0), 1, Integer::sum);
        }
        assertTrue(
                firstConnects.values().stream().allMatch(n -> n > 160 && n < 235),
                firstConnects.toString());
    }
}
