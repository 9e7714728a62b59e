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
 * The socket between proxies where its system calls fail for a while: what is lost is lost, and the
 * socket goes on.
 */
class PeerSocketFailuresTest {

    private static final int FAILING_CALLS = 20;
    private static final int TIMEOUT_MS = (int) TimeUnit.SECONDS.toMillis(Peer.PATIENCE_S);

    @ParameterizedTest
    @EnumSource
    void afterFailedReceivesAMessageIsHeard(Errno errno) throws Exception {
        try (DatagramSocket peer = socket();
                FaultySite site = siteWithPeer(peer)) {
            site.peerCalls.fail(SystemCall.RECVFROM, errno, FAILING_CALLS);
            InetAddress loopback = InetAddress.getLoopbackAddress();
            peer.send(
                    new DatagramPacket(
                            new byte[] {1, 2}, 2, loopback, site.peers.listening().getPort()));
            Scripted.Heard heard = Scripted.next(site.site.router.heard);
            assertArrayEquals(new byte[] {1, 2}, heard.contents());
            assertEquals(FAILING_CALLS, site.peerCalls.failed(SystemCall.RECVFROM));
        }
    }

    @ParameterizedTest
    @EnumSource
    void afterFailedSendsTheNextMessageGoesOut(Errno errno) throws Exception {
        try (DatagramSocket peer = socket();
                FaultySite site = siteWithPeer(peer)) {
            site.peerCalls.fail(SystemCall.SENDTO, errno, 1);
            site.loop
                    .submit(
                            () -> {
                                site.peers.tell(new byte[] {3});
                                site.peers.tell(new byte[] {4});
                            })
                    .sync();
            DatagramPacket packet = new DatagramPacket(new byte[10], 10);
            do {
                peer.receive(packet);
            } while (packet.getData()[0] != 4);
            assertEquals(1, packet.getLength());
            assertEquals(1, site.peerCalls.failed(SystemCall.SENDTO));
            assertTrue(
                    site.loop.submit(() -> site.peers.listening().getPort() > 0).get(),
                    "the socket is open");
        }
    }

    private static DatagramSocket socket() throws Exception {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    /** This proxy is the first of two. */
    private static FaultySite siteWithPeer(DatagramSocket peer) throws Exception {
        return new FaultySite(
                "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:9\",\"127.0.0.1:"
                        + peer.getLocalPort()
                        + "\"],");
    }
}
