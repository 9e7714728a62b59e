package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Decide;
import cacheproxy.store.FaultyFiles;
import cacheproxy.store.FaultyFiles.Step;
import cacheproxy.store.OutageFiles;
import cacheproxy.store.OutageFiles.Kept;
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
 * Two processes of one proxy, as in an upgrade, on a disk that fails: the operator's latest call
 * wins, whichever process took it. Each call is answered before the next one is made.
 */
@Timeout(Peer.PATIENCE_S)
class SupersededCallsTest {

    private static final String MAINT = "POST /cache-nodes/c0/maint";
    private static final String READY = "POST /cache-nodes/c0/ready";
    private static final String DRAIN = "POST /healthcheck/fail";
    private static final String FILL = "POST /healthcheck/ok";
    private static final String NOT_KEPT_YET = "not kept yet";
    private static final String SUPERSEDED = "operator_state_superseded";
    private static final Kept NOTHING = new Kept(Set.of(), false);
    private static final Kept DRAINED = new Kept(Set.of(), true);
    private static final Kept NODE_OUT = new Kept(Set.of("c0"), false);
    private static final int ALWAYS = Integer.MAX_VALUE;
    private static final long POLL_MS = 10;

    @TempDir Path temp;
    private final PrintStream standardError = System.err;
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<Service> started = new ArrayList<>();
    private Site site;
    private Service first;
    private Service second;
    private final FaultyFiles disk = new FaultyFiles();
    private final FaultyFiles secondDisk = new FaultyFiles();

    @BeforeEach
    void start() throws Exception {
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        site = new Site();
        site.environment = Map.of("TMPDIR", temp.toString());
        first = started();
        second = started();
        awaitReady(first);
        awaitReady(second);
        keepOn(first, disk);
        keepOn(second, secondDisk);
    }

    private Service started() throws Exception {
        Config config = site.config("automatic", "60000", "\"admin\":\"127.0.0.1:0\",");
        Service service = Service.start(config, new Decide(config.settings(), 7));
        started.add(service);
        return service;
    }

    private static void awaitReady(Service service) throws Exception {
        while (status(service, "GET /healthcheck") != 200) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private void keepOn(Service service, FaultyFiles files) {
        service.operations().keepIn(new OutageFiles(folder(), files));
    }

    private Path folder() {
        return temp.resolve("flintmill");
    }

    @AfterEach
    void stop() throws Exception {
        disk.hold(false);
        started.forEach(Service::kill);
        site.close();
        System.setErr(standardError);
        standardError.print(log.toString(StandardCharsets.UTF_8));
    }

    private static int status(Service service, String line) throws IOException {
        return Site.status(Peer.call(service.adminListening(), line));
    }

    /** A drain, or its end, that holds at once and whose file can't be written yet. */
    private static void callOwed(Service service, String line) throws IOException {
        String answer = Peer.call(service.adminListening(), line);
        assertEquals(200, Site.status(answer));
        assertTrue(answer.contains(NOT_KEPT_YET), answer);
        assertTrue(service.operations().isAnyOwed());
    }

    /** A call that is on disk when this returns; a busy disk may take longer than the answer. */
    private static void callKept(Service service, String line) throws Exception {
        assertEquals(200, status(service, line));
        awaitNothingOwed(service);
    }

    private static void awaitNothingOwed(Service service) throws InterruptedException {
        while (service.operations().isAnyOwed()) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private Kept kept() throws IOException {
        return new OutageFiles(folder()).read();
    }

    /** What holds on disk holds in both processes, once each has looked. */
    private void assertHoldsInBoth(Kept expected) throws Exception {
        assertEquals(expected, kept());
        for (Service service : List.of(first, second)) {
            int up = expected.drained() ? 503 : 200;
            while (up(service) != up
                    || service.operations().isOut("c0") == expected.out().isEmpty()) {
                TimeUnit.MILLISECONDS.sleep(POLL_MS);
            }
        }
        assertEquals(expected, kept());
    }

    private static int up(Service service) throws Exception {
        try (Peer.Wire client = Peer.connect(service.listening())) {
            client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            return Site.status(client.read());
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
            names = {"CREATE_FOLDER", "CREATE", "FORCE_FOLDER"})
    void anOwedDrainGivesWayToItsEndAtTheOtherProcess(Step step) throws Exception {
        disk.fail(step, ALWAYS);
        callOwed(first, DRAIN);
        callKept(second, FILL);
        disk.fail(step, 0);
        awaitNothingOwed(first);
        assertHoldsInBoth(NOTHING);
        assertLogged(1, "drain");
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"DELETE", "FORCE_FOLDER"})
    void anOwedEndOfADrainGivesWayToADrainAtTheOtherProcess(Step step) throws Exception {
        callKept(first, DRAIN);
        disk.fail(step, ALWAYS);
        callOwed(first, FILL);
        callKept(second, DRAIN);
        disk.fail(step, 0);
        awaitNothingOwed(first);
        assertHoldsInBoth(DRAINED);
        assertLogged(1, "drain");
    }

    @ParameterizedTest
    @CsvSource({"CREATE, true", "CREATE, false", "FORCE_FOLDER, true", "FORCE_FOLDER, false"})
    void theLaterOfTwoOwedCallsWinsWhicheverIsWrittenFirst(Step step, boolean olderFirst)
            throws Exception {
        disk.fail(step, ALWAYS);
        secondDisk.fail(step, ALWAYS);
        callOwed(first, DRAIN);
        callOwed(second, FILL);
        (olderFirst ? disk : secondDisk).fail(step, 0);
        awaitNothingOwed(olderFirst ? first : second);
        (olderFirst ? secondDisk : disk).fail(step, 0);
        awaitNothingOwed(first);
        awaitNothingOwed(second);
        assertHoldsInBoth(NOTHING);
    }

    @Test
    void aFailedOutageThatIsTakenBackGivesWayToAnOutageAtTheOtherProcess() throws Exception {
        callKept(first, READY);
        disk.fail(Step.FORCE_FOLDER, ALWAYS);
        disk.fail(Step.DELETE, ALWAYS);
        assertEquals(503, status(first, MAINT));
        assertEquals(NODE_OUT, kept());
        assertTrue(first.operations().isAnyOwed());
        callKept(second, MAINT);
        disk.fail(Step.FORCE_FOLDER, 0);
        disk.fail(Step.DELETE, 0);
        awaitNothingOwed(first);
        assertHoldsInBoth(NODE_OUT);
        assertLogged(1, "\"cache node c0\"");
    }

    @Test
    void aFailedEndOfAnOutageThatIsTakenBackGivesWayToAnEndAtTheOtherProcess() throws Exception {
        callKept(first, MAINT);
        disk.fail(Step.FORCE_FOLDER, ALWAYS);
        disk.fail(Step.CREATE, ALWAYS);
        assertEquals(503, status(first, READY));
        assertEquals(NOTHING, kept());
        assertTrue(first.operations().isAnyOwed());
        callKept(second, READY);
        disk.fail(Step.FORCE_FOLDER, 0);
        disk.fail(Step.CREATE, 0);
        awaitNothingOwed(first);
        assertHoldsInBoth(NOTHING);
        assertLogged(1, "\"cache node c0\"");
    }

    @Test
    void aCallThatTheDiskHoldsUpGivesWayToALaterOneBeforeItIsFirstWritten() throws Exception {
        disk.hold(true);
        callOwed(first, DRAIN);
        callKept(second, FILL);
        disk.hold(false);
        awaitNothingOwed(first);
        assertHoldsInBoth(NOTHING);
        assertLogged(1, "drain");
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anOwedCallIsWrittenWhereTheOtherProcessTookNoneOrAnEarlierOne(boolean earlier)
            throws Exception {
        if (earlier) {
            callKept(second, FILL);
            callKept(second, READY);
        }
        disk.fail(Step.CREATE, ALWAYS);
        callOwed(first, DRAIN);
        disk.fail(Step.CREATE, 0);
        awaitNothingOwed(first);
        assertHoldsInBoth(DRAINED);
        assertLogged(0, "");
    }

    @Test
    void aCallOnAnotherStateDoesNotSupersedeAnOwedOne() throws Exception {
        disk.fail(Step.CREATE, ALWAYS);
        callOwed(first, DRAIN);
        callKept(second, MAINT);
        disk.fail(Step.CREATE, 0);
        awaitNothingOwed(first);
        assertHoldsInBoth(new Kept(Set.of("c0"), true));
        assertLogged(0, "");
    }

    @Test
    void aLaterCallOfTheSameProcessReplacesItsOwedOne() throws Exception {
        disk.fail(Step.CREATE, ALWAYS);
        callOwed(first, DRAIN);
        callOwed(first, FILL);
        disk.fail(Step.CREATE, 0);
        awaitNothingOwed(first);
        assertHoldsInBoth(NOTHING);
        assertLogged(0, "");
    }
}
