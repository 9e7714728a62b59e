package cacheproxy.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A loopback address that refuses every connection for as long as it is open. Its port is bound and
 * never listened at, so no other process can be given it meanwhile, as it can be after a server
 * there has been closed.
 */
final class RefusingAddress implements Closeable {

    private final Socket boundSocket = new Socket();

    RefusingAddress() throws IOException {
        boundSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    String dial() {
        return "127.0.0.1:" + boundSocket.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        boundSocket.close();
    }
}
