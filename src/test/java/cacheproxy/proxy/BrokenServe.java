package cacheproxy.proxy;

import cacheproxy.DecisionModule;
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
 * A real proxy whose router violates one rule on purpose, to show that the ledger of the laboratory
 * detects the violation.
 */
public final class BrokenServe {

    /** The violation of the router. The constants are written out in LabTest. */
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
        Service service = Service.start(config, new FaultyRouter(Fault.valueOf(args[0]), config));
        Runtime.getRuntime().addShutdownHook(new Thread(service::shutDown));
        service.awaitTermination();
    }

    private static final class FaultyRouter implements Router {
        private final Fault fault;
        private final Router inner;
        private final Config config;
        private final Map<String, Request> unsafeRequests = new HashMap<>();
        private final Set<String> sentToNewestNode = new HashSet<>();
        private String origin = "";
        private String newestNode = "";
        private double newestStartedAtMs = -1;

        FaultyRouter(Fault fault, Config config) {
            this.fault = fault;
            this.config = config;
            this.inner = new DecisionModule(config.settings(), 1);
        }

        private Effect effect(Request request) {
            return config.settings().classes().stream()
                    .filter(serviceClass -> serviceClass.name().equals(request.service()))
                    .findFirst()
                    .orElseThrow()
                    .effect();
        }

        /** Returns the real actions, except those on responses that this fault drops. */
        private Actions wrapped(Actions out) {
            return new ForwardingActions(out) {
                @Override
                public void reject(String request, double retryAfterMs) {
                    if (fault != Fault.DROPS_ANSWERS) {
                        out.reject(request, retryAfterMs);
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
        public void endpointListReceived(
                double now, EndpointListKind kind, long version, List<Node> entries, Actions out) {
            List<Node> shown = new ArrayList<>();
            for (Node node : entries) {
                origin = "origin".equals(node.model()) ? node.id() : origin;
                if (!"origin".equals(node.model())
                        && node.startedAtMs() > newestStartedAtMs
                        && node.availability() == Availability.UP) {
                    newestNode = node.id();
                    newestStartedAtMs = node.startedAtMs();
                }
                boolean hidden =
                        fault == Fault.SENDS_TO_DRAINED && node.availability() != Availability.UP;
                shown.add(
                        hidden
                                ? new Node(
                                        node.id(),
                                        node.model(),
                                        node.zone(),
                                        node.cell(),
                                        node.weight(),
                                        node.startedAtMs(),
                                        Availability.UP)
                                : node);
            }
            inner.endpointListReceived(now, kind, version, shown, out);
        }

        @Override
        public void requestReceived(double now, Request request, Actions out) {
            if (fault == Fault.REPEATS_UNSAFE && effect(request) == Effect.UNSAFE) {
                unsafeRequests.put(request.id(), request);
                out.send(request.id(), origin, 8);
            } else if (fault == Fault.OVERLOADS_COLD && newestStartedAtMs > 0 && !request.write()) {
                sentToNewestNode.add(request.id());
                out.send(request.id(), newestNode, 0);
            } else if (fault == Fault.HOLDS_REFUSALS && request.key() % 5 == 0) {
                out.scheduleTimer(now + 0.9 * request.budgetMs(), "held" + request.id());
            } else if (fault == Fault.DROPS_ANSWERS && request.key() % 5 == 0) {
                return;
            } else {
                inner.requestReceived(now, request, wrapped(out));
            }
        }

        @Override
        public void streamStarted(
                double now, String request, int attempt, String node, Actions out) {
            inner.streamStarted(now, request, attempt, node, out);
        }

        @Override
        public void attemptEnded(double now, AttemptEnd end, Actions out) {
            if (unsafeRequests.containsKey(end.request())) {
                if (!end.finished() && end.outcome() == Outcome.TIMEOUT && end.attempt() == 0) {
                    out.send(end.request(), origin, 0);
                } else if (!end.finished()) {
                    out.fail(end.request());
                }
            } else if (sentToNewestNode.contains(end.request())) {
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
        public void clientDisconnected(double now, String request, Actions out) {
            inner.clientDisconnected(now, request, out);
        }

        @Override
        public void timerFired(double now, String token, Actions out) {
            if (token.startsWith("held")) {
                out.reject(token.substring(4), 100);
            } else {
                inner.timerFired(now, token, wrapped(out));
            }
        }

        @Override
        public void probeCompleted(
                double now,
                String node,
                Outcome outcome,
                double elapsedMs,
                Map<String, Double> load,
                Actions out) {
            inner.probeCompleted(now, node, outcome, elapsedMs, load, out);
        }

        @Override
        public void peerMessageReceived(double now, int from, byte[] contents, Actions out) {
            inner.peerMessageReceived(now, from, contents, out);
        }
    }

    /** Forwards every action. */
    private static class ForwardingActions implements Router.Actions {
        private final Router.Actions out;

        ForwardingActions(Router.Actions out) {
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
        public void reject(String request, double retryAfterMs) {
            out.reject(request, retryAfterMs);
        }

        @Override
        public void fail(String request) {
            out.fail(request);
        }

        @Override
        public void scheduleTimer(double atMs, String token) {
            out.scheduleTimer(atMs, token);
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
        public void sendToPeers(byte[] contents) {
            out.sendToPeers(contents);
        }

        @Override
        public void closeIdleConnections(String node) {
            out.closeIdleConnections(node);
        }
    }
}
