package cacheproxy.proxy;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The clients' listening socket, where the platform holds it and passes it on as descriptor 0. It
 * is never closed here: that would lay descriptors 1 and 2, and with them the log, on the null
 * device. Whoever wants no more of it stops reading.
 */
final class PassedSocket {

    private static final String SUPPORTED_DESCRIPTOR = "0";

    private PassedSocket() {}

    /** {@code name} is what the platform calls it. */
    static ServerSocketChannel open(String name) throws ConfigException {
        if (name.chars().allMatch(Character::isDigit) && !name.equals(SUPPORTED_DESCRIPTOR)) {
            throw new ConfigException(
                    "passed socket: descriptor " + name + " cannot be taken, only 0");
        }
        Channel inherited;
        try {
            inherited = System.inheritedChannel();
        } catch (IOException e) {
            throw new ConfigException("passed socket: " + e.getMessage());
        }
        if (!(inherited instanceof ServerSocketChannel socket)) {
            throw new ConfigException("passed socket: descriptor 0 is no listening TCP socket");
        }
        return socket;
    }
}
