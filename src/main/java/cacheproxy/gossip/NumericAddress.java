package cacheproxy.gossip;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Addresses as proxies tell them to one another: numbers alone, as who answers for a name could
 * answer anything.
 */
public final class NumericAddress {

    private NumericAddress() {}

    /** The address of {@code host:port}; null where it is none. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] bytes =
                colon < 0
                        ? null
                        : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = bytes == null ? -1 : Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > 0xffff
                    ? null
                    : new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }

    /** The same as text. */
    public static String format(InetSocketAddress address) {
        return NetUtil.toAddressString(address.getAddress()) + ":" + address.getPort();
    }
}
