package cacheproxy.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.ListKind;
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

/** Key files, and proxies that know one another by them, on true sockets. */
class KeysTest {

    private static final long PATIENCE_S = 30;

    @TempDir private Path folder;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Member> members = new ArrayList<>();

    private final class Member implements GossipSocket.Hooks {
        final String name;
        final Set<String> doubted = ConcurrentHashMap.newKeySet();
        final ConcurrentLinkedQueue<String> events = new ConcurrentLinkedQueue<>();
        final GossipSocket socket;
        final long from = System.nanoTime();

        Member(String name, String membersSocket) throws Exception {
            this.name = name;
            List<String> seeds =
                    members.isEmpty() ? List.of() : List.of(members.get(0).socket.address());
            socket =
                    GossipSocket.open(
                            group.next(),
                            () -> (System.nanoTime() - from) / 1e6,
                            name.hashCode(),
                            new Options.Gossip(
                                    true,
                                    "127.0.0.1:0",
                                    "",
                                    seeds,
                                    key(name).toString(),
                                    ring().toString(),
                                    65_536,
                                    1000,
                                    membersSocket,
                                    8),
                            this);
            Node node = new Node("node-0", "std", "a", 0, 1, 0, Availability.UP);
            on(() -> socket.listed(ListKind.FULL, List.of(node)));
            members.add(this);
        }

        private void on(Runnable act) throws Exception {
            group.next().submit(act).sync();
        }

        void reload() throws Exception {
            group.next()
                    .submit(
                            () -> {
                                socket.reload();
                                return null;
                            })
                    .get(PATIENCE_S, TimeUnit.SECONDS);
        }

        void accuses() throws Exception {
            on(
                    () -> {
                        for (int i = 0; i < 3; i++) {
                            socket.ended("node-0", Outcome.TIMEOUT, 10);
                        }
                    });
        }

        String view() throws Exception {
            return group.next().submit(socket::view).get(PATIENCE_S, TimeUnit.SECONDS);
        }

        boolean knows(String other, String state) {
            try {
                return view().lines()
                        .anyMatch(l -> l.startsWith(other + " ") && l.contains(" " + state + " "));
            } catch (Exception e) {
                return false;
            }
        }

        @Override
        public void standing(String node, boolean doubt) {
            if (doubt) {
                doubted.add(node);
            } else {
                doubted.remove(node);
            }
        }

        @Override
        public void event(String event, Object... fields) {
            events.add(event);
        }
    }

    private Path key(String name) {
        return folder.resolve(name + ".key");
    }

    private Path ring() {
        return folder.resolve("ring");
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(10);
        }
    }

    private int flintmill(String... words) {
        return Cli.run(words);
    }

    private int keys(String step, String name, String... more) {
        List<String> words =
                new ArrayList<>(
                        List.of(
                                "keys",
                                step,
                                "--key",
                                key(name).toString(),
                                "--ring",
                                ring().toString()));
        words.addAll(List.of(more));
        return flintmill(words.toArray(String[]::new));
    }

    @AfterEach
    void end() {
        members.forEach(m -> m.socket.close());
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void aKeyIsChangedWithoutAGapAndARemovedOneIsNobodys() throws Exception {
        for (String name : List.of("uno", "dos", "tres")) {
            assertEquals(0, keys("generate", name, name));
            assertEquals(
                    2, keys("generate", name, name), "a key that is there is not written over");
        }
        for (String name : List.of("uno", "dos", "tres")) {
            new Member(name, name.equals("uno") ? folder.resolve("members").toString() : "");
        }
        Member uno = members.get(0);
        Member tres = members.get(2);
        await(
                "all know all",
                () ->
                        members.stream()
                                .allMatch(
                                        m ->
                                                List.of("uno", "dos", "tres").stream()
                                                        .allMatch(n -> m.knows(n, "alive"))));
        assertEquals(0, flintmill("members", folder.resolve("members").toString()));
        assertEquals(
                4,
                MembersSocket.ask(folder.resolve("members")).lines().count(),
                "a head and a line for each");
        assertEquals(
                "rw-------",
                PosixFilePermissions.toString(
                        Files.getPosixFilePermissions(folder.resolve("members"))));
        // Step by step, with a suspicion sent in between: it must arrive under the old key, both,
        // and the new one.
        for (String[] step : new String[][] {{}, {"--use"}, {"--drop"}}) {
            assertEquals(0, keys("rotate", "dos", step));
            for (Member m : members) {
                m.reload();
            }
            members.get(1).accuses();
            tres.accuses();
            await(
                    "a suspicion arrives after " + List.of(step),
                    () -> uno.doubted.contains("node-0"));
            for (Member m : members) {
                m.on(() -> m.socket.ended("node-0", Outcome.OK, 10));
            }
            await("it is taken back", () -> uno.doubted.isEmpty());
        }
        assertTrue(
                uno.events.stream()
                        .noneMatch(e -> e.equals("gossip_died") || e.equals("gossip_suspected")),
                uno.events.toString());
        // The third one's key is taken out of the ring; it runs on, and is heard no more.
        Files.write(
                ring(),
                Files.readAllLines(ring()).stream().filter(l -> !l.startsWith("tres ")).toList());
        for (Member m : members.subList(0, 2)) {
            m.reload();
        }
        await("it is taken for dead", () -> uno.knows("tres", "dead"));
        assertThrows(KeyException.class, tres.socket::reload, "it is told why");
        // Rubbish, short and long, changes nothing.
        try (DatagramSocket stranger = new DatagramSocket()) {
            String address = uno.socket.address();
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
        await("rubbish is counted", () -> uno.socket.counts().rubbish() > 50);
        assertTrue(uno.knows("dos", "alive"));
    }

    @Test
    void filesThatOthersMayTouchAreRefused() throws Exception {
        assertEquals(0, keys("generate", "uno", "uno"));
        assertEquals(0, keys("check", "uno"));
        assertEquals(
                "rw-------",
                PosixFilePermissions.toString(Files.getPosixFilePermissions(key("uno"))));
        Files.setPosixFilePermissions(key("uno"), PosixFilePermissions.fromString("rw-r-----"));
        assertEquals(2, keys("check", "uno"));
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
                                            public void standing(String node, boolean doubted) {}

                                            @Override
                                            public void event(String name, Object... fields) {}
                                        }));
        assertTrue(refused.getMessage().contains("chmod 600"), refused.getMessage());
        Files.setPosixFilePermissions(key("uno"), PosixFilePermissions.fromString("rw-------"));
        Files.setPosixFilePermissions(ring(), PosixFilePermissions.fromString("rw-rw-r--"));
        assertEquals(2, keys("check", "uno"));
        Files.setPosixFilePermissions(ring(), PosixFilePermissions.fromString("rw-r--r--"));
        Files.writeString(ring(), "dos AAAA\n");
        assertEquals(2, keys("check", "uno"));
        assertEquals(2, keys("rotate", "uno", "--use"));
        assertEquals(1, flintmill("members", folder.resolve("none").toString()));
        assertFalse(Files.exists(folder.resolve("none")));
        assertThrows(IOException.class, () -> MembersSocket.ask(folder.resolve("none")));
    }

    /** One of the three steps by which a key is changed. */
    private interface Change {
        void make(FaultyFiles files) throws KeyException, IOException;
    }

    private List<Change> changesOfAKey() {
        return List.of(
                files -> KeyFiles.generate("dos", key("dos"), ring(), files),
                files -> KeyFiles.use(key("dos"), files),
                files -> KeyFiles.drop(key("dos"), ring(), files));
    }

    private List<String> bothFiles() throws IOException {
        return List.of(Files.readString(key("dos")), Files.readString(ring()));
    }

    @Test
    void aKillOrACrashAtAnyStepLosesNoKeyThatSigns() throws Exception {
        assertEquals(0, keys("generate", "uno", "uno"));
        assertEquals(0, keys("generate", "dos", "dos"));
        for (Change change : changesOfAKey()) {
            FaultyFiles files = new FaultyFiles();
            for (int steps = 0; steps == 0 || files.isKilled(); steps++) {
                List<String> before = bothFiles();
                files = new FaultyFiles();
                files.killAfter(steps);
                try {
                    change.make(files);
                } catch (Killed e) {
                    files.crash(steps % 2 == 0);
                }
                assertEquals("dos", new KeyRing(key("dos"), ring()).name(), "it would start");
                assertEquals("uno", new KeyRing(key("uno"), ring()).name(), "and the others too");
                if (files.isKilled()) {
                    Files.writeString(key("dos"), before.get(0));
                    Files.writeString(ring(), before.get(1));
                }
            }
            files.crash(true);
            assertEquals("dos", new KeyRing(key("dos"), ring()).name());
        }
        assertEquals(1, KeyFiles.own(key("dos")).size(), "what returned has outlasted a crash");
        assertEquals(2, KeyFiles.ring(ring()).size());
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"CREATE", "WRITE", "FORCE", "RENAME"})
    void aWriteThatFailsChangesNeitherFile(Step step) throws Exception {
        assertEquals(0, keys("generate", "dos", "dos"));
        for (Change change : changesOfAKey()) {
            List<String> before = bothFiles();
            FaultyFiles files = new FaultyFiles();
            files.fail(step, 1);
            assertThrows(FileWriteException.class, () -> change.make(files));
            assertEquals(before, bothFiles());
            change.make(files);
        }
        assertEquals(0, keys("check", "dos"));
    }

    @Test
    void aKeyFileThatCannotBeWrittenTakesItsKeyOutOfTheRingAgain() throws Exception {
        Files.createDirectories(folder.resolve("dos.key.new").resolve("in the way"));
        assertEquals(0, keys("generate", "uno", "uno"));
        String before = Files.readString(ring());
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        PrintStream standardError = System.err;
        System.setErr(new PrintStream(said, true));
        try {
            assertEquals(1, keys("generate", "dos", "dos"));
        } finally {
            System.setErr(standardError);
        }
        String expected = "flintmill: " + key("dos") + ": could not be written";
        assertTrue(said.toString().startsWith(expected), said.toString());
        assertEquals(1, said.toString().lines().count(), said.toString());
        assertEquals(before, Files.readString(ring()));
        assertFalse(Files.exists(key("dos")));
        Files.delete(folder.resolve("dos.key.new").resolve("in the way"));
        assertEquals(0, keys("generate", "dos", "dos"), "the name is not taken");
    }
}
