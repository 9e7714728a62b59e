package cacheproxy.gossip;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.Options;
import cacheproxy.syscalls.Errno;
import cacheproxy.syscalls.FaultSchedule;
import cacheproxy.syscalls.FaultySelectorProvider;
import cacheproxy.syscalls.SystemCall;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the gossip socket while its system calls fail temporarily: packets are lost meanwhile, and
 * afterwards the members receive each other's packets again.
 */
class GossipSocketFailuresTest {

    private static final long TIMEOUT_S = 30;
    private static final int FAILING_CALLS = 3;
    private static final long MORE_PACKETS = 3;

    @TempDir private Path directory;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, NioIoHandler.newFactory(new FaultySelectorProvider(new FaultSchedule())));
    private final FaultSchedule faultyCalls = new FaultSchedule();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void sendsAndReceivesAgainAfterEachSystemCallError() throws Exception {
        // Generates both keys before either member starts, as each reads the ring at its start.
        for (String name : List.of("steady", "faulty")) {
            KeyFiles.generate(name, key(name), ring());
        }
        GossipSocket steady = open("steady", List.of(), new FaultSchedule());
        GossipSocket faulty = open("faulty", List.of(steady.addressText()), faultyCalls);
        for (Errno errno : Errno.values()) {
            for (SystemCall call : List.of(SystemCall.RECVFROM, SystemCall.SENDTO)) {
                int before = faultyCalls.failureCount(call);
                faultyCalls.fail(call, errno, FAILING_CALLS);
                await(
                        call + " must fail with " + errno,
                        () -> faultyCalls.failureCount(call) > before);
                faultyCalls.clearFaults();
                long received = received(faulty);
                long answered = received(steady);
                await(
                        "its packets must arrive again after " + call + " " + errno,
                        () -> received(steady) > answered + MORE_PACKETS);
                await(
                        "it must receive packets again after " + call + " " + errno,
                        () -> received(faulty) > received + MORE_PACKETS);
            }
        }
    }

    private Path key(String name) {
        return GossipTestOptions.key(directory, name);
    }

    private Path ring() {
        return GossipTestOptions.ring(directory);
    }

    private GossipSocket open(String name, List<String> seeds, FaultSchedule schedule)
            throws Exception {
        long from = System.nanoTime();
        Options.Gossip options = GossipTestOptions.of(directory, name, seeds, "");
        return GossipSocket.open(
                group.next(),
                () -> (System.nanoTime() - from) / 1e6,
                name.hashCode(),
                options,
                new NoopHooks(),
                () -> new NioDatagramChannel(new FaultySelectorProvider(schedule)));
    }

    /** Reads the counter on the event loop, which updates it. */
    private long received(GossipSocket socket) {
        return group.next().submit(() -> socket.counts().received()).syncUninterruptibly().getNow();
    }

    private static void await(String description, BooleanSupplier condition)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, description);
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private static final class NoopHooks implements GossipSocket.Hooks {
        @Override
        public void nodeSuspicionChanged(String node, boolean suspected) {}

        @Override
        public void event(String name, Object... fields) {}
    }
}
