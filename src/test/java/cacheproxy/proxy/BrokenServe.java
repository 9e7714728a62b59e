package cacheproxy.proxy;

import cacheproxy.Decide;
import cacheproxy.Router;
import cacheproxy.Router.Effect;
import cacheproxy.Router.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A real proxy with a router that breaks one rule on purpose, to show that the laboratory's ledger
 * catches it.
 */
public final class BrokenServe {

    /** What the router does wrong. */
    public enum Fault {
        REPEATS_UNSAFE,
        DROPS_ANSWERS,
        SENDS_TO_DRAINED,
        HOLDS_REFUSALS,
        OVERLOADS_COLD
    }

    private BrokenServe() {}

    public static void main(String[] args) throws Exception {
        Config config = Config.fromEnvironment(System.getenv());
        Service service = Service.start(config, new Broken(Fault.valueOf(args[0]), config));
        Runtime.getRuntime().addShutdownHook(new Thread(service::drain));
        service.awaitEnd();
    }

    private static final class Broken implements Router {
        private final Fault fault;
        private final Router inner;
        private final Config config;
        private final Map<String, Request> unsafe = new HashMap<>();
        private final Set<String> cold = new HashSet<>();
        private String origin = "";
        private String newest = "";
        private double newestAt = -1;

        Broken(Fault fault, Config config) {
            this.fault = fault;
            this.config = config;
            this.inner = new Decide(config.settings(), 1);
        }

        private Effect effect(Request request) {
            return config.settings().classes().stream()
                    .filter(c -> c.name().equals(request.service()))
                    .findFirst()
                    .orElseThrow()
                    .effect();
        }

        /** The real actions, but for what this fault does to answers. */
        private Actions wrapped(Actions out) {
            return new Forwarded(out) {
                @Override
                public void refuse(String request, double retryAfterMs) {
                    if (fault != Fault.DROPS_ANSWERS) {
                        out.refuse(request, retryAfterMs);
                    }
                }

                @Override
                public void fail(String request) {
                    if (fault != Fault.DROPS_ANSWERS) {
                        out.fail(request);
                    }
                }
            };
        }

        @Override
        public void started(double now, Actions out) {
            inner.started(now, out);
        }

        @Override
        public void nodes(
                double now, ListKind kind, long version, List<Node> entries, Actions out) {
            List<Node> shown = new ArrayList<>();
            for (Node n : entries) {
                origin = "origin".equals(n.model()) ? n.id() : origin;
                if (!"origin".equals(n.model())
                        && n.startedAtMs() > newestAt
                        && n.availability() == Availability.UP) {
                    newest = n.id();
                    newestAt = n.startedAtMs();
                }
                boolean hidden =
                        fault == Fault.SENDS_TO_DRAINED && n.availability() != Availability.UP;
                shown.add(
                        hidden
                                ? new Node(
                                        n.id(),
                                        n.model(),
                                        n.zone(),
                                        n.cell(),
                                        n.weight(),
                                        n.startedAtMs(),
                                        Availability.UP)
                                : n);
            }
            inner.nodes(now, kind, version, shown, out);
        }

        @Override
        public void request(double now, Request request, Actions out) {
            if (fault == Fault.REPEATS_UNSAFE && effect(request) == Effect.UNSAFE) {
                unsafe.put(request.id(), request);
                out.send(request.id(), origin, 8);
            } else if (fault == Fault.OVERLOADS_COLD && newestAt > 0 && !request.write()) {
                cold.add(request.id());
                out.send(request.id(), newest, 0);
            } else if (fault == Fault.HOLDS_REFUSALS && request.key() % 5 == 0) {
                out.timer(now + 0.9 * request.budgetMs(), "held" + request.id());
            } else if (fault == Fault.DROPS_ANSWERS && request.key() % 5 == 0) {
                return;
            } else {
                inner.request(now, request, wrapped(out));
            }
        }

        @Override
        public void streamStarted(
                double now, String request, int attempt, String node, Actions out) {
            inner.streamStarted(now, request, attempt, node, out);
        }

        @Override
        public void attemptEnded(double now, AttemptEnd end, Actions out) {
            if (unsafe.containsKey(end.request())) {
                if (!end.finished() && end.outcome() == Outcome.TIMEOUT && end.attempt() == 0) {
                    out.send(end.request(), origin, 0);
                } else if (!end.finished()) {
                    out.fail(end.request());
                }
            } else if (cold.contains(end.request())) {
                if (!end.finished() && end.outcome() == Outcome.MISS) {
                    out.send(end.request(), origin, 0);
                } else if (!end.finished()) {
                    out.fail(end.request());
                }
            } else {
                inner.attemptEnded(now, end, wrapped(out));
            }
        }

        @Override
        public void clientGone(double now, String request, Actions out) {
            inner.clientGone(now, request, out);
        }

        @Override
        public void timer(double now, String token, Actions out) {
            if (token.startsWith("held")) {
                out.refuse(token.substring(4), 100);
            } else {
                inner.timer(now, token, wrapped(out));
            }
        }

        @Override
        public void probed(
                double now,
                String node,
                Outcome outcome,
                double elapsedMs,
                Map<String, Double> load,
                Actions out) {
            inner.probed(now, node, outcome, elapsedMs, load, out);
        }

        @Override
        public void peerMessage(double now, int from, byte[] contents, Actions out) {
            inner.peerMessage(now, from, contents, out);
        }
    }

    /** Passes every action on. */
    private static class Forwarded implements Router.Actions {
        private final Router.Actions out;

        Forwarded(Router.Actions out) {
            this.out = out;
        }

        @Override
        public void send(String request, String node, double timeoutMs) {
            out.send(request, node, timeoutMs);
        }

        @Override
        public void cancel(String request, int attempt) {
            out.cancel(request, attempt);
        }

        @Override
        public void refuse(String request, double retryAfterMs) {
            out.refuse(request, retryAfterMs);
        }

        @Override
        public void fail(String request) {
            out.fail(request);
        }

        @Override
        public void timer(double atMs, String token) {
            out.timer(atMs, token);
        }

        @Override
        public void subscribe() {
            out.subscribe();
        }

        @Override
        public void probe(String node) {
            out.probe(node);
        }

        @Override
        public void tell(byte[] contents) {
            out.tell(contents);
        }

        @Override
        public void close(String node) {
            out.close(node);
        }
    }
}
