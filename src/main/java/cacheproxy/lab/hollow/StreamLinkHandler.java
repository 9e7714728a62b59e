package cacheproxy.lab.hollow;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Simulates the link of one TCP connection of a control plane. Both ends count their traffic. The
 * connecting end, the only one that knows both control planes, also delays both directions and
 * queues the data while the link is cut. The order of the data is preserved.
 */
final class StreamLinkHandler extends ChannelDuplexHandler {

    private static final double NS_PER_MS = 1e6;

    /** Interval of the checks whether a cut has healed. */
    private static final long CUT_CHECK_INTERVAL_MS = 20;

    /** The queued data of one direction, in order. */
    private static final class Direction {
        final Deque<DelayedMessage> queue = new ArrayDeque<>();
        boolean scheduled;
    }

    private record DelayedMessage(long dueNs, Runnable delivery, Object message) {}

    private final int self;
    private final LinkConditions links;
    private final Traffic traffic;
    private final Direction outbound = new Direction();
    private final Direction inbound = new Direction();

    /** Written but not yet flushed. */
    private final List<Runnable> pendingWrites = new ArrayList<>();

    private final List<Object> pendingMessages = new ArrayList<>();
    private long pendingBytes;

    /** Number of the control plane it connects to; -1 for an accepted connection. */
    private int peer = -1;

    StreamLinkHandler(int self, LinkConditions links, Traffic traffic) {
        this.self = self;
        this.links = links;
        this.traffic = traffic;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        traffic.connections++;
        if (ctx.channel().parent() == null) {
            peer = LinkConditions.planeOf((InetSocketAddress) ctx.channel().remoteAddress());
        }
        ctx.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        traffic.connections--;
        for (Direction direction : List.of(outbound, inbound)) {
            direction.queue.forEach(l -> ReferenceCountUtil.release(l.message));
            direction.queue.clear();
        }
        pendingMessages.forEach(ReferenceCountUtil::release);
        pendingMessages.clear();
        pendingWrites.clear();
        ctx.fireChannelInactive();
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        pendingBytes += ((ByteBuf) message).readableBytes();
        pendingMessages.add(message);
        pendingWrites.add(() -> ctx.write(message, promise));
    }

    @Override
    public void flush(ChannelHandlerContext ctx) {
        if (pendingWrites.isEmpty()) {
            return;
        }
        traffic.countSent(pendingBytes + Traffic.TCP_HEADER_BYTES);
        pendingBytes = 0;
        for (int i = 0; i < pendingWrites.size(); i++) {
            boolean last = i == pendingWrites.size() - 1;
            Runnable write = pendingWrites.get(i);
            deliverAfterDelay(
                    ctx,
                    outbound,
                    peer < 0 ? 0 : links.delayMs(self, peer),
                    () -> {
                        write.run();
                        if (last) {
                            ctx.flush();
                        }
                    },
                    pendingMessages.get(i));
        }
        pendingWrites.clear();
        pendingMessages.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        traffic.countReceived(((ByteBuf) message).readableBytes() + Traffic.TCP_HEADER_BYTES);
        deliverAfterDelay(
                ctx,
                inbound,
                peer < 0 ? 0 : links.delayMs(peer, self),
                () -> {
                    ctx.fireChannelRead(message);
                    ctx.fireChannelReadComplete();
                },
                message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // Suppressed: the event is fired after each delayed read when that is delivered.
    }

    private boolean isCut(Direction direction) {
        return peer >= 0 && (direction == outbound ? links.cut(self, peer) : links.cut(peer, self));
    }

    private void deliverAfterDelay(
            ChannelHandlerContext ctx,
            Direction direction,
            double delayMs,
            Runnable delivery,
            Object message) {
        if (delayMs == 0 && direction.queue.isEmpty() && !isCut(direction)) {
            delivery.run();
        } else {
            direction.queue.add(
                    new DelayedMessage(
                            System.nanoTime() + (long) (delayMs * NS_PER_MS), delivery, message));
            deliverDue(ctx, direction);
        }
    }

    private void deliverDue(ChannelHandlerContext ctx, Direction direction) {
        long nowNs = System.nanoTime();
        boolean cut = isCut(direction);
        while (!cut && !direction.queue.isEmpty() && direction.queue.peek().dueNs - nowNs <= 0) {
            direction.queue.poll().delivery.run();
        }
        if (!direction.queue.isEmpty() && !direction.scheduled) {
            direction.scheduled = true;
            long waitNs =
                    cut
                            ? TimeUnit.MILLISECONDS.toNanos(CUT_CHECK_INTERVAL_MS)
                            : direction.queue.peek().dueNs - nowNs;
            ctx.executor()
                    .schedule(
                            () -> {
                                direction.scheduled = false;
                                deliverDue(ctx, direction);
                            },
                            waitNs,
                            TimeUnit.NANOSECONDS);
        }
    }
}
