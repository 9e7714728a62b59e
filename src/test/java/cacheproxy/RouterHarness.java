package cacheproxy;

import cacheproxy.Router.AttemptEnd;
import cacheproxy.Router.Availability;
import cacheproxy.Router.Effect;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Group;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import cacheproxy.Router.ServiceClass;
import cacheproxy.Router.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Test harness around one router. Tests report events to the router one by one, and its actions are
 * recorded. The clock advances only when a test advances it; times are in milliseconds.
 */
final class RouterHarness {

    /** Time budget of all requests. */
    static final double BUDGET_MS = 1000;

    static final Router.Rules RULES = new Router.Rules(1000, 0.25, 10_000, 2.5, 2000, 20, 10_000);

    final RecordingActions actions = new RecordingActions();
    final Router router;
    double now = 100_000;

    /** Number of ended attempts by request ID. */
    private final Map<String, Integer> endedAttempts = new HashMap<>();

    private int nextId;

    RouterHarness(Settings settings) {
        router = new DecisionModule(settings, 7);
        router.started(now, actions);
    }

    static ServiceClass serviceClass(String name, double gain, Effect effect, Group group) {
        return new ServiceClass(name, 300, 0, BUDGET_MS, gain, 0.2, effect, group, 500, false);
    }

    /** Request classes that differ in priority weight, in effect and in deduplication group. */
    static List<ServiceClass> serviceClasses() {
        return List.of(
                serviceClass("cheap", 1, Effect.SAFE, Group.ALL),
                serviceClass("dear", 5, Effect.SAFE, Group.ALL),
                serviceClass("keyed", 2, Effect.KEYED, Group.ALL),
                serviceClass("zoned", 2, Effect.KEYED, Group.ZONE),
                serviceClass("unsafe", 2, Effect.UNSAFE, Group.ALL));
    }

    static Settings settings(boolean withOrigin, boolean subscribe) {
        return settings(withOrigin, subscribe, 6);
    }

    static Settings settings(boolean withOrigin, boolean subscribe, int maxAttempts) {
        var limits = new Router.Limits(maxAttempts, true, false, false, true, 500, false, 150);
        return new Settings(
                0,
                2,
                "z",
                5,
                serviceClasses(),
                List.of(),
                1,
                false,
                limits,
                RULES,
                subscribe,
                Router.Weights.NONE,
                withOrigin ? "origin" : null);
    }

    /** Returns a harness with an origin "db" and {@code caches} warm cache nodes c0, c1, ... */
    static RouterHarness withCaches(int caches) {
        RouterHarness harness = new RouterHarness(settings(true, false));
        harness.sendSnapshot(caches);
        return harness;
    }

    /** Delivers a snapshot of the endpoint list: the origin and warm cache nodes c0, c1, ... */
    void sendSnapshot(int caches) {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < caches; i++) {
            nodes.add(node("c" + i, 0, Availability.UP));
        }
        nodes.add(origin());
        router.endpointListReceived(now, EndpointListKind.SNAPSHOT, 1, nodes, actions);
    }

    static Node node(String id, double startedAt, Availability availability) {
        return new Node(id, "cache", "z", 0, 1, startedAt, availability);
    }

    static Node origin() {
        return new Node("db", "origin", "z", 0, 1, 0, Availability.UP);
    }

    /** Delivers a delta of the endpoint list. */
    void sendDelta(Node... entries) {
        router.endpointListReceived(now, EndpointListKind.DELTA, 2, List.of(entries), actions);
    }

    /** Sends a read of a key; returns the request's ID. */
    String request(String service, long key) {
        return request(service, key, false);
    }

    String request(String service, long key, boolean write) {
        String id = "q" + nextId++;
        router.requestReceived(
                now, new Request(id, service, null, key, 0, BUDGET_MS, write, false), actions);
        return id;
    }

    /** Ends the request's current attempt, at the node that it was last sent to, after 10 ms. */
    void endAttempt(String id, Outcome outcome) {
        endAttempt(id, outcome, 10);
    }

    void endAttempt(String id, Outcome outcome, double elapsedMs) {
        String node = lastNodeOf(id);
        int attempt = endedAttempts.merge(id, 1, Integer::sum) - 1;
        router.attemptEnded(
                now,
                new AttemptEnd(
                        id, attempt, node, outcome, elapsedMs, outcome == Outcome.OK, 0, Map.of()),
                actions);
    }

    String lastNodeOf(String id) {
        return actions.sent.stream()
                .filter(s -> s.request().equals(id))
                .reduce((a, b) -> b)
                .orElseThrow()
                .node();
    }

    long attemptCount(String id) {
        return actions.sent.stream().filter(s -> s.request().equals(id)).count();
    }

    /** Advances the clock and fires the timers that become due. */
    void advance(double ms) {
        double until = now + ms;
        while (true) {
            RecordingActions.ScheduledTimer due =
                    actions.timers.stream()
                            .filter(t -> t.atMs() <= until)
                            .min((a, b) -> Double.compare(a.atMs(), b.atMs()))
                            .orElse(null);
            if (due == null) {
                break;
            }
            actions.timers.remove(due);
            now = Math.max(now, due.atMs());
            router.timerFired(now, due.token(), actions);
        }
        now = until;
    }

    /** Runs one control interval with the given numbers of successful and rejected fetches. */
    void runInterval(int good, int bad) {
        for (int i = 0; i < good + bad; i++) {
            String id = request("dear", 1_000_000 + nextId);
            while (actions.finalAnswers(id) == 0 && !lastNodeOf(id).equals("db")) {
                endAttempt(id, Outcome.MISS);
            }
            if (actions.finalAnswers(id) == 0) {
                endAttempt(id, i < good ? Outcome.OK : Outcome.REJECTED);
            }
        }
        advance(1000);
    }
}
