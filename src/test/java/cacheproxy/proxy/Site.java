package cacheproxy.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A proxy with a scripted router, one scripted cache node c0 and a scripted discovery, on ephemeral
 * ports.
 */
final class Site implements Closeable {

    static final String SETTINGS =
            """
            {"rank": 0, "balancers": 2, "zone": "a", "tick_ms": 5, "discovery": "%s",
             "limits": {"cancelling": true, "connect_timeout_ms": 5000, "idle_close_ms": %s, "max_open": 4,
                        "max_retry_after_ms": 750, "retry_after": true, "try_limit": 3, "peers": true},
             "obligations": {"answer_slack_ms": 20},
             "services": [{"name": "read", "effect": "retryable", "deadline_ms": 1500},
                          {"name": "pay", "effect": "dedup", "deadline_ms": 1500}]}""";
    static final double LONG_S = 60;

    /** Of a watch that waits for its first word as long as a test needs to give it. */
    static final Discovery.Times CALM =
            new Discovery.Times(
                    Discovery.Times.PUSHED.silentMs(),
                    TimeUnit.SECONDS.toMillis(Peer.PATIENCE_S),
                    1000);

    final Peer node = new Peer();
    final Peer discovery = new Peer();
    final Scripted router = new Scripted();
    Service service;
    int sockets = 256;
    Discovery.Times times = CALM;
    Clock clock = new Clock();

    /** With places for how discovery is asked and for how long idle connections stand. */
    String settings = SETTINGS;

    Map<String, String> environment = Map.of();

    /** Where the service is configured to find discovery. */
    String discoveryAddress = discovery.dial();

    /** The cache nodes that it knows. */
    String[] hosts;

    private int calls;

    Site() throws IOException {
        hosts = new String[] {host("c0", node.dial(), "up", 0)};
    }

    static Site started() throws Exception {
        Site site = new Site();
        site.start("automatic", "60000", "");
        return site;
    }

    void start(String mode, String idleMs, String more) throws Exception {
        service = Service.start(config(mode, idleMs, more), router, times, clock);
    }

    Config config(String mode, String idleMs, String more) throws ConfigException {
        return Config.parse(json(mode, idleMs, more), environment);
    }

    String json(String mode, String idleMs, String more) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                + discoveryAddress
                + "\","
                + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":"
                + sockets
                + "},"
                + more
                + "\"known\":"
                + list(7, true, hosts)
                + ",\"settings\":"
                + settings.formatted(mode, idleMs)
                + "}";
    }

    static String list(long seq, boolean whole, String... hosts) {
        return "{\"seq\":"
                + seq
                + ",\"whole\":"
                + whole
                + ",\"hosts\":["
                + String.join(",", hosts)
                + "]}";
    }

    static String host(String id, String dial, String health, long born) {
        return "{\"host\":\""
                + id
                + "\",\"dial\":\""
                + dial
                + "\",\"site\":\"a\",\"class\":\"std\",\"block\":1,"
                + "\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":"
                + born
                + "}";
    }

    Peer.Wire client() throws IOException {
        return Peer.connect(service.listening());
    }

    /** A read with a new id, for which the client waits so long. */
    String get(double budgetS) {
        return "GET /api/k1?x=1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: id"
                + calls++
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
        // Without its peers nothing that is still out can hold the service up.
        node.close();
        discovery.close();
        if (service != null) {
            service.kill();
        }
    }
}
