package cacheproxy.lab.hollow;

import cacheproxy.gossip.KeyException;
import cacheproxy.gossip.KeyFiles;
import cacheproxy.lab.faults.PolicyText;
import cacheproxy.raft.Backlog;
import cacheproxy.raft.PolicySocket;
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
 * One run of a scale test at one size: makes keys and places, starts the processes, lets the fleet
 * become whole, and measures while faults and changes go on. Clocks are real, the run is bounded,
 * and all that it started has ended when {@link #play} returns.
 */
final class HollowRun {

    private static final double NS_PER_S = 1e9;
    private static final double MS_PER_S = 1000;
    private static final long LOOK_MS = 1000;
    private static final double STARTS_S = 60;
    private static final double SPREADS_S = 15;
    private static final int FIRST_NET = 64;
    private static final int NETS = 64;
    private static final Pattern EPOCH = Pattern.compile("epoch (\\d+) is in force");

    private final HollowExperiment experiment;
    private final int size;
    private final Path folder;
    private final List<Child> children = new ArrayList<>();
    private final List<Child> controls = new ArrayList<>();

    /** Proposals by the epoch that they came to, in ms of the monotonic clock. */
    private final Map<Long, Double> proposedAt = new ConcurrentSkipListMap<>();

    private final Map<Long, double[]> appliedAt = new TreeMap<>();
    private final Map<Integer, HollowProcess.Shown> last = new TreeMap<>();
    private double peakBytes;
    private double wholeS = Double.NaN;
    private double lateMs;
    private volatile int unanswered;

    HollowRun(HollowExperiment experiment, int size, int run, Path folder)
            throws IOException, KeyException {
        this.experiment = experiment;
        this.size = size;
        this.folder = folder.toAbsolutePath();
        clear();
        SplittableRandom random = new SplittableRandom(experiment.seed() + 1000L * run + size);
        int net = FIRST_NET + (int) Math.floorMod(ProcessHandle.current().pid() + run, NETS);
        keys();
        int processes = Math.min(size, experiment.fleet().processes());
        for (int i = 0, first = 0; i < processes; i++) {
            int count = size / processes + (i < size % processes ? 1 : 0);
            children.add(child(net, first, count, random.nextLong()));
            first += count;
        }
        for (int c = 0; c < experiment.fleet().control(); c++) {
            controls.add(child(net, size + c, 1, random.nextLong()));
        }
        children.addAll(controls);
        List<String> voters =
                controls.stream()
                        .map(c -> Place.of(c.planes.first(), experiment.fleet(), size).name())
                        .toList();
        for (String voter : experiment.policy().pastEpochs() > 0 ? voters : List.<String>of()) {
            Backlog.write(
                    Planes.store(this.folder, voter),
                    voter,
                    voters,
                    experiment.policy().pastEpochs(),
                    PolicyText::number);
        }
    }

    private void clear() throws IOException {
        if (Files.isDirectory(folder)) {
            try (Stream<Path> old = Files.walk(folder)) {
                for (Path p : old.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
        Files.createDirectories(folder);
    }

    /** A key each, and one ring of all. */
    private void keys() throws IOException, KeyException {
        List<String> ring = new ArrayList<>();
        for (int i = 0; i < size + experiment.fleet().control(); i++) {
            String name = Place.of(i, experiment.fleet(), size).name();
            Path own = folder.resolve(name + ".ring");
            KeyFiles.generate(name, Planes.keyFile(folder, name), own);
            ring.addAll(Files.readAllLines(own));
            Files.delete(own);
        }
        Files.write(Planes.ringFile(folder), ring);
        Files.setPosixFilePermissions(
                Planes.ringFile(folder), PosixFilePermissions.fromString("rw-r--r--"));
    }

    private Child child(int net, int first, int count, long seed) throws IOException {
        return new Child(
                new Planes(
                        net,
                        first,
                        count,
                        size,
                        experiment.fleet(),
                        experiment.gossip(),
                        experiment.policy(),
                        experiment.links(),
                        folder.toString(),
                        seed,
                        STARTS_S
                                + experiment.settleS()
                                + experiment.calmS()
                                + experiment.durationS()
                                + STARTS_S),
                folder);
    }

    /** Plays it; figures by their dotted names. */
    Map<String, Double> play() throws IOException, InterruptedException {
        try {
            for (Child child : children) {
                child.start();
            }
            for (Child child : children) {
                child.awaitReady();
            }
            for (Child child : children) {
                child.ask("go");
            }
            double startedS = now();
            for (Child child : children) {
                child.drain();
            }
            double openS = now() - startedS;
            settle(startedS);
            Thread.sleep((long) (experiment.calmS() * MS_PER_S));
            Map<Child, HollowProcess.Look> before = look();
            CompletableFuture<Void> changes = CompletableFuture.runAsync(this::propose);
            Map<Child, HollowProcess.Look> after = measure(before, startedS);
            changes.join();
            spread();
            Map<String, Double> figures = figures(before, after);
            figures.put("start.open_s", openS);
            return figures;
        } catch (CompletionException e) {
            throw new IOException(e.getCause());
        } finally {
            children.forEach(Child::end);
        }
    }

    private static double now() {
        return System.nanoTime() / NS_PER_S;
    }

    private Map<Child, HollowProcess.Look> look() throws IOException {
        List<Child> asked = children.stream().filter(Child::runs).toList();
        for (Child child : asked) {
            child.drain();
            child.ask("look");
        }
        Map<Child, HollowProcess.Look> looks = new LinkedHashMap<>();
        for (Child child : asked) {
            HollowProcess.Look look = new Gson().fromJson(child.answer(), HollowProcess.Look.class);
            looks.put(child, look);
            lateMs = Math.max(lateMs, look.lateMs());
            for (HollowProcess.Shown s : look.planes()) {
                s.applied()
                        .forEach(
                                a ->
                                        appliedAt
                                                        .computeIfAbsent(a.epoch(), e -> unset())[
                                                        s.number()] =
                                                a.atMs());
                last.put(s.number(), s);
            }
        }
        return looks;
    }

    private double[] unset() {
        double[] never = new double[size + experiment.fleet().control()];
        Arrays.fill(never, Double.NaN);
        return never;
    }

    /**
     * Whether everyone knows everyone and counts itself current, as far as gossip and policy are
     * on.
     */
    private boolean whole() {
        int all = size + experiment.fleet().control();
        return last.size() == all
                && last.values().stream()
                        .allMatch(
                                s ->
                                        (!experiment.gossip().enabled() || s.known() >= all - 1)
                                                && (!experiment.policy().enabled() || s.current()));
    }

    private void settle(double startedS) throws IOException, InterruptedException {
        while (now() - startedS < experiment.settleS() && Double.isNaN(wholeS)) {
            look();
            lookWhole(startedS);
            Thread.sleep(LOOK_MS / 5);
        }
    }

    private void lookWhole(double startedS) {
        if (Double.isNaN(wholeS) && whole()) {
            wholeS = now() - startedS;
        }
    }

    /** Looks each second, and lets faults happen. */
    private Map<Child, HollowProcess.Look> measure(
            Map<Child, HollowProcess.Look> before, double startedS)
            throws IOException, InterruptedException {
        Faults faults = new Faults(experiment, size, children, controls);
        double from = now();
        Map<Child, HollowProcess.Look> earlier = before;
        Map<Child, HollowProcess.Look> looks = before;
        lateMs = 0;
        while (now() - from < experiment.durationS()) {
            faults.until(now() - from);
            Thread.sleep(
                    Math.min(
                            LOOK_MS,
                            Math.max(
                                    1,
                                    (long)
                                            (MS_PER_S
                                                    * (experiment.durationS() - (now() - from))))));
            looks = look();
            lookWhole(startedS);
            for (Map.Entry<Child, HollowProcess.Look> e : looks.entrySet()) {
                HollowProcess.Look then = earlier.get(e.getKey());
                double s = then == null ? 0 : e.getValue().atS() - then.atS();
                for (int i = 0;
                        s > LOOK_MS / MS_PER_S / 2
                                && !controls.contains(e.getKey())
                                && i < then.planes().size();
                        i++) {
                    peakBytes =
                            Math.max(
                                    peakBytes,
                                    (sentBytes(e.getValue().planes().get(i))
                                                    - sentBytes(then.planes().get(i)))
                                            / s);
                }
            }
            earlier = looks;
        }
        return looks;
    }

    /** Waits, so long at most, until the changes that were taken are in force everywhere. */
    private void spread() throws IOException, InterruptedException {
        double from = now();
        while (now() - from < SPREADS_S
                && proposedAt.keySet().stream().anyMatch(e -> !everywhere(e))) {
            Thread.sleep(LOOK_MS / 5);
            look();
        }
    }

    private boolean everywhere(long epoch) {
        return appliedAt.containsKey(epoch)
                && Arrays.stream(appliedAt.get(epoch), 0, size).noneMatch(Double::isNaN);
    }

    private static double sentBytes(HollowProcess.Shown s) {
        return s.sentBytes() + s.policySentBytes();
    }

    /** An operator at the control machines in turn until one takes each change. */
    private void propose() {
        int at = 0;
        for (int i = 1; i <= experiment.policy().changes(); i++) {
            double from = now();
            boolean taken = false;
            for (int tries = 0; tries < controls.size() && !taken; tries++) {
                try {
                    Matcher told =
                            EPOCH.matcher(
                                    PolicySocket.ask(
                                                    Planes.socket(folder, at),
                                                    "propose",
                                                    PolicyText.number(i),
                                                    0)
                                            .text());
                    taken = told.find();
                    if (taken) {
                        proposedAt.put(Long.parseLong(told.group(1)), from * MS_PER_S);
                    }
                } catch (IOException e) {
                    // It is down; the next one is asked.
                }
                at = taken ? at : (at + 1) % controls.size();
            }
            unanswered += taken ? 0 : 1;
            try {
                Thread.sleep(
                        Math.max(
                                0,
                                (long)
                                        (experiment.policy().everyMs()
                                                - (now() - from) * MS_PER_S)));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    // Figures.

    private Map<String, Double> figures(
            Map<Child, HollowProcess.Look> before, Map<Child, HollowProcess.Look> after)
            throws IOException {
        Map<String, Double> figures = new TreeMap<>();
        figures.put("proxies", (double) size);
        for (boolean control : new boolean[] {false, true}) {
            List<Child> role =
                    after.keySet().stream()
                            .filter(
                                    c ->
                                            before.containsKey(c)
                                                    && !c.startedAgain()
                                                    && controls.contains(c) == control)
                            .toList();
            String prefix = control ? "control." : "proxy.";
            if (role.isEmpty()) {
                continue;
            }
            rates(
                    figures,
                    prefix + "gossip_sent_bytes_s",
                    role,
                    before,
                    after,
                    HollowProcess.Shown::sentBytes);
            rates(
                    figures,
                    prefix + "gossip_received_bytes_s",
                    role,
                    before,
                    after,
                    HollowProcess.Shown::receivedBytes);
            rates(
                    figures,
                    prefix + "gossip_sent_s",
                    role,
                    before,
                    after,
                    HollowProcess.Shown::sent);
            rates(
                    figures,
                    prefix + "policy_sent_bytes_s",
                    role,
                    before,
                    after,
                    HollowProcess.Shown::policySentBytes);
            rates(
                    figures,
                    prefix + "policy_received_bytes_s",
                    role,
                    before,
                    after,
                    HollowProcess.Shown::policyReceivedBytes);
            rates(
                    figures,
                    prefix + "policy_sent_s",
                    role,
                    before,
                    after,
                    HollowProcess.Shown::policySent);
            rates(
                    figures,
                    prefix + "policy_received_s",
                    role,
                    before,
                    after,
                    HollowProcess.Shown::policyReceived);
            rates(figures, prefix + "sent_bytes_s", role, before, after, HollowRun::sentBytes);
            figures.put(
                    prefix + "connections",
                    stat(role.stream()
                                    .flatMap(c -> after.get(c).planes().stream())
                                    .mapToDouble(HollowProcess.Shown::connections))
                            .getMax());
            int planes = role.stream().mapToInt(c -> c.planes.count()).sum();
            figures.put(
                    prefix + "loop_cpu_percent",
                    100
                            * role.stream()
                                    .mapToDouble(
                                            c ->
                                                    (after.get(c).loopCpuS()
                                                                    - before.get(c).loopCpuS())
                                                            / (after.get(c).atS()
                                                                    - before.get(c).atS()))
                                    .sum()
                            / planes);
            figures.put(
                    prefix + "cpu_percent",
                    100
                            * role.stream()
                                    .mapToDouble(
                                            c ->
                                                    (after.get(c).cpuS() - before.get(c).cpuS())
                                                            / (after.get(c).atS()
                                                                    - before.get(c).atS()))
                                    .sum()
                            / planes);
            figures.put(
                    prefix + "descriptors",
                    role.stream().mapToDouble(c -> after.get(c).descriptors()).sum() / planes);
            double heap = 0;
            for (Child c : role) {
                c.drain();
                c.ask("weigh");
                heap += Double.parseDouble(c.answer()) - c.bareBytes();
            }
            figures.put(prefix + "heap_bytes", heap / planes);
        }
        figures.put("proxy.peak_second_bytes", peakBytes);
        figures.put("loop.late_ms_max", lateMs);
        members(figures);
        changes(figures);
        return figures;
    }

    private static DescriptiveStatistics stat(DoubleStream values) {
        return new DescriptiveStatistics(values.toArray());
    }

    /** Of a sum that planes keep: mean, median and most of its growth a second. */
    private static void rates(
            Map<String, Double> figures,
            String name,
            List<Child> role,
            Map<Child, HollowProcess.Look> before,
            Map<Child, HollowProcess.Look> after,
            ToDoubleFunction<HollowProcess.Shown> sum) {
        DescriptiveStatistics all = new DescriptiveStatistics();
        for (Child c : role) {
            for (int i = 0; i < c.planes.count(); i++) {
                all.addValue(
                        (sum.applyAsDouble(after.get(c).planes().get(i))
                                        - sum.applyAsDouble(before.get(c).planes().get(i)))
                                / (after.get(c).atS() - before.get(c).atS()));
            }
        }
        figures.put(name, all.getMean());
        figures.put(name + "_p50", all.getPercentile(50));
        figures.put(name + "_max", all.getMax());
    }

    private void members(Map<String, Double> figures) {
        if (!Double.isNaN(wholeS)) {
            figures.put("start.whole_s", wholeS);
        }
        if (experiment.gossip().enabled()) {
            int all = size + experiment.fleet().control();
            DescriptiveStatistics known =
                    stat(
                            last.values().stream()
                                    .filter(s -> s.number() < size)
                                    .mapToDouble(s -> (double) s.known() / (all - 1)));
            figures.put("members.known_share", known.getMean());
            figures.put("members.known_share_least", known.getMin());
            figures.put(
                    "members.suspicions",
                    last.values().stream().mapToDouble(HollowProcess.Shown::suspected).sum());
            figures.put(
                    "members.deaths_seen",
                    last.values().stream().mapToDouble(HollowProcess.Shown::died).sum());
        }
    }

    /** From a proposal to the last proxy that runs it. */
    private void changes(Map<String, Double> figures) throws IOException {
        if (experiment.policy().changes() == 0) {
            return;
        }
        DescriptiveStatistics took = new DescriptiveStatistics();
        int late = 0;
        for (Map.Entry<Long, Double> e : proposedAt.entrySet()) {
            if (everywhere(e.getKey())) {
                took.addValue(
                        Arrays.stream(appliedAt.get(e.getKey()), 0, size).max().orElseThrow()
                                - e.getValue());
            } else {
                late++;
            }
        }
        figures.put("change.everywhere", (double) took.getN());
        figures.put("change.not_everywhere", (double) late);
        figures.put("change.not_taken", (double) unanswered);
        if (took.getN() > 0) {
            figures.put("change.everywhere_p50_ms", took.getPercentile(50));
            figures.put("change.everywhere_p99_ms", took.getPercentile(99));
            figures.put("change.everywhere_max_ms", took.getMax());
        }
        Path log = Planes.store(folder, "control-0").resolve("log");
        if (Files.exists(log) && !proposedAt.isEmpty()) {
            figures.put(
                    "control.log_bytes_a_change",
                    (double) Files.size(log)
                            / (proposedAt.size() + experiment.policy().pastEpochs()));
        }
    }
}
