package cacheproxy.lab.sockets;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * Peers that are no clients: slow, endless, malformed, silent. Each is owed an error or a close
 * within 3 s.
 */
final class HostilePeers {

    /** How a peer behaves. */
    enum Kind {
        SLOW,
        ENDLESS,
        MALFORMED,
        SILENT
    }

    /**
     * One peer's fate; {@code endedAt} is infinite while nothing came, {@code status} 0 for a close
     * without an answer.
     */
    static final class Peer {
        final Kind kind;
        final int proxy;
        final double at;
        double endedAt = Double.POSITIVE_INFINITY;
        int status;

        Peer(Kind kind, int proxy, double at) {
            this.kind = kind;
            this.proxy = proxy;
            this.at = at;
        }
    }

    private static final List<String> RUBBISH =
            List.of(
                    "\u0016\u0003\u0001\u0002\u0000\u0001\r\n\r\n",
                    "GET / HTTP/9.9\r\n\r\n",
                    "GET /api/1 HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                    "GET /api/1 HTTP/1.1\r\nX-Call-Id\r\n\r\n",
                    "GET /api/000000000001 HTTP/1.1\r\nHost: s\r\nX-Budget: soon\r\n\r\n",
                    "PUT /api/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nzz\r\n");
    private static final long DROP_MS = 200;

    /** Longer than a peer is owed anything, so that the end of ours is none of the proxy's. */
    private static final long LIFE_MS = 8000;

    private static final int CHUNK = 4096;

    private final EventLoop loop;
    private final RunClock clock;
    private final List<InetSocketAddress> proxies;
    private final RandomGenerator random;
    private final List<Peer> peers = Collections.synchronizedList(new ArrayList<>());

    HostilePeers(
            EventLoop loop,
            RunClock clock,
            List<InetSocketAddress> proxies,
            RandomGenerator random) {
        this.loop = loop;
        this.clock = clock;
        this.proxies = proxies;
        this.random = random;
    }

    List<Peer> peers() {
        return List.copyOf(peers);
    }

    /** So many a second from now until a time of the run. */
    void come(double perS, double until) {
        loop.execute(() -> next(perS, until));
    }

    private void next(double perS, double until) {
        if (clock.now() >= until) {
            return;
        }
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        int proxy = random.nextInt(proxies.size());
        String rubbish = RUBBISH.get(random.nextInt(RUBBISH.size()));
        Peer peer = new Peer(kind, proxy, clock.now());
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline().addLast(new Speaks(peer, rubbish));
                            }
                        })
                .connect(proxies.get(proxy));
        loop.schedule(() -> next(perS, until), (long) (1e9 / perS), TimeUnit.NANOSECONDS);
    }

    private final class Speaks extends ChannelInboundHandlerAdapter {
        private final Peer peer;
        private final String rubbish;

        Speaks(Peer peer, String rubbish) {
            this.peer = peer;
            this.rubbish = rubbish;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            peers.add(peer);
            loop.schedule(() -> ctx.close(), LIFE_MS, TimeUnit.MILLISECONDS);
            switch (peer.kind) {
                case SLOW ->
                        drop(
                                ctx,
                                "GET /api/000000000001 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: 00",
                                0);
                case ENDLESS -> {
                    write(ctx, "GET /api/1 HTTP/1.1\r\nX-Endless: ");
                    pour(ctx);
                }
                case MALFORMED -> write(ctx, rubbish);
                case SILENT -> {}
                default -> throw new IllegalStateException("no such kind: " + peer.kind);
            }
        }

        private void write(ChannelHandlerContext ctx, String text) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }

        private void drop(ChannelHandlerContext ctx, String text, int at) {
            if (ctx.channel().isActive() && at < text.length()) {
                write(ctx, text.substring(at, at + 1));
                loop.schedule(() -> drop(ctx, text, at + 1), DROP_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void pour(ChannelHandlerContext ctx) {
            if (ctx.channel().isActive() && peer.endedAt > clock.now()) {
                write(ctx, "a".repeat(CHUNK));
                loop.schedule(() -> pour(ctx), 2, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof ByteBuf bytes && peer.status == 0) {
                String head =
                        bytes.toString(
                                0, Math.min(16, bytes.readableBytes()), StandardCharsets.US_ASCII);
                String[] words = head.split(" ");
                peer.status =
                        words.length > 1 && words[1].matches("\\d{3}.*")
                                ? Integer.parseInt(words[1].substring(0, 3))
                                : 0;
                peer.endedAt = Math.min(peer.endedAt, clock.now());
            }
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (clock.now() - peer.at < LIFE_MS) {
                peer.endedAt = Math.min(peer.endedAt, clock.now());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
