package cacheproxy.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A proxy with a scripted router, one scripted cache node c0 and a scripted discovery, on ephemeral
 * ports.
 */
final class ProxyFixture implements Closeable {

    static final String SETTINGS =
            """
            {"rank": 0, "balancers": 2, "zone": "a", "tick_ms": 5, "discovery": "%s",
             "limits": {"cancelling": true, "connect_timeout_ms": 5000, "idle_close_ms": %s, "max_open": 4,
                        "max_retry_after_ms": 750, "retry_after": true, "try_limit": 3, "peers": true},
             "obligations": {"answer_slack_ms": 20},
             "services": [{"name": "read", "effect": "retryable", "deadline_ms": 1500},
                          {"name": "pay", "effect": "dedup", "deadline_ms": 1500}]}""";

    /** A budget in seconds that no test exhausts. */
    static final double LONG_BUDGET_S = 60;

    /** Waits for the first response of a watch as long as any test needs. */
    static final Discovery.Times LENIENT_TIMES =
            new Discovery.Times(
                    Discovery.Times.PUSHED.silenceTimeoutMs(),
                    TimeUnit.SECONDS.toMillis(TestServer.TIMEOUT_S),
                    1000);

    final TestServer node = new TestServer();
    final TestServer discovery = new TestServer();
    final ScriptedRouter router = new ScriptedRouter();
    Service service;

    /** Limit of file descriptors given to the service. */
    int socketLimit = 256;

    Discovery.Times discoveryTimes = LENIENT_TIMES;
    Clock clock = new Clock();

    /**
     * The settings, with placeholders for the discovery mode and the idle timeout of connections.
     */
    String settings = SETTINGS;

    Map<String, String> environment = Map.of();

    /** Address under which the service finds discovery. */
    String discoveryAddress = discovery.dial();

    /** The cache nodes that the service knows initially. */
    String[] hosts;

    private int requestCount;

    ProxyFixture() throws IOException {
        hosts = new String[] {host("c0", node.dial(), "up", 0)};
    }

    static ProxyFixture started() throws Exception {
        ProxyFixture fixture = new ProxyFixture();
        fixture.start("automatic", "60000", "");
        return fixture;
    }

    void start(String mode, String idleMs, String moreFields) throws Exception {
        service = Service.start(config(mode, idleMs, moreFields), router, discoveryTimes, clock);
    }

    Config config(String mode, String idleMs, String moreFields) throws ConfigException {
        return Config.parse(json(mode, idleMs, moreFields), environment);
    }

    String json(String mode, String idleMs, String moreFields) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                + discoveryAddress
                + "\","
                + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":"
                + socketLimit
                + "},"
                + moreFields
                + "\"known\":"
                + endpointList(7, true, hosts)
                + ",\"settings\":"
                + settings.formatted(mode, idleMs)
                + "}";
    }

    static String endpointList(long seq, boolean snapshot, String... hosts) {
        return "{\"seq\":"
                + seq
                + ",\"whole\":"
                + snapshot
                + ",\"hosts\":["
                + String.join(",", hosts)
                + "]}";
    }

    static String host(String id, String dial, String health, long startedAtMs) {
        return "{\"host\":\""
                + id
                + "\",\"dial\":\""
                + dial
                + "\",\"site\":\"a\",\"class\":\"std\",\"block\":1,"
                + "\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":"
                + startedAtMs
                + "}";
    }

    TestServer.Connection client() throws IOException {
        return TestServer.connect(service.clientAddress());
    }

    /** Returns a read request with a new id and the given budget. */
    String get(double budgetS) {
        return "GET /api/k1?x=1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: id"
                + requestCount++
                + "\r\nX-Call-Class: read\r\n"
                + "X-Caller: acme\r\nX-Budget: "
                + budgetS
                + "\r\n\r\n";
    }

    static String put(String headers, String body) {
        return "PUT /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: w1\r\nX-Call-Class: pay\r\nX-Budget: 60\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    static int status(String answer) {
        return answer == null ? -1 : Integer.parseInt(answer.split(" ")[1]);
    }

    @Override
    public void close() throws IOException {
        // With its nodes and discovery closed, no pending request can delay the service's end.
        node.close();
        discovery.close();
        if (service != null) {
            service.terminateNow();
        }
    }
}
