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
 * A process of planes, all on one event loop, as a proxy has one. It does what lines of its
 * standard input say and answers each with a line, and ends with that input or after its limit:
 * {@code go}, {@code look}, {@code weigh}, {@code replace NUMBER}, {@code cut FROM TO}, {@code heal
 * FROM TO}.
 */
public final class HollowProcess {

    private static final long GOES_MS = 300;
    private static final long BACK_MS = 1000;
    private static final double NS_PER_S = 1e9;

    /**
     * What one plane shows; sums since the start. {@code applied} are epochs since the last look.
     */
    record Shown(
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
            List<ControlPlane.Applied> applied) {}

    /**
     * What the process shows: CPU seconds so far of the loop and of all threads, and open
     * descriptors; all read at {@code atS}.
     */
    record Look(
            double atS,
            double loopCpuS,
            double cpuS,
            long descriptors,
            double lateMs,
            List<Shown> planes) {}

    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final ScheduledExecutorService later = Executors.newSingleThreadScheduledExecutor();
    private final Gson json = new Gson();
    private final Planes given;
    private final LinkTable links;
    private final List<ControlPlane> planes = new ArrayList<>();
    private long loopThread;

    private HollowProcess(Planes given) {
        this.given = given;
        SplittableRandom random = new SplittableRandom(given.seed() + given.first());
        links = new LinkTable(given.places(), given.links(), random.split());
        for (int i = given.first(); i < given.first() + given.count(); i++) {
            planes.add(new ControlPlane(i, loop, links, given.options(i), random.nextLong()));
        }
    }

    /** {@code args} is the file of {@link Planes}. */
    public static void main(String[] args) throws IOException {
        PrintStream answers = System.out;
        // What libraries print must not stand between answers.
        System.setOut(System.err);
        Planes given = new Gson().fromJson(Files.readString(Path.of(args[0])), Planes.class);
        HollowProcess process = new HollowProcess(given);
        process.later.schedule(
                () -> Runtime.getRuntime().halt(1),
                (long) (given.limitS() * 1000),
                TimeUnit.MILLISECONDS);
        try {
            process.serve(answers);
        } catch (IOException | InterruptedException | ExecutionException | KeyException e) {
            // Other threads would keep it alive, and its driver waiting for an answer.
            e.printStackTrace();
            Runtime.getRuntime().halt(1);
        }
        Runtime.getRuntime().halt(0);
    }

    private void serve(PrintStream answers)
            throws IOException, InterruptedException, ExecutionException, KeyException {
        loopThread = loop.submit(() -> Thread.currentThread().getId()).get();
        answers.println(ProcessUse.retainedBytes());
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            answers.println(told(line.split(" ")));
        }
    }

    private String told(String[] words)
            throws InterruptedException, ExecutionException, IOException, KeyException {
        switch (words[0]) {
            case "go" -> {
                for (ControlPlane plane : planes) {
                    plane.start();
                }
            }
            case "look" -> {
                return json.toJson(look());
            }
            case "weigh" -> {
                return String.valueOf(ProcessUse.retainedBytes());
            }
            case "replace" -> replace(planes.get(Integer.parseInt(words[1]) - given.first()));
            case "cut" -> loop.submit(() -> links.cut(words[1], words[2])).sync();
            case "heal" -> loop.submit(() -> links.heal(words[1], words[2])).sync();
            default -> throw new IOException("no such word: " + words[0]);
        }
        return "ok";
    }

    private void replace(ControlPlane plane) {
        plane.leave();
        later.schedule(() -> step(plane::stop), GOES_MS, TimeUnit.MILLISECONDS);
        later.schedule(() -> step(plane::start), BACK_MS, TimeUnit.MILLISECONDS);
    }

    private interface Step {
        void take() throws IOException, InterruptedException, KeyException;
    }

    private static void step(Step step) {
        try {
            step.take();
        } catch (IOException | KeyException e) {
            // The fleet stays without it, which its figures show.
            e.printStackTrace();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Look look() throws InterruptedException, ExecutionException {
        long asked = System.nanoTime();
        return loop.submit(
                        () -> {
                            long now = System.nanoTime();
                            var system =
                                    (UnixOperatingSystemMXBean)
                                            ManagementFactory.getOperatingSystemMXBean();
                            double loopCpuS =
                                    ManagementFactory.getThreadMXBean().getThreadCpuTime(loopThread)
                                            / NS_PER_S;
                            return new Look(
                                    now / NS_PER_S,
                                    loopCpuS,
                                    system.getProcessCpuTime() / NS_PER_S,
                                    system.getOpenFileDescriptorCount(),
                                    (now - asked) / 1e6,
                                    show());
                        })
                .get();
    }

    private List<Shown> show() {
        List<Shown> shown = new ArrayList<>();
        for (int i = 0; i < planes.size(); i++) {
            ControlPlane p = planes.get(i);
            shown.add(
                    new Shown(
                            given.first() + i,
                            p.packets.sent,
                            p.packets.sentBytes,
                            p.packets.received,
                            p.packets.receivedBytes,
                            p.streams.sent,
                            p.streams.sentBytes,
                            p.streams.received,
                            p.streams.receivedBytes,
                            p.streams.connections,
                            p.known.size(),
                            p.suspected,
                            p.died,
                            p.current,
                            p.leads,
                            List.copyOf(p.applied)));
            p.applied.clear();
        }
        return shown;
    }
}
