package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A process that is asked to terminate before its clients' address is open never opens it: clients
 * that connected then would be lost.
 */
class ShutdownBeforeOpeningTest {

    private ProxyFixture site;

    @BeforeEach
    void make() throws Exception {
        site = new ProxyFixture();
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    /** Discovery stays silent, so the start waits between its last step and the opening. */
    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void shutdownBeforeOpeningPreventsItAndTerminatesAtOnce() throws Exception {
        CompletableFuture<Service> opening = new CompletableFuture<>();
        CompletableFuture<Service> started =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return Service.start(
                                        site.config("automatic", "60000", ""),
                                        site.router,
                                        TimeUnit.HOURS.toMillis(1),
                                        ProxyFixture.LENIENT_TIMES,
                                        opening);
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        });
        site.service = opening.get(TestServer.TIMEOUT_S, TimeUnit.SECONDS);
        TestServer.Message watch = site.discovery.next();
        site.service.shutDown();
        watch.connection().close();
        Service service = started.get(TestServer.TIMEOUT_S, TimeUnit.SECONDS);
        assertNull(service.clientAddress());
    }

    @Test
    void opensNothingIfAlreadyCancelled() throws Exception {
        CompletableFuture<Service> opening = new CompletableFuture<>();
        opening.cancel(false);
        site.service =
                Service.start(
                        site.config("automatic", "60000", ""),
                        site.router,
                        0,
                        ProxyFixture.LENIENT_TIMES,
                        opening);
        assertNull(site.service.clientAddress());
        assertEquals(0, site.router.receivedLists.size(), "the router must not be started");
    }
}
