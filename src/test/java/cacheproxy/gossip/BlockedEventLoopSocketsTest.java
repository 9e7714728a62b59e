package cacheproxy.gossip;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.Options;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests members on real sockets that share one slow event loop. The test controls their clock: it
 * advances by one step whenever a member reads it, which happens once for each received datagram
 * and each tick, and each reading also blocks the loop for a short real time.
 */
class BlockedEventLoopSocketsTest {

    private static final long TIMEOUT_S = 180;
    private static final List<String> NAMES = List.of("uno", "dos", "tres");
    private static final double FAST_STEP_MS = 0.5;

    /** Duration of the run by the test's clock. */
    private static final double RUN_MS = 40_000;

    /** Long enough that a turn of the loop exceeds a tick, so that reads and ticks queue up. */
    private static final long REAL_BLOCK_MS = 10;

    private static final double MICROSECONDS_PER_MS = 1000;

    @TempDir private Path directory;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicLong clockMicroseconds = new AtomicLong();
    private volatile double stepMs = FAST_STEP_MS;
    private volatile long blockMs;
    private final List<GossipSocket> sockets = new ArrayList<>();
    private final Queue<String> suspicions = new ConcurrentLinkedQueue<>();

    @AfterEach
    void stop() {
        sockets.forEach(GossipSocket::close);
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Each block is too short to be detected as a pause, and several occur between a probe and the
     * tick that evaluates it.
     */
    @ParameterizedTest
    @ValueSource(doubles = {60, 100})
    void slowReadsAndTicksCauseNoSuspicions(double milliseconds) throws Exception {
        startAll();
        stepMs = milliseconds;
        blockMs = REAL_BLOCK_MS;
        double end = clockMs() + RUN_MS;
        await("the test's clock must reach the end of the run", () -> clockMs() >= end);
        assertTrue(suspicions.isEmpty(), suspicions.toString());
    }

    private double clockMs() {
        return clockMicroseconds.get() / MICROSECONDS_PER_MS;
    }

    private void block() {
        try {
            TimeUnit.MILLISECONDS.sleep(blockMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private double readClock() {
        double before = clockMs();
        block();
        clockMicroseconds.addAndGet((long) (stepMs * MICROSECONDS_PER_MS));
        return before;
    }

    private void startAll() throws Exception {
        for (String name : NAMES) {
            KeyFiles.generate(name, key(name), GossipTestOptions.ring(directory));
        }
        for (String name : NAMES) {
            sockets.add(
                    open(
                            name,
                            sockets.isEmpty() ? List.of() : List.of(sockets.get(0).addressText())));
        }
        await(
                "all members must know all others",
                () -> sockets.stream().allMatch(this::seesAllAlive));
    }

    private boolean seesAllAlive(GossipSocket socket) {
        String view = group.next().submit(socket::describeMembers).syncUninterruptibly().getNow();
        return NAMES.stream()
                .allMatch(
                        name ->
                                view.lines()
                                        .anyMatch(
                                                line ->
                                                        line.startsWith(name + " ")
                                                                && line.contains(" alive ")));
    }

    private Path key(String name) {
        return GossipTestOptions.key(directory, name);
    }

    private GossipSocket open(String name, List<String> seeds) throws Exception {
        Options.Gossip options = GossipTestOptions.of(directory, name, seeds, "");
        return GossipSocket.open(
                group.next(),
                this::readClock,
                name.hashCode(),
                options,
                new SuspicionRecorder(name));
    }

    private static void await(String description, BooleanSupplier condition)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, description);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private final class SuspicionRecorder implements GossipSocket.Hooks {
        private final String by;

        SuspicionRecorder(String by) {
            this.by = by;
        }

        @Override
        public void nodeSuspicionChanged(String node, boolean suspected) {}

        @Override
        public void event(String name, Object... fields) {
            if (name.equals("gossip_suspected") || name.equals("gossip_died")) {
                suspicions.add(by + " " + name + " " + List.of(fields));
            }
        }
    }
}
