package cacheproxy.lab.stream;

import cacheproxy.gossip.KeyRing;
import cacheproxy.lab.ProcessUse;
import cacheproxy.raft.StreamLog;
import cacheproxy.raft.StreamService;
import cacheproxy.stream.Acknowledgements.FullyAcknowledged;
import cacheproxy.stream.Change;
import cacheproxy.stream.RetainedLog;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;

/**
 * A process that runs one control machine. Its arguments are its name, the directory with keys and
 * files, the port for subscribers (0 for any free port), and the ports at which the control
 * machines connect to each other. It first prints {@code port} and the port for subscribers, then
 * answers each line of standard input with a line on standard output.
 *
 * <ul>
 *   <li>{@code stat} answers CPU time in ms, number of subscribers, last sequence number, and 1 if
 *       it is the leader, else 0.
 *   <li>{@code heap} answers the retained heap in bytes.
 *   <li>{@code everywhere} answers the number of fully acknowledged entries and the percentiles 50,
 *       99 and 99.9 and the maximum of the time from commit to that, in ms.
 *   <li>{@code purge KEY} and {@code epoch NUMBER BYTES} publish a change and answer {@code kept}
 *       with its sequence number, or -1 if it was not accepted.
 * </ul>
 */
final class ControlMachineProcess {

    private static final RetainedLog.Bounds RETAINED_LOG_BOUNDS =
            new RetainedLog.Bounds(32_768, 8 << 20);

    private final Histogram acknowledgementLatencyMs = new Histogram(3);
    private StreamService service;

    private ControlMachineProcess() {}

    private void recordAcknowledged(FullyAcknowledged acknowledged) {
        acknowledgementLatencyMs.recordValue(Math.max(0, Math.round(acknowledged.latencyMs())));
    }

    private CompletableFuture<String> answer(String command) {
        String[] words = command.split(" ");
        return switch (words[0]) {
            case "stat" ->
                    CompletableFuture.completedFuture(
                            "stat "
                                    + ProcessUse.cpuMs()
                                    + " "
                                    + service.machine().publisher().subscriberCount()
                                    + " "
                                    + service.machine().head()
                                    + " "
                                    + (service.machine().isLeader() ? 1 : 0));
            case "heap" -> CompletableFuture.completedFuture("heap " + ProcessUse.retainedBytes());
            case "everywhere" ->
                    CompletableFuture.completedFuture(
                            "everywhere "
                                    + acknowledgementLatencyMs.getTotalCount()
                                    + " "
                                    + acknowledgementLatencyMs.getValueAtPercentile(50)
                                    + " "
                                    + acknowledgementLatencyMs.getValueAtPercentile(99)
                                    + " "
                                    + acknowledgementLatencyMs.getValueAtPercentile(99.9)
                                    + " "
                                    + acknowledgementLatencyMs.getMaxValue());
            case "purge" -> publish(new Change.Purge(words[1], false));
            case "epoch" ->
                    publish(
                            new Change.Epoch(
                                    Long.parseLong(words[1]),
                                    "[log]\n# " + "x".repeat(Integer.parseInt(words[2]))));
            default -> CompletableFuture.completedFuture("?");
        };
    }

    private CompletableFuture<String> publish(Change change) {
        CompletableFuture<String> done = new CompletableFuture<>();
        service.machine().publish(change, seq -> done.complete("kept " + (seq == null ? -1 : seq)));
        return done;
    }

    public static void main(String[] args) throws Exception {
        ControlMachineProcess process = new ControlMachineProcess();
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        InetAddress loopback = InetAddress.getLoopbackAddress();
        Map<String, InetSocketAddress> controls = new LinkedHashMap<>();
        for (int i = 3; i < args.length; i++) {
            controls.put(
                    "control-" + (i - 3),
                    new InetSocketAddress(loopback, Integer.parseInt(args[i])));
        }
        Path folder = Path.of(args[1]);
        process.service =
                new StreamService(
                        new StreamService.Parts(
                                new KeyRing(
                                        folder.resolve(args[0] + ".key"), folder.resolve("ring")),
                                controls,
                                controls.get(args[0]),
                                folder.resolve(args[0]),
                                RETAINED_LOG_BOUNDS,
                                loop,
                                System.nanoTime(),
                                StreamLog.SNAPSHOT_INTERVAL_ENTRIES),
                        process::recordAcknowledged);
        System.out.println(
                "port "
                        + process.service
                                .listen(new InetSocketAddress(loopback, Integer.parseInt(args[2])))
                                .getPort());
        SubscriberProcess.serve(loop, process::answer);
    }
}
