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
 * Accepting connections fails, for example when file descriptors run out: the listener pauses and
 * resumes, but never resumes once accepting has been stopped.
 */
class AcceptFailuresTest {

    private static final int FAILURES = 6;
    private static final long RETRY_DELAY_MS = 100;
    private static final long NETTY_PAUSE_MS = 1000;

    /** Less than any timeout of an idle connection. */
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

    /** Reports a failed accept as Netty does; returns whether the listener still accepts. */
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

    /** The connection is closed at once, long before its idle timeout. */
    @Test
    void closesLeastRecentlyUsedIdleConnectionWhenAcceptFails() throws Exception {
        try (TestServer.Connection idle = connectAndGetServed();
                TestServer.Connection used = connectAndGetServed()) {
            assertFalse(acceptsAfterFailure(), "accepting must pause, or the loop spins");
            idle.socket().setSoTimeout(SOON_MS);
            assertNull(idle.read(), "the least recently used idle connection should be closed");
            used.write(UP_REQUEST);
            assertEquals(
                    200, ProxyFixture.status(used.read()), "only one connection should be closed");
        }
    }

    /** Netty's default pause is a second after each failure. */
    @Test
    void pausesBrieflyAfterEachFailureAndResumes() throws Exception {
        fixture.clientCalls.fail(SystemCall.ACCEPT, Errno.EMFILE, FAILURES);
        long began = System.nanoTime();
        try (TestServer.Connection next = connectAndAsk()) {
            assertEquals(200, ProxyFixture.status(next.read()));
        }
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        assertEquals(FAILURES, fixture.clientCalls.failureCount(SystemCall.ACCEPT));
        assertTrue(
                ms >= (FAILURES - 1) * RETRY_DELAY_MS, "accepting was retried too fast, ms: " + ms);
        assertTrue(ms < (FAILURES - 1) * NETTY_PAUSE_MS, "accepting paused too long, ms: " + ms);
        assertTrue(fixture.listener.isOpen());
    }

    /** Checks after longer than this listener's pause and Netty's default one. */
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
        assertFalse(accepts, "accepted a client of the next process");
    }
}
