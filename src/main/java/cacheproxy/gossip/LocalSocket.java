package cacheproxy.gossip;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import java.util.function.Consumer;

/**
 * A Unix domain socket through which operators query a running proxy. Only the owner can access its
 * file.
 */
public final class LocalSocket {

    private static final int MAX_ANSWER_BYTES = 1 << 21;

    private final Path path;
    private final Channel channel;

    private LocalSocket(Path path, Channel channel) {
        this.path = path;
        this.channel = channel;
    }

    /**
     * Opens the socket; {@code initializer} sets up each connection. An existing socket file that
     * does not accept connections is left over from an earlier process and is replaced.
     */
    public static LocalSocket open(Path path, EventLoop loop, Consumer<Channel> initializer)
            throws IOException, InterruptedException {
        if (Files.exists(path) && isAnswering(path)) {
            throw new IOException(path + ": another proxy already listens on this socket");
        }
        Files.deleteIfExists(path);
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerDomainSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel connection) {
                                        initializer.accept(connection);
                                    }
                                })
                        .bind(UnixDomainSocketAddress.of(path))
                        .await();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + path + ": " + bound.cause().getMessage());
        }
        Files.setPosixFilePermissions(path, PosixFilePermissions.fromString("rw-------"));
        return new LocalSocket(path, bound.channel());
    }

    private static boolean isAnswering(Path path) {
        try (SocketChannel socket = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            return socket.connect(UnixDomainSocketAddress.of(path));
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Sends a request to the proxy that listens on a socket and returns its answer, which ends when
     * the proxy closes the connection.
     */
    public static String ask(Path path, String request) throws IOException {
        try (SocketChannel socket = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            socket.connect(UnixDomainSocketAddress.of(path));
            ByteBuffer requestBytes = ByteBuffer.wrap(request.getBytes(StandardCharsets.UTF_8));
            while (requestBytes.hasRemaining()) {
                socket.write(requestBytes);
            }
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            ByteBuffer buffer = ByteBuffer.allocate(4096);
            while (socket.read(buffer) >= 0 && answer.size() < MAX_ANSWER_BYTES) {
                answer.write(buffer.array(), 0, buffer.position());
                buffer.clear();
            }
            return answer.toString(StandardCharsets.UTF_8);
        }
    }

    public void close() {
        channel.close();
        try {
            Files.deleteIfExists(path);
        } catch (IOException e) {
            // The next start replaces a socket file that does not accept connections.
        }
    }
}
