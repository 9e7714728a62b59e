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
enum Transport {
    TCP {
        @Override
        ServerBootstrap server(EventLoop loop) {
            return accepting(loop, ClientChannel.Listener::new)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true);
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return connecting(loop, NodeChannel::new);
        }
    },
    IN_PROCESS {
        @Override
        ServerBootstrap server(EventLoop loop) {
            return new ServerBootstrap().group(loop).channel(LocalServerChannel.class);
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channel(LocalChannel.class);
        }
    };

    private static final int BACKLOG = 1024;

    /**
     * What a connection may hold of a long message: so much that is not written yet, and one read
     * more. Clients' connections times the two bound what all long messages hold at once.
     */
    private static final WriteBufferWaterMark UNWRITTEN =
            new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    private static final int MOST_READ = 16 * 1024;
    private static final int USUAL_READ = 2048;

    private static AdaptiveRecvByteBufAllocator reads() {
        return new AdaptiveRecvByteBufAllocator(64, USUAL_READ, MOST_READ);
    }

    /** Takes connections from a socket that another has bound; it is registered as it is. */
    static ServerBootstrap server(EventLoop loop, ServerSocketChannel passed) {
        return accepting(loop, () -> new ClientChannel.Listener(passed));
    }

    private static ServerBootstrap accepting(
            EventLoop loop, ChannelFactory<ClientChannel.Listener> listener) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(listener)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNWRITTEN)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, reads());
    }

    /** Connects over channels that {@code channels} makes. */
    static Bootstrap connecting(EventLoop loop, ChannelFactory<NodeChannel> channels) {
        // An end that the other side tells is an event of its own, so that no other end is taken
        // for it.
        return new Bootstrap()
                .group(loop)
                .channelFactory(channels)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, UNWRITTEN)
                .option(ChannelOption.RECVBUF_ALLOCATOR, reads());
    }

    abstract ServerBootstrap server(EventLoop loop);

    abstract Bootstrap client(EventLoop loop);
}
