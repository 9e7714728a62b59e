package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.DecisionModule;
import cacheproxy.store.FaultyFiles;
import cacheproxy.store.FaultyFiles.Step;
import cacheproxy.store.MaintenanceFiles;
import cacheproxy.store.MaintenanceFiles.MaintenanceState;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two processes of one proxy, as in an upgrade, on a failing disk: the operator's latest call wins,
 * whichever process accepted it. Each call is answered before the next one is made.
 */
@Timeout(TestServer.TIMEOUT_S)
class SupersededCallsTest {

    private static final String START_MAINTENANCE = "POST /cache-nodes/c0/maint";
    private static final String END_MAINTENANCE = "POST /cache-nodes/c0/ready";
    private static final String START_DRAIN = "POST /healthcheck/fail";
    private static final String END_DRAIN = "POST /healthcheck/ok";
    private static final String NOT_YET_PERSISTED = "not yet persisted";
    private static final String SUPERSEDED = "operator_state_superseded";
    private static final MaintenanceState NOTHING = new MaintenanceState(Set.of(), false);
    private static final MaintenanceState DRAINED = new MaintenanceState(Set.of(), true);
    private static final MaintenanceState NODE_IN_MAINTENANCE =
            new MaintenanceState(Set.of("c0"), false);
    private static final int ALWAYS = Integer.MAX_VALUE;
    private static final long POLL_MS = 10;

    @TempDir Path temp;
    private final PrintStream standardError = System.err;
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<Service> started = new ArrayList<>();
    private ProxyFixture site;
    private Service first;
    private Service second;
    private final FaultyFiles disk = new FaultyFiles();
    private final FaultyFiles secondDisk = new FaultyFiles();

    @BeforeEach
    void start() throws Exception {
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        site = new ProxyFixture();
        site.environment = Map.of("TMPDIR", temp.toString());
        first = startService();
        second = startService();
        awaitReady(first);
        awaitReady(second);
        useFiles(first, disk);
        useFiles(second, secondDisk);
    }

    private Service startService() throws Exception {
        Config config = site.config("automatic", "60000", "\"admin\":\"127.0.0.1:0\",");
        Service service = Service.start(config, new DecisionModule(config.settings(), 7));
        started.add(service);
        return service;
    }

    private static void awaitReady(Service service) throws Exception {
        while (status(service, "GET /healthcheck") != 200) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private void useFiles(Service service, FaultyFiles files) {
        service.operations().useFiles(new MaintenanceFiles(stateDirectory(), files));
    }

    private Path stateDirectory() {
        return temp.resolve("flintmill");
    }

    @AfterEach
    void stop() throws Exception {
        disk.setHanging(false);
        started.forEach(Service::terminateNow);
        site.close();
        System.setErr(standardError);
        standardError.print(log.toString(StandardCharsets.UTF_8));
    }

    private static int status(Service service, String line) throws IOException {
        return ProxyFixture.status(TestServer.callOperators(service.adminAddress(), line));
    }

    /** Starts or ends a drain that takes effect at once and whose file cannot be written yet. */
    private static void callWithFailingWrite(Service service, String line) throws IOException {
        String answer = TestServer.callOperators(service.adminAddress(), line);
        assertEquals(200, ProxyFixture.status(answer));
        assertTrue(answer.contains(NOT_YET_PERSISTED), answer);
        assertTrue(service.operations().hasPendingWrites());
    }

    /** Makes a call and waits until it is on disk, which may take longer than the response. */
    private static void callAndPersist(Service service, String line) throws Exception {
        assertEquals(200, status(service, line));
        awaitNoPendingWrites(service);
    }

    private static void awaitNoPendingWrites(Service service) throws InterruptedException {
        while (service.operations().hasPendingWrites()) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private MaintenanceState storedState() throws IOException {
        return new MaintenanceFiles(stateDirectory()).read();
    }

    /** Both processes apply the state on disk, once each has read it. */
    private void assertAppliedInBoth(MaintenanceState expected) throws Exception {
        assertEquals(expected, storedState());
        for (Service service : List.of(first, second)) {
            int up = expected.drained() ? 503 : 200;
            while (upStatus(service) != up
                    || service.operations().isInMaintenance("c0") == expected.nodes().isEmpty()) {
                TimeUnit.MILLISECONDS.sleep(POLL_MS);
            }
        }
        assertEquals(expected, storedState());
    }

    private static int upStatus(Service service) throws Exception {
        try (TestServer.Connection client = TestServer.connect(service.clientAddress())) {
            client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            return ProxyFixture.status(client.read());
        }
    }

    private void assertLogged(int lines, String state) {
        String wanted = SUPERSEDED + " state=" + state;
        String text = log.toString(StandardCharsets.UTF_8);
        assertEquals(lines, text.lines().filter(line -> line.contains(wanted)).count(), text);
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"CREATE_DIRECTORY", "CREATE", "SYNC_DIRECTORY"})
    void pendingDrainIsSupersededByItsEnd(Step step) throws Exception {
        disk.fail(step, ALWAYS);
        callWithFailingWrite(first, START_DRAIN);
        callAndPersist(second, END_DRAIN);
        disk.fail(step, 0);
        awaitNoPendingWrites(first);
        assertAppliedInBoth(NOTHING);
        assertLogged(1, "drain");
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"DELETE", "SYNC_DIRECTORY"})
    void pendingEndOfDrainIsSupersededByDrain(Step step) throws Exception {
        callAndPersist(first, START_DRAIN);
        disk.fail(step, ALWAYS);
        callWithFailingWrite(first, END_DRAIN);
        callAndPersist(second, START_DRAIN);
        disk.fail(step, 0);
        awaitNoPendingWrites(first);
        assertAppliedInBoth(DRAINED);
        assertLogged(1, "drain");
    }

    @ParameterizedTest
    @CsvSource({"CREATE, true", "CREATE, false", "SYNC_DIRECTORY, true", "SYNC_DIRECTORY, false"})
    void laterOfTwoPendingCallsWinsInAnyWriteOrder(Step step, boolean olderFirst) throws Exception {
        disk.fail(step, ALWAYS);
        secondDisk.fail(step, ALWAYS);
        callWithFailingWrite(first, START_DRAIN);
        callWithFailingWrite(second, END_DRAIN);
        (olderFirst ? disk : secondDisk).fail(step, 0);
        awaitNoPendingWrites(olderFirst ? first : second);
        (olderFirst ? secondDisk : disk).fail(step, 0);
        awaitNoPendingWrites(first);
        awaitNoPendingWrites(second);
        assertAppliedInBoth(NOTHING);
    }

    @Test
    void revertOfMaintenanceIsSupersededByMaintenance() throws Exception {
        callAndPersist(first, END_MAINTENANCE);
        disk.fail(Step.SYNC_DIRECTORY, ALWAYS);
        disk.fail(Step.DELETE, ALWAYS);
        assertEquals(503, status(first, START_MAINTENANCE));
        assertEquals(NODE_IN_MAINTENANCE, storedState());
        assertTrue(first.operations().hasPendingWrites());
        callAndPersist(second, START_MAINTENANCE);
        disk.fail(Step.SYNC_DIRECTORY, 0);
        disk.fail(Step.DELETE, 0);
        awaitNoPendingWrites(first);
        assertAppliedInBoth(NODE_IN_MAINTENANCE);
        assertLogged(1, "\"cache node c0\"");
    }

    @Test
    void revertOfEndOfMaintenanceIsSupersededByItsEnd() throws Exception {
        callAndPersist(first, START_MAINTENANCE);
        disk.fail(Step.SYNC_DIRECTORY, ALWAYS);
        disk.fail(Step.CREATE, ALWAYS);
        assertEquals(503, status(first, END_MAINTENANCE));
        assertEquals(NOTHING, storedState());
        assertTrue(first.operations().hasPendingWrites());
        callAndPersist(second, END_MAINTENANCE);
        disk.fail(Step.SYNC_DIRECTORY, 0);
        disk.fail(Step.CREATE, 0);
        awaitNoPendingWrites(first);
        assertAppliedInBoth(NOTHING);
        assertLogged(1, "\"cache node c0\"");
    }

    @Test
    void callDelayedByDiskIsSupersededBeforeFirstWrite() throws Exception {
        disk.setHanging(true);
        callWithFailingWrite(first, START_DRAIN);
        callAndPersist(second, END_DRAIN);
        disk.setHanging(false);
        awaitNoPendingWrites(first);
        assertAppliedInBoth(NOTHING);
        assertLogged(1, "drain");
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void pendingCallIsWrittenWithoutLaterCallElsewhere(boolean earlier) throws Exception {
        if (earlier) {
            callAndPersist(second, END_DRAIN);
            callAndPersist(second, END_MAINTENANCE);
        }
        disk.fail(Step.CREATE, ALWAYS);
        callWithFailingWrite(first, START_DRAIN);
        disk.fail(Step.CREATE, 0);
        awaitNoPendingWrites(first);
        assertAppliedInBoth(DRAINED);
        assertLogged(0, "");
    }

    @Test
    void callOnOtherStateDoesNotSupersede() throws Exception {
        disk.fail(Step.CREATE, ALWAYS);
        callWithFailingWrite(first, START_DRAIN);
        callAndPersist(second, START_MAINTENANCE);
        disk.fail(Step.CREATE, 0);
        awaitNoPendingWrites(first);
        assertAppliedInBoth(new MaintenanceState(Set.of("c0"), true));
        assertLogged(0, "");
    }

    @Test
    void laterCallOfSameProcessReplacesPendingOne() throws Exception {
        disk.fail(Step.CREATE, ALWAYS);
        callWithFailingWrite(first, START_DRAIN);
        callWithFailingWrite(first, END_DRAIN);
        disk.fail(Step.CREATE, 0);
        awaitNoPendingWrites(first);
        assertAppliedInBoth(NOTHING);
        assertLogged(0, "");
    }
}
