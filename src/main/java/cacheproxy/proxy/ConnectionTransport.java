package cacheproxy.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import java.nio.channels.ServerSocketChannel;

/**
 * What connections are made of: sockets, or for the warm-up, which may open none, queues inside the
 * process.
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
     * What a connection may hold of a long message: so much that is not written yet, and one read
     * more. Clients' connections times the two bound what all long messages hold at once.
     */
    private static final WriteBufferWaterMark WRITE_WATER_MARK =
            new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    private static final int MAX_READ_BYTES = 16 * 1024;
    private static final int INITIAL_READ_BYTES = 2048;

    private static AdaptiveRecvByteBufAllocator receiveBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(64, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }

    /** Takes connections from a socket that another has bound; it is registered as it is. */
    static ServerBootstrap serverBootstrap(EventLoop loop, ServerSocketChannel boundSocket) {
        return listeningBootstrap(loop, () -> new ClientChannel.Listener(boundSocket));
    }

    private static ServerBootstrap listeningBootstrap(
            EventLoop loop, ChannelFactory<ClientChannel.Listener> listener) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(listener)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveBufferAllocator());
    }

    /** Connects over channels that {@code channels} makes. */
    static Bootstrap connectingBootstrap(EventLoop loop, ChannelFactory<NodeChannel> channels) {
        // An end that the other side tells is an event of its own, so that no other end is taken
        // for it.
        return new Bootstrap()
                .group(loop)
                .channelFactory(channels)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
                .option(ChannelOption.RECVBUF_ALLOCATOR, receiveBufferAllocator());
    }

    abstract ServerBootstrap serverBootstrap(EventLoop loop);

    abstract Bootstrap clientBootstrap(EventLoop loop);
}
