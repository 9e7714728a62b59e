package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.DecisionModule;
import cacheproxy.store.FaultyFiles;
import cacheproxy.store.FaultyFiles.Step;
import cacheproxy.store.MaintenanceFiles;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The address for operators: its replies, and that confirmed calls take effect. */
class OperationsTest {

    private static final String START_MAINTENANCE = "POST /cache-nodes/c0/maint";
    private static final String END_MAINTENANCE = "POST /cache-nodes/c0/ready";
    private static final String START_DRAIN = "POST /healthcheck/fail";
    private static final String END_DRAIN = "POST /healthcheck/ok";

    /** Several of the intervals at which a process reads the state that another has written. */
    private static final long SEVERAL_POLLS_MS = 500;

    @TempDir Path temp;
    private ProxyFixture site;

    @BeforeEach
    void start() throws Exception {
        site = new ProxyFixture();
        site.environment = Map.of("TMPDIR", temp.toString());
        site.service = startAnother();
    }

    /** Starts one more process of the same proxy, as far as files are concerned. */
    private Service startAnother() throws Exception {
        Config config = site.config("automatic", "60000", "\"admin\":\"127.0.0.1:0\",");
        return Service.start(config, new DecisionModule(config.settings(), 7));
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    private static String call(Service service, String line) throws IOException {
        return TestServer.callOperators(service.adminAddress(), line);
    }

    private int status(String line) throws IOException {
        return ProxyFixture.status(call(site.service, line));
    }

    private int readStatus(Service service) throws Exception {
        try (TestServer.Connection client = TestServer.connect(service.clientAddress())) {
            client.write(site.get(1));
            return ProxyFixture.status(client.read());
        }
    }

    private int upStatus(Service service) throws Exception {
        try (TestServer.Connection client = TestServer.connect(service.clientAddress())) {
            client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            return ProxyFixture.status(client.read());
        }
    }

    private void answerNextRequest() throws Exception {
        for (TestServer.Message message = site.node.next(); true; message = site.node.next()) {
            if (message.text() != null) {
                message.connection().respond(200, "v");
                return;
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "POST /cache-nodes/c0/maint, 200",
        "POST /cache-nodes/%630/maint, 200",
        "POST /cache-nodes/c1/maint, 404",
        "POST /cache-nodes/%ff%00/maint, 404",
        "POST /cache-nodes//maint, 404",
        "POST /cache-nodes/c%zz/maint, 400",
        "POST /cache-nodes/c0/out, 404",
        "GET /cache-nodes/c0/maint, 405",
        "POST /healthcheck, 405",
        "GET /healthcheck/ok, 405",
        "GET /, 404",
        "GET /up, 404",
        "POST /healthcheck/ok, 200",
        "POST /healthcheck/fail, 200"
    })
    @Timeout(TestServer.TIMEOUT_S)
    void repeatedCallGetsTheSameStatus(String line, int expected) throws Exception {
        assertEquals(expected, status(line));
        assertEquals(expected, status(line));
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void silentConnectionsDoNotBlockCalls() throws Exception {
        List<TestServer.Connection> silent = new ArrayList<>();
        for (int i = 0; i < 3 * cacheproxy.admin.AdminServer.MAX_CONNECTIONS; i++) {
            silent.add(TestServer.connect(site.service.adminAddress()));
            silent.get(i).write(i % 2 == 0 ? "" : "POST /cache-nodes/c0/ma");
        }
        assertEquals(200, status(START_MAINTENANCE));
        assertNull(silent.get(0).read(), "the oldest connection is closed first");
        for (TestServer.Connection wire : silent) {
            wire.close();
        }
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void maintenanceAppliesInAllProcessesUntilItEnds() throws Exception {
        Service other = startAnother();
        try {
            assertEquals(200, status(START_MAINTENANCE));
            while (readStatus(other) != 503) {
                answerNextRequest();
            }
            Service next = startAnother();
            assertEquals(503, readStatus(next), "the node is in maintenance from the start");
            next.terminateNow();
            assertEquals(200, ProxyFixture.status(call(other, END_MAINTENANCE)));
            TestServer.Message sent = null;
            while (sent == null || sent.text() == null) {
                try (TestServer.Connection client = site.client()) {
                    client.write(site.get(1));
                    assertTrue(ProxyFixture.status(client.read()) > 0);
                }
                sent = site.node.receivedNothing() ? null : site.node.next();
            }
        } finally {
            other.terminateNow();
        }
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void maintenanceStaysWhileStateIsUnreadable() throws Exception {
        assertEquals(200, status(START_MAINTENANCE));
        Path folder = temp.resolve("flintmill");
        Files.move(folder, temp.resolve("away"));
        Files.writeString(folder, "no folder");
        // The state is read with each endpoint list; the list is applied once its node is known.
        String list =
                ProxyFixture.endpointList(
                                8, false, ProxyFixture.host("c1", site.node.dial(), "draining", 0))
                        + "\n";
        site.discovery
                .next()
                .connection()
                .write(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(list.length())
                                + "\r\n"
                                + list
                                + "\r\n");
        while (status("POST /cache-nodes/c1/maint") == 404) {
            Thread.onSpinWait();
        }
        assertEquals(503, readStatus(site.service));
        assertTrue(site.node.receivedNothing());
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void rejectsMaintenanceThatCannotBePersisted() throws Exception {
        Path folder = temp.resolve("flintmill");
        Files.delete(folder);
        Files.writeString(folder, "no folder");
        assertEquals(503, status(START_MAINTENANCE));
        try (TestServer.Connection client = site.client()) {
            client.write(site.get(ProxyFixture.LONG_BUDGET_S));
            answerNextRequest();
            assertEquals(
                    200, ProxyFixture.status(client.read()), "the node still receives requests");
        }
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void drainClosesConnectionsAndItsEndAcceptsClientsAgain() throws Exception {
        try (TestServer.Connection served = site.client();
                TestServer.Connection idle = site.client();
                TestServer.Connection late = site.client()) {
            for (TestServer.Connection client : List.of(served, idle)) {
                client.write(site.get(ProxyFixture.LONG_BUDGET_S));
                answerNextRequest();
                assertEquals(200, ProxyFixture.status(client.read()));
            }
            assertEquals(200, status("POST /healthcheck/fail"));
            late.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            assertEquals(503, ProxyFixture.status(late.read()));
            served.write(site.get(ProxyFixture.LONG_BUDGET_S));
            answerNextRequest();
            String answer = served.read();
            assertEquals(200, ProxyFixture.status(answer));
            assertEquals("close", new TestServer.Message(answer, served).header("Connection"));
            assertNull(idle.read(), "an idle client is closed");
        }
        Service next = startAnother();
        while (ProxyFixture.status(call(next, "GET /healthcheck")) != 200) {
            Thread.onSpinWait();
        }
        assertEquals(503, upStatus(next), "ready, and drained from its start");
        next.terminateNow();
        assertEquals(200, status("POST /healthcheck/ok"));
        try (TestServer.Connection back = site.client()) {
            back.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            assertEquals(200, ProxyFixture.status(back.read()));
            assertTrue(call(site.service, "GET /healthcheck").endsWith("ready\n"));
        }
    }

    /** Replaces the files of the service by ones that a test can let fail. */
    private FaultyFiles useFaultyFiles() {
        FaultyFiles faulty = new FaultyFiles();
        site.service.operations().useFiles(new MaintenanceFiles(temp.resolve("flintmill"), faulty));
        return faulty;
    }

    private int upStatusOfNextProcess() throws Exception {
        Service next = startAnother();
        try {
            awaitReady(next);
            return upStatus(next);
        } finally {
            next.terminateNow();
        }
    }

    /** Waits until the proxy is ready; before that /up answers 503 in any case. */
    private static void awaitReady(Service service) throws Exception {
        while (ProxyFixture.status(call(service, "GET /healthcheck")) != 200) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private void awaitNoPendingWrites() throws InterruptedException {
        while (site.service.operations().hasPendingWrites()) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"CREATE_DIRECTORY", "CREATE", "DELETE", "SYNC_DIRECTORY"})
    @Timeout(TestServer.TIMEOUT_S)
    void retriesToPersistDrainAndItsEnd(Step step) throws Exception {
        FaultyFiles faulty = useFaultyFiles();
        faulty.fail(step, 1);
        assertEquals(200, status(START_DRAIN));
        awaitNoPendingWrites();
        faulty.crash(true);
        assertEquals(503, upStatusOfNextProcess(), "the drain is persisted after one failure");
        faulty = useFaultyFiles();
        faulty.fail(step, 1);
        assertEquals(200, status(END_DRAIN));
        awaitNoPendingWrites();
        faulty.crash(true);
        assertEquals(200, upStatusOfNextProcess(), "its end is persisted after one failure");
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void drainAppliesWhileWritesFailAndIsPersistedLater() throws Exception {
        awaitReady(site.service);
        FaultyFiles faulty = useFaultyFiles();
        faulty.fail(Step.CREATE, Integer.MAX_VALUE);
        String answer = call(site.service, START_DRAIN);
        assertEquals(200, ProxyFixture.status(answer));
        assertTrue(answer.contains("not yet persisted"), answer);
        TimeUnit.MILLISECONDS.sleep(SEVERAL_POLLS_MS);
        assertEquals(503, upStatus(site.service), "a disk without the drain does not end it");
        assertEquals(200, upStatusOfNextProcess(), "writes to the disk fail");
        faulty.fail(Step.CREATE, 0);
        awaitNoPendingWrites();
        assertEquals(503, upStatusOfNextProcess());

        faulty.fail(Step.DELETE, Integer.MAX_VALUE);
        assertEquals(200, status(END_DRAIN));
        TimeUnit.MILLISECONDS.sleep(SEVERAL_POLLS_MS);
        assertEquals(200, upStatus(site.service), "a disk with the drain does not start it again");
        faulty.fail(Step.DELETE, 0);
        awaitNoPendingWrites();
        assertEquals(200, upStatusOfNextProcess());
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void revertsMaintenanceThatCannotBeSynced() throws Exception {
        FaultyFiles faulty = useFaultyFiles();
        assertEquals(200, status(END_MAINTENANCE), "the name of the directory is synced");
        faulty.fail(Step.SYNC_DIRECTORY, Integer.MAX_VALUE);
        faulty.fail(Step.DELETE, Integer.MAX_VALUE);
        assertEquals(503, status(START_MAINTENANCE));
        assertEquals(Set.of("c0"), new MaintenanceFiles(temp.resolve("flintmill")).read().nodes());
        TimeUnit.MILLISECONDS.sleep(SEVERAL_POLLS_MS);
        assertServes();
        faulty.fail(Step.SYNC_DIRECTORY, 0);
        faulty.fail(Step.DELETE, 0);
        awaitNoPendingWrites();
        faulty.crash(true);
        assertEquals(Set.of(), new MaintenanceFiles(temp.resolve("flintmill")).read().nodes());
        assertServes();
    }

    private void assertServes() throws Exception {
        try (TestServer.Connection client = site.client()) {
            client.write(site.get(ProxyFixture.LONG_BUDGET_S));
            answerNextRequest();
            assertEquals(200, ProxyFixture.status(client.read()));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"DELETE", "SYNC_DIRECTORY"})
    @Timeout(TestServer.TIMEOUT_S)
    void maintenanceStaysIfItsEndCannotBePersisted(Step step) throws Exception {
        FaultyFiles faulty = useFaultyFiles();
        assertEquals(200, status(START_MAINTENANCE));
        faulty.fail(step, step == Step.DELETE ? 1 : 3);
        assertEquals(503, status(END_MAINTENANCE));
        assertEquals(503, readStatus(site.service));
        awaitNoPendingWrites();
        faulty.crash(true);
        TimeUnit.MILLISECONDS.sleep(SEVERAL_POLLS_MS);
        assertEquals(503, readStatus(site.service));
        Service next = startAnother();
        assertEquals(503, readStatus(next));
        next.terminateNow();
        assertTrue(site.node.receivedNothing());
        assertEquals(200, status(END_MAINTENANCE));
    }

    private int statusOf(String line) {
        try {
            return status(line);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void hangingDiskDelaysNeitherClientsNorReplies() throws Exception {
        awaitReady(site.service);
        FaultyFiles faulty = useFaultyFiles();
        faulty.setHanging(true);
        try {
            CompletableFuture<Integer> maintenance =
                    CompletableFuture.supplyAsync(() -> statusOf(START_MAINTENANCE));
            while (!site.service.operations().hasPendingWrites()) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertServes();
            assertEquals(503, maintenance.get());
            assertServes();
            assertEquals(200, status(START_DRAIN));
            assertEquals(503, upStatus(site.service));
        } finally {
            faulty.setHanging(false);
        }
        awaitNoPendingWrites();
        MaintenanceFiles.MaintenanceState kept =
                new MaintenanceFiles(temp.resolve("flintmill")).read();
        MaintenanceFiles.MaintenanceState expected =
                new MaintenanceFiles.MaintenanceState(Set.of(), true);
        assertEquals(expected, kept, "a rejected call is reverted, a confirmed one is persisted");
    }
}
