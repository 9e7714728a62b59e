package cacheproxy.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.spi.SelectorProvider;

/**
 * Listens for peer messages during a start, before the proxy itself does. Peers send only while
 * they serve clients, so a message during the start tells a restart within a serving fleet from the
 * fleet's first start. Without peers, or if the address cannot be bound yet, no message is
 * received; the proxy's own attempt to bind the address reports the reason.
 */
final class PeerListener implements Closeable {

    /** Null if no file descriptor was available; no message is received then. */
    private Selector selector;

    private DatagramChannel channel;

    PeerListener(InetSocketAddress address) {
        this(address, SelectorProvider.provider());
    }

    PeerListener(InetSocketAddress address, SelectorProvider provider) {
        try {
            selector = provider.openSelector();
            channel = provider.openDatagramChannel();
            if (address != null) {
                channel.bind(address)
                        .configureBlocking(false)
                        .register(selector, SelectionKey.OP_READ);
            }
        } catch (IOException e) {
            Log.event("peer_socket_bind_failed", "cause", e.getMessage());
        }
    }

    /** The bound address; null if it is not listening. */
    InetSocketAddress address() throws IOException {
        return channel == null ? null : (InetSocketAddress) channel.getLocalAddress();
    }

    /** Whether a message has arrived or arrives within {@code waitMs}; it remains unread. */
    boolean awaitMessage(long waitMs) throws IOException {
        if (selector == null) {
            return false;
        }
        return (waitMs <= 0 ? selector.selectNow() : selector.select(waitMs)) > 0
                || !selector.selectedKeys().isEmpty();
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
        if (selector != null) {
            selector.close();
        }
    }
}
