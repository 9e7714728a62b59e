package cacheproxy.stream.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.stream.Entry;
import cacheproxy.stream.Message.Snapshot;
import cacheproxy.stream.Subscriber;
import cacheproxy.syscalls.Errno;
import cacheproxy.syscalls.FaultSchedule;
import cacheproxy.syscalls.FaultySelectorProvider;
import cacheproxy.syscalls.SystemCall;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A subscriber reconnects after the system calls of its connection attempts have failed. */
class StreamClientTest {

    private static final String SERVER = "server";
    private static final int FAILURES = 3;
    private static final int TIMEOUT_MS = 30_000;

    private final FaultSchedule faults = new FaultSchedule();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, NioIoHandler.newFactory(new FaultySelectorProvider(new FaultSchedule())));
    private final EventLoop loop = group.next();

    private static final class DiscardingSink implements StreamClient.Sink {
        @Override
        public boolean apply(List<Entry> entries) {
            return true;
        }

        @Override
        public boolean reset(Snapshot snapshot) {
            return true;
        }
    }

    @AfterEach
    void stop() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    /**
     * Waits for a connection on which data arrives. An attempt that fails after the connection was
     * established is seen by the server as a connection that ends without data.
     */
    private static void awaitSubscription(ServerSocket server) throws IOException {
        boolean subscribed = false;
        while (!subscribed) {
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(TIMEOUT_MS);
                subscribed = connection.getInputStream().read() >= 0;
            }
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"SOCKET", "CONFIGURE", "CONNECT", "FINISH_CONNECT"})
    void retriesConnectionAfterSystemCallFailure(SystemCall call) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(TIMEOUT_MS);
            faults.fail(call, Errno.ENOBUFS, FAILURES);
            Subscriber subscriber =
                    new Subscriber(
                            new Subscriber.Parts(
                                    "proxy",
                                    List.of(SERVER),
                                    Subscriber.RATE_BYTES_PER_S,
                                    Subscriber.BURST_BYTES,
                                    new Random(1)),
                            0,
                            0,
                            now());
            FaultySelectorProvider provider = new FaultySelectorProvider(faults);
            StreamClient client =
                    new StreamClient(
                            loop,
                            Map.of(SERVER, (InetSocketAddress) server.getLocalSocketAddress()),
                            subscriber,
                            StreamClientTest::now,
                            new DiscardingSink(),
                            () -> new NioSocketChannel(provider));
            loop.submit(client::start).get();
            awaitSubscription(server);
            assertEquals(FAILURES, faults.failureCount(call));
            loop.submit(client::close).get();
        }
    }
}
