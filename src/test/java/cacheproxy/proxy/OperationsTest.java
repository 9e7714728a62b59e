package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Decide;
import cacheproxy.store.FaultyFiles;
import cacheproxy.store.FaultyFiles.Step;
import cacheproxy.store.OutageFiles;
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

/** The operators' address: what it answers, and that what it says yes to holds. */
class OperationsTest {

    private static final String MAINT = "POST /cache-nodes/c0/maint";
    private static final String READY = "POST /cache-nodes/c0/ready";
    private static final String DRAIN = "POST /healthcheck/fail";
    private static final String FILL = "POST /healthcheck/ok";

    /** Some of the looks by which a process takes on what another has kept. */
    private static final long LOOKS_MS = 500;

    @TempDir Path temp;
    private Site site;

    @BeforeEach
    void start() throws Exception {
        site = new Site();
        site.environment = Map.of("TMPDIR", temp.toString());
        site.service = another();
    }

    /** One more process of the same proxy, as far as files go. */
    private Service another() throws Exception {
        Config config = site.config("automatic", "60000", "\"admin\":\"127.0.0.1:0\",");
        return Service.start(config, new Decide(config.settings(), 7));
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    private static String call(Service service, String line) throws IOException {
        return Peer.call(service.adminListening(), line);
    }

    private int status(String line) throws IOException {
        return Site.status(call(site.service, line));
    }

    private int read(Service service) throws Exception {
        try (Peer.Wire client = Peer.connect(service.listening())) {
            client.write(site.get(1));
            return Site.status(client.read());
        }
    }

    private int up(Service service) throws Exception {
        try (Peer.Wire client = Peer.connect(service.listening())) {
            client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            return Site.status(client.read());
        }
    }

    private void nodeAnswers() throws Exception {
        for (Peer.Message m = site.node.next(); true; m = site.node.next()) {
            if (m.text() != null) {
                m.wire().answer(200, "v");
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
    @Timeout(Peer.PATIENCE_S)
    void eachCallIsAnsweredAndARepeatGetsTheSame(String line, int expected) throws Exception {
        assertEquals(expected, status(line));
        assertEquals(expected, status(line));
    }

    @Test
    @Timeout(Peer.PATIENCE_S)
    void callersThatSayNothingOrHalfTakeNoPlaceFromThoseThatCall() throws Exception {
        List<Peer.Wire> silent = new ArrayList<>();
        for (int i = 0; i < 3 * cacheproxy.admin.AdminServer.PLACES; i++) {
            silent.add(Peer.connect(site.service.adminListening()));
            silent.get(i).write(i % 2 == 0 ? "" : "POST /cache-nodes/c0/ma");
        }
        assertEquals(200, status(MAINT));
        assertNull(silent.get(0).read(), "the oldest went first");
        for (Peer.Wire wire : silent) {
            wire.close();
        }
    }

    @Test
    @Timeout(Peer.PATIENCE_S)
    void aNodeIsOutInBothProcessesAndInTheNextUntilItIsPutBack() throws Exception {
        Service other = another();
        try {
            assertEquals(200, status(MAINT));
            while (read(other) != 503) {
                nodeAnswers();
            }
            Service next = another();
            assertEquals(503, read(next), "out from its start on");
            next.kill();
            assertEquals(200, Site.status(call(other, READY)));
            Peer.Message sent = null;
            while (sent == null || sent.text() == null) {
                try (Peer.Wire client = site.client()) {
                    client.write(site.get(1));
                    assertTrue(Site.status(client.read()) > 0);
                }
                sent = site.node.heardNothing() ? null : site.node.next();
            }
        } finally {
            other.kill();
        }
    }

    @Test
    @Timeout(Peer.PATIENCE_S)
    void aNodeStaysOutWhileItCannotBeReadWhatIsOut() throws Exception {
        assertEquals(200, status(MAINT));
        Path folder = temp.resolve("flintmill");
        Files.move(folder, temp.resolve("away"));
        Files.writeString(folder, "no folder");
        // What is kept is read with each list; this one has been taken in once its node is known.
        String list = Site.list(8, false, Site.host("c1", site.node.dial(), "draining", 0)) + "\n";
        site.discovery
                .next()
                .wire()
                .write(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(list.length())
                                + "\r\n"
                                + list
                                + "\r\n");
        while (status("POST /cache-nodes/c1/maint") == 404) {
            Thread.onSpinWait();
        }
        assertEquals(503, read(site.service));
        assertTrue(site.node.heardNothing());
    }

    @Test
    @Timeout(Peer.PATIENCE_S)
    void whatCannotBeKeptForTheNextProcessIsANoAndChangesNothing() throws Exception {
        Path folder = temp.resolve("flintmill");
        Files.delete(folder);
        Files.writeString(folder, "no folder");
        assertEquals(503, status(MAINT));
        try (Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            nodeAnswers();
            assertEquals(200, Site.status(client.read()), "it serves on");
        }
    }

    @Test
    @Timeout(Peer.PATIENCE_S)
    void aDrainEndsEachConnectionWithAnAnswerAndItsEndBringsClientsBack() throws Exception {
        try (Peer.Wire served = site.client();
                Peer.Wire idle = site.client();
                Peer.Wire late = site.client()) {
            for (Peer.Wire client : List.of(served, idle)) {
                client.write(site.get(Site.LONG_S));
                nodeAnswers();
                assertEquals(200, Site.status(client.read()));
            }
            assertEquals(200, status("POST /healthcheck/fail"));
            late.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            assertEquals(503, Site.status(late.read()));
            served.write(site.get(Site.LONG_S));
            nodeAnswers();
            String answer = served.read();
            assertEquals(200, Site.status(answer));
            assertEquals("close", new Peer.Message(answer, served).header("Connection"));
            assertNull(idle.read(), "an idle client is let go");
        }
        Service next = another();
        while (Site.status(call(next, "GET /healthcheck")) != 200) {
            Thread.onSpinWait();
        }
        assertEquals(503, up(next), "it can serve, and is drained from its start on");
        next.kill();
        assertEquals(200, status("POST /healthcheck/ok"));
        try (Peer.Wire back = site.client()) {
            back.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            assertEquals(200, Site.status(back.read()));
            assertTrue(call(site.service, "GET /healthcheck").endsWith("ready\n"));
        }
    }

    /** The service's files from now on, which a test lets fail. */
    private FaultyFiles faulty() {
        FaultyFiles faulty = new FaultyFiles();
        site.service.operations().keepIn(new OutageFiles(temp.resolve("flintmill"), faulty));
        return faulty;
    }

    private int upOfTheNextProcess() throws Exception {
        Service next = another();
        try {
            awaitReady(next);
            return up(next);
        } finally {
            next.kill();
        }
    }

    /** Until then /up says no in any case. */
    private static void awaitReady(Service service) throws Exception {
        while (Site.status(call(service, "GET /healthcheck")) != 200) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private void awaitNothingOwed() throws InterruptedException {
        while (site.service.operations().isAnyOwed()) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"CREATE_FOLDER", "CREATE", "DELETE", "FORCE_FOLDER"})
    @Timeout(Peer.PATIENCE_S)
    void aDrainAndItsEndAreWrittenUntilTheNextProcessKnows(Step step) throws Exception {
        FaultyFiles faulty = faulty();
        faulty.fail(step, 1);
        assertEquals(200, status(DRAIN));
        awaitNothingOwed();
        faulty.crash(true);
        assertEquals(503, upOfTheNextProcess(), "one failure");
        faulty = faulty();
        faulty.fail(step, 1);
        assertEquals(200, status(FILL));
        awaitNothingOwed();
        faulty.crash(true);
        assertEquals(200, upOfTheNextProcess(), "one failure");
    }

    @Test
    @Timeout(Peer.PATIENCE_S)
    void aDrainThatTheDiskRefusesForAWhileHoldsHereAndIsWrittenAfterwards() throws Exception {
        awaitReady(site.service);
        FaultyFiles faulty = faulty();
        faulty.fail(Step.CREATE, Integer.MAX_VALUE);
        String answer = call(site.service, DRAIN);
        assertEquals(200, Site.status(answer));
        assertTrue(answer.contains("not kept yet"), answer);
        TimeUnit.MILLISECONDS.sleep(LOOKS_MS);
        assertEquals(503, up(site.service), "a disk without the drain doesn't end it");
        assertEquals(200, upOfTheNextProcess(), "the disk refuses");
        faulty.fail(Step.CREATE, 0);
        awaitNothingOwed();
        assertEquals(503, upOfTheNextProcess());

        faulty.fail(Step.DELETE, Integer.MAX_VALUE);
        assertEquals(200, status(FILL));
        TimeUnit.MILLISECONDS.sleep(LOOKS_MS);
        assertEquals(200, up(site.service), "a disk with the drain doesn't begin it again");
        faulty.fail(Step.DELETE, 0);
        awaitNothingOwed();
        assertEquals(200, upOfTheNextProcess());
    }

    @Test
    @Timeout(Peer.PATIENCE_S)
    void anOutageThatCannotBeSyncedIsANoAndIsTakenOffTheDiskAgain() throws Exception {
        FaultyFiles faulty = faulty();
        assertEquals(200, status(READY), "the folder's own name is synced");
        faulty.fail(Step.FORCE_FOLDER, Integer.MAX_VALUE);
        faulty.fail(Step.DELETE, Integer.MAX_VALUE);
        assertEquals(503, status(MAINT));
        assertEquals(Set.of("c0"), new OutageFiles(temp.resolve("flintmill")).read().out());
        TimeUnit.MILLISECONDS.sleep(LOOKS_MS);
        assertServes();
        faulty.fail(Step.FORCE_FOLDER, 0);
        faulty.fail(Step.DELETE, 0);
        awaitNothingOwed();
        faulty.crash(true);
        assertEquals(Set.of(), new OutageFiles(temp.resolve("flintmill")).read().out());
        assertServes();
    }

    private void assertServes() throws Exception {
        try (Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            nodeAnswers();
            assertEquals(200, Site.status(client.read()));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"DELETE", "FORCE_FOLDER"})
    @Timeout(Peer.PATIENCE_S)
    void anOutageWhoseEndCannotBeKeptStaysInEachProcess(Step step) throws Exception {
        FaultyFiles faulty = faulty();
        assertEquals(200, status(MAINT));
        faulty.fail(step, step == Step.DELETE ? 1 : 3);
        assertEquals(503, status(READY));
        assertEquals(503, read(site.service));
        awaitNothingOwed();
        faulty.crash(true);
        TimeUnit.MILLISECONDS.sleep(LOOKS_MS);
        assertEquals(503, read(site.service));
        Service next = another();
        assertEquals(503, read(next));
        next.kill();
        assertTrue(site.node.heardNothing());
        assertEquals(200, status(READY));
    }

    private int statusOf(String line) {
        try {
            return status(line);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    @Timeout(Peer.PATIENCE_S)
    void aDiskThatHangsHoldsUpNeitherClientsNorAnswers() throws Exception {
        awaitReady(site.service);
        FaultyFiles faulty = faulty();
        faulty.hold(true);
        try {
            CompletableFuture<Integer> outage =
                    CompletableFuture.supplyAsync(() -> statusOf(MAINT));
            while (!site.service.operations().isAnyOwed()) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertServes();
            assertEquals(503, outage.get());
            assertServes();
            assertEquals(200, status(DRAIN));
            assertEquals(503, up(site.service));
        } finally {
            faulty.hold(false);
        }
        awaitNothingOwed();
        OutageFiles.Kept kept = new OutageFiles(temp.resolve("flintmill")).read();
        OutageFiles.Kept expected = new OutageFiles.Kept(Set.of(), true);
        assertEquals(expected, kept, "a no is taken back, a yes is kept");
    }
}
