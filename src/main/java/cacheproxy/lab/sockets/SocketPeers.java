package cacheproxy.lab.sockets;

import cacheproxy.Router;
import cacheproxy.config.Options;
import cacheproxy.gossip.GossipSocket;
import cacheproxy.gossip.KeyException;
import cacheproxy.gossip.KeyFiles;
import cacheproxy.gossip.NumericAddress;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.faults.PeerLinks;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.DoublePredicate;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * What proxies on sockets need to gossip: keys, a ring, and options beside their configuration. A
 * liar on sockets is one more member of the fleet, with a key of its own, that runs no proxy and
 * tells what it never saw.
 */
final class SocketPeers {

    private static final double NS_PER_MS = 1e6;
    private static final String LIAR = "liar";
    private static final int VERIFICATIONS_PER_S = 200;
    private static final String PROGRAM = "-jar target/cache-proxy.jar serve";

    /** The same where the tools' libraries are on the class path already. */
    private static final String SERVE = " cacheproxy.Main serve";

    private SocketPeers() {}

    /** The run line with the options, which need the tools' libraries beside the program. */
    static String command(String run, Path directory, int proxy) throws IOException {
        String with = " --options " + options(directory, proxy);
        if (run.endsWith(SERVE)) {
            return run + with;
        }
        if (!run.contains(PROGRAM)) {
            throw new IOException(
                    "gossip on sockets needs a run line that holds "
                            + PROGRAM
                            + " or ends with"
                            + SERVE);
        }
        return run.replace(
                PROGRAM, "-cp 'target/cache-proxy.jar:target/lib/*' cacheproxy.Main serve" + with);
    }

    private static Path options(Path directory, int proxy) {
        return directory.resolve("proxy-" + proxy + ".toml");
    }

    /**
     * Begins to lie, on the loop, about these nodes; returns what ends it.
     *
     * @param accuses whether it accuses at this moment, by the time since it began in ms
     */
    static Runnable liar(
            EventLoop loop,
            Path directory,
            Experiment experiment,
            PacketRelay relay,
            List<Router.Node> nodes,
            DoublePredicate accuses)
            throws IOException, InterruptedException {
        long from = System.nanoTime();
        DoubleSupplier clock = () -> (System.nanoTime() - from) / NS_PER_MS;
        InetSocketAddress known = relay.address(experiment.proxies().count());
        Options.Gossip options =
                new Options.Gossip(
                        true,
                        known.getAddress().getHostAddress() + ":0",
                        NumericAddress.text(known),
                        seeds(experiment, relay),
                        directory.resolve(LIAR + ".key").toString(),
                        directory.resolve("gossip.ring").toString(),
                        experiment.gossip().bytesPerS(),
                        VERIFICATIONS_PER_S,
                        "",
                        Options.DEFAULTS.gossip().healthMost());
        GossipSocket socket;
        try {
            socket =
                    GossipSocket.open(
                            loop,
                            clock,
                            experiment.seed(),
                            options,
                            new GossipSocket.Hooks() {
                                @Override
                                public void standing(String node, boolean doubted) {}

                                @Override
                                public void event(String name, Object... fields) {}
                            });
        } catch (KeyException e) {
            throw new IOException(e.getMessage());
        }
        relay.liar(socket.bound());
        loop.execute(() -> socket.listed(Router.ListKind.FULL, nodes));
        var lying =
                loop.scheduleAtFixedRate(
                        () ->
                                nodes.forEach(
                                        n ->
                                                socket.ended(
                                                        n.id(),
                                                        accuses.test(clock.getAsDouble())
                                                                ? Router.Outcome.TIMEOUT
                                                                : Router.Outcome.OK,
                                                        1)),
                        0,
                        (long) Fault.LIE_EVERY_MS,
                        TimeUnit.MILLISECONDS);
        return () -> {
            lying.cancel(false);
            socket.close();
        };
    }

    private static List<String> seeds(Experiment experiment, PacketRelay relay) {
        return IntStream.range(0, Math.min(PeerLinks.SEEDS, experiment.proxies().count()))
                .mapToObj(i -> NumericAddress.text(relay.address(i)))
                .toList();
    }

    /**
     * Each proxy gossips at the address of its clients, by UDP, and is known to the others by the
     * relay's.
     */
    static void write(
            Path directory,
            Experiment experiment,
            List<InetSocketAddress> addresses,
            PacketRelay relay,
            SocketPolicy policy)
            throws IOException {
        Path ring = directory.resolve("gossip.ring");
        Files.deleteIfExists(ring);
        String seeds =
                seeds(experiment, relay).stream()
                        .map(t -> '"' + t + '"')
                        .collect(Collectors.joining(", "));
        key(LIAR, directory, ring);
        for (int i = 0; i < addresses.size(); i++) {
            Path key = key("proxy-" + i, directory, ring);
            Files.writeString(
                    options(directory, i),
                    """
                    [gossip]
                    enabled = true
                    listen = "%s"
                    advertise = "%s"
                    seeds = [%s]
                    key_file = "%s"
                    ring_file = "%s"
                    bytes_per_s = %d
                    health_most = %d
                    """
                                    .formatted(
                                            NumericAddress.text(addresses.get(i)),
                                            NumericAddress.text(relay.address(i)),
                                            seeds,
                                            key,
                                            ring,
                                            experiment.gossip().bytesPerS(),
                                            experiment.gossip().health()
                                                    ? Options.DEFAULTS.gossip().healthMost()
                                                    : 0)
                            + policy.options(i));
        }
    }

    private static Path key(String name, Path directory, Path ring) throws IOException {
        Path key = directory.resolve(name + ".key");
        Files.deleteIfExists(key);
        try {
            KeyFiles.generate(name, key, ring);
        } catch (KeyException e) {
            throw new IOException(e.getMessage());
        }
        return key;
    }
}
