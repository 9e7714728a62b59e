import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The stand-ins of one small deployment and its proxy. */
final class Fleet {
    static final int CACHE_NODES = 9;
    static final double READY_S = 30;

    final Path folder;
    final Rig.Discovery discovery;
    final Rig.Proxy proxy;
    final List<Rig.Server> nodes = new ArrayList<>();

    /** Starts nine cache nodes, the origin and discovery; the proxy is not started yet. */
    Fleet(Rig.Handler node, Rig.Handler origin, int balancers) throws IOException {
        folder = Rig.temporaryFolder();
        discovery = new Rig.Discovery();
        String[] kinds = {"std-2c", "wide-3c", "small-2c"};
        for (int i = 0; i < CACHE_NODES; i++) {
            Rig.Server server = new Rig.Server(node);
            nodes.add(server);
            Rig.Host host = new Rig.Host("s-" + i, server.address);
            host.kind = kinds[i % kinds.length];
            discovery.hosts.put(host.id, host);
        }
        Rig.Server server = new Rig.Server(origin);
        nodes.add(server);
        Rig.Host host = new Rig.Host("origin-1", server.address);
        host.kind = "origin";
        discovery.hosts.put(host.id, host);
        proxy = new Rig.Proxy(folder, discovery.address(), Rig.settings(balancers));
        proxy.known = discovery.whole();
    }

    /** Starts the proxy; ends the script if it does not become ready. */
    void start() throws Exception {
        proxy.start();
        if (!proxy.awaitReady(READY_S)) {
            System.out.println("could not run: the proxy is not ready after " + READY_S + " s");
            System.exit(Rig.COULD_NOT_RUN);
        }
    }
}
