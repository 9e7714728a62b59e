package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import cacheproxy.syscalls.Errno;
import cacheproxy.syscalls.FaultSchedule;
import cacheproxy.syscalls.SystemCall;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * System calls fail in the ways that Linux documents: on clients' connections, on connections to a
 * node and to discovery, and in the event loop's waits.
 */
class SystemCallFailuresTest {

    private static final String UP_REQUEST = "GET /up HTTP/1.1\r\nHost: s\r\n\r\n";
    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int BAD_GATEWAY = 502;
    private static final int PARTIAL_REQUEST_BYTES = 40;
    private static final long SECOND_MS = 1000;

    /** One each 0.1 s, the delay before accepting is retried. */
    private static final int ACCEPTS_IN_A_SECOND = 10;

    /** Most failures of one call within a second that don't count as a busy loop. */
    private static final int MAX_FAILURES_PER_S = 40;

    private static final int MANY_FAILURES = 1000;

    private FaultyProxyFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new FaultyProxyFixture();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    private int send(TestServer.Connection client) throws IOException {
        client.write(fixture.baseFixture.get(ProxyFixture.LONG_BUDGET_S));
        return ProxyFixture.status(client.read());
    }

    /** Asserts that a request is served by the node. */
    private void assertServes() throws Exception {
        try (TestServer.Connection client = fixture.client()) {
            assertServes(client);
        }
    }

    private void assertServes(TestServer.Connection client) throws Exception {
        client.write(fixture.baseFixture.get(ProxyFixture.LONG_BUDGET_S));
        nextNodeRequest().connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
    }

    private TestServer.Message nextNodeRequest() throws InterruptedException {
        TestServer.Message message = fixture.baseFixture.node.next();
        while (message.text() == null) {
            message = fixture.baseFixture.node.next();
        }
        return message;
    }

    private TestServer.Message nextWatchRequest() throws InterruptedException {
        TestServer.Message message = fixture.baseFixture.discovery.next();
        while (message.text() == null) {
            message = fixture.baseFixture.discovery.next();
        }
        return message;
    }

    /** Asserts that all of a schedule's channels get closed. */
    private void assertCloses(FaultSchedule schedule) throws Exception {
        long began = System.nanoTime();
        while (schedule.openCount() > 0
                && System.nanoTime() - began < TimeUnit.SECONDS.toNanos(TestServer.TIMEOUT_S)) {
            fixture.settle();
        }
        assertEquals(0, schedule.openCount());
    }

    // Connections of clients.

    @ParameterizedTest
    @EnumSource(names = {"ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EAGAIN"})
    void acceptFailureDelaysOnlyNewConnections(Errno errno) throws Exception {
        try (TestServer.Connection before = fixture.client()) {
            assertServes(before);
            before.write(fixture.baseFixture.get(ProxyFixture.LONG_BUDGET_S));
            TestServer.Message open = nextNodeRequest();
            fixture.clientCalls.fail(SystemCall.ACCEPT, errno, ACCEPTS_IN_A_SECOND);
            try (TestServer.Connection next = fixture.client()) {
                next.write(UP_REQUEST);
                open.connection().respond(200, "v");
                assertEquals(200, ProxyFixture.status(before.read()));
                assertEquals(200, ProxyFixture.status(next.read()));
            }
        }
        assertEquals(ACCEPTS_IN_A_SECOND, fixture.clientCalls.failureCount(SystemCall.ACCEPT));
        assertTrue(fixture.listener.isOpen());
    }

    /** An accepted socket that can't be set up affects only its own client. */
    @Test
    void socketSetupFailureClosesOnlyTheAcceptedSocket() throws Exception {
        fixture.clientCalls.fail(SystemCall.CONFIGURE, Errno.ENOMEM, MANY_FAILURES);
        for (int i = 0; i < MANY_FAILURES; i++) {
            try (TestServer.Connection client = fixture.client()) {
                assertNull(client.read());
            }
        }
        assertEquals(MANY_FAILURES, fixture.clientCalls.failureCount(SystemCall.CONFIGURE));
        assertEquals(0, fixture.clientCalls.openCount());
        assertServes();
    }

    /** If the connection breaks before the request was read completely, nothing is sent on. */
    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void clientConnectionFailureBeforeLastByteSendsNothing(Errno errno) throws Exception {
        try (TestServer.Connection client = fixture.client()) {
            assertServes(client);
            String request = fixture.baseFixture.get(ProxyFixture.LONG_BUDGET_S);
            client.write(request.substring(0, request.length() - 1));
            fixture.settle();
            fixture.clientCalls.breakConnections(errno);
            assertNull(client.read());
        }
        assertCloses(fixture.clientCalls);
        assertEquals(1, fixture.baseFixture.router.requests.size());
        assertServes();
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void clientConnectionFailureAfterLastByteEndsRequest(Errno errno) throws Exception {
        try (TestServer.Connection client = fixture.client()) {
            client.write(fixture.baseFixture.get(ProxyFixture.LONG_BUDGET_S));
            nextNodeRequest();
            fixture.clientCalls.breakConnections(errno);
            assertEquals(
                    fixture.baseFixture.router.requests.get(0).id(),
                    ScriptedRouter.awaitNext(fixture.baseFixture.router.disconnectedRequests));
        }
        assertCloses(fixture.clientCalls);
        assertTrue(
                fixture.baseFixture.router.attemptEnds.isEmpty()
                        || fixture.baseFixture.router.attemptEnds.peek().finished(),
                "the end of the attempt should be reported once");
        assertServes();
    }

    /**
     * No new attempt starts for this client, although the event loop has not read the failure yet.
     */
    @Test
    void noAttemptStartsAfterClientConnectionFailure() throws Exception {
        fixture.baseFixture.router.onEnd =
                (end, out) -> {
                    if (!end.finished()) {
                        out.send(end.request(), "c0", 0);
                    }
                };
        try (TestServer.Connection client = fixture.client()) {
            client.write(fixture.baseFixture.get(ProxyFixture.LONG_BUDGET_S));
            TestServer.Message first = nextNodeRequest();
            fixture.clientCalls.breakConnectionsSilently(Errno.ETIMEDOUT);
            first.connection().close();
            assertEquals(
                    Outcome.RESET,
                    ScriptedRouter.awaitNext(fixture.baseFixture.router.attemptEnds).outcome());
            assertEquals(
                    fixture.baseFixture.router.requests.get(0).id(),
                    ScriptedRouter.awaitNext(fixture.baseFixture.router.disconnectedRequests));
            assertNull(client.read());
        }
        assertCloses(fixture.clientCalls);
        assertCloses(fixture.nodeCalls);
        assertNull(fixture.baseFixture.node.next().text(), "the first connection should be closed");
        assertTrue(fixture.baseFixture.node.receivedNothing());
    }

    // Short reads and writes.

    @Test
    void worksWithOneByteReadsAndWrites() throws Exception {
        fixture.clientCalls.limitTransfers(1);
        fixture.nodeCalls.limitTransfers(1);
        fixture.discoveryCalls.limitTransfers(1);
        assertTrue(deliversEndpointList(nextWatchRequest().connection()));
        try (TestServer.Connection client = fixture.client()) {
            client.write(ProxyFixture.put("Idempotency-Key: k\r\n", "a body of its own"));
            TestServer.Message put = nextNodeRequest();
            assertEquals("a body of its own", put.body());
            put.connection().respond(200, "an answer of its own");
            assertTrue(client.read().endsWith("an answer of its own"));
            assertServes(client);
        }
    }

    // Connections to a node.

    @ParameterizedTest
    @EnumSource(names = {"ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"})
    void socketCreationFailureIsNotANodeFailure(Errno errno) throws Exception {
        try (TestServer.Connection client = fixture.client()) {
            fixture.nodeCalls.fail(SystemCall.SOCKET, errno, 1);
            assertEquals(BAD_GATEWAY, send(client));
            assertEquals(
                    Outcome.NEVER_SENT,
                    ScriptedRouter.awaitNext(fixture.baseFixture.router.attemptEnds).outcome());
            assertServes(client);
        }
    }

    @ParameterizedTest
    @EnumSource(
            names = {
                "EADDRNOTAVAIL",
                "ENETUNREACH",
                "EAGAIN",
                "ENOBUFS",
                "ENOMEM",
                "ETIMEDOUT",
                "EHOSTUNREACH"
            })
    void connectFailureProvesRequestNotSent(Errno errno) throws Exception {
        for (SystemCall call : List.of(SystemCall.CONNECT, SystemCall.FINISH_CONNECT)) {
            try (TestServer.Connection client = fixture.client()) {
                fixture.nodeCalls.fail(call, errno, 1);
                assertEquals(BAD_GATEWAY, send(client));
                assertTrue(
                        ScriptedRouter.awaitNext(fixture.baseFixture.router.attemptEnds)
                                .outcome()
                                .provesNotRun());
                assertCloses(fixture.nodeCalls);
            }
        }
        assertServes();
    }

    @ParameterizedTest
    @EnumSource(
            value = SystemCall.class,
            names = {"SOCKET", "CONFIGURE", "CONNECT", "FINISH_CONNECT"})
    void failedConnectsLeakNoDescriptors(SystemCall call) throws Exception {
        fixture.nodeCalls.fail(call, Errno.ENOBUFS, MANY_FAILURES);
        try (TestServer.Connection client = fixture.client()) {
            for (int i = 0; i < MANY_FAILURES; i++) {
                assertEquals(BAD_GATEWAY, send(client));
            }
            assertEquals(MANY_FAILURES, fixture.nodeCalls.failureCount(call));
            assertCloses(fixture.nodeCalls);
            assertEquals(0, fixture.loop.submit(() -> fixture.pool.connectionCount()).get());
            assertServes(client);
        }
    }

    /**
     * The last byte can't be written, so the request has not run, whatever broke the connection.
     */
    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void nodeConnectionFailureBeforeLastByteIsNotRun(Errno errno) throws Exception {
        try (TestServer.Connection client = fixture.client()) {
            fixture.nodeCalls.limitWrittenBytes(PARTIAL_REQUEST_BYTES);
            client.write(fixture.baseFixture.get(ProxyFixture.LONG_BUDGET_S));
            while (fixture.nodeCalls.mayWrite()) {
                fixture.settle();
            }
            fixture.nodeCalls.breakConnections(errno);
            assertEquals(BAD_GATEWAY, ProxyFixture.status(client.read()));
            assertEquals(
                    Outcome.CONNECT_FAILED,
                    ScriptedRouter.awaitNext(fixture.baseFixture.router.attemptEnds).outcome());
            assertCloses(fixture.nodeCalls);
            fixture.nodeCalls.clearFaults();
            assertServes(client);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void nodeConnectionFailureAfterLastByteMayHaveRun(Errno errno) throws Exception {
        try (TestServer.Connection client = fixture.client()) {
            client.write(fixture.baseFixture.get(ProxyFixture.LONG_BUDGET_S));
            nextNodeRequest();
            fixture.nodeCalls.breakConnections(errno);
            assertEquals(BAD_GATEWAY, ProxyFixture.status(client.read()));
            assertEquals(
                    Outcome.RESET,
                    ScriptedRouter.awaitNext(fixture.baseFixture.router.attemptEnds).outcome());
            assertCloses(fixture.nodeCalls);
            assertServes(client);
        }
    }

    /** The response has no length, so only a regular end of the stream may complete it. */
    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void nodeConnectionFailureDoesNotCompleteResponse(Errno errno) throws Exception {
        try (TestServer.Connection client = fixture.client()) {
            client.write(fixture.baseFixture.get(ProxyFixture.LONG_BUDGET_S));
            nextNodeRequest()
                    .connection()
                    .write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
            fixture.settle();
            fixture.nodeCalls.breakConnections(errno);
            assertEquals(BAD_GATEWAY, ProxyFixture.status(client.read()));
            assertEquals(
                    Outcome.RESET,
                    ScriptedRouter.awaitNext(fixture.baseFixture.router.attemptEnds).outcome());
        }
        assertCloses(fixture.nodeCalls);
    }

    /** A pooled connection that breaks while it is idle is not used again. */
    @Test
    void brokenIdleNodeConnectionIsNotUsed() throws Exception {
        try (TestServer.Connection client = fixture.client()) {
            assertServes(client);
            while (!fixture.loop.submit(fixture.pool::hasNoPausingConnection).get()) {
                fixture.settle();
            }
            fixture.nodeCalls.breakConnectionsSilently(Errno.ETIMEDOUT);
            assertServes(client);
            assertEquals(
                    Outcome.OK,
                    ScriptedRouter.awaitNext(fixture.baseFixture.router.attemptEnds).outcome());
            assertEquals(
                    Outcome.OK,
                    ScriptedRouter.awaitNext(fixture.baseFixture.router.attemptEnds).outcome());
            assertTrue(fixture.baseFixture.router.attemptEnds.isEmpty());
        }
    }

    // Discovery.

    @ParameterizedTest
    @EnumSource(
            value = SystemCall.class,
            names = {"SOCKET", "CONFIGURE", "CONNECT", "FINISH_CONNECT", "READ", "WRITE"})
    void watchIsRetriedWhateverCallFails(SystemCall call) throws Exception {
        TestServer.Connection watch = nextWatchRequest().connection();
        long began = System.nanoTime();
        fixture.discoveryCalls.failFor(call, Errno.ENOBUFS, SECOND_MS);
        watch.close();
        TestServer.Connection next = nextWatchRequest().connection();
        while (!deliversEndpointList(next)) {
            next = nextWatchRequest().connection();
        }
        assertTrue(
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began) >= SECOND_MS,
                "discovery answered although its calls should have failed");
        assertTrue(
                fixture.discoveryCalls.failureCount(call) < MAX_FAILURES_PER_S,
                "failed calls: " + fixture.discoveryCalls.failureCount(call));
        assertServes();
    }

    /**
     * Writes an endpoint list; returns whether the router receives it before another watch would be
     * opened.
     */
    private boolean deliversEndpointList(TestServer.Connection watch) throws Exception {
        try {
            watch.write(
                    RESPONSE_HEAD
                            + chunk(ProxyFixture.endpointList(8, true, fixture.baseFixture.hosts)));
        } catch (IOException e) {
            return false;
        }
        ScriptedRouter.ReceivedList received =
                fixture.baseFixture.router.receivedLists.poll(SECOND_MS, TimeUnit.MILLISECONDS);
        while (received != null && received.version() < 8) {
            received =
                    fixture.baseFixture.router.receivedLists.poll(SECOND_MS, TimeUnit.MILLISECONDS);
        }
        return received != null;
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void watchIsRetriedWhenItsConnectionBreaks(Errno errno) throws Exception {
        assertTrue(deliversEndpointList(nextWatchRequest().connection()));
        fixture.discoveryCalls.breakConnections(errno);
        assertTrue(nextWatchRequest().firstLine().contains("from=8"));
    }

    @Test
    void failedWatchesLeakNoDescriptors() throws Exception {
        nextWatchRequest();
        fixture.discoveryCalls.fail(SystemCall.CONNECT, Errno.ENETUNREACH, MAX_FAILURES_PER_S);
        fixture.discoveryCalls.breakConnections(Errno.ETIMEDOUT);
        assertTrue(deliversEndpointList(nextWatchRequest().connection()));
        assertEquals(MAX_FAILURES_PER_S, fixture.discoveryCalls.failureCount(SystemCall.CONNECT));
        assertEquals(1, fixture.discoveryCalls.openCount());
    }

    // The event loop's waits.

    @Test
    void interruptedWaitsAreHarmless() throws Exception {
        try (TestServer.Connection client = fixture.client()) {
            client.write(fixture.baseFixture.get(ProxyFixture.LONG_BUDGET_S));
            TestServer.Message request = nextNodeRequest();
            fixture.loopCalls.interruptWaits(MANY_FAILURES);
            fixture.settle();
            request.connection().respond(200, "v");
            assertEquals(200, ProxyFixture.status(client.read()));
            assertServes(client);
            assertEquals(0, fixture.loopCalls.pendingInterrupts());
        }
    }

    /** Linux documents no such failure for our event loop; Netty then creates a new selector. */
    @Test
    void failedWaitLosesNoConnection() throws Exception {
        try (TestServer.Connection client = fixture.client()) {
            client.write(fixture.baseFixture.get(ProxyFixture.LONG_BUDGET_S));
            TestServer.Message request = nextNodeRequest();
            fixture.loopCalls.fail(SystemCall.SELECT, Errno.ENOMEM, 1);
            fixture.settle();
            request.connection().respond(200, "v");
            assertEquals(200, ProxyFixture.status(client.read()));
            assertServes(client);
            assertEquals(1, fixture.loopCalls.failureCount(SystemCall.SELECT));
        }
        assertServes();
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }
}
