package cacheproxy.proxy;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.spi.SelectorProvider;

/**
 * A socket to a node that can be asked whether anything has come on it that the loop has not read
 * yet.
 */
final class NodeChannel extends NioSocketChannel {

    NodeChannel() {}

    /** Over a socket of the given provider. */
    NodeChannel(SelectorProvider provider) {
        super(provider);
    }

    /**
     * Whether neither bytes nor an end wait in the kernel. One byte is taken if there is one, so a
     * connection that is not quiet is of no use any more.
     */
    boolean hasNoPendingInput() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }
}
