package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.DecisionModule;
import cacheproxy.Router;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Cache nodes read requests that have little time left and never respond, with the real decision
 * module. The deadline of each class is far longer than the budgets, so a response in time shows
 * that the proxy enforces the budget.
 */
class DroppedRequestsTest {

    private static final String SETTINGS =
            """
            {"rank": 0, "balancers": 2, "zone": "a", "tick_ms": 5, "discovery": "automatic",
             "limits": {"cancelling": true, "connect_timeout_ms": 5000, "idle_close_ms": 60000, "max_open": 64,
                        "max_retry_after_ms": 750, "retry_after": true, "try_limit": 6},
             "obligations": {"answer_slack_ms": 20}, "kinds": ["std", "origin"],
             "domain": {"mode": "%s", "origin_kind": 1},
             "services": [{"name": "read", "effect": "retryable", "deadline_ms": 60000},
                          {"name": "pay", "effect": "dedup", "deadline_ms": 60000, "repeat_window_ms": 30000},
                          {"name": "pay-in-zone", "effect": "dedup", "group": "zone", "deadline_ms": 60000, "repeat_window_ms": 30000},
                          {"name": "book", "effect": "fragile", "deadline_ms": 60000}]}""";
    private static final int CACHE_NODES = 4;
    private static final int REQUEST_COUNT = 8;

    /**
     * Budgets end within 0.12 s and the classes' deadlines after 60 s; the limit between them
     * allows for a busy machine.
     */
    private static final long MAX_RESPONSE_MS = 10_000;

    /** With no more budget than this the decision module sends few requests or none. */
    private static final double INSUFFICIENT_BUDGET_MS = 20;

    private final List<SilentNode> nodes = new ArrayList<>();
    private final Map<String, Double> receivedAt = new ConcurrentHashMap<>();

    /** When the module decided to send a request to a node, by request and node. */
    private final Map<String, Double> sentAt = new ConcurrentHashMap<>();

    private TestServer discovery;
    private Service service;

    /** Starts a proxy with cache nodes and an origin that never respond. */
    private void start(String mode) throws Exception {
        discovery = new TestServer();
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i <= CACHE_NODES; i++) {
            SilentNode node = new SilentNode(false);
            nodes.add(node);
            String host = ProxyFixture.host("c" + i, node.dial(), "up", 0);
            hosts.add(i < CACHE_NODES ? host : host.replace("\"std\"", "\"origin\""));
        }
        Config config =
                Config.parse(
                        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                                + discovery.dial()
                                + "\",\"limits\":{\"sockets\":256},\"known\":"
                                + ProxyFixture.endpointList(7, true, hosts.toArray(String[]::new))
                                + ",\"settings\":"
                                + SETTINGS.formatted(mode)
                                + "}",
                        Map.of());
        service = Service.start(config, recordTimes(new DecisionModule(config.settings(), 7)));
    }

    /**
     * Wraps a router and records when each request arrived and when it was sent to a node, by the
     * proxy's own clock.
     */
    private Router recordTimes(Router decisions) {
        return proxyOf(
                Router.class,
                (self, method, arguments) -> {
                    if (method.getName().equals("requestReceived")) {
                        receivedAt.put(((Router.Request) arguments[1]).id(), (Double) arguments[0]);
                    }
                    Object[] wrappedArguments =
                            arguments == null
                                    ? new Object[0]
                                    : Arrays.copyOf(arguments, arguments.length);
                    int lastIndex = wrappedArguments.length - 1;
                    if (lastIndex > 0
                            && wrappedArguments[lastIndex] instanceof Router.Actions actions) {
                        wrappedArguments[lastIndex] =
                                recordTimes(actions, (Double) wrappedArguments[0]);
                    }
                    return method.invoke(decisions, wrappedArguments);
                });
    }

    private Router.Actions recordTimes(Router.Actions actions, double now) {
        return proxyOf(
                Router.Actions.class,
                (self, method, arguments) -> {
                    if (method.getName().equals("send")) {
                        sentAt.putIfAbsent(arguments[0] + " at " + arguments[1], now);
                    }
                    return method.invoke(actions, arguments);
                });
    }

    private static <T> T proxyOf(Class<T> type, InvocationHandler handler) {
        return type.cast(
                Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
    }

    @AfterEach
    void stop() throws Exception {
        service.terminateNow();
        discovery.close();
        for (SilentNode node : nodes) {
            node.close();
        }
    }

    private static String buildRequest(
            String method, String serviceClass, int number, double budgetMs) {
        return method
                + " /api/k"
                + number
                + " HTTP/1.1\r\nHost: s\r\nX-Caller: acme\r\nX-Call-Id: id"
                + number
                + "\r\nX-Call-Class: "
                + serviceClass
                + "\r\nX-Budget: "
                + budgetMs / 1e3
                + "\r\nIdempotency-Key: key"
                + number
                + "\r\n"
                + (method.equals("PUT") ? "Content-Length: 1\r\n\r\nv" : "\r\n");
    }

    /**
     * Sends requests one after another and returns their statuses; checks that each response comes
     * in time and that no request gets a second one.
     */
    private List<Integer> sendRequests(String method, String serviceClass, double budgetMs)
            throws Exception {
        List<Integer> statuses = new ArrayList<>();
        try (TestServer.Connection client = TestServer.connect(service.clientAddress())) {
            for (int i = 0; i < REQUEST_COUNT; i++) {
                long startNanos = System.nanoTime();
                client.write(buildRequest(method, serviceClass, i, budgetMs));
                statuses.add(ProxyFixture.status(client.read()));
                long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                assertTrue(
                        ms < MAX_RESPONSE_MS, "request " + i + " was answered after " + ms + " ms");
            }
            // A second response to an earlier request would arrive before the response to this one.
            client.write("GET /api/k HTTP/1.1\r\nHost: s\r\nX-Call-Class: none\r\n\r\n");
            assertEquals(400, ProxyFixture.status(client.read()));
            service.terminateNow();
            assertNull(client.read());
        }
        return statuses;
    }

    /** Returns the requests that the cache nodes read, by request id. */
    private Map<String, List<TestServer.Message>> requestsReadByNodes(double budgetMs)
            throws Exception {
        Map<String, List<TestServer.Message>> byId = new ConcurrentHashMap<>();
        for (int i = 0; i < CACHE_NODES; i++) {
            for (TestServer.Message message : nodes.get(i).requestsAfterAllConnectionsClosed()) {
                String id = message.header("X-Call-Id");
                byId.computeIfAbsent(id, each -> new ArrayList<>()).add(message);
                assertBudgetWithinRemainingTime(message, id, "c" + i, budgetMs);
            }
        }
        return byId;
    }

    /** The budget sent to a node is at most the time left when the module chose to send there. */
    private void assertBudgetWithinRemainingTime(
            TestServer.Message message, String id, String node, double budgetMs) {
        double remainingMs = receivedAt.get(id) + budgetMs - sentAt.get(id + " at " + node);
        double sentBudgetMs = Double.parseDouble(message.header("X-Budget")) * 1e3;
        assertTrue(
                sentBudgetMs <= remainingMs,
                id + ": sent a budget of " + sentBudgetMs + " ms with " + remainingMs + " left");
    }

    @ParameterizedTest
    @CsvSource({
        "20, GET, read",
        "50, GET, read",
        "120, GET, read",
        "20, GET, pay",
        "50, GET, pay",
        "120, GET, pay",
        "20, PUT, pay",
        "50, PUT, pay",
        "120, PUT, pay",
        "20, PUT, pay-in-zone",
        "50, PUT, pay-in-zone",
        "120, PUT, pay-in-zone",
        "20, GET, book",
        "50, GET, book",
        "120, GET, book",
        "20, PUT, book",
        "50, PUT, book",
        "120, PUT, book"
    })
    void answersEachRequestOnceInTimeAndRepeatsOnlyWhereAllowed(
            double budgetMs, String method, String serviceClass) throws Exception {
        // Writes go to the cache nodes only in the mode in which these write through.
        start(method.equals("PUT") ? "through" : "aside");
        List<Integer> statuses = sendRequests(method, serviceClass, budgetMs);
        Map<String, List<TestServer.Message>> readById = requestsReadByNodes(budgetMs);
        assertTrue(
                budgetMs <= INSUFFICIENT_BUDGET_MS || !readById.isEmpty(),
                "no request reached a node");
        boolean mayRepeat = serviceClass.equals("read") || serviceClass.equals("pay");
        for (int i = 0; i < REQUEST_COUNT; i++) {
            List<TestServer.Message> attempts = readById.getOrDefault("id" + i, List.of());
            int status = statuses.get(i);
            assertTrue(status == 502 || status == 503, "answered " + status);
            if (!mayRepeat) {
                assertTrue(
                        attempts.size() <= 1,
                        "id" + i + " may have run " + attempts.size() + " times");
                assertFalse(
                        status == 503 && !attempts.isEmpty(),
                        "id" + i + " may have run but was reported as not run");
            }
            for (TestServer.Message attempt : attempts) {
                assertEquals("key" + i, attempt.header("Idempotency-Key"));
            }
        }
    }
}
