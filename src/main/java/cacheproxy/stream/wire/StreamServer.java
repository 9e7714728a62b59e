package cacheproxy.stream.wire;

import cacheproxy.stream.FrameCodec;
import cacheproxy.stream.Message;
import cacheproxy.stream.Publisher;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * A control machine's socket: connections in, frames to and from its {@link Publisher}, all on one
 * loop. A connection whose socket takes no more is told to the publisher, which then sends nothing
 * on it; so each holds some ten kilobytes here at most.
 */
public final class StreamServer implements Publisher.PublisherActions {

    static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 1 << 16;
    private static final int MAX_CONNECTIONS = 4096;

    /** A reader asks twice a second. */
    private static final long READ_TIMEOUT_MS = 3500;

    private static final int WRITE_LOW_WATER_BYTES = 8 << 10;
    private static final int WRITE_HIGH_WATER_BYTES = 32 << 10;

    private final EventLoop loop;
    private Publisher publisher;
    private final DoubleSupplier nowMs;
    private final Map<Long, Connection> connections = new HashMap<>();
    private Channel listener;
    private long lastConnectionId;

    /**
     * @param nowMs the clock that the publisher is told
     */
    public StreamServer(EventLoop loop, Publisher publisher, DoubleSupplier nowMs) {
        this.loop = loop;
        this.publisher = publisher;
        this.nowMs = nowMs;
    }

    /** Takes connections; the address is the one bound, where port 0 was asked for. */
    public InetSocketAddress listen(InetSocketAddress address)
            throws IOException, InterruptedException {
        ChannelFuture bindFuture =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        WRITE_LOW_WATER_BYTES, WRITE_HIGH_WATER_BYTES))
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new ReadTimeoutHandler(
                                                                READ_TIMEOUT_MS,
                                                                TimeUnit.MILLISECONDS),
                                                        new LengthFieldBasedFrameDecoder(
                                                                MAX_FRAME_BYTES,
                                                                0,
                                                                LENGTH_BYTES,
                                                                0,
                                                                LENGTH_BYTES),
                                                        new Connection(channel));
                                    }
                                })
                        .bind(address)
                        .await();
        if (!bindFuture.isSuccess()) {
            throw new IOException(
                    "cannot listen on "
                            + address
                            + " for the change stream: "
                            + bindFuture.cause().getMessage());
        }
        listener = bindFuture.channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * On the loop: puts another publisher in the place of the first; all its readers' connections
     * end.
     */
    public void replacePublisher(Publisher next) {
        publisher = next;
        Map.copyOf(connections).values().forEach(connection -> connection.channel.close());
    }

    /** On the loop. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
        Map.copyOf(connections).values().forEach(subscriber -> subscriber.channel.close());
    }

    @Override
    public void send(long connection, Message message) {
        Connection subscriber = connections.get(connection);
        if (subscriber != null) {
            subscriber.channel.writeAndFlush(frame(message), subscriber.channel.voidPromise());
        }
    }

    @Override
    public void close(long connection, String reason) {
        Connection subscriber = connections.get(connection);
        if (subscriber != null) {
            subscriber.channel.close();
        }
    }

    /** A message with its length before it. */
    static ByteBuf frame(Message message) {
        byte[] bytes = FrameCodec.encode(message);
        return Unpooled.buffer(LENGTH_BYTES + bytes.length)
                .writeInt(bytes.length)
                .writeBytes(bytes);
    }

    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
        private final Channel channel;
        private final long id = ++lastConnectionId;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections.size() >= MAX_CONNECTIONS) {
                ctx.close();
            } else {
                connections.put(id, this);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            publisher.received(
                    nowMs.getAsDouble(),
                    id,
                    FrameCodec.decode(frame.nioBuffer()),
                    StreamServer.this);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            publisher.writabilityChanged(id, channel.isWritable(), StreamServer.this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(id);
            publisher.closed(id);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Silence, a reset, or a frame that is none: whoever it was comes again and goes on
            // from its cursor.
            ctx.close();
        }
    }
}
