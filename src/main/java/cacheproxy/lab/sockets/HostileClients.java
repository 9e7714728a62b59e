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
 * Clients that violate the protocol: slow, endless, malformed or silent ones. The proxy has to
 * answer each with an error or close its connection within 3 s.
 */
final class HostileClients {

    /** The behavior of a hostile client. */
    enum Kind {
        SLOW,
        ENDLESS,
        MALFORMED,
        SILENT
    }

    /**
     * A hostile client and its outcome. {@code endedAt} is infinite until a response or a close
     * arrives; {@code status} is 0 if the connection was closed without a response.
     */
    static final class HostileClient {
        final Kind kind;
        final int proxy;
        final double openedAt;
        double endedAt = Double.POSITIVE_INFINITY;
        int status;

        HostileClient(Kind kind, int proxy, double openedAt) {
            this.kind = kind;
            this.proxy = proxy;
            this.openedAt = openedAt;
        }
    }

    private static final List<String> MALFORMED_REQUESTS =
            List.of(
                    "\u0016\u0003\u0001\u0002\u0000\u0001\r\n\r\n",
                    "GET / HTTP/9.9\r\n\r\n",
                    "GET /api/1 HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                    "GET /api/1 HTTP/1.1\r\nX-Call-Id\r\n\r\n",
                    "GET /api/000000000001 HTTP/1.1\r\nHost: s\r\nX-Budget: soon\r\n\r\n",
                    "PUT /api/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nzz\r\n");
    private static final long SLOW_BYTE_INTERVAL_MS = 200;

    /**
     * Time after which the client itself closes. It is longer than the proxy's time limit, so that
     * this close is not taken for the proxy's.
     */
    private static final long LIFETIME_MS = 8000;

    private static final int CHUNK_BYTES = 4096;

    private final EventLoop loop;
    private final RunClock clock;
    private final List<InetSocketAddress> proxies;
    private final RandomGenerator random;
    private final List<HostileClient> clients = Collections.synchronizedList(new ArrayList<>());

    HostileClients(
            EventLoop loop,
            RunClock clock,
            List<InetSocketAddress> proxies,
            RandomGenerator random) {
        this.loop = loop;
        this.clock = clock;
        this.proxies = proxies;
        this.random = random;
    }

    List<HostileClient> clients() {
        return List.copyOf(clients);
    }

    /** Opens {@code perSecond} connections per second until a time of the run. */
    void start(double perSecond, double until) {
        loop.execute(() -> openNext(perSecond, until));
    }

    private void openNext(double perSecond, double until) {
        if (clock.now() >= until) {
            return;
        }
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        int proxy = random.nextInt(proxies.size());
        String malformedRequest = MALFORMED_REQUESTS.get(random.nextInt(MALFORMED_REQUESTS.size()));
        HostileClient client = new HostileClient(kind, proxy, clock.now());
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HostileClientHandler(client, malformedRequest));
                            }
                        })
                .connect(proxies.get(proxy));
        loop.schedule(
                () -> openNext(perSecond, until), (long) (1e9 / perSecond), TimeUnit.NANOSECONDS);
    }

    /** Behaves as the kind of its client demands and records what the proxy does. */
    private final class HostileClientHandler extends ChannelInboundHandlerAdapter {
        private final HostileClient client;
        private final String malformedRequest;

        HostileClientHandler(HostileClient client, String malformedRequest) {
            this.client = client;
            this.malformedRequest = malformedRequest;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            clients.add(client);
            loop.schedule(() -> ctx.close(), LIFETIME_MS, TimeUnit.MILLISECONDS);
            switch (client.kind) {
                case SLOW ->
                        sendSlowly(
                                ctx,
                                "GET /api/000000000001 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: 00",
                                0);
                case ENDLESS -> {
                    write(ctx, "GET /api/1 HTTP/1.1\r\nX-Endless: ");
                    sendEndlessly(ctx);
                }
                case MALFORMED -> write(ctx, malformedRequest);
                case SILENT -> {}
                default ->
                        throw new IllegalStateException(
                                "unknown kind of hostile client: " + client.kind);
            }
        }

        private void write(ChannelHandlerContext ctx, String text) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }

        private void sendSlowly(ChannelHandlerContext ctx, String text, int position) {
            if (ctx.channel().isActive() && position < text.length()) {
                write(ctx, text.substring(position, position + 1));
                loop.schedule(
                        () -> sendSlowly(ctx, text, position + 1),
                        SLOW_BYTE_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
            }
        }

        private void sendEndlessly(ChannelHandlerContext ctx) {
            if (ctx.channel().isActive() && client.endedAt > clock.now()) {
                write(ctx, "a".repeat(CHUNK_BYTES));
                loop.schedule(() -> sendEndlessly(ctx), 2, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof ByteBuf bytes && client.status == 0) {
                String head =
                        bytes.toString(
                                0, Math.min(16, bytes.readableBytes()), StandardCharsets.US_ASCII);
                String[] parts = head.split(" ");
                client.status =
                        parts.length > 1 && parts[1].matches("\\d{3}.*")
                                ? Integer.parseInt(parts[1].substring(0, 3))
                                : 0;
                client.endedAt = Math.min(client.endedAt, clock.now());
            }
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (clock.now() - client.openedAt < LIFETIME_MS) {
                client.endedAt = Math.min(client.endedAt, clock.now());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
