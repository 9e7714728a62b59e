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

/** An answer that breaks off is not waited for until nobody wants it any more. */
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
                "half of the shortest aim is left");
        assertEquals(
                200,
                NodePool.stallTimeoutMs(List.of(serviceClass(10_000))),
                "nor long where nothing presses");
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
