package cacheproxy.lab.sockets;

import cacheproxy.membership.Gossip;
import com.google.gson.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One proxy as a child process. It is started with the {@code run} line of the deploy file by a
 * wrapper shell that outlives it: the shell reads a pipe from the testbed and kills the proxy when
 * the pipe is closed, also if the testbed was killed. CPU time, memory and descriptors are read
 * from {@code /proc}.
 */
final class ProxyProcess {

    /**
     * Starts the program, prints its process id and later its exit code, and kills it at the end of
     * standard input.
     */
    private static final String WRAPPER_SCRIPT =
            "exec 3<&0; /bin/sh -c \"$1\" </dev/null 3<&- & p=$!; echo \"pid $p\"; "
                    + "(while read -r _; do :; done <&3; kill -KILL $p) 2>/dev/null & w=$!; exec 3<&-; wait $p; c=$?; kill $w 2>/dev/null; echo \"exit $c\"";

    private static final Pattern CONTROL_LEVEL_PATTERN = Pattern.compile("\\bcontrol level=(\\d+)");
    private static final Pattern EVENT_PATTERN =
            Pattern.compile("\\b([a-z]+_[a-z_]+) subject=(\\S+) evidence=(?:\"([^\"]*)\"|(\\S*))");
    private static final Pattern GOSSIP_TALLY_PATTERN =
            Pattern.compile("\\bgossip_tally sent=(\\d+) bytes=(\\d+)");
    private static final String TEMPORARY_SUFFIX = ".tmp";
    private static final long READY_POLL_INTERVAL_MS = 20;
    private static final double CLOCK_TICKS_PER_S = 100;
    private static final double KB_PER_MB = 1024;

    /** Receives those log events of a proxy that have a subject and evidence, as they are read. */
    interface LogEventListener {
        void onEvent(String event, String subject, String evidence);
    }

    /**
     * Resources used by a proxy: total CPU seconds since its start, the part of them in kernel
     * mode, resident memory in megabytes, and open descriptors.
     */
    record Usage(double cpuS, double systemS, double residentMb, int descriptors) {}

    final String name;
    final InetSocketAddress address;
    private final Path directory;
    private final Path root;
    private final String runCommand;
    private final Path config;
    private final PrintWriter log;
    private LogEventListener eventListener = (event, subject, evidence) -> {};
    private Process wrapper;
    private volatile long pid = -1;
    private volatile int controlLevel;
    private volatile double gossipBytesPerS;
    private volatile long startNanos;
    private volatile Integer exitCode;
    private volatile boolean exitExpected;
    private int startCount;

    ProxyProcess(
            String name, InetAddress listenAddress, Path directory, Path root, String runCommand)
            throws IOException {
        this.name = name;
        this.directory = directory;
        this.root = root;
        this.runCommand = runCommand;
        this.config = directory.resolve(name + ".json");
        deleteDirectory(directory.resolve(name + TEMPORARY_SUFFIX));
        this.log = new PrintWriter(Files.newBufferedWriter(directory.resolve(name + ".log")));
        // The loopback address is unique to this run, so no other process takes the port between
        // this probe and the proxy's own bind.
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(listenAddress, 0));
            address = new InetSocketAddress(listenAddress, probe.getLocalPort());
        }
    }

    /** Deletes the files that a proxy of the same name left in an earlier run. */
    private static void deleteDirectory(Path directory) throws IOException {
        if (Files.isDirectory(directory)) {
            try (Stream<Path> paths = Files.walk(directory)) {
                for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }

    /**
     * Sets the listener for log events. Must be called before the first start. The listener is
     * called by the thread that reads the log.
     */
    void setEventListener(LogEventListener listener) {
        eventListener = listener;
    }

    /** Writes the configuration that the proxy reads at its next start or at SIGHUP. */
    void writeConfig(JsonObject json) throws IOException {
        Path temporaryFile = directory.resolve(name + ".json.new");
        Files.writeString(temporaryFile, json.toString());
        Files.move(
                temporaryFile,
                config,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    void start(String discovery) throws IOException {
        Path temporary = Files.createDirectories(directory.resolve(name + TEMPORARY_SUFFIX));
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", WRAPPER_SCRIPT, "keeper", runCommand)
                        .directory(root.toFile())
                        .redirectErrorStream(true);
        Map<String, String> environment = builder.environment();
        environment.put("BALANCER_NAME", name);
        environment.put(
                "BALANCER_LISTEN", address.getAddress().getHostAddress() + ":" + address.getPort());
        environment.put("BALANCER_DISCOVERY", discovery);
        environment.put("BALANCER_CONFIG", config.toString());
        environment.put("TMPDIR", temporary.toString());
        pid = -1;
        exitCode = null;
        exitExpected = false;
        startCount++;
        startNanos = System.nanoTime();
        wrapper = builder.start();
        Process process = wrapper;
        Thread logReader = new Thread(() -> readLog(process), name + "-log");
        logReader.setDaemon(true);
        logReader.start();
    }

    private void readLog(Process process) {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                Matcher control = CONTROL_LEVEL_PATTERN.matcher(line);
                Matcher gossip = GOSSIP_TALLY_PATTERN.matcher(line);
                if (line.startsWith("pid ") && pid < 0 && process == wrapper) {
                    pid = Long.parseLong(line.substring(4).trim());
                } else if (line.startsWith("exit ") && process == wrapper) {
                    exitCode = Integer.parseInt(line.substring(5).trim());
                } else if (control.find()) {
                    controlLevel = Integer.parseInt(control.group(1));
                }
                Matcher event = EVENT_PATTERN.matcher(line);
                if (event.find()) {
                    eventListener.onEvent(
                            event.group(1),
                            event.group(2),
                            event.group(3) == null ? event.group(4) : event.group(3));
                }
                if (gossip.find()) {
                    double bytes =
                            Double.parseDouble(gossip.group(2))
                                    + Gossip.HEADER_BYTES * Double.parseDouble(gossip.group(1));
                    gossipBytesPerS = bytes / ((System.nanoTime() - startNanos) / 1e9);
                }
                synchronized (log) {
                    log.println(line);
                }
            }
        } catch (IOException | NumberFormatException e) {
            synchronized (log) {
                log.println("reading the output of the proxy failed: " + e);
            }
        }
        synchronized (log) {
            log.flush();
        }
    }

    /**
     * Waits until the proxy answers {@code GET /up} with status 200; returns false if it has exited
     * or has not done so within the timeout.
     */
    boolean awaitReady(long timeoutMs) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (System.nanoTime() < deadlineNanos && exitCode == null) {
            if (isUp()) {
                return true;
            }
            Thread.sleep(READY_POLL_INTERVAL_MS);
        }
        return false;
    }

    private boolean isUp() {
        try (Socket socket = new Socket()) {
            socket.connect(address, 200);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(
                            "GET /up HTTP/1.1\r\nHost: up\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            byte[] statusLine = socket.getInputStream().readNBytes(12);
            return new String(statusLine, StandardCharsets.US_ASCII).endsWith("200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal by name. After TERM or KILL the exit of the process is expected. */
    void sendSignal(String signal) throws IOException, InterruptedException {
        exitExpected |= signal.equals("TERM") || signal.equals("KILL");
        if (pid > 0) {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + pid)
                    .redirectErrorStream(true)
                    .start()
                    .waitFor(5, TimeUnit.SECONDS);
        }
    }

    boolean awaitExit(long timeoutMs) throws InterruptedException {
        return wrapper == null || wrapper.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Returns the exit code if the proxy has exited unexpectedly, else null. */
    Integer unexpectedExitCode() {
        return exitExpected ? null : exitCode;
    }

    /** Returns the last level of the hysteresis controller found in the log. */
    int controlLevel() {
        return controlLevel;
    }

    /**
     * Returns the average rate of gossip sent since the start of the proxy, headers included,
     * according to its own log; 0 without gossip.
     */
    double gossipBytesPerS() {
        return gossipBytesPerS;
    }

    /** Returns how many times the proxy has been started. */
    int startCount() {
        return startCount;
    }

    /** Reads the current resource usage; null if it cannot be read. */
    Usage readUsage() {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double system = Long.parseLong(fields[12]) / CLOCK_TICKS_PER_S;
            double cpu = Long.parseLong(fields[11]) / CLOCK_TICKS_PER_S + system;
            double resident =
                    Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                            .filter(l -> l.startsWith("VmRSS:"))
                            .mapToDouble(
                                    l -> Double.parseDouble(l.replaceAll("[^0-9]", "")) / KB_PER_MB)
                            .findFirst()
                            .orElse(0);
            try (Stream<Path> open = Files.list(Path.of("/proc/" + pid + "/fd"))) {
                return new Usage(cpu, system, resident, (int) open.count());
            }
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    /** Kills the proxy if it is running: the wrapper shell does so when its input is closed. */
    void destroy() {
        exitExpected = true;
        if (wrapper != null) {
            try {
                wrapper.getOutputStream().close();
                if (!wrapper.waitFor(5, TimeUnit.SECONDS)) {
                    wrapper.destroyForcibly();
                }
            } catch (IOException e) {
                wrapper.destroyForcibly();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        synchronized (log) {
            log.flush();
        }
    }
}
