package cacheproxy.proxy;

import cacheproxy.DecisionModule;
import cacheproxy.Router;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A proxy with the real decision module, cache nodes and an origin that answer by a script, and one
 * client.
 */
final class FleetFixture implements Closeable {

    private static final String SETTINGS =
            """
            {"rank": 0, "balancers": 2, "zone": "a", "tick_ms": 5, "discovery": "automatic",
             "limits": {"cancelling": true, "connect_timeout_ms": 5000, "idle_close_ms": 60000, "max_open": 64,
                        "max_retry_after_ms": 750, "retry_after": true, "try_limit": 6},
             "obligations": {"answer_slack_ms": 20}, "kinds": ["std", "origin"],
             "domain": {"mode": "aside", "origin_kind": 1},
             "services": [{"name": "read", "effect": "retryable", "objective_ms": %s, "deadline_ms": 60000},
                          {"name": "pay", "effect": "dedup", "deadline_ms": 60000, "repeat_window_ms": 30000}]}""";
    private static final String HEADERS_UP_TO_ID =
            " HTTP/1.1\r\nHost: s\r\nX-Caller: acme\r\nX-Call-Id: ";
    static final int KEY_COUNT = 100;

    /** What a node does with a request; {@code index} counts its requests from 0. */
    interface Script {
        void play(TestServer.Message request, int index) throws IOException;
    }

    static Script alwaysRespond() {
        return (request, index) -> respond(request);
    }

    static void respond(TestServer.Message request) throws IOException {
        request.connection().respond(200, "v");
    }

    /** Address of the origin. */
    final String origin;

    /** Addresses to which each request was sent, in order, by request id. */
    final Map<String, List<String>> nodesByRequest = new ConcurrentHashMap<>();

    /** The budget that each node last received, in seconds, by the node's address. */
    final Map<String, Double> lastBudget = new ConcurrentHashMap<>();

    private final int budgetS;
    private final BlockingQueue<String> controlIntervals = new LinkedBlockingQueue<>();
    private final List<TestServer> servers = new ArrayList<>();
    private final TestServer discovery = new TestServer();
    private final Service service;
    private final TestServer.Connection client;
    private int requestCount;

    FleetFixture(int cacheNodes, Script cache, Script origin) throws Exception {
        this(cacheNodes, cache, origin, 60, 60_000);
    }

    /**
     * {@code budgetS} is the client's budget, {@code objectiveMs} the latency objective of reads.
     */
    FleetFixture(int cacheNodes, Script cache, Script origin, int budgetS, int objectiveMs)
            throws Exception {
        this.budgetS = budgetS;
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < cacheNodes; i++) {
            hosts.add(ProxyFixture.host("c" + i, startServer(cache), "up", 0));
        }
        this.origin = startServer(origin);
        hosts.add(ProxyFixture.host("db", this.origin, "up", 0).replace("\"std\"", "\"origin\""));
        Config config =
                Config.parse(
                        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                                + discovery.dial()
                                + "\",\"limits\":{\"sockets\":256},\"known\":"
                                + ProxyFixture.endpointList(7, true, hosts.toArray(String[]::new))
                                + ",\"settings\":"
                                + SETTINGS.formatted(objectiveMs)
                                + "}",
                        Map.of());
        service =
                Service.start(
                        config,
                        new IntervalCountingRouter(new DecisionModule(config.settings(), 7)));
        client = TestServer.connect(service.clientAddress());
    }

    private String startServer(Script script) throws IOException {
        TestServer server = new TestServer();
        servers.add(server);
        Thread thread = new Thread(() -> play(server, script), "script");
        thread.setDaemon(true);
        thread.start();
        return server.dial();
    }

    private void play(TestServer server, Script script) {
        for (int index = 0; ; ) {
            try {
                TestServer.Message message = server.await();
                if (message.text() != null) {
                    nodesByRequest
                            .computeIfAbsent(
                                    message.header("X-Call-Id"), id -> new CopyOnWriteArrayList<>())
                            .add(server.dial());
                    lastBudget.put(server.dial(), Double.valueOf(message.header("X-Budget")));
                    script.play(message, index++);
                }
            } catch (IOException e) {
                continue;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * Reads the next one of {@link #KEY_COUNT} keys and returns the status. {@link #lastId} then
     * names the request in {@link #nodesByRequest}.
     */
    int read() throws IOException {
        return read("k" + requestCount % KEY_COUNT);
    }

    /** Reads a key and returns the status. */
    int read(String key) throws IOException {
        return send(
                "GET /api/"
                        + key
                        + HEADERS_UP_TO_ID
                        + requestCount
                        + "\r\nX-Budget: "
                        + budgetS
                        + "\r\nX-Call-Class: read\r\n\r\n");
    }

    int write() throws IOException {
        return send(
                "PUT /api/w"
                        + requestCount
                        + HEADERS_UP_TO_ID
                        + requestCount
                        + "\r\nX-Budget: "
                        + budgetS
                        + "\r\nX-Call-Class: pay\r\nIdempotency-Key: "
                        + requestCount
                        + "\r\nContent-Length: 1\r\n\r\nv");
    }

    private int send(String request) throws IOException {
        requestCount++;
        client.write(request);
        return ProxyFixture.status(client.read());
    }

    String lastId() {
        return String.valueOf(requestCount - 1);
    }

    /** Number of control intervals that have passed. */
    int controlIntervals() {
        return controlIntervals.size();
    }

    @Override
    public void close() throws IOException {
        client.close();
        for (TestServer server : servers) {
            server.close();
        }
        discovery.close();
        service.terminateNow();
    }

    /** The real decision module; counts the control intervals. */
    private final class IntervalCountingRouter implements Router {
        private final Router delegate;

        IntervalCountingRouter(Router delegate) {
            this.delegate = delegate;
        }

        @Override
        public void started(double now, Actions out) {
            delegate.started(now, out);
        }

        @Override
        public void endpointListReceived(
                double now, EndpointListKind kind, long version, List<Node> entries, Actions out) {
            delegate.endpointListReceived(now, kind, version, entries, out);
        }

        @Override
        public void requestReceived(double now, Request request, Actions out) {
            delegate.requestReceived(now, request, out);
        }

        @Override
        public void streamStarted(
                double now, String request, int attempt, String node, Actions out) {
            delegate.streamStarted(now, request, attempt, node, out);
        }

        @Override
        public void attemptEnded(double now, AttemptEnd end, Actions out) {
            delegate.attemptEnded(now, end, out);
        }

        @Override
        public void clientDisconnected(double now, String request, Actions out) {
            delegate.clientDisconnected(now, request, out);
        }

        @Override
        public void timerFired(double now, String token, Actions out) {
            if (token.equals("step")) {
                controlIntervals.add(token);
            }
            delegate.timerFired(now, token, out);
        }

        @Override
        public void probeCompleted(
                double now,
                String node,
                Outcome outcome,
                double elapsedMs,
                Map<String, Double> load,
                Actions out) {
            delegate.probeCompleted(now, node, outcome, elapsedMs, load, out);
        }

        @Override
        public void peerMessageReceived(double now, int from, byte[] contents, Actions out) {
            delegate.peerMessageReceived(now, from, contents, out);
        }
    }
}
