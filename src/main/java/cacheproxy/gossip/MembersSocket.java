package cacheproxy.gossip;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.function.Supplier;

/**
 * A socket that writes the member table to each client that connects and then closes the
 * connection. It reads no input, so that malformed input cannot have any effect.
 */
public final class MembersSocket {

    private MembersSocket() {}

    static LocalSocket open(Path path, EventLoop loop, Supplier<String> view)
            throws IOException, InterruptedException {
        return LocalSocket.open(
                path,
                loop,
                channel ->
                        channel.pipeline()
                                .addLast(
                                        new ChannelInboundHandlerAdapter() {
                                            @Override
                                            public void channelActive(ChannelHandlerContext ctx) {
                                                ctx.writeAndFlush(
                                                                Unpooled.copiedBuffer(
                                                                        view.get(),
                                                                        StandardCharsets.UTF_8))
                                                        .addListener(ChannelFutureListener.CLOSE);
                                            }
                                        }));
    }

    /** Returns the member table of the proxy that listens on a socket; used by the command line. */
    public static String ask(Path path) throws IOException {
        return LocalSocket.ask(path, "");
    }
}
