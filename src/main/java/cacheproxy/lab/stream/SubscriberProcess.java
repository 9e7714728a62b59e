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
 * A process that runs the change stream subscribers of many proxies on one event loop, each with a
 * connection of its own. Its arguments are the number of the first proxy, the number of proxies,
 * and the ports of the control machines. It answers each line of standard input with a line on
 * standard output, and ends when the input ends.
 *
 * <ul>
 *   <li>{@code count} answers the number of proxies that have a snapshot and are connected.
 *   <li>{@code stat} answers CPU time in ms, bytes received, bytes sent, repeated snapshots, and
 *       connection changes.
 *   <li>{@code heap} answers the retained heap in bytes.
 *   <li>{@code marks} answers {@code SEQ:COUNT:TIME} for each entry: the number of proxies that
 *       received it, and the time of the last receipt in ms since 1970.
 * </ul>
 */
final class SubscriberProcess {

    private static final class SubscribedProxy implements StreamClient.Sink {
        private final SubscriberProcess process;
        private final Subscriber subscriber;
        private final StreamClient client;
        private boolean hasSnapshot;

        SubscribedProxy(
                SubscriberProcess process, int index, Map<String, InetSocketAddress> servers) {
            this.process = process;
            subscriber =
                    new Subscriber(
                            new Subscriber.Parts(
                                    "proxy-" + index,
                                    List.copyOf(servers.keySet()),
                                    Subscriber.RATE_BYTES_PER_S,
                                    Subscriber.BURST_BYTES,
                                    new Random(index)),
                            0,
                            0,
                            nowMs());
            client =
                    new StreamClient(
                            process.loop, servers, subscriber, SubscriberProcess::nowMs, this);
        }

        @Override
        public boolean apply(List<Entry> entries) {
            long atMs = System.currentTimeMillis();
            entries.forEach(e -> process.recordReceipt(e.seq(), atMs));
            return true;
        }

        @Override
        public boolean reset(Snapshot snapshot) {
            process.resets += hasSnapshot ? 1 : 0;
            hasSnapshot = true;
            return true;
        }

        @Override
        public void event(Subscriber.SubscriberEvent event, String server) {
            if (event != Subscriber.SubscriberEvent.CONNECTED) {
                process.connectionChanges++;
            }
        }
    }

    /** Receipts of one entry: how many proxies have it, and the time of the last receipt. */
    private record Receipts(int count, long lastAtMs) {}

    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<SubscribedProxy> proxies = new ArrayList<>();
    private final Map<Long, Receipts> receiptsBySeq = new LinkedHashMap<>();
    private int resets;
    private int connectionChanges;

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private void recordReceipt(long seq, long atMs) {
        Receipts before = receiptsBySeq.getOrDefault(seq, new Receipts(0, 0));
        receiptsBySeq.put(seq, new Receipts(before.count() + 1, Math.max(before.lastAtMs(), atMs)));
    }

    private String answer(String command) {
        return switch (command) {
            case "count" ->
                    "count "
                            + proxies.stream()
                                    .filter(p -> p.hasSnapshot && p.subscriber.server() != null)
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
                            + connectionChanges;
            case "heap" -> "heap " + ProcessUse.retainedBytes();
            case "marks" -> {
                StringBuilder text = new StringBuilder("marks");
                receiptsBySeq.forEach(
                        (seq, receipts) ->
                                text.append(' ')
                                        .append(seq)
                                        .append(':')
                                        .append(receipts.count())
                                        .append(':')
                                        .append(receipts.lastAtMs()));
                yield text.toString();
            }
            default -> "?";
        };
    }

    /**
     * Answers the lines of standard input until it ends, then ends the process. The answers are
     * computed on the event loop and may be printed in another order than the lines.
     */
    static void serve(EventLoop loop, Function<String, CompletableFuture<String>> answer)
            throws IOException {
        BufferedReader input =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = input.readLine(); line != null; line = input.readLine()) {
            String command = line;
            loop.execute(() -> answer.apply(command).thenAccept(System.out::println));
        }
        System.exit(0);
    }

    public static void main(String[] args) throws Exception {
        SubscriberProcess process = new SubscriberProcess();
        Map<String, InetSocketAddress> servers = new LinkedHashMap<>();
        for (int i = 2; i < args.length; i++) {
            servers.put(
                    "control-" + (i - 2),
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), Integer.parseInt(args[i])));
        }
        int first = Integer.parseInt(args[0]);
        process.loop
                .submit(
                        () -> {
                            for (int i = 0; i < Integer.parseInt(args[1]); i++) {
                                SubscribedProxy proxy =
                                        new SubscribedProxy(process, first + i, servers);
                                process.proxies.add(proxy);
                                proxy.client.start();
                            }
                        })
                .sync();
        serve(process.loop, command -> CompletableFuture.completedFuture(process.answer(command)));
    }
}
