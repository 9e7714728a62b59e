package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The warm-up runs the whole request path: its nodes serve requests, some through its origin. */
class WarmupTest {

    @Test
    void servesRequestsAndTerminates() throws Exception {
        try (ProxyFixture site = new ProxyFixture()) {
            assertTrue(
                    Warmup.run(site.config("automatic", "60000", "").settings(), null, null, false)
                            > 0);
        }
    }

    /**
     * A rolling restart stops the next proxy 3 s after this one; by then this one has to serve
     * again.
     */
    @Test
    void restartedProxyIsReadyBeforeNextOneStops() {
        EndpointListUpdate numberedList = new EndpointListUpdate(12, true, List.of());
        EndpointListUpdate unnumberedList = new EndpointListUpdate(0, true, List.of());
        assertTrue(
                Warmup.timeoutMs(numberedList) <= 800,
                "the start is delayed by two seconds and takes one");
        assertTrue(Warmup.timeoutMs(unnumberedList) > Warmup.timeoutMs(numberedList));
        assertTrue(Warmup.timeoutMs(null) > Warmup.timeoutMs(numberedList));
    }

    /**
     * At the first start of the fleet the warm-up gets additional time, also where peers do not
     * exchange messages: 500 requests of warm-up left responses slow in the first seconds.
     */
    @Test
    void firstStartGetsExtraTimeUnlessPeersServe() {
        EndpointListUpdate numberedList = new EndpointListUpdate(12, true, List.of());
        EndpointListUpdate unnumberedList = new EndpointListUpdate(0, true, List.of());
        assertTrue(Warmup.extraTimeMs(unnumberedList, false) >= Warmup.timeoutMs(unnumberedList));
        assertTrue(Warmup.extraTimeMs(null, false) >= Warmup.timeoutMs(null));
        assertEquals(0, Warmup.extraTimeMs(unnumberedList, true));
        assertEquals(0, Warmup.extraTimeMs(numberedList, false));
    }

    /**
     * On a fraction of a core the event loop may occupy the core, so that the thread that stops the
     * warm-up does not run: a restart then took nine seconds instead of one.
     */
    @Test
    @Timeout(60)
    void clientsStopOnTheirOwn() throws Exception {
        Warmup warmup = new Warmup(Warmup.defaultSettings(), 0);
        warmup.start();
        try {
            warmup.awaitDone();
            assertTrue(
                    warmup.sentCount() < Warmup.REQUEST_COUNT / 10, warmup.sentCount() + " asked");
        } finally {
            warmup.shutDown();
        }
    }

    @Test
    @Timeout(60)
    void stoppedClientsSendNoRequests() throws Exception {
        Warmup warmup = new Warmup(Warmup.defaultSettings(), TimeUnit.MINUTES.toMillis(1));
        warmup.start();
        while (warmup.served() == 0) {
            Thread.onSpinWait();
        }
        warmup.stopClients();
        int sentCount = warmup.sentCount();
        try {
            for (int i = 0; i < 1000; i++) {
                assertEquals(sentCount, warmup.sentCount());
            }
        } finally {
            warmup.shutDown();
        }
    }

    /** Nothing but the time limit may keep the warm-up from sending all of its requests. */
    @Test
    @Timeout(60)
    void sendsAllRequestsWithinTimeLimit() throws Exception {
        Warmup warmup = new Warmup(Warmup.defaultSettings(), TimeUnit.MINUTES.toMillis(1));
        try {
            warmup.start();
            warmup.awaitDone();
            assertEquals(Warmup.REQUEST_COUNT, warmup.sentCount());
        } finally {
            warmup.shutDown();
        }
    }
}
