package cacheproxy.gossip;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.Options;
import cacheproxy.syscalls.Errno;
import cacheproxy.syscalls.FaultSchedule;
import cacheproxy.syscalls.FaultyProvider;
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
 * Gossip's socket where its system calls fail for a while: packets are lost, and afterwards the
 * members hear one another.
 */
class GossipSocketFailuresTest {

    private static final long PATIENCE_S = 30;
    private static final int FAILING_CALLS = 3;
    private static final long MORE_PACKETS = 3;

    @TempDir private Path folder;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, NioIoHandler.newFactory(new FaultyProvider(new FaultSchedule())));
    private final FaultSchedule calls = new FaultSchedule();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void afterEachErrorOfItsCallsItSendsAndReceivesAgain() throws Exception {
        // Both before either begins, as each reads the ring at its start.
        for (String name : List.of("steady", "faulty")) {
            KeyFiles.generate(name, key(name), ring());
        }
        GossipSocket steady = open("steady", List.of(), new FaultSchedule());
        GossipSocket faulty = open("faulty", List.of(steady.address()), calls);
        for (Errno errno : Errno.values()) {
            for (SystemCall call : List.of(SystemCall.RECVFROM, SystemCall.SENDTO)) {
                int before = calls.failed(call);
                calls.fail(call, errno, FAILING_CALLS);
                await(call + " fails with " + errno, () -> calls.failed(call) > before);
                calls.heal();
                long received = received(faulty);
                long answered = received(steady);
                await(
                        "it is heard after " + call + " " + errno,
                        () -> received(steady) > answered + MORE_PACKETS);
                await(
                        "it hears after " + call + " " + errno,
                        () -> received(faulty) > received + MORE_PACKETS);
            }
        }
    }

    private Path key(String name) {
        return folder.resolve(name + ".key");
    }

    private Path ring() {
        return folder.resolve("ring");
    }

    private GossipSocket open(String name, List<String> seeds, FaultSchedule schedule)
            throws Exception {
        long from = System.nanoTime();
        Options.Gossip options =
                new Options.Gossip(
                        true,
                        "127.0.0.1:0",
                        "",
                        seeds,
                        key(name).toString(),
                        ring().toString(),
                        65_536,
                        1000,
                        "",
                        8);
        return GossipSocket.open(
                group.next(),
                () -> (System.nanoTime() - from) / 1e6,
                name.hashCode(),
                options,
                new Unheard(),
                () -> new NioDatagramChannel(new FaultyProvider(schedule)));
    }

    /** Read on the loop, where they are counted. */
    private long received(GossipSocket socket) {
        return group.next().submit(() -> socket.counts().received()).syncUninterruptibly().getNow();
    }

    private static void await(String what, BooleanSupplier done) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!done.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, what);
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private static final class Unheard implements GossipSocket.Hooks {
        @Override
        public void standing(String node, boolean doubted) {}

        @Override
        public void event(String name, Object... fields) {}
    }
}
