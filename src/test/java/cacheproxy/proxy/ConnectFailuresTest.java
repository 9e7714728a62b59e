package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.DecisionModule;
import cacheproxy.syscalls.Errno;
import cacheproxy.syscalls.SystemCall;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * No connection to any node can be established for one second, with the real decision module: each
 * request is answered in time, and afterwards the proxy serves again.
 */
class ConnectFailuresTest {

    private static final String SETTINGS =
            """
            {"rank": 0, "balancers": 2, "zone": "a", "tick_ms": 5, "discovery": "automatic",
             "limits": {"cancelling": true, "connect_timeout_ms": 100, "idle_close_ms": 60000, "max_open": 64,
                        "max_retry_after_ms": 750, "retry_after": true, "try_limit": 6},
             "obligations": {"answer_slack_ms": 20}, "kinds": ["std", "origin"],
             "domain": {"mode": "aside", "origin_kind": 1},
             "services": [{"name": "read", "effect": "retryable", "objective_ms": 500, "deadline_ms": 1500}]}""";
    private static final int CACHE_NODES = 4;
    private static final int CONSECUTIVE_SUCCESSES = 20;
    private static final long FAILURE_DURATION_MS = 1000;

    /** The budget of a request is 1.5 s; the rest allows for a busy machine. */
    private static final long MAX_RESPONSE_MS = 5000;

    private static final long MAX_RECOVERY_MS = 10_000;
    private static final Set<Integer> ALLOWED_STATUSES = Set.of(200, 502, 503);

    private final List<TestServer> nodes = new ArrayList<>();
    private FaultyProxyFixture fixture;
    private TestServer.Connection client;
    private int requestCount;

    @BeforeEach
    void start() throws Exception {
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < CACHE_NODES; i++) {
            hosts.add(ProxyFixture.host("c" + i, startNode(), "up", 0));
        }
        hosts.add(ProxyFixture.host("db", startNode(), "up", 0).replace("\"std\"", "\"origin\""));
        ProxyFixture baseFixture = new ProxyFixture();
        Config config =
                Config.parse(
                        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                                + baseFixture.discovery.dial()
                                + "\",\"limits\":{\"sockets\":256},\"known\":"
                                + ProxyFixture.endpointList(7, true, hosts.toArray(String[]::new))
                                + ",\"settings\":"
                                + SETTINGS
                                + "}",
                        baseFixture.environment);
        fixture =
                new FaultyProxyFixture(
                        baseFixture, config, new DecisionModule(config.settings(), 7));
        client = fixture.client();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        fixture.close();
        for (TestServer node : nodes) {
            node.close();
        }
    }

    /** Starts a node that answers every request, and returns its address. */
    private String startNode() throws IOException {
        TestServer node = new TestServer();
        nodes.add(node);
        Thread thread = new Thread(() -> respondToAll(node), "node");
        thread.setDaemon(true);
        thread.start();
        return node.dial();
    }

    private static void respondToAll(TestServer node) {
        while (true) {
            try {
                TestServer.Message request = node.await();
                if (request.text() != null) {
                    request.connection().respond(200, "v");
                }
            } catch (IOException e) {
                // The test broke the connection.
                continue;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends a request and returns its status; checks that the response comes in time. */
    private int send() throws Exception {
        requestCount++;
        long startNanos = System.nanoTime();
        client.write(
                "GET /api/k"
                        + requestCount % 10
                        + " HTTP/1.1\r\nHost: s\r\nX-Caller: acme\r\nX-Call-Class: read\r\n"
                        + "X-Budget: 1.5\r\nX-Call-Id: id"
                        + requestCount
                        + "\r\n\r\n");
        int status = ProxyFixture.status(client.read());
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(ALLOWED_STATUSES.contains(status), "answered " + status);
        assertTrue(ms < MAX_RESPONSE_MS, "answered after " + ms);
        return status;
    }

    private void awaitServing() throws Exception {
        long startNanos = System.nanoTime();
        int successes = 0;
        while (successes < CONSECUTIVE_SUCCESSES) {
            successes = send() == 200 ? successes + 1 : 0;
            TimeUnit.MILLISECONDS.sleep(5);
            assertTrue(
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < MAX_RECOVERY_MS,
                    "the proxy did not get back to serving in time");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "SOCKET, ENFILE",
        "SOCKET, ENOBUFS",
        "CONNECT, EADDRNOTAVAIL",
        "CONNECT, ENETUNREACH",
        "CONNECT, EAGAIN",
        "FINISH_CONNECT, EHOSTUNREACH",
        "FINISH_CONNECT, ETIMEDOUT"
    })
    void answersEachRequestInTimeAndRecovers(SystemCall call, Errno errno) throws Exception {
        awaitServing();
        fixture.nodeCalls.fail(call, errno, Long.MAX_VALUE);
        fixture.nodeCalls.breakConnections(Errno.ETIMEDOUT);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FAILURE_DURATION_MS);
        while (System.nanoTime() - endNanos < 0 || fixture.nodeCalls.failureCount(call) == 0) {
            send();
            TimeUnit.MILLISECONDS.sleep(5);
        }
        fixture.nodeCalls.clearFaults();
        awaitServing();
    }
}
