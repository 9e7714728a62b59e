package cacheproxy.lab.stream;

import cacheproxy.gossip.KeyRing;
import cacheproxy.lab.ProcessUse;
import cacheproxy.raft.StreamLog;
import cacheproxy.raft.StreamService;
import cacheproxy.stream.Change;
import cacheproxy.stream.Deliveries.Everywhere;
import cacheproxy.stream.Window;
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
 * A process that is one control machine. Arguments: its name, the folder with keys and files, the
 * port for those it serves (0 for any), and the control machines' ports for one another. Says its
 * port first; then a line {@code stat}, {@code heap}, {@code everywhere}, {@code purge KEY} or
 * {@code epoch NUMBER BYTES} on the standard input is answered on the output.
 */
final class HollowControl {

    private static final Window.Bounds BOUNDS = new Window.Bounds(32_768, 8 << 20);

    private final Histogram everywhere = new Histogram(3);
    private StreamService service;

    private HollowControl() {}

    private void everywhere(Everywhere e) {
        everywhere.recordValue(Math.max(0, Math.round(e.tookMs())));
    }

    private CompletableFuture<String> answer(String asked) {
        String[] words = asked.split(" ");
        return switch (words[0]) {
            case "stat" ->
                    CompletableFuture.completedFuture(
                            "stat "
                                    + ProcessUse.cpuMs()
                                    + " "
                                    + service.machine().publisher().readers()
                                    + " "
                                    + service.machine().head()
                                    + " "
                                    + (service.machine().leads() ? 1 : 0));
            case "heap" -> CompletableFuture.completedFuture("heap " + ProcessUse.retainedBytes());
            case "everywhere" ->
                    CompletableFuture.completedFuture(
                            "everywhere "
                                    + everywhere.getTotalCount()
                                    + " "
                                    + everywhere.getValueAtPercentile(50)
                                    + " "
                                    + everywhere.getValueAtPercentile(99)
                                    + " "
                                    + everywhere.getValueAtPercentile(99.9)
                                    + " "
                                    + everywhere.getMaxValue());
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
        HollowControl self = new HollowControl();
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        InetAddress here = InetAddress.getLoopbackAddress();
        Map<String, InetSocketAddress> controls = new LinkedHashMap<>();
        for (int i = 3; i < args.length; i++) {
            controls.put(
                    "control-" + (i - 3), new InetSocketAddress(here, Integer.parseInt(args[i])));
        }
        Path folder = Path.of(args[1]);
        self.service =
                new StreamService(
                        new StreamService.Parts(
                                new KeyRing(
                                        folder.resolve(args[0] + ".key"), folder.resolve("ring")),
                                controls,
                                controls.get(args[0]),
                                folder.resolve(args[0]),
                                BOUNDS,
                                loop,
                                System.nanoTime(),
                                StreamLog.SNAPSHOT_EVERY),
                        self::everywhere);
        System.out.println(
                "port "
                        + self.service
                                .listen(new InetSocketAddress(here, Integer.parseInt(args[2])))
                                .getPort());
        HollowProxies.serve(loop, self::answer);
    }
}
