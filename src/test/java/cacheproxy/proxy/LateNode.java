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
 * A node whose connections come up late: its backlog is full until {@link #open}, and the system
 * tries again after a second.
 */
final class LateNode implements Closeable {

    private static final int PROBE_MS = 100;

    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> fill = new ArrayList<>();

    LateNode() throws IOException {
        boolean full = false;
        while (!full) {
            Socket next = new Socket();
            try {
                next.connect(server.getLocalSocketAddress(), PROBE_MS);
                fill.add(next);
            } catch (SocketTimeoutException e) {
                next.close();
                full = true;
            }
        }
    }

    String dial() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /**
     * Accepts what came, and returns the first connection that is not one that filled the backlog;
     * null where none comes.
     */
    Peer.Wire open(long patienceMs) throws IOException {
        server.setSoTimeout((int) patienceMs);
        try {
            for (int i = 0; ; i++) {
                Socket accepted = server.accept();
                boolean ours = fill.stream().noneMatch(f -> f.getLocalPort() == accepted.getPort());
                if (ours) {
                    accepted.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Peer.PATIENCE_S));
                    return new Peer.Wire(accepted, i);
                }
            }
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : fill) {
            socket.close();
        }
    }
}
