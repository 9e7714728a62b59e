package cacheproxy.lab.hollow;

import cacheproxy.gossip.KeyException;
import cacheproxy.lab.ProcessUse;
import com.google.gson.Gson;
import com.sun.management.UnixOperatingSystemMXBean;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A process that runs several control planes on one event loop, as a proxy runs its own. It reads
 * commands from standard input, one per line, and answers each with one line. It ends when the
 * input ends or its time limit expires.
 *
 * <ul>
 *   <li>{@code go} starts the control planes.
 *   <li>{@code look} answers the {@link ProcessStats} as JSON.
 *   <li>{@code weigh} answers the retained heap in bytes.
 *   <li>{@code replace NUMBER} makes a control plane leave and start again.
 *   <li>{@code cut FROM TO} blocks the traffic from one area to another.
 *   <li>{@code heal FROM TO} ends such a cut.
 * </ul>
 */
public final class ControlPlaneProcess {

    private static final long STOP_DELAY_MS = 300;
    private static final long RESTART_DELAY_MS = 1000;
    private static final double NS_PER_S = 1e9;

    /**
     * Statistics of one control plane; the counters run since the start of the process. {@code
     * applied} lists the epochs applied since the previous {@code look}.
     */
    record PlaneStats(
            int number,
            long sent,
            long sentBytes,
            long received,
            long receivedBytes,
            long policySent,
            long policySentBytes,
            long policyReceived,
            long policyReceivedBytes,
            int connections,
            int known,
            long suspected,
            long died,
            boolean current,
            boolean leads,
            List<ControlPlane.AppliedEpoch> applied) {}

    /**
     * Statistics of the process, read at {@code atS}: CPU seconds of the event loop and of all
     * threads since the start, the number of open descriptors, and in {@code lateMs} how long the
     * request for them waited for the event loop.
     */
    record ProcessStats(
            double atS,
            double loopCpuS,
            double cpuS,
            long descriptors,
            double lateMs,
            List<PlaneStats> planes) {}

    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final Gson gson = new Gson();
    private final ControlPlaneSpec spec;
    private final LinkConditions links;
    private final List<ControlPlane> planes = new ArrayList<>();
    private long loopThreadId;

    private ControlPlaneProcess(ControlPlaneSpec spec) {
        this.spec = spec;
        SplittableRandom random = new SplittableRandom(spec.seed() + spec.first());
        links = new LinkConditions(spec.locations(), spec.links(), random.split());
        for (int i = spec.first(); i < spec.first() + spec.count(); i++) {
            planes.add(new ControlPlane(i, loop, links, spec.options(i), random.nextLong()));
        }
    }

    /**
     * Runs the process.
     *
     * @param args the path of a file with a {@link ControlPlaneSpec} as JSON
     */
    public static void main(String[] args) throws IOException {
        PrintStream answers = System.out;
        // Keeps the output of libraries out of the answers.
        System.setOut(System.err);
        ControlPlaneSpec spec =
                new Gson().fromJson(Files.readString(Path.of(args[0])), ControlPlaneSpec.class);
        ControlPlaneProcess process = new ControlPlaneProcess(spec);
        process.scheduler.schedule(
                () -> Runtime.getRuntime().halt(1),
                (long) (spec.limitS() * 1000),
                TimeUnit.MILLISECONDS);
        try {
            process.serve(answers);
        } catch (IOException | InterruptedException | ExecutionException | KeyException e) {
            // Other threads would keep the process alive, and the driver would wait for an answer.
            e.printStackTrace();
            Runtime.getRuntime().halt(1);
        }
        Runtime.getRuntime().halt(0);
    }

    private void serve(PrintStream answers)
            throws IOException, InterruptedException, ExecutionException, KeyException {
        loopThreadId = loop.submit(() -> Thread.currentThread().getId()).get();
        answers.println(ProcessUse.retainedBytes());
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            answers.println(execute(line.split(" ")));
        }
    }

    private String execute(String[] words)
            throws InterruptedException, ExecutionException, IOException, KeyException {
        switch (words[0]) {
            case "go" -> {
                for (ControlPlane plane : planes) {
                    plane.start();
                }
            }
            case "look" -> {
                return gson.toJson(collectStats());
            }
            case "weigh" -> {
                return String.valueOf(ProcessUse.retainedBytes());
            }
            case "replace" -> replace(planes.get(Integer.parseInt(words[1]) - spec.first()));
            case "cut" -> loop.submit(() -> links.cut(words[1], words[2])).sync();
            case "heal" -> loop.submit(() -> links.heal(words[1], words[2])).sync();
            default -> throw new IOException("unknown command: " + words[0]);
        }
        return "ok";
    }

    private void replace(ControlPlane plane) {
        plane.leave();
        scheduler.schedule(() -> runTask(plane::stop), STOP_DELAY_MS, TimeUnit.MILLISECONDS);
        scheduler.schedule(() -> runTask(plane::start), RESTART_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private interface PlaneTask {
        void run() throws IOException, InterruptedException, KeyException;
    }

    private static void runTask(PlaneTask task) {
        try {
            task.run();
        } catch (IOException | KeyException e) {
            // The control plane stays out of the fleet, which the figures of the run show.
            e.printStackTrace();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ProcessStats collectStats() throws InterruptedException, ExecutionException {
        long requestedNs = System.nanoTime();
        return loop.submit(
                        () -> {
                            long nowNs = System.nanoTime();
                            var system =
                                    (UnixOperatingSystemMXBean)
                                            ManagementFactory.getOperatingSystemMXBean();
                            double loopCpuS =
                                    ManagementFactory.getThreadMXBean()
                                                    .getThreadCpuTime(loopThreadId)
                                            / NS_PER_S;
                            return new ProcessStats(
                                    nowNs / NS_PER_S,
                                    loopCpuS,
                                    system.getProcessCpuTime() / NS_PER_S,
                                    system.getOpenFileDescriptorCount(),
                                    (nowNs - requestedNs) / 1e6,
                                    planeStats());
                        })
                .get();
    }

    private List<PlaneStats> planeStats() {
        List<PlaneStats> stats = new ArrayList<>();
        for (int i = 0; i < planes.size(); i++) {
            ControlPlane plane = planes.get(i);
            stats.add(
                    new PlaneStats(
                            spec.first() + i,
                            plane.packets.sent,
                            plane.packets.sentBytes,
                            plane.packets.received,
                            plane.packets.receivedBytes,
                            plane.streams.sent,
                            plane.streams.sentBytes,
                            plane.streams.received,
                            plane.streams.receivedBytes,
                            plane.streams.connections,
                            plane.knownMembers.size(),
                            plane.suspicions,
                            plane.deaths,
                            plane.policyCurrent,
                            plane.leader,
                            List.copyOf(plane.appliedEpochs)));
            plane.appliedEpochs.clear();
        }
        return stats;
    }
}
