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
 * Members on true sockets and one event loop that is held up. Their clock is the test's: it goes on
 * by a step whenever a member looks at it, which is once for each datagram that it reads and each
 * tick, and the loop is blocked for a part of that step.
 */
class HeldUpSocketsTest {

    private static final long PATIENCE_S = 180;
    private static final List<String> NAMES = List.of("uno", "dos", "tres");
    private static final double FAST_STEP_MS = 0.5;

    /** Of the test's clock. */
    private static final double RUN_MS = 40_000;

    /** Long enough that a turn of the loop outlasts a tick, so that reads and ticks queue up. */
    private static final long BLOCK_OF_REAL_TIME_MS = 10;

    private static final double MICROSECONDS_PER_MS = 1000;

    @TempDir private Path folder;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicLong clockMicroseconds = new AtomicLong();
    private volatile double stepMs = FAST_STEP_MS;
    private volatile long blockMs;
    private final List<GossipSocket> sockets = new ArrayList<>();
    private final Queue<String> accusations = new ConcurrentLinkedQueue<>();

    @AfterEach
    void stop() {
        sockets.forEach(GossipSocket::close);
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Each hold-up is too short to be seen as a pause, and several fall between a probe and the
     * tick that judges it.
     */
    @ParameterizedTest
    @ValueSource(doubles = {60, 100})
    void slowReadsAndTicksAccuseNobody(double milliseconds) throws Exception {
        startAll();
        stepMs = milliseconds;
        blockMs = BLOCK_OF_REAL_TIME_MS;
        double end = clockMs() + RUN_MS;
        await("the clock has gone on", () -> clockMs() >= end);
        assertTrue(accusations.isEmpty(), accusations.toString());
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

    private double look() {
        double before = clockMs();
        block();
        clockMicroseconds.addAndGet((long) (stepMs * MICROSECONDS_PER_MS));
        return before;
    }

    private void startAll() throws Exception {
        for (String name : NAMES) {
            KeyFiles.generate(name, key(name), folder.resolve("ring"));
        }
        for (String name : NAMES) {
            sockets.add(
                    open(name, sockets.isEmpty() ? List.of() : List.of(sockets.get(0).address())));
        }
        await("all know all", () -> sockets.stream().allMatch(this::knowsAll));
    }

    private boolean knowsAll(GossipSocket socket) {
        String view = group.next().submit(socket::view).syncUninterruptibly().getNow();
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
        return folder.resolve(name + ".key");
    }

    private GossipSocket open(String name, List<String> seeds) throws Exception {
        Options.Gossip options =
                new Options.Gossip(
                        true,
                        "127.0.0.1:0",
                        "",
                        seeds,
                        key(name).toString(),
                        folder.resolve("ring").toString(),
                        65_536,
                        1000,
                        "",
                        8);
        return GossipSocket.open(
                group.next(), this::look, name.hashCode(), options, new Accusations(name));
    }

    private static void await(String what, BooleanSupplier done) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!done.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, what);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private final class Accusations implements GossipSocket.Hooks {
        private final String by;

        Accusations(String by) {
            this.by = by;
        }

        @Override
        public void standing(String node, boolean doubted) {}

        @Override
        public void event(String name, Object... fields) {
            if (name.equals("gossip_suspected") || name.equals("gossip_died")) {
                accusations.add(by + " " + name + " " + List.of(fields));
            }
        }
    }
}
