package cacheproxy.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import java.nio.channels.ServerSocketChannel;

/**
 * How connections are made: over TCP sockets or, for the warm-up, which may open no sockets, over
 * in-process queues.
 */
enum ConnectionTransport {
    TCP {
        @Override
        ServerBootstrap serverBootstrap(EventLoop loop) {
            return listeningBootstrap(loop, ClientChannel.Listener::new)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true);
        }

        @Override
        Bootstrap clientBootstrap(EventLoop loop) {
            return connectingBootstrap(loop, NodeChannel::new);
        }
    },
    IN_PROCESS {
        @Override
        ServerBootstrap serverBootstrap(EventLoop loop) {
            return new ServerBootstrap().group(loop).channel(LocalServerChannel.class);
        }

        @Override
        Bootstrap clientBootstrap(EventLoop loop) {
            return new Bootstrap().group(loop).channel(LocalChannel.class);
        }
    };

    private static final int BACKLOG = 1024;

    /**
     * Accepts connections from a socket that another process has bound. The socket is registered
     * without binding it again.
     */
    static ServerBootstrap serverBootstrap(EventLoop loop, ServerSocketChannel boundSocket) {
        return listeningBootstrap(loop, () -> new ClientChannel.Listener(boundSocket));
    }

    private static ServerBootstrap listeningBootstrap(
            EventLoop loop, ChannelFactory<ClientChannel.Listener> listener) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(listener)
                .childOption(ChannelOption.TCP_NODELAY, true);
    }

    /** Connects over channels made by {@code channels}. */
    static Bootstrap connectingBootstrap(EventLoop loop, ChannelFactory<NodeChannel> channels) {
        // With half-closure, an end of stream sent by the other side is an event of its own and
        // can't be confused with a connection failure.
        return new Bootstrap()
                .group(loop)
                .channelFactory(channels)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }

    abstract ServerBootstrap serverBootstrap(EventLoop loop);

    abstract Bootstrap clientBootstrap(EventLoop loop);
}
