package cacheproxy.lab.sockets;

import cacheproxy.lab.faults.PeerLinks;
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

    private static final long LOOK_MS = 20;

    private final EventLoop loop;
    private final RunClock clock;
    private final PeerLinks links;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();

    StreamRelay(EventLoop loop, RunClock clock, PeerLinks links) {
        this.loop = loop;
        this.clock = clock;
        this.links = links;
    }

    /** Opens the way from one proxy to another, whose own address is given. */
    void open(int from, int to, InetAddress at, InetSocketAddress own)
            throws IOException, InterruptedException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        new Way(from, to, channel).reach(own);
                                    }
                                })
                        .bind(new InetSocketAddress(at, 0))
                        .await();
        if (!bound.isSuccess()) {
            throw new IOException("no socket to relay connections: " + bound.cause().getMessage());
        }
        addresses.put((long) from << 32 | to, (InetSocketAddress) bound.channel().localAddress());
    }

    /** Where the first one connects to reach the other. */
    InetSocketAddress address(int from, int to) {
        return addresses.get((long) from << 32 | to);
    }

    /** One connection: two channels, each of which is read only while the link is whole. */
    private final class Way {
        private final int from;
        private final int to;
        private final Channel near;
        private Channel far;

        Way(int from, int to, Channel near) {
            this.from = from;
            this.to = to;
            this.near = near;
        }

        private boolean cut() {
            return links.cut(from, to, clock.now()) || links.cut(to, from, clock.now());
        }

        /** One that is made while the link is cut comes up once it is whole again. */
        void reach(InetSocketAddress own) {
            if (cut()) {
                if (near.isOpen()) {
                    loop.schedule(() -> reach(own), LOOK_MS, TimeUnit.MILLISECONDS);
                }
                return;
            }
            ChannelFuture connecting =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.AUTO_READ, false)
                            .handler(new Pump(near))
                            .connect(own);
            far = connecting.channel();
            connecting.addListener(
                    f -> {
                        if (f.isSuccess()) {
                            near.pipeline().addLast(new Pump(far));
                            look();
                        } else {
                            near.close();
                        }
                    });
        }

        private void look() {
            if (near.isOpen() && far.isOpen()) {
                boolean reads = !cut();
                near.config().setAutoRead(reads);
                far.config().setAutoRead(reads);
                loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
            } else {
                near.close();
                far.close();
            }
        }
    }

    private static final class Pump extends ChannelInboundHandlerAdapter {
        private final Channel to;

        Pump(Channel to) {
            this.to = to;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (to.isActive()) {
                to.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            } else {
                ReferenceCountUtil.release(bytes);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            to.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
