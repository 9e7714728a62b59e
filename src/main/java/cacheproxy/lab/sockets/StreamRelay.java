package cacheproxy.lab.sockets;

import cacheproxy.lab.faults.PeerLinkFaults;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Stands in each connection between two proxies: every pair has an address of its own, so that it
 * is known who connects. While one direction is cut neither carries anything, as TCP needs both;
 * what was sent meanwhile arrives after the cut, if both ends still wait.
 */
final class StreamRelay {

    private static final long POLL_INTERVAL_MS = 20;

    private final EventLoop loop;
    private final RunClock clock;
    private final PeerLinkFaults linkFaults;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();

    StreamRelay(EventLoop loop, RunClock clock, PeerLinkFaults linkFaults) {
        this.loop = loop;
        this.clock = clock;
        this.linkFaults = linkFaults;
    }

    /** Opens the way from one proxy to another, whose own address is given. */
    void open(int from, int to, InetAddress bindAddress, InetSocketAddress target)
            throws IOException, InterruptedException {
        ChannelFuture bindFuture =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        new RelayedConnection(from, to, channel).connect(target);
                                    }
                                })
                        .bind(new InetSocketAddress(bindAddress, 0))
                        .await();
        if (!bindFuture.isSuccess()) {
            throw new IOException(
                    "no socket to relay connections: " + bindFuture.cause().getMessage());
        }
        addresses.put(
                (long) from << 32 | to, (InetSocketAddress) bindFuture.channel().localAddress());
    }

    /** Where the first one connects to reach the other. */
    InetSocketAddress address(int from, int to) {
        return addresses.get((long) from << 32 | to);
    }

    /** One connection: two channels, each of which is read only while the link is whole. */
    private final class RelayedConnection {
        private final int from;
        private final int to;
        private final Channel inbound;
        private Channel outbound;

        RelayedConnection(int from, int to, Channel inbound) {
            this.from = from;
            this.to = to;
            this.inbound = inbound;
        }

        private boolean isCut() {
            return linkFaults.isCut(from, to, clock.now())
                    || linkFaults.isCut(to, from, clock.now());
        }

        /** One that is made while the link is cut comes up once it is whole again. */
        void connect(InetSocketAddress target) {
            if (isCut()) {
                if (inbound.isOpen()) {
                    loop.schedule(() -> connect(target), POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
                }
                return;
            }
            ChannelFuture connecting =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.AUTO_READ, false)
                            .handler(new ForwardingHandler(inbound))
                            .connect(target);
            outbound = connecting.channel();
            connecting.addListener(
                    future -> {
                        if (future.isSuccess()) {
                            inbound.pipeline().addLast(new ForwardingHandler(outbound));
                            updateAutoRead();
                        } else {
                            inbound.close();
                        }
                    });
        }

        private void updateAutoRead() {
            if (inbound.isOpen() && outbound.isOpen()) {
                boolean reading = !isCut();
                inbound.config().setAutoRead(reading);
                outbound.config().setAutoRead(reading);
                loop.schedule(this::updateAutoRead, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
            } else {
                inbound.close();
                outbound.close();
            }
        }
    }

    private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {
        private final Channel destination;

        ForwardingHandler(Channel destination) {
            this.destination = destination;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (destination.isActive()) {
                destination
                        .writeAndFlush(bytes)
                        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            } else {
                ReferenceCountUtil.release(bytes);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            destination.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
