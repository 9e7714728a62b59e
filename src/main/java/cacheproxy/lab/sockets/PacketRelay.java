package cacheproxy.lab.sockets;

import cacheproxy.lab.faults.PeerLinkFaults;
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
 * Relays the gossip datagrams between proxies. Each proxy advertises the address of a relay socket.
 * A datagram sent to that socket is forwarded from the relay socket of its sender, or dropped,
 * duplicated or delayed as {@link PeerLinkFaults} demands. Runs on one event loop.
 */
final class PacketRelay {

    private static final double US_PER_MS = 1000;

    private final EventLoop loop;
    private final RunClock clock;
    private final PeerLinkFaults linkFaults;
    private final List<InetSocketAddress> proxyAddresses;
    private final List<InetSocketAddress> memberAddresses;
    private final List<Channel> sockets = new ArrayList<>();

    PacketRelay(
            EventLoop loop,
            RunClock clock,
            PeerLinkFaults linkFaults,
            List<InetSocketAddress> proxyAddresses) {
        this.loop = loop;
        this.clock = clock;
        this.linkFaults = linkFaults;
        this.proxyAddresses = proxyAddresses;
        this.memberAddresses = new ArrayList<>(proxyAddresses);
    }

    /**
     * Opens a socket for each proxy, and one for a false reporter, whose own address is not known
     * yet.
     */
    void open() throws IOException, InterruptedException {
        InetAddress lastAddress = proxyAddresses.get(proxyAddresses.size() - 1).getAddress();
        for (int i = 0; i <= proxyAddresses.size(); i++) {
            InetAddress bindAddress =
                    i < proxyAddresses.size() ? proxyAddresses.get(i).getAddress() : lastAddress;
            var bindFuture =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioDatagramChannel.class)
                            .handler(new DatagramRelayHandler(i))
                            .bind(bindAddress, 0)
                            .await();
            if (!bindFuture.isSuccess()) {
                throw new IOException(
                        "cannot bind a UDP socket for the gossip relay: "
                                + bindFuture.cause().getMessage());
            }
            sockets.add(bindFuture.channel());
        }
    }

    /** Returns the relay address at which the others reach a proxy. */
    InetSocketAddress address(int proxy) {
        return (InetSocketAddress) sockets.get(proxy).localAddress();
    }

    /** Sets the address of the false reporter, which is the member after the last proxy. */
    void addFalseReporter(InetSocketAddress address) {
        loop.execute(() -> memberAddresses.add(address));
    }

    /** Forwards the datagrams that arrive for one recipient. */
    private final class DatagramRelayHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int recipient;

        DatagramRelayHandler(int recipient) {
            this.recipient = recipient;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int sender = memberAddresses.indexOf(packet.sender());
            if (sender < 0 || recipient >= memberAddresses.size()) {
                return;
            }
            for (double delayMs : linkFaults.copyDelaysMs(sender, recipient, clock.now())) {
                ByteBuf copy = packet.content().copy();
                loop.schedule(
                        () ->
                                sockets.get(sender)
                                        .writeAndFlush(
                                                new DatagramPacket(
                                                        copy, memberAddresses.get(recipient))),
                        (long) (delayMs * US_PER_MS),
                        TimeUnit.MICROSECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Killing a proxy causes socket errors here; relaying between the others continues.
        }
    }
}
