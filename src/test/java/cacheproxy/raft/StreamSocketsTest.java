package cacheproxy.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.gossip.KeyFiles;
import cacheproxy.gossip.KeyRing;
import cacheproxy.stream.Acknowledgements.FullyAcknowledged;
import cacheproxy.stream.Change;
import cacheproxy.stream.Change.Purge;
import cacheproxy.stream.Entry;
import cacheproxy.stream.Message.Snapshot;
import cacheproxy.stream.RetainedLog;
import cacheproxy.stream.Subscriber;
import cacheproxy.stream.wire.StreamClient;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests forty proxies and four control machines with real files and connections over loopback. The
 * tests only require that each condition is reached within a minute; they don't check how long it
 * takes.
 */
class StreamSocketsTest {

    private static final int PROXIES = 40;
    private static final int CONTROLS = 4;
    private static final long TIMEOUT_S = 60;
    private static final int SNAPSHOT_EVERY = 50;
    private static final RetainedLog.Bounds BOUNDS = new RetainedLog.Bounds(1000, 1 << 20);

    private static final class Proxy implements StreamClient.Sink {
        final Subscriber subscriber;
        final StreamClient client;
        final Queue<Change> changes = new ConcurrentLinkedQueue<>();
        final Queue<Snapshot> resets = new ConcurrentLinkedQueue<>();
        volatile String connectedServer;

        Proxy(int index, EventLoop loop, Map<String, InetSocketAddress> servers) {
            subscriber =
                    new Subscriber(
                            new Subscriber.Parts(
                                    "proxy-" + index,
                                    List.copyOf(servers.keySet()),
                                    Subscriber.RATE_BYTES_PER_S,
                                    Subscriber.BURST_BYTES,
                                    new Random(index)),
                            0,
                            0,
                            now());
            client = new StreamClient(loop, servers, subscriber, StreamSocketsTest::now, this);
            client.start();
        }

        @Override
        public boolean apply(List<Entry> entries) {
            entries.forEach(e -> changes.add(e.change()));
            return true;
        }

        @Override
        public boolean reset(Snapshot snapshot) {
            resets.add(snapshot);
            return true;
        }

        @Override
        public void event(Subscriber.SubscriberEvent what, String server) {
            connectedServer = what == Subscriber.SubscriberEvent.CONNECTED ? server : null;
        }
    }

    @TempDir Path folder;
    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final Map<String, StreamService> services = new ConcurrentHashMap<>();
    private final Map<String, InetSocketAddress> peerAddresses = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> servers = new LinkedHashMap<>();
    private final Queue<FullyAcknowledged> fullyAcknowledged = new ConcurrentLinkedQueue<>();

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Runs a call on the control machines' event loop and returns its result. */
    private <T> T onLoop(Callable<T> call) {
        try {
            return loop.submit(call).get(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static void await(String what, BooleanSupplier done) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!done.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(10);
        }
    }

    @BeforeEach
    void start() throws Exception {
        // A loopback address that only this process uses, so that no other process takes a port
        // between its selection here and its bind.
        long pid = ProcessHandle.current().pid();
        InetAddress loopbackAddress =
                InetAddress.getByAddress(new byte[] {127, 93, (byte) (pid >> 8), (byte) pid});
        for (int i = 0; i < CONTROLS; i++) {
            String name = "control-" + i;
            KeyFiles.generate(name, folder.resolve(name + ".key"), folder.resolve("ring"));
            try (ServerSocket free = new ServerSocket(0, 1, loopbackAddress)) {
                peerAddresses.put(
                        name, new InetSocketAddress(loopbackAddress, free.getLocalPort()));
            }
        }
        for (String name : peerAddresses.keySet()) {
            servers.put(name, startService(name, anyPort()));
        }
    }

    private InetSocketAddress startService(String name, InetSocketAddress address)
            throws Exception {
        return startService(name, address, new DurableFiles());
    }

    private InetSocketAddress startService(
            String name, InetSocketAddress address, DurableFiles files) throws Exception {
        StreamService service =
                new StreamService(
                        new StreamService.Parts(
                                new KeyRing(folder.resolve(name + ".key"), folder.resolve("ring")),
                                peerAddresses,
                                peerAddresses.get(name),
                                folder.resolve(name),
                                BOUNDS,
                                loop,
                                name.hashCode(),
                                SNAPSHOT_EVERY),
                        fullyAcknowledged::add,
                        files);
        services.put(name, service);
        return service.listen(address);
    }

    /** Stops a control machine and waits until its addresses can be bound again. */
    private void stop(String name) throws Exception {
        StreamService stopped = services.remove(name);
        onLoop(
                () -> {
                    stopped.close();
                    return null;
                });
        for (InetSocketAddress address : List.of(peerAddresses.get(name), servers.get(name))) {
            await(address + " is released", () -> isReleased(address));
        }
    }

    /**
     * Whether the listener of an address is closed: the selector releases the socket of a closed
     * channel only when it selects the next time.
     */
    private static boolean isReleased(InetSocketAddress address) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @AfterEach
    void stop() throws Exception {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private ControlMachine leader() {
        return onLoop(
                () ->
                        services.values().stream()
                                .map(StreamService::machine)
                                .filter(ControlMachine::isLeader)
                                .findFirst()
                                .orElse(null));
    }

    /** Returns the name of the leader, or of a control machine that is not the leader. */
    private String controlMachineName(boolean leading) {
        return onLoop(
                () ->
                        services.entrySet().stream()
                                .filter(e -> e.getValue().machine().isLeader() == leading)
                                .findFirst()
                                .orElseThrow()
                                .getKey());
    }

    private List<Proxy> startProxies(Map<String, InetSocketAddress> knownServers)
            throws InterruptedException {
        List<Proxy> all = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            all.add(new Proxy(i, loops.next(), knownServers));
        }
        await("all proxies are served", () -> all.stream().allMatch(p -> !p.resets.isEmpty()));
        return all;
    }

    /**
     * Publishes purges of the keys from {@code from} up to, but not including, {@code to}. Each is
     * sent to the current leader until it is confirmed, so it may be in the stream twice.
     */
    private void publish(int from, int to) throws Exception {
        for (int i = from; i < to; i++) {
            Purge purge = new Purge("/k" + i, false);
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            for (long seq = -1; seq <= 0; ) {
                assertTrue(System.nanoTime() < end, "no leader accepts " + purge);
                CompletableFuture<Long> answer = new CompletableFuture<>();
                ControlMachine leader = leader();
                if (leader != null) {
                    onLoop(
                            () -> {
                                leader.publish(purge, s -> answer.complete(s == null ? -1 : s));
                                return null;
                            });
                    try {
                        seq = answer.get(2, TimeUnit.SECONDS);
                    } catch (TimeoutException e) {
                        seq = -1;
                    }
                }
                if (seq <= 0) {
                    Thread.sleep(10);
                }
            }
        }
    }

    /** Whether a proxy has received this many different changes. */
    private static boolean hasReceived(Proxy proxy, int count) {
        return proxy.changes.stream().distinct().count() == count;
    }

    @Test
    void proxiesOfLostControlMachineReconnectAndMissNoChange() throws Exception {
        List<Proxy> all = startProxies(servers);
        publish(0, 10);
        await(
                "all proxies have all changes",
                () -> all.stream().allMatch(p -> hasReceived(p, 10) && p.connectedServer != null));
        // The leader is stopped, so that the others also have to elect a new one.
        String lost = controlMachineName(true);
        assertTrue(
                all.stream().anyMatch(p -> lost.equals(p.connectedServer)),
                "it serves some proxies");
        publish(10, 11);
        stop(lost);
        publish(11, 120);
        await(
                "all proxies have all changes",
                () -> all.stream().allMatch(p -> hasReceived(p, 120)));
        List<Change> first = List.copyOf(all.get(0).changes);
        for (Proxy p : all) {
            assertEquals(first, List.copyOf(p.changes), "the same changes in the same order");
            assertEquals(1, p.resets.size());
        }
        await(
                "the leader reports entries as fully acknowledged",
                () -> fullyAcknowledged.stream().anyMatch(e -> e.seq() >= 119));
        // It restarts with the state on its disk and has to install a snapshot, because the others'
        // logs were truncated meanwhile.
        startService(lost, servers.get(lost));
        await(
                "it has caught up",
                () -> onLoop(() -> services.get(lost).machine().head() == leaderHead()));
        publish(120, 122);
        await(
                "all proxies have all changes",
                () -> all.stream().allMatch(p -> hasReceived(p, 122)));
    }

    private long leaderHead() {
        return services.values().stream()
                .map(StreamService::machine)
                .filter(ControlMachine::isLeader)
                .mapToLong(ControlMachine::head)
                .findFirst()
                .orElse(-1);
    }

    /**
     * Shows that the test above detects its fault: proxies that know only the lost control machine
     * can't reconnect elsewhere, and stay behind.
     */
    @Test
    void proxiesWithoutAnotherServerStayBehindAndAreReported() throws Exception {
        await("a leader is elected", () -> leader() != null);
        String lost = controlMachineName(false);
        List<Proxy> pinned = startProxies(Map.of(lost, servers.get(lost)));
        publish(0, 1);
        await(
                "all proxies have the change",
                () -> pinned.stream().allMatch(p -> hasReceived(p, 1)));
        await(
                "the leader knows all proxies",
                () -> onLoop(() -> laggingSubscriberCount(1000)) == PROXIES);
        stop(lost);
        publish(1, 5);
        await(
                "no proxy is connected",
                () -> pinned.stream().allMatch(p -> p.connectedServer == null));
        assertEquals(PROXIES, onLoop(() -> laggingSubscriberCount(5)));
        assertTrue(pinned.stream().allMatch(p -> hasReceived(p, 1)));
    }

    private int laggingSubscriberCount(long seq) {
        return services.values().stream()
                .map(StreamService::machine)
                .filter(ControlMachine::isLeader)
                .mapToInt(m -> m.laggingSubscribers(seq).size())
                .findFirst()
                .orElse(-1);
    }

    @Test
    void confirmedEntriesSurviveRestartOfAllControlMachines() throws Exception {
        List<Proxy> all = startProxies(servers);
        publish(0, 70);
        for (String name : List.copyOf(services.keySet())) {
            stop(name);
        }
        for (String name : servers.keySet()) {
            startService(name, servers.get(name));
        }
        publish(70, 75);
        await("all proxies have all changes", () -> all.stream().allMatch(p -> hasReceived(p, 75)));
        assertTrue(all.stream().allMatch(p -> p.resets.size() == 1));
        // A control machine with a damaged file does not start; the others keep serving.
        String damaged = controlMachineName(false);
        stop(damaged);
        Path log = folder.resolve(damaged).resolve("log");
        Files.writeString(log, Files.readString(log).replaceFirst("\"term\":", "\"term\":1"));
        assertTrue(
                assertThrows(IOException.class, () -> startService(damaged, servers.get(damaged)))
                        .getMessage()
                        .contains("damaged"));
        publish(75, 76);
        await("all proxies have all changes", () -> all.stream().allMatch(p -> hasReceived(p, 76)));
    }

    @Test
    void controlMachineRejoinsAfterDiskRecoversAndNoChangeIsMissed() throws Exception {
        List<Proxy> all = startProxies(servers);
        publish(0, 20);
        String faulty = controlMachineName(false);
        stop(faulty);
        FaultyFiles disk = new FaultyFiles();
        startService(faulty, servers.get(faulty), disk);
        publish(20, 70);
        await(
                "it has caught up",
                () -> onLoop(() -> services.get(faulty).machine().head() == leaderHead()));
        ControlMachine failed = onLoop(() -> services.get(faulty).machine());
        disk.broken = true;
        publish(70, 75);
        await("its disk has failed", () -> onLoop(() -> disk.faults > 0));
        publish(75, 80);
        assertTrue(onLoop(() -> services.get(faulty).machine() == failed && !failed.isLeader()));
        disk.broken = false;
        await(
                "it has restarted and caught up",
                () ->
                        onLoop(
                                () ->
                                        services.get(faulty).machine() != failed
                                                && services.get(faulty).machine().head()
                                                        == leaderHead()));
        publish(80, 82);
        await("all proxies have all changes", () -> all.stream().allMatch(p -> hasReceived(p, 82)));
        assertTrue(all.stream().allMatch(p -> p.resets.size() == 1));
    }

    /** Proxies have to leave a machine that accepts connections but sends nothing, as if hung. */
    @Test
    void proxiesLeaveSilentControlMachine() throws Exception {
        try (ServerSocket silentServer =
                new ServerSocket(0, 100, InetAddress.getLoopbackAddress())) {
            servers.put(
                    "mute",
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), silentServer.getLocalPort()));
            List<Proxy> all = startProxies(servers);
            publish(0, 3);
            await(
                    "all proxies have all changes",
                    () -> all.stream().allMatch(p -> hasReceived(p, 3)));
        }
    }

    @Test
    void closesMalformedConnectionsWithoutAffectingProxies() throws Exception {
        List<Proxy> all = startProxies(servers);
        InetSocketAddress address = servers.values().iterator().next();
        for (byte[] bytes :
                new byte[][] {
                    "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII),
                    {0, 0, 0, 3, 1, 2, 0},
                    {0, 0, 0, 1, 9},
                    {0, 0, 0, 4, 1, 1, 0, 0}
                }) {
            try (Socket stranger = new Socket(address.getAddress(), address.getPort())) {
                stranger.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
                stranger.getOutputStream().write(bytes);
                int read;
                try {
                    read = stranger.getInputStream().read();
                } catch (SocketException reset) {
                    read = -1;
                }
                assertEquals(-1, read);
            }
        }
        publish(0, 3);
        await("all proxies have all changes", () -> all.stream().allMatch(p -> hasReceived(p, 3)));
    }
}
