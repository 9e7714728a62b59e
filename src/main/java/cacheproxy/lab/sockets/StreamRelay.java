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
 * Relays the TCP connections between proxies. Each ordered pair of proxies has its own relay
 * address, so that the connecting proxy is known. While one direction is cut neither direction
 * carries data, as TCP needs both; data sent meanwhile arrives after the cut if both ends have kept
 * the connection open.
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

    /** Opens a relay from one proxy to another, whose true address is {@code target}. */
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
                    "cannot bind a TCP socket for the stream relay: "
                            + bindFuture.cause().getMessage());
        }
        addresses.put(
                (long) from << 32 | to, (InetSocketAddress) bindFuture.channel().localAddress());
    }

    /** Returns the relay address at which one proxy reaches another. */
    InetSocketAddress address(int from, int to) {
        return addresses.get((long) from << 32 | to);
    }

    /** A relayed connection: two channels that are read only while the link is not cut. */
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

        /** Connects to the target. While the link is cut this is postponed until it is restored. */
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

    /** Writes everything that one channel reads to another. */
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
