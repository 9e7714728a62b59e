package cacheproxy.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A node that accepts connections late: its backlog is full until {@link #acceptConnection}, and
 * the system retries a connect after one second.
 */
final class LateAcceptingNode implements Closeable {

    private static final int CONNECT_TIMEOUT_MS = 100;

    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> backlogFillers = new ArrayList<>();

    LateAcceptingNode() throws IOException {
        boolean backlogFull = false;
        while (!backlogFull) {
            Socket next = new Socket();
            try {
                next.connect(server.getLocalSocketAddress(), CONNECT_TIMEOUT_MS);
                backlogFillers.add(next);
            } catch (SocketTimeoutException e) {
                next.close();
                backlogFull = true;
            }
        }
    }

    String dial() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /**
     * Accepts connections and returns the first that was not opened to fill the backlog; null if
     * none comes within the timeout.
     */
    TestServer.Connection acceptConnection(long timeoutMs) throws IOException {
        server.setSoTimeout((int) timeoutMs);
        try {
            for (int i = 0; ; i++) {
                Socket accepted = server.accept();
                boolean fromProxy =
                        backlogFillers.stream()
                                .noneMatch(filler -> filler.getLocalPort() == accepted.getPort());
                if (fromProxy) {
                    accepted.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TestServer.TIMEOUT_S));
                    return new TestServer.Connection(accepted, i);
                }
            }
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : backlogFillers) {
            socket.close();
        }
    }
}
