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

/** One router with a fake sink, told events one by one; time moves only when a test says so. */
final class RouterHarness {

    static final double BUDGET_MS = 1000;
    static final Router.Rules RULES = new Router.Rules(1000, 0.25, 10_000, 2.5, 2000, 20, 10_000);

    final RecordingActions actions = new RecordingActions();
    final Router router;
    double now = 100_000;
    private final Map<String, Integer> endedAttempts = new HashMap<>();
    private int nextId;

    RouterHarness(Settings settings) {
        router = new DecisionModule(settings, 7);
        router.started(now, actions);
    }

    static ServiceClass serviceClass(String name, double gain, Effect effect, Group group) {
        return new ServiceClass(name, 300, 0, BUDGET_MS, gain, 0.2, effect, group, 500, false);
    }

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

    /** A bench with an origin "db" and {@code caches} warm nodes c0, c1, ... */
    static RouterHarness withCaches(int caches) {
        RouterHarness harness = new RouterHarness(settings(true, false));
        harness.sendSnapshot(caches);
        return harness;
    }

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

    void sendDelta(Node... entries) {
        router.endpointListReceived(now, EndpointListKind.DELTA, 2, List.of(entries), actions);
    }

    String request(String service, long key) {
        return request(service, key, false);
    }

    String request(String service, long key, boolean write) {
        String id = "q" + nextId++;
        router.requestReceived(
                now, new Request(id, service, null, key, 0, BUDGET_MS, write, false), actions);
        return id;
    }

    /** Ends the request's attempt that is out at the node it was last sent to. */
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

    /** Moves the clock, firing the timers that fall due on the way. */
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

    /** Drives fetches with the given outcomes through one control interval. */
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
