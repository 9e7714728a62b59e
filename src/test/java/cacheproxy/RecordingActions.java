package cacheproxy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Records the actions of a router. */
final class RecordingActions implements Router.Actions {

    record SentAttempt(String request, String node, double timeoutMs) {}

    record ScheduledTimer(double atMs, String token) {}

    /** All actions in order, with their arguments. */
    final List<String> log = new ArrayList<>();

    final List<SentAttempt> sent = new ArrayList<>();
    final List<ScheduledTimer> timers = new ArrayList<>();
    final List<String> rejected = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> closed = new ArrayList<>();
    final List<byte[]> peerMessages = new ArrayList<>();
    int subscriptions;

    @Override
    public void send(String request, String node, double timeoutMs) {
        log.add("send " + request + " " + node + " " + timeoutMs);
        sent.add(new SentAttempt(request, node, timeoutMs));
    }

    @Override
    public void cancel(String request, int attempt) {
        log.add("cancel " + request + " " + attempt);
        cancelled.add(request);
    }

    @Override
    public void reject(String request, double retryAfterMs) {
        log.add("reject " + request + " " + retryAfterMs);
        rejected.add(request);
    }

    @Override
    public void fail(String request) {
        log.add("fail " + request);
        failed.add(request);
    }

    @Override
    public void scheduleTimer(double atMs, String token) {
        log.add("timer " + atMs + " " + token);
        timers.add(new ScheduledTimer(atMs, token));
    }

    @Override
    public void subscribe() {
        log.add("subscribe");
        subscriptions++;
    }

    @Override
    public void probe(String node) {
        log.add("probe " + node);
    }

    @Override
    public void sendToPeers(byte[] contents) {
        log.add("send_to_peers " + Arrays.toString(contents));
        peerMessages.add(contents);
    }

    @Override
    public void closeIdleConnections(String node) {
        log.add("close " + node);
        closed.add(node);
    }

    SentAttempt lastSent() {
        return sent.get(sent.size() - 1);
    }

    long sentTo(String node) {
        return sent.stream().filter(s -> s.node().equals(node)).count();
    }

    /** How often the router itself has answered a request: rejections and failures. */
    long finalAnswers(String request) {
        return rejected.stream().filter(request::equals).count()
                + failed.stream().filter(request::equals).count();
    }
}
