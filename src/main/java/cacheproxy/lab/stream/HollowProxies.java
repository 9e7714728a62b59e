package cacheproxy.lab.stream;

import cacheproxy.lab.ProcessUse;
import cacheproxy.stream.Entry;
import cacheproxy.stream.Message.Snapshot;
import cacheproxy.stream.Subscriber;
import cacheproxy.stream.wire.StreamClient;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * A process that holds many proxies' ends of the stream, each with a connection of its own, on one
 * loop. Arguments: the first one's number, how many, and the control machines' ports. A line {@code
 * count}, {@code stat}, {@code heap} or {@code marks} on its standard input is answered on the
 * output; its end ends the process.
 */
final class HollowProxies {

    private static final class Proxy implements StreamClient.Sink {
        private final HollowProxies all;
        private final Subscriber subscriber;
        private final StreamClient client;
        private boolean began;

        Proxy(HollowProxies all, int index, Map<String, InetSocketAddress> servers) {
            this.all = all;
            subscriber =
                    new Subscriber(
                            new Subscriber.Parts(
                                    "proxy-" + index,
                                    List.copyOf(servers.keySet()),
                                    Subscriber.PACE_BYTES_PER_S,
                                    Subscriber.BURST_BYTES,
                                    new Random(index)),
                            0,
                            0,
                            nowMs());
            client = new StreamClient(all.loop, servers, subscriber, HollowProxies::nowMs, this);
        }

        @Override
        public boolean apply(List<Entry> entries) {
            long at = System.currentTimeMillis();
            entries.forEach(e -> all.applied(e.seq(), at));
            return true;
        }

        @Override
        public boolean reset(Snapshot snapshot) {
            all.resets += began ? 1 : 0;
            began = true;
            return true;
        }

        @Override
        public void event(Subscriber.What what, String server) {
            if (what != Subscriber.What.CONNECTED) {
                all.moves++;
            }
        }
    }

    private record Mark(int count, long last) {}

    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<Proxy> proxies = new ArrayList<>();
    private final Map<Long, Mark> marks = new LinkedHashMap<>();
    private int resets;
    private int moves;

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private void applied(long seq, long at) {
        Mark before = marks.getOrDefault(seq, new Mark(0, 0));
        marks.put(seq, new Mark(before.count() + 1, Math.max(before.last(), at)));
    }

    private String answer(String asked) {
        return switch (asked) {
            case "count" ->
                    "count "
                            + proxies.stream()
                                    .filter(p -> p.began && p.subscriber.server() != null)
                                    .count();
            case "stat" ->
                    "stat "
                            + ProcessUse.cpuMs()
                            + " "
                            + proxies.stream().mapToLong(p -> p.client.bytesIn()).sum()
                            + " "
                            + proxies.stream().mapToLong(p -> p.client.bytesOut()).sum()
                            + " "
                            + resets
                            + " "
                            + moves;
            case "heap" -> "heap " + ProcessUse.retainedBytes();
            case "marks" -> {
                StringBuilder all = new StringBuilder("marks");
                marks.forEach(
                        (seq, m) ->
                                all.append(' ')
                                        .append(seq)
                                        .append(':')
                                        .append(m.count())
                                        .append(':')
                                        .append(m.last()));
                yield all.toString();
            }
            default -> "?";
        };
    }

    /**
     * Answers what comes on the standard input by what the loop says, in any order, until it ends.
     */
    static void serve(EventLoop loop, Function<String, CompletableFuture<String>> answer)
            throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String asked = line;
            loop.execute(() -> answer.apply(asked).thenAccept(System.out::println));
        }
        System.exit(0);
    }

    public static void main(String[] args) throws Exception {
        HollowProxies all = new HollowProxies();
        Map<String, InetSocketAddress> servers = new LinkedHashMap<>();
        for (int i = 2; i < args.length; i++) {
            servers.put(
                    "control-" + (i - 2),
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), Integer.parseInt(args[i])));
        }
        int first = Integer.parseInt(args[0]);
        all.loop
                .submit(
                        () -> {
                            for (int i = 0; i < Integer.parseInt(args[1]); i++) {
                                Proxy made = new Proxy(all, first + i, servers);
                                all.proxies.add(made);
                                made.client.start();
                            }
                        })
                .sync();
        serve(all.loop, asked -> CompletableFuture.completedFuture(all.answer(asked)));
    }
}
