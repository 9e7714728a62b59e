package cacheproxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Loopback ports outside the range from which Linux assigns one to whoever asks for any. A process
 * that is told to listen at one finds it free although other tests open and close servers
 * meanwhile.
 */
public final class UnassignedPort {

    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 10_000;

    private UnassignedPort() {}

    /** An address that nobody listens at. */
    public static InetSocketAddress address() {
        for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, FIRST_PORT + PORT_COUNT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return (InetSocketAddress) socket.getLocalSocketAddress();
            } catch (IOException e) {
                // In use; another is tried.
            }
        }
        throw new IllegalStateException("no port is free");
    }
}
