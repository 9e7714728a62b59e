package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Effect;
import cacheproxy.Router.Group;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.ServiceClass;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A response that stalls is abandoned while there is still time for another attempt. */
class StalledResponseTest {

    private static ServiceClass serviceClass(double latencyObjectiveMs) {
        return new ServiceClass(
                "read",
                latencyObjectiveMs,
                0,
                2 * latencyObjectiveMs,
                1,
                0,
                Effect.SAFE,
                Group.ALL,
                0,
                false);
    }

    @Test
    void stallTimeoutLeavesTimeForAnotherAttempt() {
        assertTrue(
                NodePool.stallTimeoutMs(List.of(serviceClass(160), serviceClass(80))) <= 40,
                "half of the shortest latency objective should be left");
        assertEquals(
                200,
                NodePool.stallTimeoutMs(List.of(serviceClass(10_000))),
                "the stall timeout is limited for long objectives");
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void incompleteResponseEndsAsError() throws Exception {
        try (ProxyFixture fixture = ProxyFixture.started();
                TestServer.Connection client = fixture.client()) {
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            fixture.node.next().connection().write("HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nha");
            assertEquals(502, ProxyFixture.status(client.read()));
            assertEquals(
                    Outcome.ERROR, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        }
    }
}
