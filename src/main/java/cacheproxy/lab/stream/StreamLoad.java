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
 * Plays the change stream on loopback: control machines in a process each, with their log on this
 * machine's disk, hollow proxies in a few, purges and epochs at the plan's rates (open loop,
 * Poisson) asked of whoever leads until they are kept, the leader killed and started again. Times
 * are from when an entry was due to be asked for to the last proxy's taking it, on this machine's
 * clock. Loopback loses nothing and takes no time: for that there is virtual time.
 */
public final class StreamLoad implements AutoCloseable {

    private static final long START_S = 60;
    private static final long SETTLE_MS = 6000;
    private static final int HEADER_BYTES = 52;
    private static final long POLL_MS = 200;
    private static final long AGAIN_MS = 20;
    private static final double MS = 1000;

    private static final List<String> JVM_FLAGS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xmx192m",
                    "-Dio.netty.jfr.enabled=false",
                    "-Dorg.slf4j.simpleLogger.defaultLogLevel=error");

    private final StreamPlan plan;
    private final Path folder;
    private final Random random;
    private final List<WorkerProcess> controls = new ArrayList<>();
    private final List<Integer> links = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final List<WorkerProcess> hollow = new ArrayList<>();
    private final Map<Long, Long> dueAt = new HashMap<>();
    private final Histogram kept = new Histogram(3);
    private int leader;
    private int lost = -1;
    private double latestMs;

    private StreamLoad(StreamPlan plan, Path folder) {
        this.plan = plan;
        this.folder = folder;
        this.random = new Random(plan.seed());
    }

    /** Plays a file into a folder; whether all bounds hold. */
    public static boolean play(Path file, Map<String, String> set, Path out)
            throws BadFileException, IOException, InterruptedException {
        StreamPlan plan = StreamPlan.read(file, set);
        Path folder =
                Files.createTempDirectory(
                        Files.createDirectories(
                                out == null ? Path.of("target", "lab", plan.name()) : out),
                        "run-");
        try (StreamLoad load = new StreamLoad(plan, folder)) {
            load.start();
            return load.run();
        }
    }

    private void start() throws IOException, InterruptedException {
        for (int i = 0; i < plan.controls(); i++) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                links.add(free.getLocalPort());
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
            controls.add(control(i, 0));
            ports.add(Integer.parseInt(controls.get(i).readWordsAfter("port")[0]));
        }
        int first = 0;
        for (int i = 0; i < plan.processes(); i++) {
            int count = plan.proxies() * (i + 1) / plan.processes() - first;
            List<String> arguments =
                    new ArrayList<>(List.of(String.valueOf(first), String.valueOf(count)));
            ports.forEach(p -> arguments.add(String.valueOf(p)));
            hollow.add(worker(HollowProxies.class, arguments));
            first += count;
        }
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_S);
        for (long served = 0; served < plan.proxies(); served = sum(hollow, "count", 0)) {
            if (System.nanoTime() > end) {
                throw new IOException(
                        "only "
                                + served
                                + " of "
                                + plan.proxies()
                                + " hollow proxies were served within "
                                + START_S
                                + " s");
            }
            Thread.sleep(POLL_MS);
        }
    }

    private WorkerProcess control(int index, int port) throws IOException {
        List<String> arguments =
                new ArrayList<>(
                        List.of("control-" + index, folder.toString(), String.valueOf(port)));
        links.forEach(l -> arguments.add(String.valueOf(l)));
        return worker(HollowControl.class, arguments);
    }

    private static WorkerProcess worker(Class<?> mainClass, List<String> arguments)
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

    private static long[] column(List<WorkerProcess> children, String what, int column)
            throws IOException {
        long[] all = new long[children.size()];
        for (int i = 0; i < all.length; i++) {
            all[i] =
                    children.get(i).isAlive()
                            ? Long.parseLong(ask(children.get(i), what)[column])
                            : 0;
        }
        return all;
    }

    private static long sum(List<WorkerProcess> children, String what, int column)
            throws IOException {
        return Arrays.stream(column(children, what, column)).sum();
    }

    /** Asks whoever leads until it says that the change is kept. */
    private void publish(String change, long due) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_S);
        for (int tries = 1; ; tries++) {
            WorkerProcess asked = controls.get(leader);
            long seq = -1;
            try {
                if (asked.isAlive()) {
                    asked.send(change);
                    seq = Long.parseLong(asked.readWordsAfter("kept")[0]);
                }
            } catch (IOException e) {
                // It was killed meanwhile: another will lead.
                seq = -1;
            }
            if (seq >= 0) {
                dueAt.put(seq, due);
                kept.recordValue(Math.max(0, System.currentTimeMillis() - due));
                return;
            }
            if (System.nanoTime() > end) {
                throw new IOException(
                        "nobody keeps "
                                + change
                                + " within "
                                + START_S
                                + " s; last entries "
                                + Arrays.toString(column(controls, "stat", 2))
                                + ", who leads "
                                + Arrays.toString(column(controls, "stat", 3))
                                + ", killed "
                                + lost);
            }
            leader = (leader + 1) % controls.size();
            if (tries % controls.size() == 0) {
                Thread.sleep(AGAIN_MS);
            }
        }
    }

    private boolean run() throws IOException, InterruptedException {
        long[] cpuBefore = column(controls, "stat", 0);
        long hollowCpu = sum(hollow, "stat", 0);
        long inBefore = sum(hollow, "stat", 1);
        long outBefore = sum(hollow, "stat", 2);
        long movesBefore = sum(hollow, "stat", 4);
        long began = System.nanoTime();
        long beganAt = System.currentTimeMillis();
        double rate = plan.purgesPerS() + plan.epochsPerS();
        boolean back = plan.backS() == 0;
        double dueS = 0;
        long epochs = 0;
        while (dueS < plan.durationS()) {
            dueS += -Math.log(1 - random.nextDouble()) / rate;
            for (long due = began + (long) (dueS * 1e9); System.nanoTime() < due; ) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            latestMs = Math.max(latestMs, (System.nanoTime() - began) / 1e6 - dueS * MS);
            boolean epoch = random.nextDouble() * rate < plan.epochsPerS();
            String change =
                    epoch
                            ? "epoch " + ++epochs + " " + plan.epochBytes()
                            : String.format(
                                    "purge /objects/%016x/%06x",
                                    random.nextLong(), random.nextInt(1 << 24));
            if (plan.killS() > 0 && lost < 0 && dueS >= plan.killS()) {
                // In the change: it has been asked, and may or may not have asked the others.
                lost = leader;
                controls.get(lost).send(change);
                controls.get(lost).kill();
            }
            publish(change, beganAt + Math.round(dueS * MS));
            if (!back && lost >= 0 && dueS >= plan.backS()) {
                back = true;
                controls.set(lost, control(lost, ports.get(lost)));
                controls.get(lost).readWordsAfter("port");
            }
        }
        Thread.sleep(SETTLE_MS);
        double seconds = (System.nanoTime() - began) / 1e9;
        double in = (sum(hollow, "stat", 1) - inBefore) / seconds / plan.proxies();
        double out = (sum(hollow, "stat", 2) - outBefore) / seconds / plan.proxies();
        double proxyCores = (sum(hollow, "stat", 0) - hollowCpu) / MS / seconds / plan.proxies();
        long[] cpu = column(controls, "stat", 0);
        double controlCores = 0;
        for (int i = 0; i < cpu.length; i++) {
            // What the lost one had used before is not known any more.
            controlCores =
                    i == lost
                            ? controlCores
                            : Math.max(controlCores, (cpu[i] - cpuBefore[i]) / MS / seconds);
        }
        return report(
                seconds, in, out, proxyCores, controlCores, sum(hollow, "stat", 4) - movesBefore);
    }

    private boolean report(
            double seconds,
            double in,
            double out,
            double proxyCores,
            double controlCores,
            long moves)
            throws IOException {
        Map<Long, Long> last = new HashMap<>();
        Map<Long, Integer> count = new HashMap<>();
        for (WorkerProcess worker : hollow) {
            for (String mark : ask(worker, "marks")) {
                if (!mark.isEmpty()) {
                    String[] parts = mark.split(":");
                    count.merge(Long.parseLong(parts[0]), Integer.parseInt(parts[1]), Integer::sum);
                    last.merge(Long.parseLong(parts[0]), Long.parseLong(parts[2]), Math::max);
                }
            }
        }
        Histogram times = new Histogram(3);
        long missing = 0;
        for (Map.Entry<Long, Long> e : dueAt.entrySet()) {
            if (count.getOrDefault(e.getKey(), 0) == plan.proxies()) {
                times.recordValue(Math.max(0, last.get(e.getKey()) - e.getValue()));
            } else {
                missing++;
            }
        }
        long resets = sum(hollow, "stat", 3);
        System.out.printf(
                Locale.ROOT,
                "%s: %d proxies in %d processes, %d control machines, %d entries in %.0f s, asked at most %.0f ms late%s%n",
                plan.name(),
                plan.proxies(),
                plan.processes(),
                plan.controls(),
                dueAt.size(),
                seconds,
                latestMs,
                lost < 0 ? "" : ", the leader killed at " + plan.killS() + " s");
        tell("everywhere_ms", times, "not everywhere " + missing);
        tell("kept_ms", kept, "when their authors were told");
        for (int i = 0; i < controls.size(); i++) {
            System.out.printf(
                    Locale.ROOT,
                    "control-%d: confirmed everywhere after its commit (count p50 p99 p99.9 max ms) %s%n",
                    i,
                    String.join(" ", ask(controls.get(i), "everywhere")));
        }
        System.out.printf(
                Locale.ROOT,
                "a proxy: %.0f bytes/s down, %.0f up (frames; TCP and IP add %d a packet), %.5f of a core, resets %d, moves %d%n",
                in,
                out,
                HEADER_BYTES,
                proxyCores,
                resets,
                moves);
        System.out.printf(
                Locale.ROOT,
                "a control machine: %.4f of a core at most, readers %s, heap %s kB%n",
                controlCores,
                Arrays.toString(column(controls, "stat", 1)),
                kb(column(controls, "heap", 0)));
        System.out.printf(
                Locale.ROOT,
                "a process of hollow proxies: heap %s kB%n",
                kb(column(hollow, "heap", 0)));
        return holds(
                        "everywhere_ms",
                        times.getValueAtPercentile(99.9),
                        plan.bounds().everywhereMs())
                & holds("proxy_bytes_per_s", in + out, plan.bounds().proxyBytesPerS())
                & holds("control_cores", controlCores, plan.bounds().controlCores())
                & holds("not everywhere", missing, 0)
                & holds("resets", resets, 0);
    }

    private static String kb(long[] bytes) {
        return Arrays.toString(Arrays.stream(bytes).map(b -> b / 1000).toArray());
    }

    private static void tell(String what, Histogram h, String more) {
        System.out.printf(
                Locale.ROOT,
                "%s p50 %d p99 %d p99.9 %d max %d; %s%n",
                what,
                h.getValueAtPercentile(50),
                h.getValueAtPercentile(99),
                h.getValueAtPercentile(99.9),
                h.getMaxValue(),
                more);
    }

    private static boolean holds(String what, double found, double most) {
        if (found > most) {
            System.out.printf(
                    Locale.ROOT, "falls short: %s is %.4f, allowed is %.4f%n", what, found, most);
        }
        return found <= most;
    }

    @Override
    public void close() {
        hollow.forEach(WorkerProcess::close);
        controls.forEach(WorkerProcess::close);
    }
}
