package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Datagrams between proxies: messages are accepted from peers alone, and messages over the size
 * limit are neither accepted nor sent.
 */
class PeerSocketTest {

    private static final int TIMEOUT_MS = (int) (TestServer.TIMEOUT_S * 1000);

    private static DatagramSocket openSocket() throws Exception {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static byte[] receive(DatagramSocket socket) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[1000], 1000);
        socket.receive(packet);
        return Arrays.copyOf(packet.getData(), packet.getLength());
    }

    @Test
    void acceptsMessagesOnlyFromPeersAndSendsNoneOverTheLimit() throws Exception {
        try (DatagramSocket peer = openSocket();
                DatagramSocket stranger = openSocket();
                ProxyFixture fixture = new ProxyFixture()) {
            fixture.start(
                    "automatic",
                    "60000",
                    "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:9\",\"127.0.0.1:"
                            + peer.getLocalPort()
                            + "\"],");
            int ownPort = fixture.service.peerAddress().getPort();
            InetAddress loopback = InetAddress.getLoopbackAddress();
            stranger.send(new DatagramPacket(new byte[] {9}, 1, loopback, ownPort));
            peer.send(
                    new DatagramPacket(
                            new byte[PeerSocket.MAX_MESSAGE_BYTES + 1],
                            PeerSocket.MAX_MESSAGE_BYTES + 1,
                            loopback,
                            ownPort));
            peer.send(new DatagramPacket(new byte[] {1, 2}, 2, loopback, ownPort));
            ScriptedRouter.ReceivedMessage received =
                    ScriptedRouter.awaitNext(fixture.router.peerMessages);
            assertEquals(1, received.from());
            assertArrayEquals(new byte[] {1, 2}, received.contents());
            assertTrue(fixture.router.peerMessages.isEmpty());

            byte[] reusedBuffer = "old".getBytes(StandardCharsets.US_ASCII);
            fixture.router.onRequest =
                    (request, out) -> {
                        out.sendToPeers(new byte[PeerSocket.MAX_MESSAGE_BYTES + 1]);
                        out.sendToPeers(reusedBuffer);
                        reusedBuffer[0] = 'X';
                        out.reject(request.id(), 0);
                    };
            try (TestServer.Connection client = fixture.client()) {
                client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
                assertEquals("old", new String(receive(peer), StandardCharsets.US_ASCII));
            }
        }
    }
}
