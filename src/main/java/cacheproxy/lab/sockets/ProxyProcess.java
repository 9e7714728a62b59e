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
 * One proxy as a child process, started by the deploy file's {@code run} line through a shell that
 * outlives it: the shell holds a pipe from us, and when that ends, however we ended, it kills the
 * proxy. CPU time, memory and descriptors are read from outside.
 */
final class ProxyProcess {

    /** Starts the program, tells its process id, and kills it when standard input ends. */
    private static final String KEEPER =
            "exec 3<&0; /bin/sh -c \"$1\" </dev/null 3<&- & p=$!; echo \"pid $p\"; "
                    + "(while read -r _; do :; done <&3; kill -KILL $p) 2>/dev/null & w=$!; exec 3<&-; wait $p; c=$?; kill $w 2>/dev/null; echo \"exit $c\"";

    private static final Pattern LEVEL = Pattern.compile("\\bcontrol level=(\\d+)");
    private static final Pattern EVENT =
            Pattern.compile("\\b([a-z]+_[a-z_]+) subject=(\\S+) evidence=(?:\"([^\"]*)\"|(\\S*))");
    private static final Pattern GOSSIP =
            Pattern.compile("\\bgossip_tally sent=(\\d+) bytes=(\\d+)");
    private static final String TEMPORARY = ".tmp";
    private static final long READY_POLL_MS = 20;
    private static final double TICKS_PER_S = 100;
    private static final double KB_PER_MB = 1024;

    /** Takes the events of a proxy's log that name a subject and evidence, as they are read. */
    interface Events {
        void saw(String event, String subject, String evidence);
    }

    /**
     * What a look from outside tells: CPU seconds so far, those of them in the system, resident
     * megabytes, open descriptors.
     */
    record Usage(double cpuS, double systemS, double residentMb, int descriptors) {}

    final String name;
    final InetSocketAddress address;
    private final Path directory;
    private final Path root;
    private final String run;
    private final Path config;
    private final PrintWriter log;
    private Events events = (event, subject, evidence) -> {};
    private Process keeper;
    private volatile long pid = -1;
    private volatile int level;
    private volatile double gossipBytesPerS;
    private volatile long startedNs;
    private volatile Integer exit;
    private volatile boolean expected;
    private int lives;

    ProxyProcess(String name, InetAddress at, Path directory, Path root, String run)
            throws IOException {
        this.name = name;
        this.directory = directory;
        this.root = root;
        this.run = run;
        this.config = directory.resolve(name + ".json");
        forget(directory.resolve(name + TEMPORARY));
        this.log = new PrintWriter(Files.newBufferedWriter(directory.resolve(name + ".log")));
        // The address is this run's own, so nobody else takes the port between this and the proxy's
        // own bind.
        try (ServerSocket free = new ServerSocket()) {
            free.bind(new InetSocketAddress(at, 0));
            address = new InetSocketAddress(at, free.getLocalPort());
        }
    }

    /** What an earlier run's proxy of this name kept is none of this one's. */
    private static void forget(Path folder) throws IOException {
        if (Files.isDirectory(folder)) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }

    /**
     * Names who is told of its events; before the first start. Called by the thread that reads its
     * log.
     */
    void onEvents(Events taker) {
        events = taker;
    }

    /** Writes the configuration that the next start, or SIGHUP, reads. */
    void configure(JsonObject json) throws IOException {
        Path beside = directory.resolve(name + ".json.new");
        Files.writeString(beside, json.toString());
        Files.move(
                beside,
                config,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    void start(String discovery) throws IOException {
        Path temporary = Files.createDirectories(directory.resolve(name + TEMPORARY));
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", KEEPER, "keeper", run)
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
        exit = null;
        expected = false;
        lives++;
        startedNs = System.nanoTime();
        keeper = builder.start();
        Process mine = keeper;
        Thread reading = new Thread(() -> read(mine), name + "-log");
        reading.setDaemon(true);
        reading.start();
    }

    private void read(Process mine) {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(mine.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                Matcher control = LEVEL.matcher(line);
                Matcher gossip = GOSSIP.matcher(line);
                if (line.startsWith("pid ") && pid < 0 && mine == keeper) {
                    pid = Long.parseLong(line.substring(4).trim());
                } else if (line.startsWith("exit ") && mine == keeper) {
                    exit = Integer.parseInt(line.substring(5).trim());
                } else if (control.find()) {
                    level = Integer.parseInt(control.group(1));
                }
                Matcher event = EVENT.matcher(line);
                if (event.find()) {
                    events.saw(
                            event.group(1),
                            event.group(2),
                            event.group(3) == null ? event.group(4) : event.group(3));
                }
                if (gossip.find()) {
                    double bytes =
                            Double.parseDouble(gossip.group(2))
                                    + Gossip.HEADERS * Double.parseDouble(gossip.group(1));
                    gossipBytesPerS = bytes / ((System.nanoTime() - startedNs) / 1e9);
                }
                synchronized (log) {
                    log.println(line);
                }
            }
        } catch (IOException | NumberFormatException e) {
            synchronized (log) {
                log.println("the laboratory can read no more of this: " + e);
            }
        }
        synchronized (log) {
            log.flush();
        }
    }

    /** Waits until it answers {@code GET /up} with 200; returns whether it did in time. */
    boolean awaitReady(long patienceMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        while (System.nanoTime() < end && exit == null) {
            if (up()) {
                return true;
            }
            Thread.sleep(READY_POLL_MS);
        }
        return false;
    }

    private boolean up() {
        try (Socket socket = new Socket()) {
            socket.connect(address, 200);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(
                            "GET /up HTTP/1.1\r\nHost: up\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            byte[] answer = socket.getInputStream().readNBytes(12);
            return new String(answer, StandardCharsets.US_ASCII).endsWith("200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal by name; one that ends the process makes its end an expected one. */
    void signal(String signal) throws IOException, InterruptedException {
        expected |= signal.equals("TERM") || signal.equals("KILL");
        if (pid > 0) {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + pid)
                    .redirectErrorStream(true)
                    .start()
                    .waitFor(5, TimeUnit.SECONDS);
        }
    }

    boolean awaitExit(long patienceMs) throws InterruptedException {
        return keeper == null || keeper.waitFor(patienceMs, TimeUnit.MILLISECONDS);
    }

    /** Its exit code if it has ended though nobody told it to, else null. */
    Integer crashed() {
        return expected ? null : exit;
    }

    int level() {
        return level;
    }

    /** What its gossip has put on the wire since its start, by its own count; 0 without gossip. */
    double gossipBytesPerS() {
        return gossipBytesPerS;
    }

    int lives() {
        return lives;
    }

    /** What it uses now; null when it cannot be seen. */
    Usage usage() {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double system = Long.parseLong(fields[12]) / TICKS_PER_S;
            double cpu = Long.parseLong(fields[11]) / TICKS_PER_S + system;
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

    /** Ends it at once if it still runs: the keeper kills it when its pipe from us closes. */
    void end() {
        expected = true;
        if (keeper != null) {
            try {
                keeper.getOutputStream().close();
                if (!keeper.waitFor(5, TimeUnit.SECONDS)) {
                    keeper.destroyForcibly();
                }
            } catch (IOException e) {
                keeper.destroyForcibly();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        synchronized (log) {
            log.flush();
        }
    }
}
