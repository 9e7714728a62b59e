package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A request is not written to an idle connection on which unread input or an end of stream has
 * arrived.
 */
class StaleConnectionTest extends WithProxyFixture {

    private static final String END_OF_STREAM = "end of stream";

    @ParameterizedTest
    @ValueSource(
            strings = {
                END_OF_STREAM,
                "H",
                "HTTP/1.1 200 x\r\nContent-Le",
                "HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\nwrong"
            })
    void connectionWithUnreadInputIsNotUsed(String unreadInput) throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Connection idle = fixture.node.next().connection();
        idle.respond(200, "v");
        client.read();
        // The connection is reusable by now and not yet closed as an extra idle connection.
        TimeUnit.MILLISECONDS.sleep(50);
        EventLoopPause loopPause = new EventLoopPause();
        fixture.router.onRequest =
                (request, out) -> {
                    loopPause.pause();
                    out.send(request.id(), "c0", 0);
                };
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        loopPause.awaitPaused();
        if (unreadInput.equals(END_OF_STREAM)) {
            idle.socket().shutdownOutput();
        } else {
            idle.write(unreadInput);
        }
        loopPause.resume();
        TestServer.Message next = fixture.node.next();
        while (next.text() == null) {
            next = fixture.node.next();
        }
        assertNotEquals(idle.number(), next.connection().number());
        next.connection().respond(200, "right");
        assertEquals("right", new TestServer.Message(client.read(), client).body());
    }

    /** A response without a length is completed by a regular close, but not by a reset. */
    @ParameterizedTest
    @CsvSource({"10, false, OK, 200", "10, true, RESET, 502", "10000, true, RESET, 502"})
    void closeDelimitedResponseIsCompletedByCloseButNotByReset(
            int length, boolean reset, Outcome outcome, int status) throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Connection connection = fixture.node.next().connection();
        EventLoopPause loopPause = EventLoopPause.atNextRequest(fixture);
        try (TestServer.Connection other = fixture.client()) {
            other.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            loopPause.awaitPaused();
            connection.write("HTTP/1.1 200 x\r\nConnection: close\r\n\r\n" + "v".repeat(length));
            if (reset) {
                connection.socket().setSoLinger(true, 0);
            }
            connection.close();
            loopPause.resume();
            assertEquals(503, ProxyFixture.status(other.read()));
        }
        assertEquals(outcome, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertEquals(status, ProxyFixture.status(client.read()));
    }

    /**
     * A long response is forwarded before it is complete, so the client has to be able to detect
     * that the remainder is missing.
     */
    @Test
    void longCloseDelimitedResponseThatIsResetIsNotForwardedAsComplete() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Connection connection = fixture.node.next().connection();
        connection.write("HTTP/1.1 200 x\r\nConnection: close\r\n\r\n" + "v".repeat(200_000));
        String head = TestServer.readUntil("\r\n\r\n", client.socket().getInputStream());
        assertEquals("chunked", new TestServer.Message(head, client).header("transfer-encoding"));
        connection.socket().setSoLinger(true, 0);
        connection.close();
        byte[] rest = client.socket().getInputStream().readAllBytes();
        String lastBytes =
                new String(
                        rest,
                        Math.max(0, rest.length - 5),
                        Math.min(5, rest.length),
                        StandardCharsets.US_ASCII);
        assertTrue(
                !lastBytes.equals("0\r\n\r\n"),
                "a truncated response was ended with the last chunk");
    }

    @Test
    void connectionResetWhileIdleIsNotUsed() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Connection idle = fixture.node.next().connection();
        idle.respond(200, "v");
        client.read();
        idle.socket().setSoLinger(true, 0);
        idle.close();
        assertNull(fixture.node.next().text());
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Message next = fixture.node.next();
        next.connection().respond(200, "right");
        assertEquals("right", new TestServer.Message(client.read(), client).body());
    }
}
