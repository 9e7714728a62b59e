package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Decide;
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
 * For a second no connection to any node can be made, with the project's own decisions: each
 * request has its answer, and then serving goes on.
 */
class FailingConnectsTest {

    private static final String SETTINGS =
            """
            {"rank": 0, "balancers": 2, "zone": "a", "tick_ms": 5, "discovery": "automatic",
             "limits": {"cancelling": true, "connect_timeout_ms": 100, "idle_close_ms": 60000, "max_open": 64,
                        "max_retry_after_ms": 750, "retry_after": true, "try_limit": 6},
             "obligations": {"answer_slack_ms": 20}, "kinds": ["std", "origin"],
             "domain": {"mode": "aside", "origin_kind": 1},
             "services": [{"name": "read", "effect": "retryable", "objective_ms": 500, "deadline_ms": 1500}]}""";
    private static final int CACHES = 4;
    private static final int IN_A_ROW = 20;
    private static final long FAILS_MS = 1000;

    /** A request's own time is 1.5 s; the rest is for a machine that is busy. */
    private static final long MOST_ANSWER_MS = 5000;

    private static final long BACK_WITHIN_MS = 10_000;
    private static final Set<Integer> FINAL = Set.of(200, 502, 503);

    private final List<Peer> nodes = new ArrayList<>();
    private FaultySite site;
    private Peer.Wire client;
    private int calls;

    @BeforeEach
    void start() throws Exception {
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < CACHES; i++) {
            hosts.add(Site.host("c" + i, node(), "up", 0));
        }
        hosts.add(Site.host("db", node(), "up", 0).replace("\"std\"", "\"origin\""));
        Site peers = new Site();
        Config config =
                Config.parse(
                        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                                + peers.discovery.dial()
                                + "\",\"limits\":{\"sockets\":256},\"known\":"
                                + Site.list(7, true, hosts.toArray(String[]::new))
                                + ",\"settings\":"
                                + SETTINGS
                                + "}",
                        peers.environment);
        site = new FaultySite(peers, config, new Decide(config.settings(), 7));
        client = site.client();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        site.close();
        for (Peer node : nodes) {
            node.close();
        }
    }

    /** A node that answers whatever it is asked; its address. */
    private String node() throws IOException {
        Peer node = new Peer();
        nodes.add(node);
        Thread answering = new Thread(() -> answer(node), "node");
        answering.setDaemon(true);
        answering.start();
        return node.dial();
    }

    private static void answer(Peer node) {
        while (true) {
            try {
                Peer.Message request = node.await();
                if (request.text() != null) {
                    request.wire().answer(200, "v");
                }
            } catch (IOException e) {
                // Its connection was broken by the test.
                continue;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Asks once; its one final answer has come in time. */
    private int ask() throws Exception {
        calls++;
        long began = System.nanoTime();
        client.write(
                "GET /api/k"
                        + calls % 10
                        + " HTTP/1.1\r\nHost: s\r\nX-Caller: acme\r\nX-Call-Class: read\r\n"
                        + "X-Budget: 1.5\r\nX-Call-Id: id"
                        + calls
                        + "\r\n\r\n");
        int status = Site.status(client.read());
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        assertTrue(FINAL.contains(status), "answered " + status);
        assertTrue(ms < MOST_ANSWER_MS, "answered after " + ms);
        return status;
    }

    private void awaitServing() throws Exception {
        long began = System.nanoTime();
        int row = 0;
        while (row < IN_A_ROW) {
            row = ask() == 200 ? row + 1 : 0;
            TimeUnit.MILLISECONDS.sleep(5);
            assertTrue(
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began) < BACK_WITHIN_MS,
                    "it does not serve");
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
    void eachRequestHasItsAnswerInTimeAndServingGoesOn(SystemCall call, Errno errno)
            throws Exception {
        awaitServing();
        site.nodeCalls.fail(call, errno, Long.MAX_VALUE);
        site.nodeCalls.breakConnections(Errno.ETIMEDOUT);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FAILS_MS);
        while (System.nanoTime() - until < 0 || site.nodeCalls.failed(call) == 0) {
            ask();
            TimeUnit.MILLISECONDS.sleep(5);
        }
        site.nodeCalls.heal();
        awaitServing();
    }
}
