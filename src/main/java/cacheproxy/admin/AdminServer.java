package cacheproxy.admin;

import cacheproxy.admin.AdminOperations.Reply;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.SocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * HTTP server of the operators' address. Each connection carries one call. The number of
 * connections is limited; a new one beyond the limit closes the oldest.
 */
public final class AdminServer {

    /**
     * Maximum number of open connections. Silent clients may use up all of them, so one more
     * connection closes the oldest.
     */
    public static final int MAX_CONNECTIONS = 16;

    /** A connection is closed after this time; calls are short and answered within 1 s. */
    private static final long CONNECTION_TIMEOUT_MS = 5000;

    private static final int MAX_HEADER_BYTES = 4096;
    private static final int MAX_BODY_BYTES = 1024;

    private final EventLoop loop;
    private final AdminOperations operations;
    private final Deque<Channel> connections = new ArrayDeque<>();

    public AdminServer(EventLoop loop, AdminOperations operations) {
        this.loop = loop;
        this.operations = operations;
    }

    /** Starts to listen; the future's channel has the bound address. */
    public ChannelFuture listen(SocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                registerConnection(channel);
                                channel.pipeline()
                                        .addLast(
                                                new HttpRequestDecoder(
                                                        new HttpDecoderConfig()
                                                                .setMaxHeaderSize(
                                                                        MAX_HEADER_BYTES)),
                                                new HttpResponseEncoder(),
                                                new HttpObjectAggregator(MAX_BODY_BYTES),
                                                new CallHandler());
                            }
                        })
                .bind(address);
    }

    private void registerConnection(Channel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.peekFirst().close();
        }
        connections.addLast(channel);
        var timeout =
                loop.schedule(() -> channel.close(), CONNECTION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        channel.closeFuture()
                .addListener(
                        f -> {
                            timeout.cancel(false);
                            connections.remove(channel);
                        });
    }

    /** Routes a call by its path and method to the operations. */
    private void dispatch(FullHttpRequest call, Consumer<Reply> answer) {
        String[] path;
        try {
            path = new URI(call.uri()).getRawPath().split("/", -1);
        } catch (URISyntaxException | NullPointerException e) {
            answer.accept(new Reply(400, "malformed URI: " + call.uri()));
            return;
        }
        boolean isHealthPath = path.length >= 2 && path[1].equals("healthcheck");
        if (isHealthPath && path.length == 2) {
            boolean isGet = call.method().equals(HttpMethod.GET);
            answer.accept(isGet ? operations.health() : wrongMethod("GET"));
            return;
        }
        boolean isDrainPath =
                isHealthPath
                        && path.length == 3
                        && (path[2].equals("fail") || path[2].equals("ok"));
        boolean isNodePath =
                path.length == 4
                        && path[1].equals("cache-nodes")
                        && (path[3].equals("maint") || path[3].equals("ready"));
        if (!isDrainPath && !isNodePath) {
            answer.accept(new Reply(404, "unknown operation: " + call.uri()));
        } else if (!call.method().equals(HttpMethod.POST)) {
            answer.accept(wrongMethod("POST"));
        } else if (isDrainPath) {
            operations.setDraining(path[2].equals("fail"), answer);
        } else {
            // The whole URI has been parsed above, so a segment of its path can be parsed too.
            String nodeId = URI.create("/" + path[2]).getPath().substring(1);
            operations.setMaintenance(nodeId, path[3].equals("maint"), answer);
        }
    }

    private static Reply wrongMethod(String expected) {
        return new Reply(405, "method not allowed, use " + expected);
    }

    /** Handles the single call of a connection. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
            if (!answered) {
                answered = true;
                if (call.decoderResult().isFailure()) {
                    answer(ctx, new Reply(400, "malformed HTTP request"));
                } else {
                    dispatch(call, reply -> answer(ctx, reply));
                }
            }
        }

        private void answer(ChannelHandlerContext ctx, Reply reply) {
            ByteBuf text = Unpooled.copiedBuffer(reply.text() + "\n", StandardCharsets.UTF_8);
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), text);
            answer.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes())
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
