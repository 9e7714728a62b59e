package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.UnassignedPort;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A proxy in a separate process, with a scripted cache node and scripted discovery. */
final class ServeProcess implements Closeable {

    private static final int SIGTERM_EXIT_CODE = 143;
    private static final long TIMEOUT_S = 60;
    private static final long POLL_MS = 10;
    private static final long BYTES_PER_KB = 1024;
    private static final String END_OF_LOG = "\0end of the log";

    final ProxyFixture site;

    /** The address for clients. */
    final InetSocketAddress clientAddress = UnassignedPort.address();

    private final Path folder;
    private final Process process;

    /** Lines of the process's log as they arrive; {@link #END_OF_LOG} is the last. */
    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();

    /**
     * Starts the process.
     *
     * @param folder directory for its configuration
     * @param command command that runs the command line appended to it; empty for none
     * @param options options of the JVM
     */
    ServeProcess(Path folder, List<String> command, String... options) throws IOException {
        this(folder, new ProxyFixture(), command, options);
    }

    /** Starts the process with the settings and the cache nodes of {@code site}. */
    ServeProcess(Path folder, ProxyFixture site, List<String> command, String... options)
            throws IOException {
        this.folder = folder;
        this.site = site;
        Path config =
                Files.writeString(
                        folder.resolve("config.json"),
                        site.json("automatic", "60000", "")
                                .replace("127.0.0.1:0", "127.0.0.1:" + clientAddress.getPort()));
        List<String> line = new ArrayList<>(command);
        line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        line.addAll(List.of(options));
        line.addAll(List.of("-cp", System.getProperty("java.class.path")));
        line.addAll(List.of("cacheproxy.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(line).redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        process = builder.start();
        Thread reader = new Thread(this::readLog, "log");
        reader.setDaemon(true);
        reader.start();
    }

    /** The JVM options of the deploy file's run command that need no file of the build. */
    static String[] deployedJvmOptions() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"exec java (.*) -jar ")
                        .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run command");
        }
        return Arrays.stream(run.group(1).split(" "))
                .filter(option -> !option.contains("SharedArchiveFile"))
                .toArray(String[]::new);
    }

    /** The most memory that the process has used so far, in bytes. */
    long peakMemoryBytes() throws IOException {
        return memoryBytes("VmHWM:");
    }

    /** The memory that the process uses now, in bytes. */
    long memoryBytes() throws IOException {
        return memoryBytes("VmRSS:");
    }

    private long memoryBytes(String field) throws IOException {
        return Files.readAllLines(Path.of("/proc", String.valueOf(process.pid()), "status"))
                .stream()
                .filter(line -> line.startsWith(field))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * BYTES_PER_KB)
                .findFirst()
                .orElseThrow();
    }

    private void readLog() {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            lines.lines().forEach(log::add);
        } catch (IOException | UncheckedIOException e) {
            // The process was killed while writing; the lines read so far are kept.
        } finally {
            log.add(END_OF_LOG);
        }
    }

    /** Returns the next line of the log, or null at its end. */
    private String nextLine() throws InterruptedException {
        String line = log.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(line, "nothing was logged for " + TIMEOUT_S + " s");
        if (line.equals(END_OF_LOG)) {
            log.add(END_OF_LOG);
            return null;
        }
        return line;
    }

    private List<String> restOfLog() throws InterruptedException {
        List<String> rest = new ArrayList<>();
        for (String line = nextLine(); line != null; line = nextLine()) {
            rest.add(line);
        }
        return rest;
    }

    /** Reads the log up to the first line with the event, and fails if there is none. */
    void awaitEvent(String event) throws InterruptedException {
        assertTrue(findEvent(event), event + " was never logged");
    }

    /** Reads the log up to the first line with the event; returns false if there is none. */
    boolean findEvent(String event) throws InterruptedException {
        return findEventLine(event) != null;
    }

    /** Reads the log up to the first line with the event, and returns it, or null. */
    String findEventLine(String event) throws InterruptedException {
        String line = nextLine();
        while (line != null && !(line + " ").contains(" " + event + " ")) {
            line = nextLine();
        }
        return line;
    }

    void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                        .start()
                        .waitFor());
    }

    /** Waits until the process has terminated, and returns the remaining lines of its log. */
    List<String> awaitTermination() throws Exception {
        List<String> rest = restOfLog();
        assertEquals(SIGTERM_EXIT_CODE, process.waitFor());
        assertFalse(
                rest.stream().anyMatch(l -> l.contains("Exception") || l.contains("ERROR")),
                String.join("\n", rest));
        return rest;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void awaitUp() throws Exception {
        while (!isUp()) {
            assertTrue(process.isAlive(), () -> "ended: " + log);
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    boolean isUp() {
        try (TestServer.Connection client = client()) {
            client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            return ProxyFixture.status(client.read()) == 200;
        } catch (IOException e) {
            return false;
        }
    }

    TestServer.Connection client() throws IOException {
        return TestServer.connect(clientAddress);
    }

    String configuration() throws IOException {
        return Files.readString(folder.resolve("config.json"));
    }

    /** Replaces the configuration atomically, so that it is never read half-written. */
    void configure(String text) throws IOException {
        Path next = Files.writeString(folder.resolve("next.json"), text);
        Files.move(next, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Returns the configuration with another address of discovery. */
    String configurationWithDiscovery(TestServer discovery) throws IOException {
        return configuration().replace(site.discovery.dial(), discovery.dial());
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        site.close();
    }
}
