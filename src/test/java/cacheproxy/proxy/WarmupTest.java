package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The warm-up runs the whole path: requests are served by its nodes, some through its origin. */
class WarmupTest {

    @Test
    void itsRequestsAreServedAndItEnds() throws Exception {
        try (Site site = new Site()) {
            assertTrue(
                    Warmup.run(site.config("automatic", "60000", "").settings(), null, null, false)
                            > 0);
        }
    }

    /**
     * A rolling restart stops the next proxy 3 s after this one was told to: by then it has to
     * serve again.
     */
    @Test
    void aProxyThatServedBeforeIsBackBeforeTheNextOneStops() {
        HostList had = new HostList(12, true, List.of());
        HostList born = new HostList(0, true, List.of());
        assertTrue(
                Warmup.patienceMs(had) <= 800,
                "two seconds go by before it starts, one while it does");
        assertTrue(Warmup.patienceMs(born) > Warmup.patienceMs(had));
        assertTrue(Warmup.patienceMs(null) > Warmup.patienceMs(had));
    }

    /**
     * Also where peers may not talk: 500 requests of warm-up left the first seconds of the day too
     * cold.
     */
    @Test
    void atItsBirthItTakesItsTimeUnlessPeersAreAtWork() {
        HostList had = new HostList(12, true, List.of());
        HostList born = new HostList(0, true, List.of());
        assertTrue(Warmup.moreMs(born, false) >= Warmup.patienceMs(born));
        assertTrue(Warmup.moreMs(null, false) >= Warmup.patienceMs(null));
        assertEquals(0, Warmup.moreMs(born, true));
        assertEquals(0, Warmup.moreMs(had, false));
    }

    /**
     * On a share of a core the loop may keep the core: a restart then took nine seconds in place of
     * one.
     */
    @Test
    @Timeout(60)
    void itEndsInTimeThoughNobodyGetsToEndIt() throws Exception {
        Warmup warmup = new Warmup(Warmup.anySettings(), 0);
        warmup.start();
        try {
            warmup.awaitDone();
            assertTrue(warmup.asked() < Warmup.REQUESTS / 10, warmup.asked() + " asked");
        } finally {
            warmup.end();
        }
    }

    @Test
    @Timeout(60)
    void onceItIsOverItsClientsAskNoMore() throws Exception {
        Warmup warmup = new Warmup(Warmup.anySettings(), TimeUnit.MINUTES.toMillis(1));
        warmup.start();
        while (warmup.served() == 0) {
            Thread.onSpinWait();
        }
        warmup.halt();
        int asked = warmup.asked();
        try {
            for (int i = 0; i < 1000; i++) {
                assertEquals(asked, warmup.asked());
            }
        } finally {
            warmup.end();
        }
    }

    /**
     * A loop that never waits is taken for one that hangs where many processes start on few cores.
     */
    @Test
    void itsLoopHasNothingToDoNowAndThen() throws Exception {
        Warmup warmup = new Warmup(Warmup.anySettings(), TimeUnit.MINUTES.toMillis(1));
        try {
            warmup.start();
            warmup.awaitDone();
            assertTrue(
                    warmup.rests() >= warmup.served() / 50,
                    warmup.rests() + " rests in " + warmup.served() + " requests");
        } finally {
            warmup.end();
        }
    }
}
