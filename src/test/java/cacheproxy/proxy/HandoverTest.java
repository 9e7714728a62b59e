package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.UnassignedPort;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Real processes accept clients from one socket that another process owns. One replaces the other
 * without losing a request.
 */
class HandoverTest {

    /**
     * Perl program that owns the listening socket, and starts a process with it as descriptor 0 for
     * each line that it reads.
     */
    private static final String SOCKET_OWNER_SCRIPT =
            """
            use Socket; $| = 1; $SIG{CHLD} = "IGNORE";
            socket(L, PF_INET, SOCK_STREAM, 0); bind(L, sockaddr_in(0, INADDR_LOOPBACK)); listen(L, 128);
            my ($port) = sockaddr_in(getsockname(L)); print "$port\\n";
            while (my $line = <STDIN>) {
                chomp $line; my ($admin, $log, @run) = split /\\t/, $line;
                my $pid = fork;
                if (!$pid) {
                    $ENV{BALANCER_ADMIN} = $admin; open(STDIN, "<&L"); open(STDOUT, ">", $log); open(STDERR, ">&STDOUT");
                    exec @run;
                }
                print "$pid\\n";
            }
            """;

    private static final int TIMEOUT_S = 120;

    /** How long writes fail after SIGTERM; shorter than the time until the final responses. */
    private static final int WRITE_FAILURE_MS = 500;

    @TempDir Path temp;
    private Process socketOwner;
    private BufferedReader ownerOutput;
    private InetSocketAddress clientAddress;
    private final List<ProcessHandle> started = new ArrayList<>();

    private void startSocketOwner(ProxyFixture site) throws Exception {
        Path config = temp.resolve("config.json");
        Files.writeString(config, site.json("automatic", "60000", ""));
        ProcessBuilder builder =
                new ProcessBuilder("perl", "-e", SOCKET_OWNER_SCRIPT).redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("BALANCER_PASSED_SOCKET", "0");
        builder.environment().put("TMPDIR", temp.toString());
        socketOwner = builder.start();
        ownerOutput =
                new BufferedReader(
                        new InputStreamReader(
                                socketOwner.getInputStream(), StandardCharsets.US_ASCII));
        clientAddress =
                new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), Integer.parseInt(ownerOutput.readLine()));
    }

    /** Starts one more process and waits until it is ready. Returns its address for operators. */
    private InetSocketAddress startProcess() throws Exception {
        InetSocketAddress admin = UnassignedPort.address();
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        String line =
                String.join(
                        "\t",
                        "127.0.0.1:" + admin.getPort(),
                        temp.resolve("log-" + started.size()).toString(),
                        java.toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "cacheproxy.Main",
                        "serve");
        socketOwner.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        socketOwner.getOutputStream().flush();
        ProcessHandle process =
                ProcessHandle.of(Long.parseLong(ownerOutput.readLine())).orElseThrow();
        started.add(process);
        while (process.isAlive() && call(admin, "GET /healthcheck") != 200) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertTrue(
                process.isAlive(), Files.readString(temp.resolve("log-" + (started.size() - 1))));
        return admin;
    }

    private static int call(InetSocketAddress admin, String line) {
        try {
            return ProxyFixture.status(TestServer.callOperators(admin, line));
        } catch (IOException e) {
            return -1;
        }
    }

    @AfterEach
    void stop() {
        started.forEach(ProcessHandle::destroyForcibly);
        socketOwner.destroyForcibly();
    }

    @Test
    @Timeout(TIMEOUT_S)
    void losesNoRequestWhileProcessIsReplacedTwice() throws Exception {
        try (ProxyFixture site = new ProxyFixture()) {
            startSocketOwner(site);
            Thread answering = new Thread(() -> answer(site), "node");
            answering.setDaemon(true);
            answering.start();
            InetSocketAddress first = startProcess();
            AtomicInteger served = new AtomicInteger();
            AtomicInteger lost = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                int number = i;
                clients.add(new Thread(() -> client(number, served, lost), "client"));
            }
            clients.forEach(Thread::start);
            assertEquals(200, call(first, "POST /cache-nodes/c0/maint"));
            assertEquals(200, call(first, "POST /cache-nodes/c0/ready"));
            for (int upgrade = 0; upgrade < 2; upgrade++) {
                ProcessHandle old = started.get(upgrade);
                startProcess();
                old.destroy();
                old.onExit().get(TIMEOUT_S, TimeUnit.SECONDS);
                int before = served.get();
                while (served.get() < before + 50 && lost.get() == 0) {
                    TimeUnit.MILLISECONDS.sleep(5);
                }
            }
            clients.forEach(Thread::interrupt);
            for (Thread client : clients) {
                client.join();
            }
            assertEquals(0, lost.get(), "lost");
            assertTrue(served.get() >= 100, "served " + served.get());
            String log = Files.readString(temp.resolve("log-0"));
            assertTrue(
                    log.contains("handover_started") && log.contains("tally"),
                    "the log must stay open after the socket is no longer used");
        }
    }

    private static void answer(ProxyFixture site) {
        try {
            while (true) {
                TestServer.Message message = site.node.await();
                if (message.text() != null) {
                    message.connection().respond(200, "v");
                }
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    /**
     * Sends requests on one connection for as long as it stays open, as an ordinary client does.
     * Anything but a response counts as lost.
     */
    private void client(int number, AtomicInteger served, AtomicInteger lost) {
        TestServer.Connection wire = null;
        try {
            for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
                if (wire == null) {
                    wire = TestServer.connect(clientAddress);
                }
                wire.write(
                        "GET /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: c"
                                + number
                                + "-"
                                + i
                                + "\r\nX-Call-Class: read\r\nX-Budget: 30\r\n\r\n");
                String answer = wire.read();
                (ProxyFixture.status(answer) == 200 || ProxyFixture.status(answer) == 503
                                ? served
                                : lost)
                        .incrementAndGet();
                if (answer == null
                        || "close"
                                .equals(
                                        new TestServer.Message(answer, wire)
                                                .header("Connection"))) {
                    wire.close();
                    wire = null;
                }
            }
        } catch (IOException e) {
            lost.incrementAndGet();
        }
    }

    @Test
    @Timeout(TIMEOUT_S)
    void reportsInvalidPassedSocketInOneLine() throws Exception {
        Path config = temp.resolve("config.json");
        try (ProxyFixture site = new ProxyFixture()) {
            startSocketOwner(site);
            ProcessBuilder builder =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "cacheproxy.Main",
                                    "serve")
                            .redirectErrorStream(true);
            builder.environment().put("BALANCER_CONFIG", config.toString());
            for (String name : List.of("0", "5")) {
                builder.environment().put("BALANCER_PASSED_SOCKET", name);
                Process process = builder.start();
                String text =
                        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertNotEquals(0, process.waitFor());
                assertEquals(1, text.lines().count(), text);
                assertTrue(text.contains("passed socket"), text);
            }
        }
    }

    private int upStatus() throws IOException {
        try (TestServer.Connection client = TestServer.connect(clientAddress)) {
            client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            return ProxyFixture.status(client.read());
        }
    }

    @Test
    @Timeout(TIMEOUT_S)
    void nextProcessAppliesDrainWhoseFirstWriteFailed() throws Exception {
        try (ProxyFixture site = new ProxyFixture()) {
            startSocketOwner(site);
            InetSocketAddress first = startProcess();
            Path folder = temp.resolve("flintmill");
            Files.delete(folder);
            Files.writeString(folder, "no folder");
            assertEquals(200, call(first, "POST /healthcheck/fail"));
            ProcessHandle old = started.get(0);
            old.destroy();
            assertThrows(
                    TimeoutException.class,
                    () -> old.onExit().get(WRITE_FAILURE_MS, TimeUnit.MILLISECONDS),
                    "a write is pending");
            Files.delete(folder);
            old.onExit().get(TIMEOUT_S, TimeUnit.SECONDS);
            startProcess();
            assertEquals(503, upStatus(), "the next process is drained from its start");
            String log = Files.readString(temp.resolve("log-0"));
            assertEquals(1, count(log, "operator_state_write_failed"), log);
            assertEquals(1, count(log, "operator_state_written"), log);
        }
    }

    private static long count(String log, String event) {
        return log.lines().filter(line -> line.contains(event)).count();
    }
}
