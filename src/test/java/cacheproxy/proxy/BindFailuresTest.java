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

/** An address that can't be bound for a moment, here as another socket has it, ends no start. */
class BindFailuresTest {

    private static final long A_MOMENT_MS = 200;
    private static final String ANY = "127.0.0.1:0";
    private static final String UP = "GET /up HTTP/1.1\r\nHost: s\r\n\r\n";

    private Site site;
    private ServerSocket other;

    @BeforeEach
    void take() throws Exception {
        site = new Site();
        other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws Exception {
        other.close();
        site.close();
    }

    private String taken() {
        return "127.0.0.1:" + other.getLocalPort();
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
                        site.times,
                        new CompletableFuture<>());
    }

    private void freeLater() {
        Executor later = CompletableFuture.delayedExecutor(A_MOMENT_MS, TimeUnit.MILLISECONDS);
        later.execute(
                () -> {
                    try {
                        other.close();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    @Test
    void theClientsAddressIsTriedAgain() throws Exception {
        freeLater();
        start(taken(), "");
        try (Peer.Wire client = site.client()) {
            client.write(UP);
            assertEquals("HTTP/1.1 ", client.read().substring(0, 9));
        }
    }

    @Test
    void theOperatorsAddressIsTriedAgain() throws Exception {
        InetSocketAddress admin = (InetSocketAddress) other.getLocalSocketAddress();
        freeLater();
        start(ANY, "\"admin\":\"" + taken() + "\",");
        assertEquals(admin.getPort(), site.service.adminListening().getPort());
    }

    @Test
    void anAddressThatStaysTakenEndsTheStart() {
        assertThrows(IOException.class, () -> start(taken(), ""));
    }
}
