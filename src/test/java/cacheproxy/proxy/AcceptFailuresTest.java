package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.syscalls.Errno;
import cacheproxy.syscalls.SystemCall;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Accepting fails, as where descriptors are out: the listener rests, goes on, and never goes on for
 * one that accepts no more.
 */
class AcceptFailuresTest {

    private static final int FAILURES = 6;
    private static final long REST_MS = 100;
    private static final long NETTYS_REST_MS = 1000;

    /** Less than any limit in time of an idle client. */
    private static final int SOON_MS = 1000;

    private static final String UP = "GET /up HTTP/1.1\r\nHost: s\r\n\r\n";

    private FaultySite site;

    @BeforeEach
    void start() throws Exception {
        site = new FaultySite();
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    /** What Netty tells of a failed accept; returns whether the listener accepts on. */
    private boolean acceptsAfterFailure() throws Exception {
        return site.loop
                .submit(
                        () -> {
                            site.listener
                                    .pipeline()
                                    .fireExceptionCaught(new IOException("Too many open files"));
                            return site.listener.config().isAutoRead();
                        })
                .get();
    }

    private Peer.Wire asked() throws Exception {
        Peer.Wire client = site.client();
        client.write(UP);
        return client;
    }

    private Peer.Wire served() throws Exception {
        Peer.Wire client = asked();
        assertEquals(200, Site.status(client.read()));
        return client;
    }

    /** At once, so long before it would have gone for being idle. */
    @Test
    void itLetsTheIdleOneGoThatWasUsedLongestAgo() throws Exception {
        try (Peer.Wire idle = served();
                Peer.Wire used = served()) {
            assertFalse(acceptsAfterFailure(), "it would spin");
            idle.socket().setSoTimeout(SOON_MS);
            assertNull(idle.read(), "its descriptor is of use to another");
            used.write(UP);
            assertEquals(200, Site.status(used.read()), "one is enough");
        }
    }

    /** Netty's own rest is a second after each failure. */
    @Test
    void itRestsForAMomentAfterEachFailureAndGoesOn() throws Exception {
        site.clientCalls.fail(SystemCall.ACCEPT, Errno.EMFILE, FAILURES);
        long began = System.nanoTime();
        try (Peer.Wire next = asked()) {
            assertEquals(200, Site.status(next.read()));
        }
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        assertEquals(FAILURES, site.clientCalls.failed(SystemCall.ACCEPT));
        assertTrue(ms >= (FAILURES - 1) * REST_MS, "it spun: " + ms);
        assertTrue(ms < (FAILURES - 1) * NETTYS_REST_MS, "nobody was let in for too long: " + ms);
        assertTrue(site.listener.isOpen());
    }

    /** Longer than any rest of it or of Netty's own. */
    @Test
    void oneThatHandsItsSocketOnDoesNotGoOn() throws Exception {
        assertFalse(acceptsAfterFailure());
        site.loop.submit(site.clients::drain).get();
        boolean accepts =
                site.loop
                        .schedule(
                                () -> site.listener.config().isAutoRead(),
                                1500,
                                TimeUnit.MILLISECONDS)
                        .get();
        assertFalse(accepts, "a client of the next process was taken");
    }
}
