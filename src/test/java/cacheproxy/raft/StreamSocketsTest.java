package cacheproxy.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.gossip.KeyFiles;
import cacheproxy.gossip.KeyRing;
import cacheproxy.stream.Change;
import cacheproxy.stream.Change.Purge;
import cacheproxy.stream.Deliveries.Everywhere;
import cacheproxy.stream.Entry;
import cacheproxy.stream.Message.Snapshot;
import cacheproxy.stream.Subscriber;
import cacheproxy.stream.Window;
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
 * Forty proxies and four control machines with their sealed links and files, on loopback. Verdicts
 * are on what arrives, within a minute; times are not judged.
 */
class StreamSocketsTest {

    private static final int PROXIES = 40;
    private static final int CONTROLS = 4;
    private static final long PATIENCE_S = 60;
    private static final int SNAPSHOT_EVERY = 50;
    private static final Window.Bounds BOUNDS = new Window.Bounds(1000, 1 << 20);

    private static final class Proxy implements StreamClient.Sink {
        final Subscriber subscriber;
        final StreamClient client;
        final Queue<Change> changes = new ConcurrentLinkedQueue<>();
        final Queue<Snapshot> resets = new ConcurrentLinkedQueue<>();
        volatile String served;

        Proxy(int index, EventLoop loop, Map<String, InetSocketAddress> servers) {
            subscriber =
                    new Subscriber(
                            new Subscriber.Parts(
                                    "proxy-" + index,
                                    List.copyOf(servers.keySet()),
                                    Subscriber.PACE_BYTES_PER_S,
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
        public void event(Subscriber.What what, String server) {
            served = what == Subscriber.What.CONNECTED ? server : null;
        }
    }

    @TempDir Path folder;
    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final Map<String, StreamService> machines = new ConcurrentHashMap<>();
    private final Map<String, InetSocketAddress> links = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> servers = new LinkedHashMap<>();
    private final Queue<Everywhere> everywhere = new ConcurrentLinkedQueue<>();

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** On the machines' loop. */
    private <T> T on(Callable<T> call) {
        try {
            return loop.submit(call).get(PATIENCE_S, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static void await(String what, BooleanSupplier done) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!done.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(10);
        }
    }

    @BeforeEach
    void start() throws Exception {
        // An address of this process's own, so that nobody else takes a port between this and its
        // bind.
        long pid = ProcessHandle.current().pid();
        InetAddress own =
                InetAddress.getByAddress(new byte[] {127, 93, (byte) (pid >> 8), (byte) pid});
        for (int i = 0; i < CONTROLS; i++) {
            String name = "control-" + i;
            KeyFiles.generate(name, folder.resolve(name + ".key"), folder.resolve("ring"));
            try (ServerSocket free = new ServerSocket(0, 1, own)) {
                links.put(name, new InetSocketAddress(own, free.getLocalPort()));
            }
        }
        for (String name : links.keySet()) {
            servers.put(name, begin(name, anyPort()));
        }
    }

    private InetSocketAddress begin(String name, InetSocketAddress at) throws Exception {
        return begin(name, at, new DurableFiles());
    }

    private InetSocketAddress begin(String name, InetSocketAddress at, DurableFiles files)
            throws Exception {
        StreamService made =
                new StreamService(
                        new StreamService.Parts(
                                new KeyRing(folder.resolve(name + ".key"), folder.resolve("ring")),
                                links,
                                links.get(name),
                                folder.resolve(name),
                                BOUNDS,
                                loop,
                                name.hashCode(),
                                SNAPSHOT_EVERY),
                        everywhere::add,
                        files);
        machines.put(name, made);
        return made.listen(at);
    }

    private void end(String name) {
        StreamService gone = machines.remove(name);
        on(
                () -> {
                    gone.close();
                    return null;
                });
    }

    @AfterEach
    void end() throws Exception {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(PATIENCE_S, TimeUnit.SECONDS);
    }

    private ControlMachine leader() {
        return on(
                () ->
                        machines.values().stream()
                                .map(StreamService::machine)
                                .filter(ControlMachine::leads)
                                .findFirst()
                                .orElse(null));
    }

    private List<Proxy> proxies(Map<String, InetSocketAddress> ofWhich)
            throws InterruptedException {
        List<Proxy> all = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            all.add(new Proxy(i, loops.next(), ofWhich));
        }
        await("all are served", () -> all.stream().allMatch(p -> !p.resets.isEmpty()));
        return all;
    }

    /**
     * Asks whoever leads until it is confirmed; one that was asked for twice may be there twice.
     */
    private void publish(int from, int to) throws Exception {
        for (int i = from; i < to; i++) {
            Purge purge = new Purge("/k" + i, false);
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
            for (long seq = -1; seq <= 0; ) {
                assertTrue(System.nanoTime() < end, "nobody takes " + purge);
                CompletableFuture<Long> answer = new CompletableFuture<>();
                ControlMachine leader = leader();
                if (leader != null) {
                    on(
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

    private static boolean has(Proxy p, int count) {
        return p.changes.stream().distinct().count() == count;
    }

    @Test
    void theProxiesOfALostControlMachineMoveInAChangeAndNothingIsMissed() throws Exception {
        List<Proxy> all = proxies(servers);
        publish(0, 10);
        await("all have all", () -> all.stream().allMatch(p -> has(p, 10) && p.served != null));
        // The leader, so that the others have to agree on another too.
        String lost =
                on(
                        () ->
                                machines.entrySet().stream()
                                        .filter(e -> e.getValue().machine().leads())
                                        .findFirst()
                                        .orElseThrow()
                                        .getKey());
        assertTrue(all.stream().anyMatch(p -> lost.equals(p.served)), "it serves some");
        publish(10, 11);
        end(lost);
        publish(11, 120);
        await("all have all", () -> all.stream().allMatch(p -> has(p, 120)));
        List<Change> first = List.copyOf(all.get(0).changes);
        for (Proxy p : all) {
            assertEquals(first, List.copyOf(p.changes), "the same, in the same order");
            assertEquals(1, p.resets.size());
        }
        await(
                "entries are seen to be everywhere",
                () -> everywhere.stream().anyMatch(e -> e.seq() >= 119));
        // It comes back with what it has on its disk, and takes what it lacks: the others' logs
        // were cut by snapshots meanwhile.
        begin(lost, servers.get(lost));
        await(
                "it has caught up",
                () -> on(() -> machines.get(lost).machine().head() == leaderHead()));
        publish(120, 122);
        await("all have all", () -> all.stream().allMatch(p -> has(p, 122)));
    }

    private long leaderHead() {
        return machines.values().stream()
                .map(StreamService::machine)
                .filter(ControlMachine::leads)
                .mapToLong(ControlMachine::head)
                .findFirst()
                .orElse(-1);
    }

    /**
     * The test above against the fault it is for: proxies that know only the one they were given
     * first.
     */
    @Test
    void withoutTheMoveTheProxiesOfALostControlMachineStayBehindAndAreNamed() throws Exception {
        await("one leads", () -> leader() != null);
        String lost =
                on(
                        () ->
                                machines.entrySet().stream()
                                        .filter(e -> !e.getValue().machine().leads())
                                        .findFirst()
                                        .orElseThrow()
                                        .getKey());
        List<Proxy> fixed = proxies(Map.of(lost, servers.get(lost)));
        publish(0, 1);
        await("all have it", () -> fixed.stream().allMatch(p -> has(p, 1)));
        await("and are known", () -> on(() -> stragglers(1000)) == PROXIES);
        end(lost);
        publish(1, 5);
        await("they find nobody", () -> fixed.stream().allMatch(p -> p.served == null));
        assertEquals(PROXIES, on(() -> stragglers(5)));
        assertTrue(fixed.stream().allMatch(p -> has(p, 1)));
    }

    private int stragglers(long seq) {
        return machines.values().stream()
                .map(StreamService::machine)
                .filter(ControlMachine::leads)
                .mapToInt(m -> m.stragglers(seq).size())
                .findFirst()
                .orElse(-1);
    }

    @Test
    void allFourEndAtOnceAndWhatWasConfirmedIsThereAgain() throws Exception {
        List<Proxy> all = proxies(servers);
        publish(0, 70);
        List.copyOf(machines.keySet()).forEach(this::end);
        for (String name : servers.keySet()) {
            begin(name, servers.get(name));
        }
        publish(70, 75);
        await("all have all", () -> all.stream().allMatch(p -> has(p, 75)));
        assertTrue(all.stream().allMatch(p -> p.resets.size() == 1));
        // One whose file is damaged does not start; its others go on.
        String damaged =
                on(
                        () ->
                                machines.entrySet().stream()
                                        .filter(e -> !e.getValue().machine().leads())
                                        .findFirst()
                                        .orElseThrow()
                                        .getKey());
        end(damaged);
        Path log = folder.resolve(damaged).resolve("log");
        Files.writeString(log, Files.readString(log).replaceFirst("\"term\":", "\"term\":1"));
        assertTrue(
                assertThrows(IOException.class, () -> begin(damaged, servers.get(damaged)))
                        .getMessage()
                        .contains("damaged"));
        publish(75, 76);
        await("all have all", () -> all.stream().allMatch(p -> has(p, 76)));
    }

    @Test
    void aControlMachineWhoseDiskFailedForAWhileTakesPartAgainAndNothingIsMissed()
            throws Exception {
        List<Proxy> all = proxies(servers);
        publish(0, 20);
        String struck =
                on(
                        () ->
                                machines.entrySet().stream()
                                        .filter(e -> !e.getValue().machine().leads())
                                        .findFirst()
                                        .orElseThrow()
                                        .getKey());
        end(struck);
        FaultyFiles disk = new FaultyFiles();
        begin(struck, servers.get(struck), disk);
        publish(20, 70);
        await(
                "it has caught up",
                () -> on(() -> machines.get(struck).machine().head() == leaderHead()));
        ControlMachine failed = on(() -> machines.get(struck).machine());
        disk.broken = true;
        publish(70, 75);
        await("its disk has failed", () -> on(() -> disk.faults > 0));
        publish(75, 80);
        assertTrue(on(() -> machines.get(struck).machine() == failed && !failed.leads()));
        disk.broken = false;
        await(
                "it has begun anew and caught up",
                () ->
                        on(
                                () ->
                                        machines.get(struck).machine() != failed
                                                && machines.get(struck).machine().head()
                                                        == leaderHead()));
        publish(80, 82);
        await("all have all", () -> all.stream().allMatch(p -> has(p, 82)));
        assertTrue(all.stream().allMatch(p -> p.resets.size() == 1));
    }

    /** A machine whose sockets open and then say nothing, as one that hangs. */
    @Test
    void aControlMachineThatSaysNothingIsLeft() throws Exception {
        try (ServerSocket mute = new ServerSocket(0, 100, InetAddress.getLoopbackAddress())) {
            servers.put(
                    "mute",
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), mute.getLocalPort()));
            List<Proxy> all = proxies(servers);
            publish(0, 3);
            await("all have all", () -> all.stream().allMatch(p -> has(p, 3)));
        }
    }

    @Test
    void strangersAreShutAndHoldNobody() throws Exception {
        List<Proxy> all = proxies(servers);
        InetSocketAddress at = servers.values().iterator().next();
        for (byte[] bytes :
                new byte[][] {
                    "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII),
                    {0, 0, 0, 3, 1, 2, 0},
                    {0, 0, 0, 1, 9},
                    {0, 0, 0, 4, 1, 1, 0, 0}
                }) {
            try (Socket stranger = new Socket(at.getAddress(), at.getPort())) {
                stranger.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
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
        await("all have all", () -> all.stream().allMatch(p -> has(p, 3)));
    }
}
