package cacheproxy.lab.sockets;

import cacheproxy.Router;
import cacheproxy.config.Options;
import cacheproxy.gossip.GossipSocket;
import cacheproxy.gossip.KeyException;
import cacheproxy.gossip.KeyFiles;
import cacheproxy.gossip.NumericAddress;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.faults.PeerLinkFaults;
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
 * Sets up gossip between proxies on sockets: keys, key ring and options files. A false reporter is
 * an additional gossip member with its own key that runs no proxy and reports outcomes of attempts
 * it never made.
 */
final class SocketGossip {

    private static final double NS_PER_MS = 1e6;
    private static final String FALSE_REPORTER_NAME = "liar";
    private static final int VERIFICATIONS_PER_S = 200;
    private static final String JAR_ARGUMENTS = "-jar target/cache-proxy.jar serve";

    /** End of a run line whose class path already includes the libraries of the tools. */
    private static final String CLASS_PATH_ARGUMENTS = " cacheproxy.Main serve";

    private SocketGossip() {}

    /**
     * Returns the run line with an options file added. Options need the libraries of the tools on
     * the class path.
     */
    static String commandWithOptions(String runCommand, Path directory, int proxy)
            throws IOException {
        String optionsArgument = " --options " + optionsFile(directory, proxy);
        if (runCommand.endsWith(CLASS_PATH_ARGUMENTS)) {
            return runCommand + optionsArgument;
        }
        if (!runCommand.contains(JAR_ARGUMENTS)) {
            throw new IOException(
                    "gossip on sockets needs a run line that contains "
                            + JAR_ARGUMENTS
                            + " or ends with"
                            + CLASS_PATH_ARGUMENTS);
        }
        return runCommand.replace(
                JAR_ARGUMENTS,
                "-cp 'target/cache-proxy.jar:target/lib/*' cacheproxy.Main serve"
                        + optionsArgument);
    }

    private static Path optionsFile(Path directory, int proxy) {
        return directory.resolve("proxy-" + proxy + ".toml");
    }

    /**
     * Starts a false reporter on the event loop; the returned action stops it.
     *
     * @param nodes the nodes about which it reports
     * @param accuses whether it reports failures rather than successes, by the time since its start
     *     in ms
     */
    static Runnable startFalseReporter(
            EventLoop loop,
            Path directory,
            Experiment experiment,
            PacketRelay relay,
            List<Router.Node> nodes,
            DoublePredicate accuses)
            throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        DoubleSupplier clock = () -> (System.nanoTime() - startNanos) / NS_PER_MS;
        InetSocketAddress advertisedAddress = relay.address(experiment.proxies().count());
        Options.Gossip options =
                new Options.Gossip(
                        true,
                        advertisedAddress.getAddress().getHostAddress() + ":0",
                        NumericAddress.format(advertisedAddress),
                        seedAddresses(experiment, relay),
                        directory.resolve(FALSE_REPORTER_NAME + ".key").toString(),
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
                                public void nodeSuspicionChanged(String node, boolean suspected) {}

                                @Override
                                public void event(String name, Object... fields) {}
                            });
        } catch (KeyException e) {
            throw new IOException(e.getMessage());
        }
        relay.addFalseReporter(socket.localAddress());
        loop.execute(() -> socket.updateNodes(Router.EndpointListKind.SNAPSHOT, nodes));
        var reportTask =
                loop.scheduleAtFixedRate(
                        () ->
                                nodes.forEach(
                                        node ->
                                                socket.attemptEnded(
                                                        node.id(),
                                                        accuses.test(clock.getAsDouble())
                                                                ? Router.Outcome.TIMEOUT
                                                                : Router.Outcome.OK,
                                                        1)),
                        0,
                        (long) Fault.FALSE_CLAIM_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
        return () -> {
            reportTask.cancel(false);
            socket.close();
        };
    }

    private static List<String> seedAddresses(Experiment experiment, PacketRelay relay) {
        return IntStream.range(0, Math.min(PeerLinkFaults.SEED_COUNT, experiment.proxies().count()))
                .mapToObj(i -> NumericAddress.format(relay.address(i)))
                .toList();
    }

    /**
     * Writes the keys, the key ring and the options of all proxies. Each proxy gossips over UDP on
     * the address and port on which it serves clients, and advertises its relay address.
     */
    static void writeFiles(
            Path directory,
            Experiment experiment,
            List<InetSocketAddress> addresses,
            PacketRelay relay,
            SocketPolicy policy)
            throws IOException {
        Path ring = directory.resolve("gossip.ring");
        Files.deleteIfExists(ring);
        String seeds =
                seedAddresses(experiment, relay).stream()
                        .map(t -> '"' + t + '"')
                        .collect(Collectors.joining(", "));
        generateKey(FALSE_REPORTER_NAME, directory, ring);
        for (int i = 0; i < addresses.size(); i++) {
            Path key = generateKey("proxy-" + i, directory, ring);
            Files.writeString(
                    optionsFile(directory, i),
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
                                            NumericAddress.format(addresses.get(i)),
                                            NumericAddress.format(relay.address(i)),
                                            seeds,
                                            key,
                                            ring,
                                            experiment.gossip().bytesPerS(),
                                            experiment.gossip().health()
                                                    ? Options.DEFAULTS.gossip().healthMost()
                                                    : 0)
                            + policy.optionsText(i));
        }
    }

    private static Path generateKey(String name, Path directory, Path ring) throws IOException {
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
