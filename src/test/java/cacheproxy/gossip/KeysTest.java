package cacheproxy.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.cli.Cli;
import cacheproxy.config.Options;
import cacheproxy.store.FaultyFiles;
import cacheproxy.store.FaultyFiles.Killed;
import cacheproxy.store.FaultyFiles.Step;
import cacheproxy.store.FileWriteException;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests key files, and proxies on real sockets that authenticate each other by their keys. */
class KeysTest {

    private static final long TIMEOUT_S = 30;

    @TempDir private Path directory;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Member> members = new ArrayList<>();

    private final class Member implements GossipSocket.Hooks {
        final String name;
        final Set<String> suspectedNodes = ConcurrentHashMap.newKeySet();
        final ConcurrentLinkedQueue<String> events = new ConcurrentLinkedQueue<>();
        final GossipSocket socket;
        final long startedNs = System.nanoTime();

        Member(String name, String membersSocket) throws Exception {
            this.name = name;
            List<String> seeds =
                    members.isEmpty() ? List.of() : List.of(members.get(0).socket.addressText());
            socket =
                    GossipSocket.open(
                            group.next(),
                            () -> (System.nanoTime() - startedNs) / 1e6,
                            name.hashCode(),
                            GossipTestOptions.of(directory, name, seeds, membersSocket),
                            this);
            Node node = new Node("node-0", "std", "a", 0, 1, 0, Availability.UP);
            runOnLoop(() -> socket.updateNodes(EndpointListKind.SNAPSHOT, List.of(node)));
            members.add(this);
        }

        private void runOnLoop(Runnable task) throws Exception {
            group.next().submit(task).sync();
        }

        void reload() throws Exception {
            group.next()
                    .submit(
                            () -> {
                                socket.reload();
                                return null;
                            })
                    .get(TIMEOUT_S, TimeUnit.SECONDS);
        }

        void recordTimeouts() throws Exception {
            runOnLoop(
                    () -> {
                        for (int i = 0; i < 3; i++) {
                            socket.attemptEnded("node-0", Outcome.TIMEOUT, 10);
                        }
                    });
        }

        String view() throws Exception {
            return group.next().submit(socket::describeMembers).get(TIMEOUT_S, TimeUnit.SECONDS);
        }

        boolean seesInState(String other, String state) {
            try {
                return view().lines()
                        .anyMatch(l -> l.startsWith(other + " ") && l.contains(" " + state + " "));
            } catch (Exception e) {
                return false;
            }
        }

        @Override
        public void nodeSuspicionChanged(String node, boolean suspected) {
            if (suspected) {
                suspectedNodes.add(node);
            } else {
                suspectedNodes.remove(node);
            }
        }

        @Override
        public void event(String event, Object... fields) {
            events.add(event);
        }
    }

    private Path key(String name) {
        return GossipTestOptions.key(directory, name);
    }

    private Path ring() {
        return GossipTestOptions.ring(directory);
    }

    private static void await(String description, BooleanSupplier condition)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, description);
            Thread.sleep(10);
        }
    }

    private int runCli(String... words) {
        return Cli.run(words);
    }

    private int runKeysCommand(String subcommand, String name, String... more) {
        List<String> words =
                new ArrayList<>(
                        List.of(
                                "keys",
                                subcommand,
                                "--key",
                                key(name).toString(),
                                "--ring",
                                ring().toString()));
        words.addAll(List.of(more));
        return runCli(words.toArray(String[]::new));
    }

    @AfterEach
    void end() {
        members.forEach(m -> m.socket.close());
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void keyRotationCausesNoGapAndRemovedKeyIsRejected() throws Exception {
        for (String name : List.of("uno", "dos", "tres")) {
            assertEquals(0, runKeysCommand("generate", name, name));
            assertEquals(
                    2,
                    runKeysCommand("generate", name, name),
                    "an existing key must not be overwritten");
        }
        for (String name : List.of("uno", "dos", "tres")) {
            new Member(name, name.equals("uno") ? directory.resolve("members").toString() : "");
        }
        Member uno = members.get(0);
        Member tres = members.get(2);
        await(
                "all members must know all others",
                () ->
                        members.stream()
                                .allMatch(
                                        member ->
                                                List.of("uno", "dos", "tres").stream()
                                                        .allMatch(
                                                                n ->
                                                                        member.seesInState(
                                                                                n, "alive"))));
        assertEquals(0, runCli("members", directory.resolve("members").toString()));
        assertEquals(
                4,
                MembersSocket.ask(directory.resolve("members")).lines().count(),
                "a header and one line for each member");
        assertEquals(
                "rw-------",
                PosixFilePermissions.toString(
                        Files.getPosixFilePermissions(directory.resolve("members"))));
        // Rotates the key step by step. After each step a claim must arrive: while only the old key
        // is in use, while both are trusted, and with only the new one.
        for (String[] step : new String[][] {{}, {"--use"}, {"--drop"}}) {
            assertEquals(0, runKeysCommand("rotate", "dos", step));
            for (Member member : members) {
                member.reload();
            }
            members.get(1).recordTimeouts();
            tres.recordTimeouts();
            await(
                    "a suspicion must arrive after " + List.of(step),
                    () -> uno.suspectedNodes.contains("node-0"));
            for (Member member : members) {
                member.runOnLoop(() -> member.socket.attemptEnded("node-0", Outcome.OK, 10));
            }
            await("the suspicion must be withdrawn", () -> uno.suspectedNodes.isEmpty());
        }
        assertTrue(
                uno.events.stream()
                        .noneMatch(e -> e.equals("gossip_died") || e.equals("gossip_suspected")),
                uno.events.toString());
        // Removes the third member's key from the ring; it keeps running, but the others reject its
        // packets.
        Files.write(
                ring(),
                Files.readAllLines(ring()).stream().filter(l -> !l.startsWith("tres ")).toList());
        for (Member member : members.subList(0, 2)) {
            member.reload();
        }
        await("it must be declared dead", () -> uno.seesInState("tres", "dead"));
        assertThrows(KeyException.class, tres.socket::reload, "its reload must report the reason");
        // Invalid datagrams of any length have no effect.
        try (DatagramSocket stranger = new DatagramSocket()) {
            String address = uno.socket.addressText();
            int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
            for (int i = 0; i < 200; i++) {
                stranger.send(
                        new DatagramPacket(
                                new byte[i * 25],
                                i * 25,
                                InetAddress.getByName("127.0.0.1"),
                                port));
            }
        }
        await("invalid packets must be counted", () -> uno.socket.counts().invalid() > 50);
        assertTrue(uno.seesInState("dos", "alive"));
    }

    @Test
    void filesWithTooWidePermissionsAreRejected() throws Exception {
        assertEquals(0, runKeysCommand("generate", "uno", "uno"));
        assertEquals(0, runKeysCommand("check", "uno"));
        assertEquals(
                "rw-------",
                PosixFilePermissions.toString(Files.getPosixFilePermissions(key("uno"))));
        Files.setPosixFilePermissions(key("uno"), PosixFilePermissions.fromString("rw-r-----"));
        assertEquals(2, runKeysCommand("check", "uno"));
        Options.Gossip options =
                new Options.Gossip(
                        true,
                        "127.0.0.1:0",
                        "",
                        List.of(),
                        key("uno").toString(),
                        ring().toString(),
                        4096,
                        100,
                        "",
                        8);
        KeyException refused =
                assertThrows(
                        KeyException.class,
                        () ->
                                GossipSocket.open(
                                        group.next(),
                                        () -> 0,
                                        1,
                                        options,
                                        new GossipSocket.Hooks() {
                                            @Override
                                            public void nodeSuspicionChanged(
                                                    String node, boolean doubted) {}

                                            @Override
                                            public void event(String name, Object... fields) {}
                                        }));
        assertTrue(refused.getMessage().contains("chmod 600"), refused.getMessage());
        Files.setPosixFilePermissions(key("uno"), PosixFilePermissions.fromString("rw-------"));
        Files.setPosixFilePermissions(ring(), PosixFilePermissions.fromString("rw-rw-r--"));
        assertEquals(2, runKeysCommand("check", "uno"));
        Files.setPosixFilePermissions(ring(), PosixFilePermissions.fromString("rw-r--r--"));
        Files.writeString(ring(), "dos AAAA\n");
        assertEquals(2, runKeysCommand("check", "uno"));
        assertEquals(2, runKeysCommand("rotate", "uno", "--use"));
        assertEquals(1, runCli("members", directory.resolve("none").toString()));
        assertFalse(Files.exists(directory.resolve("none")));
        assertThrows(IOException.class, () -> MembersSocket.ask(directory.resolve("none")));
    }

    /** One of the three steps of a key rotation. */
    private interface KeyChange {
        void apply(FaultyFiles files) throws KeyException, IOException;
    }

    private List<KeyChange> keyChanges() {
        return List.of(
                files -> KeyFiles.generate("dos", key("dos"), ring(), files),
                files -> KeyFiles.activateNewKey(key("dos"), files),
                files -> KeyFiles.removeUnusedKeys(key("dos"), ring(), files));
    }

    private List<String> readBothFiles() throws IOException {
        return List.of(Files.readString(key("dos")), Files.readString(ring()));
    }

    @Test
    void killOrCrashAtAnyStepLosesNoSigningKey() throws Exception {
        assertEquals(0, runKeysCommand("generate", "uno", "uno"));
        assertEquals(0, runKeysCommand("generate", "dos", "dos"));
        for (KeyChange change : keyChanges()) {
            FaultyFiles files = new FaultyFiles();
            for (int steps = 0; steps == 0 || files.isKilled(); steps++) {
                List<String> before = readBothFiles();
                files = new FaultyFiles();
                files.killAfter(steps);
                try {
                    change.apply(files);
                } catch (Killed e) {
                    files.crash(steps % 2 == 0);
                }
                assertEquals("dos", new KeyRing(key("dos"), ring()).name(), "it must still start");
                assertEquals("uno", new KeyRing(key("uno"), ring()).name(), "so must the others");
                if (files.isKilled()) {
                    Files.writeString(key("dos"), before.get(0));
                    Files.writeString(ring(), before.get(1));
                }
            }
            files.crash(true);
            assertEquals("dos", new KeyRing(key("dos"), ring()).name());
        }
        assertEquals(
                1,
                KeyFiles.readOwnKeys(key("dos")).size(),
                "completed changes must survive a crash");
        assertEquals(2, KeyFiles.readRing(ring()).size());
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"CREATE", "WRITE", "SYNC", "RENAME"})
    void failedWriteChangesNeitherFile(Step step) throws Exception {
        assertEquals(0, runKeysCommand("generate", "dos", "dos"));
        for (KeyChange change : keyChanges()) {
            List<String> before = readBothFiles();
            FaultyFiles files = new FaultyFiles();
            files.fail(step, 1);
            assertThrows(FileWriteException.class, () -> change.apply(files));
            assertEquals(before, readBothFiles());
            change.apply(files);
        }
        assertEquals(0, runKeysCommand("check", "dos"));
    }

    @Test
    void failedKeyFileWriteRemovesItsKeyFromTheRing() throws Exception {
        Files.createDirectories(directory.resolve("dos.key.new").resolve("in the way"));
        assertEquals(0, runKeysCommand("generate", "uno", "uno"));
        String before = Files.readString(ring());
        ByteArrayOutputStream errorOutput = new ByteArrayOutputStream();
        PrintStream standardError = System.err;
        System.setErr(new PrintStream(errorOutput, true));
        try {
            assertEquals(1, runKeysCommand("generate", "dos", "dos"));
        } finally {
            System.setErr(standardError);
        }
        String expected = "flintmill: " + key("dos") + ": could not be written";
        assertTrue(errorOutput.toString().startsWith(expected), errorOutput.toString());
        assertEquals(1, errorOutput.toString().lines().count(), errorOutput.toString());
        assertEquals(before, Files.readString(ring()));
        assertFalse(Files.exists(key("dos")));
        Files.delete(directory.resolve("dos.key.new").resolve("in the way"));
        assertEquals(0, runKeysCommand("generate", "dos", "dos"), "the name must be free again");
    }
}
