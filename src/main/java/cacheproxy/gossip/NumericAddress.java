package cacheproxy.gossip;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Addresses as proxies exchange them: numeric only, as whoever controls name resolution could
 * redirect a name to any address.
 */
public final class NumericAddress {

    private NumericAddress() {}

    /** Parses {@code host:port} with a numeric host; returns null if it is not valid. */
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

    /** Formats an address as {@code host:port}. */
    public static String format(InetSocketAddress address) {
        return NetUtil.toAddressString(address.getAddress()) + ":" + address.getPort();
    }
}
