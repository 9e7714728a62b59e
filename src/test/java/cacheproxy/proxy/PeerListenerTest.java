package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.syscalls.Errno;
import cacheproxy.syscalls.FaultSchedule;
import cacheproxy.syscalls.FaultySelectorProvider;
import cacheproxy.syscalls.SystemCall;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A starting process detects whether peers are serving, and leaves the address free for the proxy.
 */
class PeerListenerTest {

    @Test
    void detectsPeerMessageAndFreesTheAddress() throws Exception {
        InetSocketAddress address;
        try (PeerListener listener =
                        new PeerListener(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                DatagramSocket peer = new DatagramSocket()) {
            address = listener.address();
            assertFalse(listener.awaitMessage(0));
            peer.send(new DatagramPacket(new byte[] {1}, 1, address));
            assertTrue(listener.awaitMessage(TimeUnit.SECONDS.toMillis(TestServer.TIMEOUT_S)));
            assertTrue(listener.awaitMessage(0), "a message stays detected on later calls");
        }
        try (PeerListener nextListener = new PeerListener(address)) {
            assertFalse(nextListener.awaitMessage(0));
        }
    }

    @Test
    void detectsNothingWithoutAnAddress() throws Exception {
        try (PeerListener listener = new PeerListener(null)) {
            assertNull(listener.address());
            assertFalse(listener.awaitMessage(0));
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"EPOLL_CREATE", "SOCKET"})
    void detectsNothingWithoutADescriptor(SystemCall call) throws IOException {
        FaultSchedule calls = new FaultSchedule();
        calls.fail(call, Errno.EMFILE, 1);
        InetSocketAddress ephemeralAddress =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (PeerListener listener =
                new PeerListener(ephemeralAddress, new FaultySelectorProvider(calls))) {
            assertFalse(listener.awaitMessage(0));
        }
        assertEquals(1, calls.failureCount(call));
    }
}
