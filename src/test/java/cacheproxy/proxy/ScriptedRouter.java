package cacheproxy.proxy;

import cacheproxy.Router;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A router whose decisions a test scripts; records the events that it receives. */
final class ScriptedRouter implements Router {

    interface OnRequest {
        void decide(Request request, Actions out);
    }

    interface OnEnd {
        void decide(AttemptEnd end, Actions out);
    }

    record ReceivedList(EndpointListKind kind, long version, List<Node> entries) {}

    record ReceivedMessage(int from, byte[] contents) {}

    final BlockingQueue<AttemptEnd> attemptEnds = new LinkedBlockingQueue<>();
    final BlockingQueue<ReceivedList> receivedLists = new LinkedBlockingQueue<>();
    final BlockingQueue<ReceivedMessage> peerMessages = new LinkedBlockingQueue<>();
    final BlockingQueue<String> disconnectedRequests = new LinkedBlockingQueue<>();
    final BlockingQueue<Outcome> probeOutcomes = new LinkedBlockingQueue<>();
    final BlockingQueue<String> firedTimers = new LinkedBlockingQueue<>();
    final List<Request> requests = Collections.synchronizedList(new ArrayList<>());
    volatile OnRequest onRequest = (request, out) -> out.send(request.id(), "c0", 0);
    volatile OnEnd onEnd =
            (end, out) -> {
                if (!end.finished()) {
                    out.fail(end.request());
                }
            };
    volatile OnEnd onClientDisconnected = (end, out) -> {};
    volatile Runnable onTimer = () -> {};
    volatile boolean subscribesAtStart;

    /** Removes and returns the next recorded event; fails if none comes within the time limit. */
    static <T> T awaitNext(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(TestServer.TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("timed out waiting for an event");
        }
        return next;
    }

    @Override
    public void started(double now, Actions out) {
        if (subscribesAtStart) {
            out.subscribe();
        }
    }

    @Override
    public void endpointListReceived(
            double now, EndpointListKind kind, long version, List<Node> entries, Actions out) {
        receivedLists.add(new ReceivedList(kind, version, entries));
    }

    @Override
    public void requestReceived(double now, Request request, Actions out) {
        requests.add(request);
        onRequest.decide(request, out);
    }

    @Override
    public void streamStarted(double now, String request, int attempt, String node, Actions out) {}

    @Override
    public void attemptEnded(double now, AttemptEnd end, Actions out) {
        attemptEnds.add(end);
        onEnd.decide(end, out);
    }

    @Override
    public void clientDisconnected(double now, String request, Actions out) {
        disconnectedRequests.add(request);
        onClientDisconnected.decide(
                new AttemptEnd(request, 0, "", Outcome.CANCELLED, 0, true, 0, Map.of()), out);
    }

    @Override
    public void timerFired(double now, String token, Actions out) {
        firedTimers.add(token);
        onTimer.run();
    }

    @Override
    public void probeCompleted(
            double now,
            String node,
            Outcome outcome,
            double elapsedMs,
            Map<String, Double> load,
            Actions out) {
        probeOutcomes.add(outcome);
    }

    @Override
    public void peerMessageReceived(double now, int from, byte[] contents, Actions out) {
        peerMessages.add(new ReceivedMessage(from, contents));
    }
}
