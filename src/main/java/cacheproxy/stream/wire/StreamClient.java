package cacheproxy.stream.wire;

import cacheproxy.stream.Entry;
import cacheproxy.stream.FrameCodec;
import cacheproxy.stream.Message;
import cacheproxy.stream.Message.Snapshot;
import cacheproxy.stream.Subscriber;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * The connection of a {@link Subscriber}. All calls of this class, and its calls of the sink, are
 * made on one event loop.
 */
public final class StreamClient implements Subscriber.SubscriberActions {

    /** Receives the entries of the stream. Methods return false if the data was not stored. */
    public interface Sink {
        /** Applies the next entries, in order. */
        boolean apply(List<Entry> entries);

        /** Treats everything cached so far as purged and applies the snapshot's configuration. */
        boolean reset(Snapshot snapshot);

        /** Reports an event for the log. */
        default void event(Subscriber.SubscriberEvent event, String server) {}
    }

    private static final long TICK_INTERVAL_MS = 50;

    /** The longest frame is a batch of one change of maximum size. */
    private static final int MAX_FRAME_BYTES = FrameCodec.MAX_CHANGE_BYTES + 4096;

    private final EventLoop loop;
    private final Map<String, InetSocketAddress> servers;
    private final Subscriber subscriber;
    private final DoubleSupplier nowMs;
    private final Sink sink;
    private final ChannelFactory<Channel> channelFactory;

    /** Null before the first connection, and if no channel could be created for the latest one. */
    private Channel channel;

    private ScheduledFuture<?> tickTask;
    private long bytesIn;
    private long bytesOut;

    /**
     * @param nowMs the clock that the subscriber was created with, in milliseconds
     */
    public StreamClient(
            EventLoop loop,
            Map<String, InetSocketAddress> servers,
            Subscriber subscriber,
            DoubleSupplier nowMs,
            Sink sink) {
        this(loop, servers, subscriber, nowMs, sink, NioSocketChannel::new);
    }

    /** For tests: with channels whose creation may fail, for example without file descriptors. */
    StreamClient(
            EventLoop loop,
            Map<String, InetSocketAddress> servers,
            Subscriber subscriber,
            DoubleSupplier nowMs,
            Sink sink,
            ChannelFactory<Channel> channelFactory) {
        this.loop = loop;
        this.servers = servers;
        this.subscriber = subscriber;
        this.nowMs = nowMs;
        this.sink = sink;
        this.channelFactory = channelFactory;
    }

    /** Starts the periodic work of the subscriber, which connects to a server. */
    public void start() {
        tickTask =
                loop.scheduleAtFixedRate(
                        () -> subscriber.tick(nowMs.getAsDouble(), this),
                        0,
                        TICK_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Stops the periodic work and closes the connection; called on the event loop. */
    public void close() {
        tickTask.cancel(false);
        if (channel != null) {
            channel.close();
        }
    }

    /** Returns the bytes received: frames with length prefixes, without TCP and IP headers. */
    public long bytesIn() {
        return bytesIn;
    }

    /** Returns the bytes sent: frames with length prefixes, without TCP and IP headers. */
    public long bytesOut() {
        return bytesOut;
    }

    @Override
    public void connect(String server, int attempt) {
        if (channel != null) {
            channel.close();
        }
        ChannelFuture connecting =
                new Bootstrap()
                        .group(loop)
                        .channelFactory(channelFactory)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel made) {
                                        made.pipeline()
                                                .addLast(
                                                        new LengthFieldBasedFrameDecoder(
                                                                MAX_FRAME_BYTES,
                                                                0,
                                                                StreamServer.LENGTH_BYTES,
                                                                0,
                                                                StreamServer.LENGTH_BYTES),
                                                        new Connection(attempt));
                                    }
                                })
                        .connect(servers.get(server));
        if (connecting.isDone() && !connecting.isSuccess()) {
            // No socket could be created, for example because no file descriptors are left. There
            // is no channel whose close future could report the failure.
            channel = null;
            loop.execute(() -> connectionClosed(attempt));
            return;
        }
        channel = connecting.channel();
        channel.closeFuture().addListener(f -> connectionClosed(attempt));
    }

    private void connectionClosed(int attempt) {
        subscriber.closed(nowMs.getAsDouble(), attempt, this);
    }

    @Override
    public void disconnect(int attempt) {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void send(Message message) {
        ByteBuf frame = StreamServer.frame(message);
        bytesOut += frame.readableBytes();
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    @Override
    public boolean apply(List<Entry> entries) {
        return sink.apply(entries);
    }

    @Override
    public boolean reset(Snapshot snapshot) {
        return sink.reset(snapshot);
    }

    @Override
    public void event(Subscriber.SubscriberEvent event, String server) {
        sink.event(event, server);
    }

    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
        private final int attempt;

        Connection(int attempt) {
            this.attempt = attempt;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            subscriber.connected(nowMs.getAsDouble(), attempt, StreamClient.this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            bytesIn += StreamServer.LENGTH_BYTES + frame.readableBytes();
            subscriber.received(
                    nowMs.getAsDouble(),
                    attempt,
                    FrameCodec.decode(frame.nioBuffer()),
                    StreamClient.this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A connection reset or a malformed frame; the close future notifies the subscriber.
            ctx.close();
        }
    }
}
