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
    private static final long RETRY_DELAY_MS = 100;
    private static final long NETTY_PAUSE_MS = 1000;

    /** Less than any limit in time of an idle client. */
    private static final int SOON_MS = 1000;

    private static final String UP_REQUEST = "GET /up HTTP/1.1\r\nHost: s\r\n\r\n";

    private FaultyProxyFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new FaultyProxyFixture();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    /** What Netty tells of a failed accept; returns whether the listener accepts on. */
    private boolean acceptsAfterFailure() throws Exception {
        return fixture.loop
                .submit(
                        () -> {
                            fixture.listener
                                    .pipeline()
                                    .fireExceptionCaught(new IOException("Too many open files"));
                            return fixture.listener.config().isAutoRead();
                        })
                .get();
    }

    private TestServer.Connection connectAndAsk() throws Exception {
        TestServer.Connection client = fixture.client();
        client.write(UP_REQUEST);
        return client;
    }

    private TestServer.Connection connectAndGetServed() throws Exception {
        TestServer.Connection client = connectAndAsk();
        assertEquals(200, ProxyFixture.status(client.read()));
        return client;
    }

    /** At once, so long before it would have gone for being idle. */
    @Test
    void closesLeastRecentlyUsedIdleConnectionWhenAcceptFails() throws Exception {
        try (TestServer.Connection idle = connectAndGetServed();
                TestServer.Connection used = connectAndGetServed()) {
            assertFalse(acceptsAfterFailure(), "it would spin");
            idle.socket().setSoTimeout(SOON_MS);
            assertNull(idle.read(), "its descriptor is of use to another");
            used.write(UP_REQUEST);
            assertEquals(200, ProxyFixture.status(used.read()), "one is enough");
        }
    }

    /** Netty's own rest is a second after each failure. */
    @Test
    void pausesBrieflyAfterEachFailureAndResumes() throws Exception {
        fixture.clientCalls.fail(SystemCall.ACCEPT, Errno.EMFILE, FAILURES);
        long began = System.nanoTime();
        try (TestServer.Connection next = connectAndAsk()) {
            assertEquals(200, ProxyFixture.status(next.read()));
        }
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        assertEquals(FAILURES, fixture.clientCalls.failureCount(SystemCall.ACCEPT));
        assertTrue(ms >= (FAILURES - 1) * RETRY_DELAY_MS, "it spun: " + ms);
        assertTrue(ms < (FAILURES - 1) * NETTY_PAUSE_MS, "nobody was let in for too long: " + ms);
        assertTrue(fixture.listener.isOpen());
    }

    /** Longer than any rest of it or of Netty's own. */
    @Test
    void doesNotResumeAfterSocketHandover() throws Exception {
        assertFalse(acceptsAfterFailure());
        fixture.loop.submit(fixture.clientServer::drain).get();
        boolean accepts =
                fixture.loop
                        .schedule(
                                () -> fixture.listener.config().isAutoRead(),
                                1500,
                                TimeUnit.MILLISECONDS)
                        .get();
        assertFalse(accepts, "a client of the next process was taken");
    }
}
