package cacheproxy.stream.wire;

import cacheproxy.stream.Frames;
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
public final class StreamServer implements Publisher.Out {

    static final int LENGTH_BYTES = 4;
    private static final int MOST_FRAME = 1 << 16;
    private static final int MOST_CONNECTIONS = 4096;

    /** A reader asks twice a second. */
    private static final long SILENT_MS = 3500;

    private static final int LOW_BYTES = 8 << 10;
    private static final int HIGH_BYTES = 32 << 10;

    private final EventLoop loop;
    private Publisher publisher;
    private final DoubleSupplier nowMs;
    private final Map<Long, Connection> connections = new HashMap<>();
    private Channel listener;
    private long made;

    /**
     * @param nowMs the clock that the publisher is told
     */
    public StreamServer(EventLoop loop, Publisher publisher, DoubleSupplier nowMs) {
        this.loop = loop;
        this.publisher = publisher;
        this.nowMs = nowMs;
    }

    /** Takes connections; the address is the one bound, where port 0 was asked for. */
    public InetSocketAddress listen(InetSocketAddress at) throws IOException, InterruptedException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(LOW_BYTES, HIGH_BYTES))
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new ReadTimeoutHandler(
                                                                SILENT_MS, TimeUnit.MILLISECONDS),
                                                        new LengthFieldBasedFrameDecoder(
                                                                MOST_FRAME,
                                                                0,
                                                                LENGTH_BYTES,
                                                                0,
                                                                LENGTH_BYTES),
                                                        new Connection(channel));
                                    }
                                })
                        .bind(at)
                        .await();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on "
                            + at
                            + " for the change stream: "
                            + bound.cause().getMessage());
        }
        listener = bound.channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * On the loop: puts another publisher in the place of the first; all its readers' connections
     * end.
     */
    public void serve(Publisher next) {
        publisher = next;
        Map.copyOf(connections).values().forEach(connection -> connection.channel.close());
    }

    /** On the loop. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
        Map.copyOf(connections).values().forEach(c -> c.channel.close());
    }

    @Override
    public void send(long connection, Message message) {
        Connection c = connections.get(connection);
        if (c != null) {
            c.channel.writeAndFlush(frame(message), c.channel.voidPromise());
        }
    }

    @Override
    public void close(long connection, String why) {
        Connection c = connections.get(connection);
        if (c != null) {
            c.channel.close();
        }
    }

    /** A message with its length before it. */
    static ByteBuf frame(Message message) {
        byte[] bytes = Frames.encode(message);
        return Unpooled.buffer(LENGTH_BYTES + bytes.length)
                .writeInt(bytes.length)
                .writeBytes(bytes);
    }

    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
        private final Channel channel;
        private final long id = ++made;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections.size() >= MOST_CONNECTIONS) {
                ctx.close();
            } else {
                connections.put(id, this);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            publisher.received(
                    nowMs.getAsDouble(), id, Frames.decode(frame.nioBuffer()), StreamServer.this);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            publisher.writable(id, channel.isWritable(), StreamServer.this);
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
