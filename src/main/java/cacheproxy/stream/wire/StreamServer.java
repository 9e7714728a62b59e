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
 * The server of a control machine: accepts connections and passes frames to and from its {@link
 * Publisher}, all on one event loop. While the write buffer of a connection is full the publisher
 * sends nothing on it, so each connection buffers at most a few tens of kilobytes.
 */
public final class StreamServer implements Publisher.PublisherActions {

    static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 1 << 16;
    private static final int MAX_CONNECTIONS = 4096;

    /** Subscribers request a heartbeat twice per second. */
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
     * @param nowMs the clock that is passed to the publisher, in milliseconds
     */
    public StreamServer(EventLoop loop, Publisher publisher, DoubleSupplier nowMs) {
        this.loop = loop;
        this.publisher = publisher;
        this.nowMs = nowMs;
    }

    /** Starts listening; returns the bound address, with the port selected if port 0 was given. */
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
     * Replaces the publisher and closes the connections of all subscribers; called on the event
     * loop.
     */
    public void replacePublisher(Publisher next) {
        publisher = next;
        Map.copyOf(connections).values().forEach(connection -> connection.channel.close());
    }

    /** Closes the listener and all connections; called on the event loop. */
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

    /** Encodes a message as a frame with its length prefix. */
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
            // A read time-out, a connection reset or a malformed frame. The subscriber reconnects
            // and continues from its cursor.
            ctx.close();
        }
    }
}
