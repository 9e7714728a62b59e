package cacheproxy.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Short messages between proxies over UDP. Messages may be delayed or lost, and datagrams from
 * unknown senders are dropped.
 */
final class PeerSocket {

    static final int MAX_MESSAGE_BYTES = 256;

    private final EventLoop loop;
    private final Config config;
    private final Proxy proxy;
    private final int ownIndex;
    private final ChannelFactory<? extends DatagramChannel> channelFactory;
    private final Log log = new Log();
    private Channel channel;

    PeerSocket(EventLoop loop, Config config, Proxy proxy) {
        this(loop, config, proxy, NioDatagramChannel::new);
    }

    /** Creates an instance with a given channel factory, for tests with failing system calls. */
    PeerSocket(
            EventLoop loop,
            Config config,
            Proxy proxy,
            ChannelFactory<? extends DatagramChannel> channelFactory) {
        this.loop = loop;
        this.channelFactory = channelFactory;
        this.config = config;
        this.proxy = proxy;
        this.ownIndex = config.settings().index();
    }

    ChannelFuture listen() {
        ChannelFuture bindFuture =
                new Bootstrap()
                        .group(loop)
                        .channelFactory(channelFactory)
                        .handler(new DatagramHandler())
                        .bind(config.peerListen());
        channel = bindFuture.channel();
        return bindFuture;
    }

    InetSocketAddress localAddress() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Sends a message to every other proxy. */
    void sendToAll(byte[] contents) {
        if (channel == null || contents.length > MAX_MESSAGE_BYTES) {
            log.warnLimited("peer_message_send_failed", "bytes", contents.length);
        } else if (config.peersAll() != null) {
            send(contents, config.peersAll());
        } else {
            List<InetSocketAddress> peers = config.peers();
            for (int i = 0; i < peers.size(); i++) {
                if (i != ownIndex) {
                    send(contents, peers.get(i));
                }
            }
        }
    }

    private void send(byte[] contents, InetSocketAddress recipient) {
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(contents), recipient));
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int senderIndex = config.peers().indexOf(packet.sender());
            int length = packet.content().readableBytes();
            if (senderIndex < 0 || length > MAX_MESSAGE_BYTES) {
                log.warnLimited("datagram_dropped", "bytes", length, "from", packet.sender());
            } else if (senderIndex != ownIndex) {
                proxy.peerMessageReceived(senderIndex, ByteBufUtil.getBytes(packet.content()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // An unreachable peer causes an error on this socket; the socket itself still works.
            log.warnLimited("peer_socket_error", "cause", cause);
        }
    }
}
