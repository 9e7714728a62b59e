package cacheproxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Loopback ports outside the ephemeral port range of Linux. A process that is started with such a
 * port can bind it, as servers that other tests open in the meantime get ephemeral ports.
 */
public final class UnassignedPort {

    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 10_000;

    private UnassignedPort() {}

    /** Returns a loopback address at which no process listens. */
    public static InetSocketAddress address() {
        for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, FIRST_PORT + PORT_COUNT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return (InetSocketAddress) socket.getLocalSocketAddress();
            } catch (IOException e) {
                // The port is in use; try another.
            }
        }
        throw new IllegalStateException(
                "no free loopback port found in " + PORT_COUNT + " attempts");
    }
}
