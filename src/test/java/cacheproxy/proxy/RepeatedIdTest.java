package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A request that may not run twice does not, if its id comes again after its client has left. */
class RepeatedIdTest {

    private static final long WATCH_MS = 300;

    @TempDir private Path folder;

    private ProxyFixture start(TestServer node) throws Exception {
        ProxyFixture site = new ProxyFixture();
        site.hosts = new String[] {ProxyFixture.host("c0", node.dial(), "up", 0)};
        site.environment = Map.of("TMPDIR", folder.toString(), "BALANCER_ADMIN", "127.0.0.1:0");
        site.settings =
                ProxyFixture.SETTINGS.replace(
                        "\"services\": [",
                        "\"services\": [{\"name\": \"book\", \"effect\": \"fragile\", \"deadline_ms\": 1500},");
        site.start("automatic", "60000", "");
        return site;
    }

    private static String put(String id) {
        return "PUT /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: book\r\nX-Budget: 60\r\nContent-Length: 1\r\n\r\nv";
    }

    /** Sends a request that reaches the node, and leaves. */
    private static void sendAndLeave(ProxyFixture site, TestServer node) throws Exception {
        try (TestServer.Connection client = site.client()) {
            client.write(put("id1"));
            assertEquals("id1", node.next().header("X-Call-Id"));
        }
        assertEquals("id1", ScriptedRouter.awaitNext(site.router.disconnectedRequests));
    }

    private static void assertNotSentOn(ProxyFixture site, TestServer node) throws Exception {
        try (TestServer.Connection client = site.client()) {
            client.write(put("id1"));
            TimeUnit.MILLISECONDS.sleep(WATCH_MS);
            while (!node.receivedNothing()) {
                assertEquals(null, node.next().text(), "sent on again");
            }
            int status = ProxyFixture.status(client.read());
            assertTrue(status == 400 || status == 502, "status " + status);
        }
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void doesNotRunAgainAfterItsClientLeft() throws Exception {
        try (TestServer node = new TestServer();
                ProxyFixture site = start(node)) {
            site.router.onClientDisconnected = (end, out) -> out.cancel(end.request(), 0);
            sendAndLeave(site, node);
            ScriptedRouter.awaitNext(site.router.attemptEnds);
            assertNotSentOn(site, node);
        }
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void doesNotRunAgainAtTheOtherProcessOfAnUpgrade() throws Exception {
        try (TestServer node = new TestServer();
                ProxyFixture old = start(node);
                ProxyFixture next = start(node)) {
            sendAndLeave(old, node);
            assertNotSentOn(next, node);
        }
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void mayComeAgainIfItProvablyNeverRan() throws Exception {
        try (TestServer node = new TestServer();
                ProxyFixture site = start(node)) {
            site.router.onEnd =
                    (end, out) -> {
                        if (!end.finished()) {
                            out.reject(end.request(), 0);
                        }
                    };
            try (TestServer.Connection client = site.client()) {
                client.write(put("id1"));
                node.next().connection().respond(503, "", "X-Rejected: 1");
                assertEquals(503, ProxyFixture.status(client.read()));
                client.write(put("id1"));
                node.next().connection().respond(200, "v");
                assertEquals(200, ProxyFixture.status(client.read()));
            }
        }
    }
}
