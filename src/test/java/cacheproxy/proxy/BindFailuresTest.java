package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A start succeeds although an address cannot be bound at first, here because another socket uses
 * it.
 */
class BindFailuresTest {

    private static final long RELEASE_DELAY_MS = 200;
    private static final String ANY = "127.0.0.1:0";
    private static final String UP = "GET /up HTTP/1.1\r\nHost: s\r\n\r\n";

    private ProxyFixture site;
    private ServerSocket occupyingSocket;

    @BeforeEach
    void occupyAddress() throws Exception {
        site = new ProxyFixture();
        occupyingSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws Exception {
        occupyingSocket.close();
        site.close();
    }

    private String occupiedAddress() {
        return "127.0.0.1:" + occupyingSocket.getLocalPort();
    }

    private void start(String listen, String more) throws Exception {
        String json =
                site.json("automatic", "60000", more)
                        .replace("\"listen\":\"" + ANY, "\"listen\":\"" + listen);
        site.service =
                Service.start(
                        Config.parse(json, site.environment),
                        site.router,
                        0,
                        site.discoveryTimes,
                        new CompletableFuture<>());
    }

    private void releaseLater() {
        Executor later = CompletableFuture.delayedExecutor(RELEASE_DELAY_MS, TimeUnit.MILLISECONDS);
        later.execute(
                () -> {
                    try {
                        occupyingSocket.close();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    @Test
    void retriesToBindClientAddress() throws Exception {
        releaseLater();
        start(occupiedAddress(), "");
        try (TestServer.Connection client = site.client()) {
            client.write(UP);
            assertEquals("HTTP/1.1 ", client.read().substring(0, 9));
        }
    }

    @Test
    void retriesToBindOperatorAddress() throws Exception {
        InetSocketAddress admin = (InetSocketAddress) occupyingSocket.getLocalSocketAddress();
        releaseLater();
        start(ANY, "\"admin\":\"" + occupiedAddress() + "\",");
        assertEquals(admin.getPort(), site.service.adminAddress().getPort());
    }

    @Test
    void startFailsIfAddressStaysInUse() {
        assertThrows(IOException.class, () -> start(occupiedAddress(), ""));
    }
}
