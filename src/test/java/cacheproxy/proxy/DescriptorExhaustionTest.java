package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A real process with fewer descriptors than its configuration states, so that accepting,
 * connecting and reaching discovery fail. Its classes come from archives, as in production: without
 * a free descriptor no class can be read from a directory.
 */
class DescriptorExhaustionTest {

    private static final int TIMEOUT_S = 180;
    private static final int MAX_DESCRIPTORS = 96;

    /** More than the process has descriptors for, and fewer than the listener's backlog. */
    private static final int IDLE_CLIENTS = 150;

    private static final long OBSERVATION_MS = 2000;

    /**
     * CPU time allowed within {@link #OBSERVATION_MS} on one core. A busy loop uses all of it; the
     * rest allows for the threads of the JIT compiler.
     */
    private static final long MAX_CPU_MS = 1500;

    private static final String UP = "GET /up HTTP/1.1\r\nHost: s\r\n\r\n";

    private final List<TestServer.Connection> clients = new ArrayList<>();
    private final ConcurrentLinkedQueue<String> log = new ConcurrentLinkedQueue<>();
    @TempDir private Path temp;
    private ProxyFixture site;
    private Process process;
    private InetSocketAddress clientAddress;

    @BeforeEach
    void start() throws Exception {
        site = new ProxyFixture();
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            clientAddress = (InetSocketAddress) free.getLocalSocketAddress();
        }
        Path config =
                Files.writeString(
                        temp.resolve("config.json"),
                        site.json("automatic", "60000", "")
                                .replace("127.0.0.1:0", "127.0.0.1:" + clientAddress.getPort()));
        ProcessBuilder builder =
                new ProcessBuilder(
                                "sh",
                                "-c",
                                "ulimit -n " + MAX_DESCRIPTORS + " && exec \"$@\"",
                                "sh",
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                archivedClassPath(),
                                "cacheproxy.Main",
                                "serve")
                        .redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        process = builder.start();
        Thread reading = new Thread(this::readLog, "log");
        reading.setDaemon(true);
        reading.start();
    }

    @AfterEach
    void stop() throws Exception {
        process.destroyForcibly().waitFor();
        for (TestServer.Connection client : clients) {
            client.close();
        }
        site.close();
    }

    private void readLog() {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            lines.lines().forEach(log::add);
        } catch (IOException | UncheckedIOException e) {
            // The process has been killed.
        }
    }

    /** Returns the class path of this test with each directory packed into an archive. */
    private String archivedClassPath() throws IOException {
        List<String> packed = new ArrayList<>();
        for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
            Path path = Path.of(entry);
            packed.add(
                    Files.isDirectory(path)
                            ? pack(path, temp.resolve("classes" + packed.size() + ".jar"))
                                    .toString()
                            : entry);
        }
        return String.join(File.pathSeparator, packed);
    }

    private static Path pack(Path folder, Path archive) throws IOException {
        try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(archive));
                Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                out.putNextEntry(new JarEntry(folder.relativize(file).toString()));
                Files.copy(file, out);
                out.closeEntry();
            }
        }
        return archive;
    }

    private boolean logs(String event) {
        return log.stream().anyMatch(line -> (line + " ").contains(" " + event + " "));
    }

    private void awaitLog(String event) throws InterruptedException {
        while (!logs(event)) {
            assertTrue(process.isAlive(), () -> "process ended: " + String.join("\n", log));
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private TestServer.Connection connect() throws Exception {
        clients.add(TestServer.connect(clientAddress));
        return clients.get(clients.size() - 1);
    }

    private TestServer.Connection firstClient() throws Exception {
        while (true) {
            try {
                return connect();
            } catch (IOException e) {
                assertTrue(process.isAlive(), () -> "process ended: " + String.join("\n", log));
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
    }

    private void assertServes(TestServer.Connection client) throws Exception {
        client.write(site.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Message request = site.node.next();
        while (request.text() == null) {
            request = site.node.next();
        }
        request.connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
    }

    private long cpuMs() {
        return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    /**
     * Silent clients keep connecting while discovery is down: no descriptor is left for a watch or
     * for another client.
     */
    @Test
    @Timeout(TIMEOUT_S)
    void keepsServingWithoutBusyLoopAndRecoversOnceDescriptorsAreFree() throws Exception {
        site.discovery.next();
        TestServer.Connection served = firstClient();
        assertServes(served);
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            connect();
        }
        awaitLog("accept_failed");
        site.discovery.close();
        awaitLog("watch_lost");
        long cpuBefore = cpuMs();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OBSERVATION_MS);
        while (System.nanoTime() - until < 0) {
            assertServes(served);
            TimeUnit.MILLISECONDS.sleep(50);
        }
        long cpu = cpuMs() - cpuBefore;
        assertTrue(cpu < MAX_CPU_MS, "busy loop: " + cpu + " ms of CPU time");
        try (TestServer discovery = new TestServer(site.discovery.address().getPort())) {
            String asked = discovery.next().firstLine();
            assertTrue(asked.startsWith("GET /discovery/hosts?watch=1"), asked);
            assertServesAgain(served);
        }
    }

    /**
     * Once descriptors are free again, new clients are accepted and the earlier one is still
     * served.
     */
    private void assertServesAgain(TestServer.Connection served) throws Exception {
        for (TestServer.Connection client : List.copyOf(clients)) {
            if (client != served) {
                client.close();
            }
        }
        assertServes(served);
        TestServer.Connection next = connect();
        next.write(UP);
        assertEquals(200, ProxyFixture.status(next.read()));
        assertServes(next);
        assertTrue(process.isAlive());
        assertTrue(
                log.stream().noneMatch(line -> line.contains(" ERROR ")),
                () -> String.join("\n", log));
    }
}
