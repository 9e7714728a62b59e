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
 * System calls that fail in the ways that Linux documents, on the clients' side, at a node, at
 * discovery and in the loop's waits.
 */
class SystemCallsTest {

    private static final String UP = "GET /up HTTP/1.1\r\nHost: s\r\n\r\n";
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int BAD_GATEWAY = 502;
    private static final int PART_OF_A_REQUEST = 40;
    private static final long A_SECOND_MS = 1000;

    /** One each 0.1 s, which is how long accepting rests. */
    private static final int ACCEPTS_IN_A_SECOND = 10;

    /** Failures of one call within a second that are no spinning. */
    private static final int FEW = 40;

    private static final int MANY = 1000;

    private FaultySite site;

    @BeforeEach
    void start() throws Exception {
        site = new FaultySite();
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    private int ask(Peer.Wire client) throws IOException {
        client.write(site.site.get(Site.LONG_S));
        return Site.status(client.read());
    }

    /** Asks once where the node is to answer. */
    private void assertServes() throws Exception {
        try (Peer.Wire client = site.client()) {
            assertServes(client);
        }
    }

    private void assertServes(Peer.Wire client) throws Exception {
        client.write(site.site.get(Site.LONG_S));
        nodesRequest().wire().answer(200, "v");
        assertEquals(200, Site.status(client.read()));
    }

    private Peer.Message nodesRequest() throws InterruptedException {
        Peer.Message message = site.site.node.next();
        while (message.text() == null) {
            message = site.site.node.next();
        }
        return message;
    }

    private Peer.Message watchRequest() throws InterruptedException {
        Peer.Message message = site.site.discovery.next();
        while (message.text() == null) {
            message = site.site.discovery.next();
        }
        return message;
    }

    /** Waits until a schedule's channels are closed. */
    private void assertCloses(FaultSchedule schedule) throws Exception {
        long began = System.nanoTime();
        while (schedule.open() > 0
                && System.nanoTime() - began < TimeUnit.SECONDS.toNanos(Peer.PATIENCE_S)) {
            site.settle();
        }
        assertEquals(0, schedule.open());
    }

    // Clients.

    @ParameterizedTest
    @EnumSource(names = {"ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EAGAIN"})
    void whileAcceptingFailsOpenConnectionsAreServedAndOthersAreOnceItWorks(Errno errno)
            throws Exception {
        try (Peer.Wire before = site.client()) {
            assertServes(before);
            before.write(site.site.get(Site.LONG_S));
            Peer.Message open = nodesRequest();
            site.clientCalls.fail(SystemCall.ACCEPT, errno, ACCEPTS_IN_A_SECOND);
            try (Peer.Wire next = site.client()) {
                next.write(UP);
                open.wire().answer(200, "v");
                assertEquals(200, Site.status(before.read()));
                assertEquals(200, Site.status(next.read()));
            }
        }
        assertEquals(ACCEPTS_IN_A_SECOND, site.clientCalls.failed(SystemCall.ACCEPT));
        assertTrue(site.listener.isOpen());
    }

    /** An accepted socket that can't be used is its client's loss, and nobody else's. */
    @Test
    void acceptedSocketsThatCannotBeSetUpAreClosedAndLoseNoListener() throws Exception {
        site.clientCalls.fail(SystemCall.CONFIGURE, Errno.ENOMEM, MANY);
        for (int i = 0; i < MANY; i++) {
            try (Peer.Wire client = site.client()) {
                assertNull(client.read());
            }
        }
        assertEquals(MANY, site.clientCalls.failed(SystemCall.CONFIGURE));
        assertEquals(0, site.clientCalls.open());
        assertServes();
    }

    /** What breaks with a request half read has no request; nothing is sent on. */
    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void aClientsConnectionThatBreaksBeforeTheLastByteIsClosedAndNothingIsSent(Errno errno)
            throws Exception {
        try (Peer.Wire client = site.client()) {
            assertServes(client);
            String request = site.site.get(Site.LONG_S);
            client.write(request.substring(0, request.length() - 1));
            site.settle();
            site.clientCalls.breakConnections(errno);
            assertNull(client.read());
        }
        assertCloses(site.clientCalls);
        assertEquals(1, site.site.router.requests.size());
        assertServes();
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void aClientsConnectionThatBreaksAfterTheLastByteEndsItsRequest(Errno errno) throws Exception {
        try (Peer.Wire client = site.client()) {
            client.write(site.site.get(Site.LONG_S));
            nodesRequest();
            site.clientCalls.breakConnections(errno);
            assertEquals(
                    site.site.router.requests.get(0).id(), Scripted.next(site.site.router.gone));
        }
        assertCloses(site.clientCalls);
        assertTrue(
                site.site.router.ends.isEmpty() || site.site.router.ends.peek().finished(),
                "told once");
        assertServes();
    }

    /** An attempt that would begin for it is not begun: the loop has not read of the break yet. */
    @Test
    void nothingBeginsForAClientWhoseConnectionHasBroken() throws Exception {
        site.site.router.onEnd =
                (end, out) -> {
                    if (!end.finished()) {
                        out.send(end.request(), "c0", 0);
                    }
                };
        try (Peer.Wire client = site.client()) {
            client.write(site.site.get(Site.LONG_S));
            Peer.Message first = nodesRequest();
            site.clientCalls.breakConnectionsUnseen(Errno.ETIMEDOUT);
            first.wire().close();
            assertEquals(Outcome.RESET, Scripted.next(site.site.router.ends).outcome());
            assertEquals(
                    site.site.router.requests.get(0).id(), Scripted.next(site.site.router.gone));
            assertNull(client.read());
        }
        assertCloses(site.clientCalls);
        assertCloses(site.nodeCalls);
        assertNull(site.site.node.next().text(), "its end");
        assertTrue(site.site.node.heardNothing());
    }

    // Short reads and writes.

    @Test
    void everyReadAndWriteMayMoveOneByte() throws Exception {
        site.clientCalls.shorten(1);
        site.nodeCalls.shorten(1);
        site.discoveryCalls.shorten(1);
        assertTrue(tells(watchRequest().wire()));
        try (Peer.Wire client = site.client()) {
            client.write(Site.put("Idempotency-Key: k\r\n", "a body of its own"));
            Peer.Message put = nodesRequest();
            assertEquals("a body of its own", put.body());
            put.wire().answer(200, "an answer of its own");
            assertTrue(client.read().endsWith("an answer of its own"));
            assertServes(client);
        }
    }

    // A node.

    @ParameterizedTest
    @EnumSource(names = {"ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"})
    void whereNoSocketCanBeMadeTheNodeIsNotToBlame(Errno errno) throws Exception {
        try (Peer.Wire client = site.client()) {
            site.nodeCalls.fail(SystemCall.SOCKET, errno, 1);
            assertEquals(BAD_GATEWAY, ask(client));
            assertEquals(Outcome.NEVER_SENT, Scripted.next(site.site.router.ends).outcome());
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
    void whereConnectingFailsTheRequestWasNotSent(Errno errno) throws Exception {
        for (SystemCall call : List.of(SystemCall.CONNECT, SystemCall.FINISH_CONNECT)) {
            try (Peer.Wire client = site.client()) {
                site.nodeCalls.fail(call, errno, 1);
                assertEquals(BAD_GATEWAY, ask(client));
                assertTrue(Scripted.next(site.site.router.ends).outcome().provesNotRun());
                assertCloses(site.nodeCalls);
            }
        }
        assertServes();
    }

    @ParameterizedTest
    @EnumSource(
            value = SystemCall.class,
            names = {"SOCKET", "CONFIGURE", "CONNECT", "FINISH_CONNECT"})
    void failedConnectsLeaveNothingOpen(SystemCall call) throws Exception {
        site.nodeCalls.fail(call, Errno.ENOBUFS, MANY);
        try (Peer.Wire client = site.client()) {
            for (int i = 0; i < MANY; i++) {
                assertEquals(BAD_GATEWAY, ask(client));
            }
            assertEquals(MANY, site.nodeCalls.failed(call));
            assertCloses(site.nodeCalls);
            assertEquals(0, site.loop.submit(() -> site.pool.connections()).get());
            assertServes(client);
        }
    }

    /** Its last byte can't be written: it has not run, whatever broke the connection. */
    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void aNodesConnectionThatBreaksBeforeTheLastByteHasSentNothing(Errno errno) throws Exception {
        try (Peer.Wire client = site.client()) {
            site.nodeCalls.allowWritten(PART_OF_A_REQUEST);
            client.write(site.site.get(Site.LONG_S));
            while (site.nodeCalls.mayWrite()) {
                site.settle();
            }
            site.nodeCalls.breakConnections(errno);
            assertEquals(BAD_GATEWAY, Site.status(client.read()));
            assertEquals(Outcome.CONNECT_FAILED, Scripted.next(site.site.router.ends).outcome());
            assertCloses(site.nodeCalls);
            site.nodeCalls.heal();
            assertServes(client);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void aNodesConnectionThatBreaksAfterTheLastByteMayHaveRun(Errno errno) throws Exception {
        try (Peer.Wire client = site.client()) {
            client.write(site.site.get(Site.LONG_S));
            nodesRequest();
            site.nodeCalls.breakConnections(errno);
            assertEquals(BAD_GATEWAY, Site.status(client.read()));
            assertEquals(Outcome.RESET, Scripted.next(site.site.router.ends).outcome());
            assertCloses(site.nodeCalls);
            assertServes(client);
        }
    }

    /** Its length is not told, so nothing but a proper end may end it. */
    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void aNodesConnectionThatBreaksIsNoEndOfAnAnswer(Errno errno) throws Exception {
        try (Peer.Wire client = site.client()) {
            client.write(site.site.get(Site.LONG_S));
            nodesRequest().wire().write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
            site.settle();
            site.nodeCalls.breakConnections(errno);
            assertEquals(BAD_GATEWAY, Site.status(client.read()));
            assertEquals(Outcome.RESET, Scripted.next(site.site.router.ends).outcome());
        }
        assertCloses(site.nodeCalls);
    }

    /** One that is kept and breaks while nothing is asked on it is not used. */
    @Test
    void aNodesIdleConnectionThatHasBrokenIsNotUsed() throws Exception {
        try (Peer.Wire client = site.client()) {
            assertServes(client);
            while (!site.loop.submit(site.pool::isRested).get()) {
                site.settle();
            }
            site.nodeCalls.breakConnectionsUnseen(Errno.ETIMEDOUT);
            assertServes(client);
            assertEquals(Outcome.OK, Scripted.next(site.site.router.ends).outcome());
            assertEquals(Outcome.OK, Scripted.next(site.site.router.ends).outcome());
            assertTrue(site.site.router.ends.isEmpty());
        }
    }

    // Discovery.

    @ParameterizedTest
    @EnumSource(
            value = SystemCall.class,
            names = {"SOCKET", "CONFIGURE", "CONNECT", "FINISH_CONNECT", "READ", "WRITE"})
    void discoveryIsAskedAnewWhateverFailsForASecond(SystemCall call) throws Exception {
        Peer.Wire watch = watchRequest().wire();
        long began = System.nanoTime();
        site.discoveryCalls.failFor(call, Errno.ENOBUFS, A_SECOND_MS);
        watch.close();
        Peer.Wire next = watchRequest().wire();
        while (!tells(next)) {
            next = watchRequest().wire();
        }
        assertTrue(
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began) >= A_SECOND_MS,
                "nothing failed");
        assertTrue(
                site.discoveryCalls.failed(call) < FEW,
                "failed: " + site.discoveryCalls.failed(call));
        assertServes();
    }

    /**
     * Writes a list; whether the module has it in the time in which another watch would be opened.
     */
    private boolean tells(Peer.Wire watch) throws Exception {
        try {
            watch.write(HEAD + chunk(Site.list(8, true, site.site.hosts)));
        } catch (IOException e) {
            return false;
        }
        Scripted.Told told = site.site.router.lists.poll(A_SECOND_MS, TimeUnit.MILLISECONDS);
        while (told != null && told.version() < 8) {
            told = site.site.router.lists.poll(A_SECOND_MS, TimeUnit.MILLISECONDS);
        }
        return told != null;
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void discoveryIsAskedAnewWhenItsConnectionBreaks(Errno errno) throws Exception {
        assertTrue(tells(watchRequest().wire()));
        site.discoveryCalls.breakConnections(errno);
        assertTrue(watchRequest().firstLine().contains("from=8"));
    }

    @Test
    void failedWatchesLeaveNothingOpen() throws Exception {
        watchRequest();
        site.discoveryCalls.fail(SystemCall.CONNECT, Errno.ENETUNREACH, FEW);
        site.discoveryCalls.breakConnections(Errno.ETIMEDOUT);
        assertTrue(tells(watchRequest().wire()));
        assertEquals(FEW, site.discoveryCalls.failed(SystemCall.CONNECT));
        assertEquals(1, site.discoveryCalls.open());
    }

    // Waits.

    @Test
    void waitsMayBeInterrupted() throws Exception {
        try (Peer.Wire client = site.client()) {
            client.write(site.site.get(Site.LONG_S));
            Peer.Message request = nodesRequest();
            site.loopCalls.interruptWaits(MANY);
            site.settle();
            request.wire().answer(200, "v");
            assertEquals(200, Site.status(client.read()));
            assertServes(client);
            assertEquals(0, site.loopCalls.interruptsLeft());
        }
    }

    /** Which Linux documents for no loop of ours; Netty then makes a selector anew. */
    @Test
    void aWaitThatFailsLosesNoConnection() throws Exception {
        try (Peer.Wire client = site.client()) {
            client.write(site.site.get(Site.LONG_S));
            Peer.Message request = nodesRequest();
            site.loopCalls.fail(SystemCall.SELECT, Errno.ENOMEM, 1);
            site.settle();
            request.wire().answer(200, "v");
            assertEquals(200, Site.status(client.read()));
            assertServes(client);
            assertEquals(1, site.loopCalls.failed(SystemCall.SELECT));
        }
        assertServes();
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }
}
