package cacheproxy.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.Options;
import cacheproxy.config.OptionsFile;
import cacheproxy.epoch.Message.ProposalStatus;
import cacheproxy.gossip.KeyFiles;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests three voting proxies with real keys and files over loopback sockets, one of them on a disk
 * that fails temporarily. The tests only require that each condition is reached within a minute;
 * they don't check how long it takes.
 */
class PolicyRecoveryTest {

    private static final long TIMEOUT_S = 60;
    private static final List<String> NAMES = List.of("a", "b", "c");

    @TempDir Path folder;
    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final List<PolicyService> services = new ArrayList<>();
    private final FaultyFiles disk = new FaultyFiles();

    /** Log events of the voter with the failing disk, which is the last of {@link #NAMES}. */
    private final Queue<String> events = new ConcurrentLinkedQueue<>();

    @BeforeEach
    void generateKeys() throws Exception {
        for (String name : NAMES) {
            KeyFiles.generate(name, folder.resolve(name + ".key"), folder.resolve("ring"));
        }
    }

    private void startAll() throws Exception {
        long pid = ProcessHandle.current().pid();
        InetAddress loopbackAddress =
                InetAddress.getByAddress(new byte[] {127, 94, (byte) (pid >> 8), (byte) pid});
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < NAMES.size(); i++) {
            try (ServerSocket free = new ServerSocket(0, 1, loopbackAddress)) {
                addresses.add(loopbackAddress.getHostAddress() + ":" + free.getLocalPort());
            }
        }
        for (String name : NAMES) {
            services.add(start(name, addresses));
        }
    }

    private PolicyService start(String name, List<String> addresses) throws Exception {
        int index = NAMES.indexOf(name);
        StringBuilder voters = new StringBuilder();
        for (int i = 0; i < NAMES.size(); i++) {
            voters.append(i == 0 ? "" : ", ")
                    .append('"')
                    .append(NAMES.get(i))
                    .append('=')
                    .append(addresses.get(i))
                    .append('"');
        }
        Path file = folder.resolve(name + ".toml");
        Files.writeString(
                file,
                """
                [gossip]
                enabled = true
                key_file = "%s"
                ring_file = "%s"
                [policy]
                voters = [%s]
                listen = "%s"
                socket = "%s"
                folder = "%s"
                """
                        .formatted(
                                folder.resolve(name + ".key"),
                                folder.resolve("ring"),
                                voters,
                                addresses.get(index),
                                socket(name),
                                folder.resolve(name)));
        boolean faulty = index == NAMES.size() - 1;
        return PolicyService.open(
                loop,
                OptionsFile.read(file),
                folder,
                index,
                new PolicyService.Hooks() {
                    @Override
                    public void apply(Options options) {}

                    @Override
                    public void event(String event, Object... fields) {
                        if (faulty) {
                            events.add(event);
                        }
                    }
                },
                faulty ? disk : new DurableFiles());
    }

    private Path socket(String name) {
        return folder.resolve(name + ".sock");
    }

    @AfterEach
    void tearDown() throws Exception {
        loop.submit(() -> services.forEach(PolicyService::close)).sync();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static void await(String what, Callable<Boolean> done) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!done.call()) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(20);
        }
    }

    private ProposalStatus propose(String name, int tally) throws Exception {
        String content = "[log]\ntally_s = " + tally + "\n";
        return PolicySocket.ask(socket(name), "propose", content, 0).ending();
    }

    private long count(String event) {
        return events.stream().filter(event::equals).count();
    }

    @Test
    void votesAgainAfterDiskRecoversAndToleratesLossOfAnotherVoter() throws Exception {
        startAll();
        await(
                "three voters put an epoch in force",
                () -> propose("c", 11) == ProposalStatus.IN_FORCE);
        disk.broken = true;
        await(
                "two voters of three are a majority",
                () -> propose("a", 12) == ProposalStatus.IN_FORCE);
        await("the fault is logged", () -> count("storage_failed") == 1);
        await(
                "the status reports the fault",
                () ->
                        PolicySocket.ask(socket("c"), "status", "", 0)
                                .text()
                                .contains("its folder can't be used"));
        assertEquals(
                ProposalStatus.REFUSED, propose("c", 13), "the failed voter accepts no proposal");
        loop.submit(services.remove(1)::close).sync();
        await(
                "one voter of three is no majority",
                () -> propose("a", 14) == ProposalStatus.NO_MAJORITY);
        assertEquals(0, count("storage_recovered"));
        disk.broken = false;
        await("the recovery is logged", () -> count("storage_recovered") == 1);
        await(
                "two voters of three are a majority",
                () -> propose("c", 15) == ProposalStatus.IN_FORCE);
        assertEquals(1, count("storage_failed"));
        String status = PolicySocket.ask(socket("c"), "status", "", 0).text();
        assertTrue(!status.contains("can't be used"), status);
        long inForce = LogFile.lastEpoch(folder.resolve("c")).number();
        assertTrue(status.contains("epoch " + inForce + " in force"), status + inForce);
    }

    @Test
    void votesOnceDiskThatFailedAtStartRecovers() throws Exception {
        disk.broken = true;
        startAll();
        await(
                "two voters of three are a majority",
                () -> propose("a", 11) == ProposalStatus.IN_FORCE);
        assertEquals(1, count("storage_failed"));
        disk.broken = false;
        await("the recovery is logged", () -> count("storage_recovered") == 1);
        loop.submit(services.remove(0)::close).sync();
        await(
                "two voters of three are a majority",
                () -> propose("c", 12) == ProposalStatus.IN_FORCE);
    }
}
