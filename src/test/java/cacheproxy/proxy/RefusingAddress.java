package cacheproxy.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A loopback address that refuses every connection until it is closed. Its port is bound but not
 * listening, so the system cannot assign it to another process meanwhile, as it could after closing
 * a server.
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
