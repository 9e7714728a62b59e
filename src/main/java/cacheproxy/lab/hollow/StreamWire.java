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
 * The link of one of a plane's connections: counts both ways, and at the end that made it, where
 * both ends are known, delays both ways and holds what a cut would. Order is kept.
 */
final class StreamWire extends ChannelDuplexHandler {

    private static final double NS_PER_MS = 1e6;

    /** How soon it is looked again whether a cut has healed. */
    private static final long HELD_MS = 20;

    /** Of one direction: what waits, in order. */
    private static final class Way {
        final Deque<Late> late = new ArrayDeque<>();
        boolean scheduled;
    }

    private record Late(long atNs, Runnable go, Object message) {}

    private final int self;
    private final LinkTable links;
    private final Traffic traffic;
    private final Way out = new Way();
    private final Way in = new Way();

    /** Written and not yet flushed. */
    private final List<Runnable> writes = new ArrayList<>();

    private final List<Object> written = new ArrayList<>();
    private long bytes;

    /** Whom it was made to; -1 where it was taken. */
    private int peer = -1;

    StreamWire(int self, LinkTable links, Traffic traffic) {
        this.self = self;
        this.links = links;
        this.traffic = traffic;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        traffic.connections++;
        if (ctx.channel().parent() == null) {
            peer = LinkTable.plane((InetSocketAddress) ctx.channel().remoteAddress());
        }
        ctx.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        traffic.connections--;
        for (Way way : List.of(out, in)) {
            way.late.forEach(l -> ReferenceCountUtil.release(l.message));
            way.late.clear();
        }
        written.forEach(ReferenceCountUtil::release);
        written.clear();
        writes.clear();
        ctx.fireChannelInactive();
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        bytes += ((ByteBuf) message).readableBytes();
        written.add(message);
        writes.add(() -> ctx.write(message, promise));
    }

    @Override
    public void flush(ChannelHandlerContext ctx) {
        if (writes.isEmpty()) {
            return;
        }
        traffic.sent(bytes + Traffic.SEGMENT_HEADERS);
        bytes = 0;
        for (int i = 0; i < writes.size(); i++) {
            boolean last = i == writes.size() - 1;
            Runnable write = writes.get(i);
            later(
                    ctx,
                    out,
                    peer < 0 ? 0 : links.delayMs(self, peer),
                    () -> {
                        write.run();
                        if (last) {
                            ctx.flush();
                        }
                    },
                    written.get(i));
        }
        writes.clear();
        written.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        traffic.received(((ByteBuf) message).readableBytes() + Traffic.SEGMENT_HEADERS);
        later(
                ctx,
                in,
                peer < 0 ? 0 : links.delayMs(peer, self),
                () -> {
                    ctx.fireChannelRead(message);
                    ctx.fireChannelReadComplete();
                },
                message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // Told after each read that is passed on: until then nothing was read as far as anybody
        // behind can see.
    }

    private boolean held(Way way) {
        return peer >= 0 && (way == out ? links.cut(self, peer) : links.cut(peer, self));
    }

    private void later(
            ChannelHandlerContext ctx, Way way, double delayMs, Runnable go, Object message) {
        if (delayMs == 0 && way.late.isEmpty() && !held(way)) {
            go.run();
        } else {
            way.late.add(new Late(System.nanoTime() + (long) (delayMs * NS_PER_MS), go, message));
            pass(ctx, way);
        }
    }

    private void pass(ChannelHandlerContext ctx, Way way) {
        long now = System.nanoTime();
        boolean held = held(way);
        while (!held && !way.late.isEmpty() && way.late.peek().atNs - now <= 0) {
            way.late.poll().go.run();
        }
        if (!way.late.isEmpty() && !way.scheduled) {
            way.scheduled = true;
            long waitNs =
                    held ? TimeUnit.MILLISECONDS.toNanos(HELD_MS) : way.late.peek().atNs - now;
            ctx.executor()
                    .schedule(
                            () -> {
                                way.scheduled = false;
                                pass(ctx, way);
                            },
                            waitNs,
                            TimeUnit.NANOSECONDS);
        }
    }
}
