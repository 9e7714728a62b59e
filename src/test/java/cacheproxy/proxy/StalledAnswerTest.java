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
class StalledAnswerTest {

    private static ServiceClass wanted(double aimMs) {
        return new ServiceClass(
                "read", aimMs, 0, 2 * aimMs, 1, 0, Effect.SAFE, Group.ALL, 0, false);
    }

    @Test
    void itsRestIsWaitedForOnlyAsLongAsAnotherCanStillBeInTime() {
        assertTrue(
                NodePool.stallMs(List.of(wanted(160), wanted(80))) <= 40,
                "half of the shortest aim is left");
        assertEquals(
                200, NodePool.stallMs(List.of(wanted(10_000))), "nor long where nothing presses");
    }

    @Test
    @Timeout(Peer.PATIENCE_S)
    void halfAnAnswerEndsAsAnError() throws Exception {
        try (Site site = Site.started();
                Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            site.node.next().wire().write("HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nha");
            assertEquals(502, Site.status(client.read()));
            assertEquals(Outcome.ERROR, Scripted.next(site.router.ends).outcome());
        }
    }
}
