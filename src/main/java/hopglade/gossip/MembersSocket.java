package hopglade.gossip;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.function.Supplier;

/**
 * A Unix domain socket that writes the members to whoever connects, and closes. It reads nothing, so there is nothing to get
 * wrong; its file is its owner's alone.
 */
public final class MembersSocket {

    private static final int MOST_ANSWER = 1 << 20;

    private final Path path;
    private final Channel channel;

    private MembersSocket(Path path, Channel channel) {
        this.path = path;
        this.channel = channel;
    }

    static MembersSocket open(Path path, EventLoop loop, Supplier<String> view) throws IOException, InterruptedException {
        if (Files.exists(path) && answers(path)) {
            throw new IOException(path + ": another proxy listens there");
        }
        Files.deleteIfExists(path);
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerDomainSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelActive(ChannelHandlerContext ctx) {
                                ctx.writeAndFlush(Unpooled.copiedBuffer(view.get(), StandardCharsets.UTF_8)).addListener(ChannelFutureListener.CLOSE);
                            }
                        });
                    }
                }).bind(UnixDomainSocketAddress.of(path)).await();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + path + ": " + bound.cause().getMessage());
        }
        Files.setPosixFilePermissions(path, PosixFilePermissions.fromString("rw-------"));
        return new MembersSocket(path, bound.channel());
    }

    private static boolean answers(Path path) {
        try (SocketChannel socket = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            return socket.connect(UnixDomainSocketAddress.of(path));
        } catch (IOException e) {
            return false;
        }
    }

    /** What the proxy behind a socket says; for the command line. */
    public static String ask(Path path) throws IOException {
        try (SocketChannel socket = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            socket.connect(UnixDomainSocketAddress.of(path));
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            ByteBuffer part = ByteBuffer.allocate(4096);
            while (socket.read(part) >= 0 && all.size() < MOST_ANSWER) {
                all.write(part.array(), 0, part.position());
                part.clear();
            }
            return all.toString(StandardCharsets.UTF_8);
        }
    }

    void close() {
        channel.close();
        try {
            Files.deleteIfExists(path);
        } catch (IOException e) {
            // The next start takes the place of a socket that nobody answers at.
        }
    }
}
