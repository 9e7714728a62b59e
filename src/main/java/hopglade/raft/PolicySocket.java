package hopglade.raft;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
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
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** A Unix domain socket, its owner's alone, that takes one question as a line of JSON, and answers with an exit code and a text. */
public final class PolicySocket {

    /** Exit codes beside 0: refused for good, a bad policy, no majority, and an end that can't be told yet. */
    public static final int REFUSED = 1;
    public static final int BAD = 2;
    public static final int NO_MAJORITY = 3;
    public static final int UNKNOWN = 4;
    private static final int MOST_BYTES = 1 << 18;
    /** A proposal is answered within its own patience. */
    private static final int SILENT_S = 20;

    private final Path path;
    private final Channel channel;

    private PolicySocket(Path path, Channel channel) {
        this.path = path;
        this.channel = channel;
    }

    static PolicySocket open(Path path, EventLoop loop, BiConsumer<JsonObject, Consumer<JsonObject>> operator) throws IOException, InterruptedException {
        Files.deleteIfExists(path);
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerDomainSocketChannel.class).childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline().addLast(new ReadTimeoutHandler(SILENT_S), new LineBasedFrameDecoder(MOST_BYTES), new SimpleChannelInboundHandler<ByteBuf>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
                        try {
                            operator.accept(JsonParser.parseString(line.toString(StandardCharsets.UTF_8)).getAsJsonObject(), a -> tell(ctx, a));
                        } catch (JsonParseException | IllegalStateException | NullPointerException e) {
                            tell(ctx, answer(REFUSED, "no question"));
                        }
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        ctx.close();
                    }
                });
            }
        }).bind(UnixDomainSocketAddress.of(path)).await();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + path + ": " + bound.cause().getMessage());
        }
        Files.setPosixFilePermissions(path, PosixFilePermissions.fromString("rw-------"));
        return new PolicySocket(path, bound.channel());
    }

    private static void tell(ChannelHandlerContext ctx, JsonObject answer) {
        ctx.writeAndFlush(Unpooled.copiedBuffer(answer.toString(), StandardCharsets.UTF_8)).addListener(ChannelFutureListener.CLOSE);
    }

    static JsonObject answer(int exit, String text) {
        JsonObject o = new JsonObject();
        o.addProperty("exit", exit);
        o.addProperty("text", text);
        return o;
    }

    /** What came back: the exit code and what to print. */
    public record Told(int exit, String text) { }

    /** Asks the proxy behind a socket; for the command line and the laboratory. {@code content} and {@code epoch} as the question needs. */
    public static Told ask(Path path, String question, String content, long epoch) throws IOException {
        JsonObject asked = new JsonObject();
        asked.addProperty("ask", question);
        asked.addProperty("content", content);
        asked.addProperty("epoch", epoch);
        try (SocketChannel socket = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            socket.connect(UnixDomainSocketAddress.of(path));
            ByteBuffer line = ByteBuffer.wrap((asked + "\n").getBytes(StandardCharsets.UTF_8));
            while (line.hasRemaining()) {
                socket.write(line);
            }
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            ByteBuffer part = ByteBuffer.allocate(4096);
            while (socket.read(part) >= 0 && all.size() < 8 * MOST_BYTES) {
                all.write(part.array(), 0, part.position());
                part.clear();
            }
            JsonObject told = JsonParser.parseString(all.toString(StandardCharsets.UTF_8)).getAsJsonObject();
            return new Told(told.get("exit").getAsInt(), told.get("text").getAsString());
        } catch (JsonParseException | IllegalStateException e) {
            throw new IOException("no whole answer");
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
