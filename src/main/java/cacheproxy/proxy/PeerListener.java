package cacheproxy.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.spi.SelectorProvider;

/**
 * Listens where peers' messages arrive before the proxy itself does. Peers speak only while they
 * serve clients, so hearing one during a start tells a restart in a fleet at work from the first
 * start of all. Without peers, or where the address can't be had yet, nothing is heard; the proxy's
 * own attempt to listen reports why.
 */
final class PeerListener implements Closeable {

    /** Null where there was no descriptor for them; nothing is heard then. */
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
            Log.event("peers_unheard", "cause", e.getMessage());
        }
    }

    /** Where it listens; null where it does not. */
    InetSocketAddress address() throws IOException {
        return channel == null ? null : (InetSocketAddress) channel.getLocalAddress();
    }

    /** Whether a message has come, or comes within so long; it is left unread. */
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
