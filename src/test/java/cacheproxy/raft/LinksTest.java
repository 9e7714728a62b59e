package cacheproxy.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.lab.virtual.HashIdentity;
import cacheproxy.syscalls.Errno;
import cacheproxy.syscalls.FaultSchedule;
import cacheproxy.syscalls.FaultyProvider;
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

/** A link to a voter whose system calls fail is made again. */
class LinksTest {

    private static final String VOTER = "voter";
    private static final int FAILURES = 3;
    private static final int PATIENCE_MS = 30_000;

    private final FaultSchedule calls = new FaultSchedule();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, NioIoHandler.newFactory(new FaultyProvider(new FaultSchedule())));
    private final EventLoop loop = group.next();
    private ServerSocket voter;
    private Links links;

    @BeforeEach
    void make() throws Exception {
        voter = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        voter.setSoTimeout(PATIENCE_MS);
        FaultyProvider provider = new FaultyProvider(calls);
        links =
                new Links(
                        loop,
                        new HashIdentity("proxy", Set.of()),
                        Map.of(VOTER, (InetSocketAddress) voter.getLocalSocketAddress()),
                        channel -> {},
                        (from, message) -> {},
                        () -> new NioSocketChannel(provider));
    }

    @AfterEach
    void stop() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
        voter.close();
    }

    /**
     * Waits for the next connection that begins with its key: of one that fails late the voter sees
     * a connection and its end.
     */
    private Socket linked() throws Exception {
        Socket link = voter.accept();
        link.setSoTimeout(PATIENCE_MS);
        while (link.getInputStream().read() < 0) {
            link.close();
            link = voter.accept();
            link.setSoTimeout(PATIENCE_MS);
        }
        return link;
    }

    @ParameterizedTest
    @EnumSource(names = {"SOCKET", "CONFIGURE", "CONNECT", "FINISH_CONNECT"})
    void oneThatCannotBeMadeIsTriedAgain(SystemCall call) throws Exception {
        calls.fail(call, Errno.ENOBUFS, FAILURES);
        loop.submit(links::start).get();
        linked().close();
        assertEquals(FAILURES, calls.failed(call));
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void oneThatBreaksIsMadeAgain(Errno errno) throws Exception {
        loop.submit(links::start).get();
        try (Socket first = linked()) {
            calls.breakConnections(errno);
            linked().close();
        }
    }

    @Test
    void theyEndWhileNoSocketCanBeMade() throws Exception {
        calls.fail(SystemCall.SOCKET, Errno.EMFILE, Long.MAX_VALUE);
        loop.submit(links::start).get();
        loop.submit(links::close).get();
        assertTrue(calls.failed(SystemCall.SOCKET) > 0);
        assertEquals(0, calls.open());
    }
}
