package cacheproxy.lab.stream;

import cacheproxy.config.BadFileException;
import cacheproxy.gossip.KeyException;
import cacheproxy.gossip.KeyFiles;
import cacheproxy.lab.WorkerProcess;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Load test of the change stream over loopback. Each control machine runs in a process of its own
 * with its log on this machine's disk; the subscribing proxies share a few processes. The driver
 * publishes purges and epochs at the rates of the plan (open loop, Poisson arrivals), retrying each
 * at the current leader until it is committed, and kills and restarts the leader. Latencies run
 * from the scheduled time of a publication until the last proxy has received the entry, on this
 * machine's clock. Loopback has no loss and no delay; the simulation in virtual time covers those.
 */
public final class StreamLoad implements AutoCloseable {

    private static final long START_TIMEOUT_S = 60;
    private static final long DELIVERY_WAIT_MS = 6000;
    private static final int TCP_HEADER_BYTES = 52;
    private static final long POLL_INTERVAL_MS = 200;
    private static final long RETRY_DELAY_MS = 20;
    private static final double MS_PER_S = 1000;

    private static final List<String> JVM_FLAGS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xmx192m",
                    "-Dio.netty.jfr.enabled=false",
                    "-Dorg.slf4j.simpleLogger.defaultLogLevel=error");

    private final StreamLoadPlan plan;
    private final Path folder;
    private final Random random;
    private final List<WorkerProcess> controls = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();
    private final List<Integer> subscriberPorts = new ArrayList<>();
    private final List<WorkerProcess> subscriberProcesses = new ArrayList<>();
    private final Map<Long, Long> dueAtMs = new HashMap<>();
    private final Histogram commitLatencyMs = new Histogram(3);
    private int assumedLeader;
    private int killedControl = -1;
    private double maxDriverDelayMs;

    private StreamLoad(StreamLoadPlan plan, Path folder) {
        this.plan = plan;
        this.folder = folder;
        this.random = new Random(plan.seed());
    }

    /**
     * Runs the load test of a plan file.
     *
     * @param out directory for a new run directory; {@code target/lab/NAME} if null
     * @return whether all bounds were met
     */
    public static boolean run(Path file, Map<String, String> overrides, Path outputDirectory)
            throws BadFileException, IOException, InterruptedException {
        StreamLoadPlan plan = StreamLoadPlan.read(file, overrides);
        Path folder =
                Files.createTempDirectory(
                        Files.createDirectories(
                                outputDirectory == null
                                        ? Path.of("target", "lab", plan.name())
                                        : outputDirectory),
                        "run-");
        try (StreamLoad load = new StreamLoad(plan, folder)) {
            load.start();
            return load.runLoad();
        }
    }

    private void start() throws IOException, InterruptedException {
        for (int i = 0; i < plan.controls(); i++) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                peerPorts.add(free.getLocalPort());
            }
            try {
                KeyFiles.generate(
                        "control-" + i,
                        folder.resolve("control-" + i + ".key"),
                        folder.resolve("ring"));
            } catch (KeyException e) {
                throw new IOException(e);
            }
        }
        for (int i = 0; i < plan.controls(); i++) {
            controls.add(startControl(i, 0));
            subscriberPorts.add(Integer.parseInt(controls.get(i).readWordsAfter("port")[0]));
        }
        int first = 0;
        for (int i = 0; i < plan.processes(); i++) {
            int count = plan.proxies() * (i + 1) / plan.processes() - first;
            List<String> arguments =
                    new ArrayList<>(List.of(String.valueOf(first), String.valueOf(count)));
            subscriberPorts.forEach(p -> arguments.add(String.valueOf(p)));
            subscriberProcesses.add(startWorker(SubscriberProcess.class, arguments));
            first += count;
        }
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_S);
        for (long served = 0;
                served < plan.proxies();
                served = sum(subscriberProcesses, "count", 0)) {
            if (System.nanoTime() > deadlineNs) {
                throw new IOException(
                        "only "
                                + served
                                + " of "
                                + plan.proxies()
                                + " proxies were connected within "
                                + START_TIMEOUT_S
                                + " s");
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private WorkerProcess startControl(int index, int port) throws IOException {
        List<String> arguments =
                new ArrayList<>(
                        List.of("control-" + index, folder.toString(), String.valueOf(port)));
        peerPorts.forEach(l -> arguments.add(String.valueOf(l)));
        return startWorker(ControlMachineProcess.class, arguments);
    }

    private static WorkerProcess startWorker(Class<?> mainClass, List<String> arguments)
            throws IOException {
        return WorkerProcess.start(
                mainClass, JVM_FLAGS, arguments, ProcessBuilder.Redirect.INHERIT);
    }

    /**
     * Sends a command and returns the words of its answer after the first, which repeats the
     * command.
     */
    private static String[] ask(WorkerProcess worker, String command) throws IOException {
        worker.send(command);
        return worker.readWordsAfter(command);
    }

    private static long[] column(List<WorkerProcess> workers, String command, int column)
            throws IOException {
        long[] values = new long[workers.size()];
        for (int i = 0; i < values.length; i++) {
            values[i] =
                    workers.get(i).isAlive()
                            ? Long.parseLong(ask(workers.get(i), command)[column])
                            : 0;
        }
        return values;
    }

    private static long sum(List<WorkerProcess> workers, String command, int column)
            throws IOException {
        return Arrays.stream(column(workers, command, column)).sum();
    }

    /** Sends a change to the control machines in turn until the leader confirms its commit. */
    private void publish(String change, long dueMs) throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_S);
        for (int attempts = 1; ; attempts++) {
            WorkerProcess control = controls.get(assumedLeader);
            long seq = -1;
            try {
                if (control.isAlive()) {
                    control.send(change);
                    seq = Long.parseLong(control.readWordsAfter("kept")[0]);
                }
            } catch (IOException e) {
                // The control machine was killed in between; another becomes the leader.
                seq = -1;
            }
            if (seq >= 0) {
                dueAtMs.put(seq, dueMs);
                commitLatencyMs.recordValue(Math.max(0, System.currentTimeMillis() - dueMs));
                return;
            }
            if (System.nanoTime() > deadlineNs) {
                throw new IOException(
                        "no control machine committed "
                                + change
                                + " within "
                                + START_TIMEOUT_S
                                + " s; last entries "
                                + Arrays.toString(column(controls, "stat", 2))
                                + ", leaders "
                                + Arrays.toString(column(controls, "stat", 3))
                                + ", killed "
                                + killedControl);
            }
            assumedLeader = (assumedLeader + 1) % controls.size();
            if (attempts % controls.size() == 0) {
                Thread.sleep(RETRY_DELAY_MS);
            }
        }
    }

    private boolean runLoad() throws IOException, InterruptedException {
        long[] cpuBefore = column(controls, "stat", 0);
        long subscriberCpuBefore = sum(subscriberProcesses, "stat", 0);
        long inBefore = sum(subscriberProcesses, "stat", 1);
        long outBefore = sum(subscriberProcesses, "stat", 2);
        long connectionChangesBefore = sum(subscriberProcesses, "stat", 4);
        long beganNs = System.nanoTime();
        long beganAtMs = System.currentTimeMillis();
        double ratePerS = plan.purgesPerS() + plan.epochsPerS();
        boolean restarted = plan.restartAtS() == 0;
        double dueS = 0;
        long epochs = 0;
        while (dueS < plan.durationS()) {
            dueS += -Math.log(1 - random.nextDouble()) / ratePerS;
            for (long dueNs = beganNs + (long) (dueS * 1e9); System.nanoTime() < dueNs; ) {
                LockSupport.parkNanos(dueNs - System.nanoTime());
            }
            maxDriverDelayMs =
                    Math.max(
                            maxDriverDelayMs,
                            (System.nanoTime() - beganNs) / 1e6 - dueS * MS_PER_S);
            boolean epoch = random.nextDouble() * ratePerS < plan.epochsPerS();
            String change =
                    epoch
                            ? "epoch " + ++epochs + " " + plan.epochBytes()
                            : String.format(
                                    "purge /objects/%016x/%06x",
                                    random.nextLong(), random.nextInt(1 << 24));
            if (plan.killAtS() > 0 && killedControl < 0 && dueS >= plan.killAtS()) {
                // Kills the leader while it handles the change, which it may or may not have
                // replicated.
                killedControl = assumedLeader;
                controls.get(killedControl).send(change);
                controls.get(killedControl).kill();
            }
            publish(change, beganAtMs + Math.round(dueS * MS_PER_S));
            if (!restarted && killedControl >= 0 && dueS >= plan.restartAtS()) {
                restarted = true;
                controls.set(
                        killedControl,
                        startControl(killedControl, subscriberPorts.get(killedControl)));
                controls.get(killedControl).readWordsAfter("port");
            }
        }
        Thread.sleep(DELIVERY_WAIT_MS);
        double seconds = (System.nanoTime() - beganNs) / 1e9;
        double inBytesPerS =
                (sum(subscriberProcesses, "stat", 1) - inBefore) / seconds / plan.proxies();
        double outBytesPerS =
                (sum(subscriberProcesses, "stat", 2) - outBefore) / seconds / plan.proxies();
        double proxyCores =
                (sum(subscriberProcesses, "stat", 0) - subscriberCpuBefore)
                        / MS_PER_S
                        / seconds
                        / plan.proxies();
        long[] cpu = column(controls, "stat", 0);
        double controlCores = 0;
        for (int i = 0; i < cpu.length; i++) {
            // The killed control machine is left out: its earlier CPU time is lost.
            controlCores =
                    i == killedControl
                            ? controlCores
                            : Math.max(controlCores, (cpu[i] - cpuBefore[i]) / MS_PER_S / seconds);
        }
        return report(
                seconds,
                inBytesPerS,
                outBytesPerS,
                proxyCores,
                controlCores,
                sum(subscriberProcesses, "stat", 4) - connectionChangesBefore);
    }

    private boolean report(
            double seconds,
            double inBytesPerS,
            double outBytesPerS,
            double proxyCores,
            double controlCores,
            long connectionChanges)
            throws IOException {
        Map<Long, Long> lastReceivedAtMs = new HashMap<>();
        Map<Long, Integer> receivedCount = new HashMap<>();
        for (WorkerProcess worker : subscriberProcesses) {
            for (String receipts : ask(worker, "marks")) {
                if (!receipts.isEmpty()) {
                    String[] parts = receipts.split(":");
                    receivedCount.merge(
                            Long.parseLong(parts[0]), Integer.parseInt(parts[1]), Integer::sum);
                    lastReceivedAtMs.merge(
                            Long.parseLong(parts[0]), Long.parseLong(parts[2]), Math::max);
                }
            }
        }
        Histogram deliveryMs = new Histogram(3);
        long missing = 0;
        for (Map.Entry<Long, Long> entry : dueAtMs.entrySet()) {
            if (receivedCount.getOrDefault(entry.getKey(), 0) == plan.proxies()) {
                deliveryMs.recordValue(
                        Math.max(0, lastReceivedAtMs.get(entry.getKey()) - entry.getValue()));
            } else {
                missing++;
            }
        }
        long resets = sum(subscriberProcesses, "stat", 3);
        System.out.printf(
                Locale.ROOT,
                "%s: %d proxies in %d processes, %d control machines, %d entries in %.0f s, driver at most %.0f ms late%s%n",
                plan.name(),
                plan.proxies(),
                plan.processes(),
                plan.controls(),
                dueAtMs.size(),
                seconds,
                maxDriverDelayMs,
                killedControl < 0 ? "" : ", leader killed at " + plan.killAtS() + " s");
        printHistogram("everywhere_ms", deliveryMs, "not received by all proxies: " + missing);
        printHistogram(
                "kept_ms", commitLatencyMs, "until the commit was confirmed to the publisher");
        for (int i = 0; i < controls.size(); i++) {
            System.out.printf(
                    Locale.ROOT,
                    "control-%d: from commit to acknowledgement by all (count p50 p99 p99.9 max ms) %s%n",
                    i,
                    String.join(" ", ask(controls.get(i), "everywhere")));
        }
        System.out.printf(
                Locale.ROOT,
                "per proxy: %.0f bytes/s down, %.0f up (frames; TCP and IP add %d per packet), %.5f of a core; repeated snapshots %d, connection changes %d%n",
                inBytesPerS,
                outBytesPerS,
                TCP_HEADER_BYTES,
                proxyCores,
                resets,
                connectionChanges);
        System.out.printf(
                Locale.ROOT,
                "per control machine: at most %.4f of a core, subscribers %s, heap %s kB%n",
                controlCores,
                Arrays.toString(column(controls, "stat", 1)),
                toKilobytes(column(controls, "heap", 0)));
        System.out.printf(
                Locale.ROOT,
                "per process of proxies: heap %s kB%n",
                toKilobytes(column(subscriberProcesses, "heap", 0)));
        return checkBound(
                        "everywhere_ms",
                        deliveryMs.getValueAtPercentile(99.9),
                        plan.bounds().everywhereMs())
                & checkBound(
                        "proxy_bytes_per_s",
                        inBytesPerS + outBytesPerS,
                        plan.bounds().proxyBytesPerS())
                & checkBound("control_cores", controlCores, plan.bounds().controlCores())
                & checkBound("entries not received by all proxies", missing, 0)
                & checkBound("repeated snapshots", resets, 0);
    }

    private static String toKilobytes(long[] bytes) {
        return Arrays.toString(Arrays.stream(bytes).map(b -> b / 1000).toArray());
    }

    private static void printHistogram(String name, Histogram histogram, String remark) {
        System.out.printf(
                Locale.ROOT,
                "%s p50 %d p99 %d p99.9 %d max %d; %s%n",
                name,
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(99),
                histogram.getValueAtPercentile(99.9),
                histogram.getMaxValue(),
                remark);
    }

    /** Whether a figure is within its upper bound; prints a line if not. */
    private static boolean checkBound(String name, double found, double max) {
        if (found > max) {
            System.out.printf(
                    Locale.ROOT, "missed: %s is %.4f, allowed is at most %.4f%n", name, found, max);
        }
        return found <= max;
    }

    @Override
    public void close() {
        subscriberProcesses.forEach(WorkerProcess::close);
        controls.forEach(WorkerProcess::close);
    }
}
