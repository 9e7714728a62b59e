package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.EndpointListKind;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** SIGHUP moves the discovery watch; an unreadable configuration changes nothing. */
class ReloadTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    @TempDir private Path folder;
    private final ProxyFixture site;
    private final TestServer next = new TestServer();
    private TestServer.Message oldWatch;

    ReloadTest() throws Exception {
        site = new ProxyFixture();
    }

    @BeforeEach
    void start() throws Exception {
        site.start("automatic", "60000", "");
        oldWatch = site.discovery.next();
        oldWatch.connection().write(HEAD);
        assertEquals(
                EndpointListKind.STORED_SNAPSHOT,
                ScriptedRouter.awaitNext(site.router.receivedLists).kind());
    }

    @AfterEach
    void stop() throws Exception {
        next.close();
        site.close();
    }

    private void reload(String file) throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), file);
        // The variable is unchanged since the start, so the file takes precedence.
        site.service.reload(
                Map.of(
                        "BALANCER_CONFIG",
                        config.toString(),
                        "BALANCER_DISCOVERY",
                        site.discovery.dial()));
    }

    private String config(String discovery) {
        return "{\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                + discovery
                + "\",\"settings\":"
                + ProxyFixture.SETTINGS.formatted("automatic", "60000")
                + "}";
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    @Test
    void movesWatchAndRequestsFullList() throws Exception {
        reload(config(next.dial()));
        TestServer.Message watch = next.next();
        assertEquals("GET /discovery/hosts?watch=1&from=0 HTTP/1.1", watch.firstLine());
        assertNull(site.discovery.next().text(), "the old watch is closed");
        assertTrue(
                site.router.receivedLists.isEmpty(),
                "the old endpoint list stays in use meanwhile");
        watch.connection()
                .write(
                        HEAD
                                + chunk(
                                        ProxyFixture.endpointList(
                                                3,
                                                true,
                                                ProxyFixture.host(
                                                        "c0", site.node.dial(), "up", 0))));
        ScriptedRouter.ReceivedList update = ScriptedRouter.awaitNext(site.router.receivedLists);
        assertEquals(EndpointListKind.SNAPSHOT, update.kind());
        assertEquals(3, update.version());
    }

    @Test
    void unreadableFileChangesNothing() throws Exception {
        reload("{\"discovery\":");
        reload("{}");
        site.service.reload(Map.of("BALANCER_CONFIG", folder.resolve("none").toString()));
        oldWatch.connection().write(chunk(ProxyFixture.endpointList(8, false)));
        assertEquals(8, ScriptedRouter.awaitNext(site.router.receivedLists).version());
    }

    @Test
    void toleratesUnchangedFileAndReloadDuringShutdown() throws Exception {
        reload(config(site.discovery.dial()));
        oldWatch.connection().write(chunk(ProxyFixture.endpointList(8, false)));
        assertEquals(8, ScriptedRouter.awaitNext(site.router.receivedLists).version());
        site.service.startShutdown();
        reload(config(next.dial()));
        assertEquals("GET /discovery/hosts?watch=1&from=0 HTTP/1.1", next.next().firstLine());
        site.service.terminateNow();
        reload(config(site.discovery.dial()));
    }

    @Test
    void signalRunsReload() throws Exception {
        CountDownLatch twice = new CountDownLatch(2);
        HangupSignal.handle(twice::countDown);
        Class<?> signal = Class.forName("sun.misc.Signal");
        Object hup = signal.getConstructor(String.class).newInstance("HUP");
        while (twice.getCount() > 0) {
            // Pending signals of one kind may be merged, so each is awaited before the next.
            long before = twice.getCount();
            signal.getMethod("raise", signal).invoke(null, hup);
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TestServer.TIMEOUT_S);
            while (twice.getCount() == before && System.nanoTime() < deadlineNanos) {
                Thread.onSpinWait();
            }
        }
    }
}
