package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import cacheproxy.Router.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Nodes send more than was asked for, or malformed responses; no request may receive a response to
 * another.
 */
class UnexpectedResponsesTest extends WithProxyFixture {

    private static final String FIRST_RESPONSE = "HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\nfirst";

    /**
     * The second request is sent to the node at the moment at which the response to the first is
     * reported to the router.
     */
    private TestServer.Message secondAfterFirst(String extraBytes) throws Exception {
        fixture.router.onRequest =
                (request, out) -> {
                    if (request.id().equals("id0")) {
                        out.send("id0", "c0", 0);
                    }
                };
        fixture.router.onEnd =
                (end, out) -> {
                    if (end.request().equals("id0")) {
                        out.send("id1", "c0", 0);
                    } else if (!end.finished()) {
                        out.fail(end.request());
                    }
                };
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Message first = fixture.node.next();
        try (TestServer.Connection other = fixture.client()) {
            other.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            while (fixture.router.requests.size() < 2) {
                Thread.onSpinWait();
            }
            first.connection().write(FIRST_RESPONSE + extraBytes);
            assertEquals("first", new TestServer.Message(client.read(), client).body());
            TestServer.Message second = fixture.node.next();
            while (second.text() == null) {
                second = fixture.node.next();
            }
            second.connection().respond(200, "second");
            assertEquals("second", new TestServer.Message(other.read(), other).body());
            assertNotEquals(first.connection().number(), second.connection().number());
            return second;
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                FIRST_RESPONSE,
                "noise",
                "HTTP/1.1 200 x\r\nContent-Le",
                "\u0000\u0001 noise\r\n\r\n"
            })
    void bytesAfterAResponseAreNotTheNextResponse(String extraBytes) throws Exception {
        assertEquals("id1", secondAfterFirst(extraBytes).header("X-Call-Id"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "noise without an end of line",
                "HTTP/2 200",
                "HTTP/1.1 200 x\r\nA: unfinished",
                "HTTP/1.1 200 x\r\nContent-Length: 10\r\n\r\nhalf",
                "HTTP/1.1 200 x\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 x\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nabc",
                "HTTP/1.1 200 x\r\nno colon here\r\nContent-Length: 1\r\n\r\na",
                "HTTP/1.1 200 x\r\nnone\r\nContent-Length: 1\r\n\r\na",
                "HTTP/1.1 200 x\r\nContent-Length: 3221225472\r\n\r\nmuch",
                "HTTP/1.1 200 x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
            })
    void malformedResponseEndsAttemptAtOnceAsPossiblyRun(String answer) throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        fixture.node.next().connection().write(answer);
        assertEquals(Outcome.ERROR, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertEquals(502, ProxyFixture.status(client.read()));
        assertNull(fixture.node.next().text(), "the connection should be closed");
    }

    @Test
    void closeDelimitedResponseMayBeTruncated() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Connection connection = fixture.node.next().connection();
        connection.write("HTTP/1.1 200 x\r\n\r\nperhaps all");
        connection.close();
        assertEquals(Outcome.RESET, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
    }

    @Test
    void interimResponsesAndMalformedLoadReportAreTolerated() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Connection connection = fixture.node.next().connection();
        connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n");
        connection.respond(200, "good", "X-Load-Report: \u00ff=;;,inflight=many");
        assertEquals("good", new TestServer.Message(client.read(), client).body());
    }
}
