package cacheproxy.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.lab.virtual.HashIdentity;
import cacheproxy.syscalls.Errno;
import cacheproxy.syscalls.FaultSchedule;
import cacheproxy.syscalls.FaultySelectorProvider;
import cacheproxy.syscalls.SystemCall;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a connection to a voter is opened again after its system calls have failed. */
class PeerConnectionsTest {

    private static final String VOTER = "voter";
    private static final int FAILURES = 3;
    private static final int TIMEOUT_MS = 30_000;

    private final FaultSchedule faults = new FaultSchedule();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, NioIoHandler.newFactory(new FaultySelectorProvider(new FaultSchedule())));
    private final EventLoop loop = group.next();
    private ServerSocket voter;
    private PeerConnections peerConnections;

    @BeforeEach
    void setUp() throws Exception {
        voter = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        voter.setSoTimeout(TIMEOUT_MS);
        FaultySelectorProvider provider = new FaultySelectorProvider(faults);
        peerConnections =
                new PeerConnections(
                        loop,
                        new HashIdentity("proxy", Set.of()),
                        Map.of(VOTER, (InetSocketAddress) voter.getLocalSocketAddress()),
                        channel -> {},
                        (from, message) -> {},
                        () -> new NioSocketChannel(provider));
    }

    @AfterEach
    void tearDown() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
        voter.close();
    }

    /**
     * Waits for the next connection on which the proxy sends its key. Connections that end without
     * a key are skipped: a connection attempt that fails late looks like that to the voter.
     */
    private Socket acceptConnection() throws Exception {
        Socket connection = voter.accept();
        connection.setSoTimeout(TIMEOUT_MS);
        while (connection.getInputStream().read() < 0) {
            connection.close();
            connection = voter.accept();
            connection.setSoTimeout(TIMEOUT_MS);
        }
        return connection;
    }

    @ParameterizedTest
    @EnumSource(names = {"SOCKET", "CONFIGURE", "CONNECT", "FINISH_CONNECT"})
    void retriesConnectionThatCannotBeMade(SystemCall call) throws Exception {
        faults.fail(call, Errno.ENOBUFS, FAILURES);
        loop.submit(peerConnections::start).get();
        acceptConnection().close();
        assertEquals(FAILURES, faults.failureCount(call));
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void reconnectsAfterConnectionBreaks(Errno errno) throws Exception {
        loop.submit(peerConnections::start).get();
        try (Socket first = acceptConnection()) {
            faults.breakConnections(errno);
            acceptConnection().close();
        }
    }

    @Test
    void closesWhileNoSocketCanBeMade() throws Exception {
        faults.fail(SystemCall.SOCKET, Errno.EMFILE, Long.MAX_VALUE);
        loop.submit(peerConnections::start).get();
        loop.submit(peerConnections::close).get();
        assertTrue(faults.failureCount(SystemCall.SOCKET) > 0);
        assertEquals(0, faults.openCount());
    }
}
