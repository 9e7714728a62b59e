package cacheproxy.proxy;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The clients' listening socket, where the platform owns it and passes it as descriptor 0. The
 * proxy never closes it: closing it would redirect descriptors 1 and 2, and with them the log, to
 * the null device. To accept no more clients, stop reading from it instead.
 */
final class PassedSocket {

    private static final String SUPPORTED_DESCRIPTOR = "0";

    private PassedSocket() {}

    /** Returns the socket; {@code name} is the platform's name for it. */
    static ServerSocketChannel open(String name) throws ConfigException {
        if (name.chars().allMatch(Character::isDigit) && !name.equals(SUPPORTED_DESCRIPTOR)) {
            throw new ConfigException(
                    "passed socket: descriptor " + name + " is not supported, only 0 is");
        }
        Channel inherited;
        try {
            inherited = System.inheritedChannel();
        } catch (IOException e) {
            throw new ConfigException("passed socket: " + e.getMessage());
        }
        if (!(inherited instanceof ServerSocketChannel socket)) {
            throw new ConfigException("passed socket: descriptor 0 is not a listening TCP socket");
        }
        return socket;
    }
}
