package cacheproxy.lab.hollow;

import cacheproxy.gossip.KeyException;
import cacheproxy.gossip.KeyFiles;
import cacheproxy.lab.faults.ProposedPolicies;
import cacheproxy.raft.PolicySocket;
import cacheproxy.raft.VoterLogGenerator;
import com.google.gson.Gson;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;

/**
 * One run of a scale test at one fleet size: creates keys and locations, starts the processes,
 * waits for the fleet to converge, and measures while it injects faults and proposes changes. It
 * uses real clocks. The run time is bounded, and every process it started has ended when {@link
 * #run} returns.
 */
final class ScaleRun {

    private static final double NS_PER_S = 1e9;
    private static final double MS_PER_S = 1000;
    private static final long STATS_INTERVAL_MS = 1000;
    private static final double START_TIMEOUT_S = 60;
    private static final double PROPAGATION_TIMEOUT_S = 15;
    private static final int FIRST_NETWORK = 64;
    private static final int NETWORK_COUNT = 64;
    private static final Pattern EPOCH_PATTERN = Pattern.compile("epoch (\\d+) is in force");

    private final ScaleExperiment experiment;
    private final int size;
    private final Path folder;
    private final List<ControlPlaneWorker> workers = new ArrayList<>();
    private final List<ControlPlaneWorker> controlWorkers = new ArrayList<>();

    /** Time of each accepted proposal by its epoch, in ms of the monotonic clock. */
    private final Map<Long, Double> proposedAtMs = new ConcurrentSkipListMap<>();

    private final Map<Long, double[]> appliedAtMs = new TreeMap<>();
    private final Map<Integer, ControlPlaneProcess.PlaneStats> latestStats = new TreeMap<>();
    private double peakBytesPerS;
    private double convergedS = Double.NaN;
    private double maxLoopDelayMs;
    private volatile int notAccepted;

    ScaleRun(ScaleExperiment experiment, int size, int run, Path folder)
            throws IOException, KeyException {
        this.experiment = experiment;
        this.size = size;
        this.folder = folder.toAbsolutePath();
        recreateDirectory();
        SplittableRandom random = new SplittableRandom(experiment.seed() + 1000L * run + size);
        int network =
                FIRST_NETWORK
                        + (int) Math.floorMod(ProcessHandle.current().pid() + run, NETWORK_COUNT);
        generateKeys();
        int processCount = Math.min(size, experiment.fleet().processes());
        for (int i = 0, first = 0; i < processCount; i++) {
            int count = size / processCount + (i < size % processCount ? 1 : 0);
            workers.add(newWorker(network, first, count, random.nextLong()));
            first += count;
        }
        for (int c = 0; c < experiment.fleet().control(); c++) {
            controlWorkers.add(newWorker(network, size + c, 1, random.nextLong()));
        }
        workers.addAll(controlWorkers);
        List<String> voters =
                controlWorkers.stream()
                        .map(c -> PlaneLocation.of(c.spec.first(), experiment.fleet(), size).name())
                        .toList();
        for (String voter : experiment.policy().pastEpochs() > 0 ? voters : List.<String>of()) {
            VoterLogGenerator.write(
                    ControlPlaneSpec.storeDirectory(this.folder, voter),
                    voter,
                    voters,
                    experiment.policy().pastEpochs(),
                    ProposedPolicies::content);
        }
    }

    private void recreateDirectory() throws IOException {
        if (Files.isDirectory(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
        Files.createDirectories(folder);
    }

    /** Generates a key for each member and one key ring with all public keys. */
    private void generateKeys() throws IOException, KeyException {
        List<String> ringLines = new ArrayList<>();
        for (int i = 0; i < size + experiment.fleet().control(); i++) {
            String name = PlaneLocation.of(i, experiment.fleet(), size).name();
            Path ownRingFile = folder.resolve(name + ".ring");
            KeyFiles.generate(name, ControlPlaneSpec.keyFile(folder, name), ownRingFile);
            ringLines.addAll(Files.readAllLines(ownRingFile));
            Files.delete(ownRingFile);
        }
        Files.write(ControlPlaneSpec.ringFile(folder), ringLines);
        Files.setPosixFilePermissions(
                ControlPlaneSpec.ringFile(folder), PosixFilePermissions.fromString("rw-r--r--"));
    }

    private ControlPlaneWorker newWorker(int network, int first, int count, long seed)
            throws IOException {
        return new ControlPlaneWorker(
                new ControlPlaneSpec(
                        network,
                        first,
                        count,
                        size,
                        experiment.fleet(),
                        experiment.gossip(),
                        experiment.policy(),
                        experiment.links(),
                        folder.toString(),
                        seed,
                        START_TIMEOUT_S
                                + experiment.settleS()
                                + experiment.calmS()
                                + experiment.durationS()
                                + START_TIMEOUT_S),
                folder);
    }

    /** Executes the run and returns the figures by their dotted names. */
    Map<String, Double> run() throws IOException, InterruptedException {
        try {
            for (ControlPlaneWorker worker : workers) {
                worker.start();
            }
            for (ControlPlaneWorker worker : workers) {
                worker.awaitReady();
            }
            for (ControlPlaneWorker worker : workers) {
                worker.send("go");
            }
            double startedS = nowS();
            for (ControlPlaneWorker worker : workers) {
                worker.readPendingAnswers();
            }
            double openS = nowS() - startedS;
            awaitConvergence(startedS);
            Thread.sleep((long) (experiment.calmS() * MS_PER_S));
            Map<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> before = collectStats();
            CompletableFuture<Void> changes = CompletableFuture.runAsync(this::proposeChanges);
            Map<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> after =
                    measure(before, startedS);
            changes.join();
            awaitPropagation();
            Map<String, Double> figures = figures(before, after);
            figures.put("start.open_s", openS);
            return figures;
        } catch (CompletionException e) {
            throw new IOException(e.getCause());
        } finally {
            workers.forEach(ControlPlaneWorker::close);
        }
    }

    private static double nowS() {
        return System.nanoTime() / NS_PER_S;
    }

    private Map<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> collectStats()
            throws IOException {
        List<ControlPlaneWorker> asked =
                workers.stream().filter(ControlPlaneWorker::isRunning).toList();
        for (ControlPlaneWorker worker : asked) {
            worker.readPendingAnswers();
            worker.send("look");
        }
        Map<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> statsByWorker =
                new LinkedHashMap<>();
        for (ControlPlaneWorker worker : asked) {
            ControlPlaneProcess.ProcessStats processStats =
                    new Gson()
                            .fromJson(worker.readAnswer(), ControlPlaneProcess.ProcessStats.class);
            statsByWorker.put(worker, processStats);
            maxLoopDelayMs = Math.max(maxLoopDelayMs, processStats.lateMs());
            for (ControlPlaneProcess.PlaneStats planeStats : processStats.planes()) {
                planeStats
                        .applied()
                        .forEach(
                                a ->
                                        appliedAtMs
                                                        .computeIfAbsent(
                                                                a.epoch(), e -> notYetApplied())[
                                                        planeStats.number()] =
                                                a.atMs());
                latestStats.put(planeStats.number(), planeStats);
            }
        }
        return statsByWorker;
    }

    private double[] notYetApplied() {
        double[] timesMs = new double[size + experiment.fleet().control()];
        Arrays.fill(timesMs, Double.NaN);
        return timesMs;
    }

    /**
     * Whether the fleet has converged: with gossip enabled, every member knows all others; with
     * policy enabled, every member considers its epoch current.
     */
    private boolean hasConverged() {
        int memberCount = size + experiment.fleet().control();
        return latestStats.size() == memberCount
                && latestStats.values().stream()
                        .allMatch(
                                s ->
                                        (!experiment.gossip().enabled()
                                                        || s.known() >= memberCount - 1)
                                                && (!experiment.policy().enabled() || s.current()));
    }

    private void awaitConvergence(double startedS) throws IOException, InterruptedException {
        while (nowS() - startedS < experiment.settleS() && Double.isNaN(convergedS)) {
            collectStats();
            recordConvergence(startedS);
            Thread.sleep(STATS_INTERVAL_MS / 5);
        }
    }

    private void recordConvergence(double startedS) {
        if (Double.isNaN(convergedS) && hasConverged()) {
            convergedS = nowS() - startedS;
        }
    }

    /**
     * Collects the statistics every second and injects the faults until the measurement ends.
     *
     * @return the last statistics by worker
     */
    private Map<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> measure(
            Map<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> before, double startedS)
            throws IOException, InterruptedException {
        ScaleTestFaults faults = new ScaleTestFaults(experiment, size, workers, controlWorkers);
        double beginS = nowS();
        Map<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> previous = before;
        Map<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> current = before;
        maxLoopDelayMs = 0;
        while (nowS() - beginS < experiment.durationS()) {
            faults.runDue(nowS() - beginS);
            Thread.sleep(
                    Math.min(
                            STATS_INTERVAL_MS,
                            Math.max(
                                    1,
                                    (long)
                                            (MS_PER_S
                                                    * (experiment.durationS()
                                                            - (nowS() - beginS))))));
            current = collectStats();
            recordConvergence(startedS);
            for (Map.Entry<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> workerStats :
                    current.entrySet()) {
                ControlPlaneProcess.ProcessStats previousStats = previous.get(workerStats.getKey());
                double elapsedS =
                        previousStats == null
                                ? 0
                                : workerStats.getValue().atS() - previousStats.atS();
                for (int i = 0;
                        elapsedS > STATS_INTERVAL_MS / MS_PER_S / 2
                                && !controlWorkers.contains(workerStats.getKey())
                                && i < previousStats.planes().size();
                        i++) {
                    peakBytesPerS =
                            Math.max(
                                    peakBytesPerS,
                                    (sentBytes(workerStats.getValue().planes().get(i))
                                                    - sentBytes(previousStats.planes().get(i)))
                                            / elapsedS);
                }
            }
            previous = current;
        }
        return current;
    }

    /** Waits until all proxies have applied the accepted changes, or the time-out expires. */
    private void awaitPropagation() throws IOException, InterruptedException {
        double beginS = nowS();
        while (nowS() - beginS < PROPAGATION_TIMEOUT_S
                && proposedAtMs.keySet().stream().anyMatch(e -> !isAppliedByAllProxies(e))) {
            Thread.sleep(STATS_INTERVAL_MS / 5);
            collectStats();
        }
    }

    private boolean isAppliedByAllProxies(long epoch) {
        return appliedAtMs.containsKey(epoch)
                && Arrays.stream(appliedAtMs.get(epoch), 0, size).noneMatch(Double::isNaN);
    }

    private static double sentBytes(ControlPlaneProcess.PlaneStats s) {
        return s.sentBytes() + s.policySentBytes();
    }

    /**
     * Acts as an operator: proposes each change to the control machines in turn until one accepts
     * it.
     */
    private void proposeChanges() {
        int controlIndex = 0;
        for (int i = 1; i <= experiment.policy().changes(); i++) {
            double beginS = nowS();
            boolean accepted = false;
            for (int attempts = 0; attempts < controlWorkers.size() && !accepted; attempts++) {
                try {
                    Matcher matcher =
                            EPOCH_PATTERN.matcher(
                                    PolicySocket.ask(
                                                    ControlPlaneSpec.socketFile(
                                                            folder, controlIndex),
                                                    "propose",
                                                    ProposedPolicies.content(i),
                                                    0)
                                            .text());
                    accepted = matcher.find();
                    if (accepted) {
                        proposedAtMs.put(Long.parseLong(matcher.group(1)), beginS * MS_PER_S);
                    }
                } catch (IOException e) {
                    // The control machine is down; try the next one.
                }
                controlIndex = accepted ? controlIndex : (controlIndex + 1) % controlWorkers.size();
            }
            notAccepted += accepted ? 0 : 1;
            try {
                Thread.sleep(
                        Math.max(
                                0,
                                (long)
                                        (experiment.policy().everyMs()
                                                - (nowS() - beginS) * MS_PER_S)));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    // Figures.

    private Map<String, Double> figures(
            Map<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> before,
            Map<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> after)
            throws IOException {
        Map<String, Double> figures = new TreeMap<>();
        figures.put("proxies", (double) size);
        for (boolean control : new boolean[] {false, true}) {
            List<ControlPlaneWorker> workersOfRole =
                    after.keySet().stream()
                            .filter(
                                    worker ->
                                            before.containsKey(worker)
                                                    && !worker.wasRestarted()
                                                    && controlWorkers.contains(worker) == control)
                            .toList();
            String prefix = control ? "control." : "proxy.";
            if (workersOfRole.isEmpty()) {
                continue;
            }
            putRates(
                    figures,
                    prefix + "gossip_sent_bytes_s",
                    workersOfRole,
                    before,
                    after,
                    ControlPlaneProcess.PlaneStats::sentBytes);
            putRates(
                    figures,
                    prefix + "gossip_received_bytes_s",
                    workersOfRole,
                    before,
                    after,
                    ControlPlaneProcess.PlaneStats::receivedBytes);
            putRates(
                    figures,
                    prefix + "gossip_sent_s",
                    workersOfRole,
                    before,
                    after,
                    ControlPlaneProcess.PlaneStats::sent);
            putRates(
                    figures,
                    prefix + "policy_sent_bytes_s",
                    workersOfRole,
                    before,
                    after,
                    ControlPlaneProcess.PlaneStats::policySentBytes);
            putRates(
                    figures,
                    prefix + "policy_received_bytes_s",
                    workersOfRole,
                    before,
                    after,
                    ControlPlaneProcess.PlaneStats::policyReceivedBytes);
            putRates(
                    figures,
                    prefix + "policy_sent_s",
                    workersOfRole,
                    before,
                    after,
                    ControlPlaneProcess.PlaneStats::policySent);
            putRates(
                    figures,
                    prefix + "policy_received_s",
                    workersOfRole,
                    before,
                    after,
                    ControlPlaneProcess.PlaneStats::policyReceived);
            putRates(
                    figures,
                    prefix + "sent_bytes_s",
                    workersOfRole,
                    before,
                    after,
                    ScaleRun::sentBytes);
            figures.put(
                    prefix + "connections",
                    statistics(
                                    workersOfRole.stream()
                                            .flatMap(worker -> after.get(worker).planes().stream())
                                            .mapToDouble(
                                                    ControlPlaneProcess.PlaneStats::connections))
                            .getMax());
            int planes = workersOfRole.stream().mapToInt(worker -> worker.spec.count()).sum();
            figures.put(
                    prefix + "loop_cpu_percent",
                    100
                            * workersOfRole.stream()
                                    .mapToDouble(
                                            worker ->
                                                    (after.get(worker).loopCpuS()
                                                                    - before.get(worker).loopCpuS())
                                                            / (after.get(worker).atS()
                                                                    - before.get(worker).atS()))
                                    .sum()
                            / planes);
            figures.put(
                    prefix + "cpu_percent",
                    100
                            * workersOfRole.stream()
                                    .mapToDouble(
                                            worker ->
                                                    (after.get(worker).cpuS()
                                                                    - before.get(worker).cpuS())
                                                            / (after.get(worker).atS()
                                                                    - before.get(worker).atS()))
                                    .sum()
                            / planes);
            figures.put(
                    prefix + "descriptors",
                    workersOfRole.stream()
                                    .mapToDouble(worker -> after.get(worker).descriptors())
                                    .sum()
                            / planes);
            double heapBytes = 0;
            for (ControlPlaneWorker worker : workersOfRole) {
                worker.readPendingAnswers();
                worker.send("weigh");
                heapBytes += Double.parseDouble(worker.readAnswer()) - worker.baselineHeapBytes();
            }
            figures.put(prefix + "heap_bytes", heapBytes / planes);
        }
        figures.put("proxy.peak_second_bytes", peakBytesPerS);
        figures.put("loop.late_ms_max", maxLoopDelayMs);
        putMembershipFigures(figures);
        putChangeFigures(figures);
        return figures;
    }

    private static DescriptiveStatistics statistics(DoubleStream values) {
        return new DescriptiveStatistics(values.toArray());
    }

    /** Adds mean, median and maximum over the control planes of a counter's increase per second. */
    private static void putRates(
            Map<String, Double> figures,
            String name,
            List<ControlPlaneWorker> workersOfRole,
            Map<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> before,
            Map<ControlPlaneWorker, ControlPlaneProcess.ProcessStats> after,
            ToDoubleFunction<ControlPlaneProcess.PlaneStats> counter) {
        DescriptiveStatistics ratesPerS = new DescriptiveStatistics();
        for (ControlPlaneWorker worker : workersOfRole) {
            for (int i = 0; i < worker.spec.count(); i++) {
                ratesPerS.addValue(
                        (counter.applyAsDouble(after.get(worker).planes().get(i))
                                        - counter.applyAsDouble(before.get(worker).planes().get(i)))
                                / (after.get(worker).atS() - before.get(worker).atS()));
            }
        }
        figures.put(name, ratesPerS.getMean());
        figures.put(name + "_p50", ratesPerS.getPercentile(50));
        figures.put(name + "_max", ratesPerS.getMax());
    }

    private void putMembershipFigures(Map<String, Double> figures) {
        if (!Double.isNaN(convergedS)) {
            figures.put("start.whole_s", convergedS);
        }
        if (experiment.gossip().enabled()) {
            int memberCount = size + experiment.fleet().control();
            DescriptiveStatistics knownShare =
                    statistics(
                            latestStats.values().stream()
                                    .filter(s -> s.number() < size)
                                    .mapToDouble(s -> (double) s.known() / (memberCount - 1)));
            figures.put("members.known_share", knownShare.getMean());
            figures.put("members.known_share_least", knownShare.getMin());
            figures.put(
                    "members.suspicions",
                    latestStats.values().stream()
                            .mapToDouble(ControlPlaneProcess.PlaneStats::suspected)
                            .sum());
            figures.put(
                    "members.deaths_seen",
                    latestStats.values().stream()
                            .mapToDouble(ControlPlaneProcess.PlaneStats::died)
                            .sum());
        }
    }

    /** Adds the latencies from a proposal until the last proxy has applied it. */
    private void putChangeFigures(Map<String, Double> figures) throws IOException {
        if (experiment.policy().changes() == 0) {
            return;
        }
        DescriptiveStatistics latenciesMs = new DescriptiveStatistics();
        int incomplete = 0;
        for (Map.Entry<Long, Double> proposal : proposedAtMs.entrySet()) {
            if (isAppliedByAllProxies(proposal.getKey())) {
                latenciesMs.addValue(
                        Arrays.stream(appliedAtMs.get(proposal.getKey()), 0, size)
                                        .max()
                                        .orElseThrow()
                                - proposal.getValue());
            } else {
                incomplete++;
            }
        }
        figures.put("change.everywhere", (double) latenciesMs.getN());
        figures.put("change.not_everywhere", (double) incomplete);
        figures.put("change.not_taken", (double) notAccepted);
        if (latenciesMs.getN() > 0) {
            figures.put("change.everywhere_p50_ms", latenciesMs.getPercentile(50));
            figures.put("change.everywhere_p99_ms", latenciesMs.getPercentile(99));
            figures.put("change.everywhere_max_ms", latenciesMs.getMax());
        }
        Path log = ControlPlaneSpec.storeDirectory(folder, "control-0").resolve("log");
        if (Files.exists(log) && !proposedAtMs.isEmpty()) {
            figures.put(
                    "control.log_bytes_a_change",
                    (double) Files.size(log)
                            / (proposedAtMs.size() + experiment.policy().pastEpochs()));
        }
    }
}
