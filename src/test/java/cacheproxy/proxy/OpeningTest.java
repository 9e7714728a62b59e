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
 * A process that is told to end before its clients' address is open never opens it: who would come
 * would be lost.
 */
class OpeningTest {

    private Site site;

    @BeforeEach
    void make() throws Exception {
        site = new Site();
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    /** Discovery is silent, so the start stands between its last step and the opening. */
    @Test
    @Timeout(Peer.PATIENCE_S)
    void aDrainThatComesBeforeTheOpeningForbidsItAndEndsAtOnce() throws Exception {
        CompletableFuture<Service> opening = new CompletableFuture<>();
        CompletableFuture<Service> started =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return Service.start(
                                        site.config("automatic", "60000", ""),
                                        site.router,
                                        TimeUnit.HOURS.toMillis(1),
                                        Site.CALM,
                                        opening);
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        });
        site.service = opening.get(Peer.PATIENCE_S, TimeUnit.SECONDS);
        Peer.Message watch = site.discovery.next();
        site.service.drain();
        watch.wire().close();
        Service service = started.get(Peer.PATIENCE_S, TimeUnit.SECONDS);
        assertNull(service.listening());
    }

    @Test
    void whereTheEndHasComeFirstNothingIsOpened() throws Exception {
        CompletableFuture<Service> opening = new CompletableFuture<>();
        opening.cancel(false);
        site.service =
                Service.start(
                        site.config("automatic", "60000", ""), site.router, 0, Site.CALM, opening);
        assertNull(site.service.listening());
        assertEquals(0, site.router.lists.size(), "nothing was begun");
    }
}
