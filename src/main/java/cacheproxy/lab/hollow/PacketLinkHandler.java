package cacheproxy.lab.hollow;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DatagramPacket;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Simulates the links of a control plane's UDP socket: counts the packets of both directions, and
 * delays or drops those it sends.
 */
final class PacketLinkHandler extends ChannelDuplexHandler {

    private static final double US_PER_MS = 1000;

    private final int self;
    private final LinkConditions links;
    private final Traffic traffic;

    PacketLinkHandler(int self, LinkConditions links, Traffic traffic) {
        this.self = self;
        this.links = links;
        this.traffic = traffic;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        DatagramPacket packet = (DatagramPacket) message;
        int to = LinkConditions.planeOf(packet.recipient());
        traffic.countSent(packet.content().readableBytes() + Traffic.UDP_HEADER_BYTES);
        double delayMs = links.delayMs(self, to);
        if (links.losesPacket(self, to)) {
            packet.release();
            promise.trySuccess();
        } else if (delayMs == 0) {
            ctx.write(packet, promise);
        } else {
            ctx.executor()
                    .schedule(
                            () -> ctx.writeAndFlush(packet, promise),
                            (long) (delayMs * US_PER_MS),
                            TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof DatagramPacket p) {
            traffic.countReceived(p.content().readableBytes() + Traffic.UDP_HEADER_BYTES);
            ctx.fireChannelRead(p);
        } else {
            ReferenceCountUtil.release(message);
        }
    }
}
