package cacheproxy.proxy;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.spi.SelectorProvider;

/**
 * A socket to a node that can tell whether input has arrived that the event loop has not read yet.
 */
final class NodeChannel extends NioSocketChannel {

    NodeChannel() {}

    /** Creates a channel on a socket of the given provider. */
    NodeChannel(SelectorProvider provider) {
        super(provider);
    }

    /**
     * Whether neither bytes nor an end of stream are waiting in the kernel. If there are bytes, one
     * of them is consumed, so a connection with pending input cannot be used any more.
     */
    boolean hasNoPendingInput() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }
}
