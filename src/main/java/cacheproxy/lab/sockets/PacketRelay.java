package cacheproxy.lab.sockets;

import cacheproxy.lab.faults.PeerLinks;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Stands between proxies that gossip: each is known to the others by a socket here, and what one
 * sends to another's is passed on from its own, or lost, doubled or held back as {@link PeerLinks}
 * says. All of it runs on one loop.
 */
final class PacketRelay {

    private static final double US_PER_MS = 1000;

    private final EventLoop loop;
    private final RunClock clock;
    private final PeerLinks links;
    private final List<InetSocketAddress> proxies;
    private final List<InetSocketAddress> members;
    private final List<Channel> sockets = new ArrayList<>();

    PacketRelay(EventLoop loop, RunClock clock, PeerLinks links, List<InetSocketAddress> proxies) {
        this.loop = loop;
        this.clock = clock;
        this.links = links;
        this.proxies = proxies;
        this.members = new ArrayList<>(proxies);
    }

    /** Opens a socket for each proxy, and one for a liar, which has no address yet. */
    void open() throws IOException, InterruptedException {
        InetAddress last = proxies.get(proxies.size() - 1).getAddress();
        for (int i = 0; i <= proxies.size(); i++) {
            InetAddress at = i < proxies.size() ? proxies.get(i).getAddress() : last;
            var bound =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioDatagramChannel.class)
                            .handler(new Inbox(i))
                            .bind(at, 0)
                            .await();
            if (!bound.isSuccess()) {
                throw new IOException("no socket to relay gossip: " + bound.cause().getMessage());
            }
            sockets.add(bound.channel());
        }
    }

    /** Where the others reach a proxy. */
    InetSocketAddress address(int proxy) {
        return (InetSocketAddress) sockets.get(proxy).localAddress();
    }

    /** The liar has come up at an address; it is the member after the last proxy. */
    void liar(InetSocketAddress at) {
        loop.execute(() -> members.add(at));
    }

    private final class Inbox extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int to;

        Inbox(int to) {
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int from = members.indexOf(packet.sender());
            if (from < 0 || to >= members.size()) {
                return;
            }
            for (double late : links.copies(from, to, clock.now())) {
                ByteBuf copy = packet.content().copy();
                loop.schedule(
                        () ->
                                sockets.get(from)
                                        .writeAndFlush(new DatagramPacket(copy, members.get(to))),
                        (long) (late * US_PER_MS),
                        TimeUnit.MICROSECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A proxy that is killed shows as an error here; the others' packets go on.
        }
    }
}
