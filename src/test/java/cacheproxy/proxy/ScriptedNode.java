package cacheproxy.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A cache node on the loopback address whose connections a test serves byte by byte. */
final class ScriptedNode implements Closeable {

    /** Serves one connection on a thread of its own; the connection is closed when it returns. */
    interface Script {
        void serve(Socket connection) throws IOException, InterruptedException;
    }

    private final ServerSocket server;
    private final Script script;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /** Listens with the given receive buffer for each connection; 0 leaves the system's default. */
    ScriptedNode(int receiveBufferBytes, Script script) throws IOException {
        this.script = script;
        server = new ServerSocket();
        if (receiveBufferBytes > 0) {
            server.setReceiveBufferSize(receiveBufferBytes);
        }
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        start(this::accept);
    }

    /** Starts nodes that all follow one script and lists them at {@code site}. */
    static List<ScriptedNode> startAll(ProxyFixture site, int count, Script script)
            throws IOException {
        List<ScriptedNode> nodes = new ArrayList<>();
        site.hosts = new String[count];
        for (int i = 0; i < count; i++) {
            nodes.add(new ScriptedNode(0, script));
            site.hosts[i] = ProxyFixture.host("c" + i, nodes.get(i).dial(), "up", 0);
        }
        return nodes;
    }

    String dial() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "node");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                connections.add(connection);
                start(() -> serve(connection));
            }
        } catch (IOException e) {
            return;
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            script.serve(connection);
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
