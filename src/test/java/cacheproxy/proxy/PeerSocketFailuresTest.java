package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.syscalls.Errno;
import cacheproxy.syscalls.SystemCall;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * System calls of the socket between proxies fail for a while: messages may be lost, but the socket
 * keeps working.
 */
class PeerSocketFailuresTest {

    private static final int FAILING_CALLS = 20;
    private static final int TIMEOUT_MS = (int) TimeUnit.SECONDS.toMillis(TestServer.TIMEOUT_S);

    @ParameterizedTest
    @EnumSource
    void receivesMessageAfterFailedReceives(Errno errno) throws Exception {
        try (DatagramSocket peer = openSocket();
                FaultyProxyFixture fixture = fixtureWithPeer(peer)) {
            fixture.peerCalls.fail(SystemCall.RECVFROM, errno, FAILING_CALLS);
            InetAddress loopback = InetAddress.getLoopbackAddress();
            peer.send(
                    new DatagramPacket(
                            new byte[] {1, 2},
                            2,
                            loopback,
                            fixture.peers.localAddress().getPort()));
            ScriptedRouter.ReceivedMessage received =
                    ScriptedRouter.awaitNext(fixture.baseFixture.router.peerMessages);
            assertArrayEquals(new byte[] {1, 2}, received.contents());
            assertEquals(FAILING_CALLS, fixture.peerCalls.failureCount(SystemCall.RECVFROM));
        }
    }

    @ParameterizedTest
    @EnumSource
    void sendsNextMessageAfterFailedSend(Errno errno) throws Exception {
        try (DatagramSocket peer = openSocket();
                FaultyProxyFixture fixture = fixtureWithPeer(peer)) {
            fixture.peerCalls.fail(SystemCall.SENDTO, errno, 1);
            fixture.loop
                    .submit(
                            () -> {
                                fixture.peers.sendToAll(new byte[] {3});
                                fixture.peers.sendToAll(new byte[] {4});
                            })
                    .sync();
            DatagramPacket packet = new DatagramPacket(new byte[10], 10);
            do {
                peer.receive(packet);
            } while (packet.getData()[0] != 4);
            assertEquals(1, packet.getLength());
            assertEquals(1, fixture.peerCalls.failureCount(SystemCall.SENDTO));
            assertTrue(
                    fixture.loop.submit(() -> fixture.peers.localAddress().getPort() > 0).get(),
                    "the peer socket should still be open");
        }
    }

    private static DatagramSocket openSocket() throws Exception {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    /** Starts the first of two proxies; {@code peer} is the socket of the second. */
    private static FaultyProxyFixture fixtureWithPeer(DatagramSocket peer) throws Exception {
        return new FaultyProxyFixture(
                "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:9\",\"127.0.0.1:"
                        + peer.getLocalPort()
                        + "\"],");
    }
}
