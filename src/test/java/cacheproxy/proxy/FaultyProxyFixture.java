package cacheproxy.proxy;

import cacheproxy.Router;
import cacheproxy.syscalls.FaultSchedule;
import cacheproxy.syscalls.FaultySelectorProvider;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * The parts of a proxy on one event loop, with the node and discovery of a {@link ProxyFixture}.
 * There is a separate fault schedule for the system calls of each part: client connections, node
 * connections, the discovery watch, the peer socket and the event loop itself.
 */
final class FaultyProxyFixture implements Closeable {

    private static final InetSocketAddress EPHEMERAL_ADDRESS =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int CONNECT_TIMEOUT_MS = 5000;
    private static final int MAX_CLIENTS = 100;
    private static final int MAX_NODE_CONNECTIONS = 100;
    private static final int MAX_OPEN_REQUESTS = 4;

    final FaultSchedule loopCalls = new FaultSchedule();
    final FaultSchedule clientCalls = new FaultSchedule();
    final FaultSchedule nodeCalls = new FaultSchedule();
    final FaultSchedule discoveryCalls = new FaultSchedule();
    final FaultSchedule peerCalls = new FaultSchedule();
    final ProxyFixture baseFixture;
    final EventLoop loop;
    final NodePool pool;
    final ClientServer clientServer;
    final Channel listener;

    /** Null if the configuration has no {@code peer_listen} address. */
    final PeerSocket peers;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, NioIoHandler.newFactory(new FaultySelectorProvider(loopCalls)));

    FaultyProxyFixture() throws Exception {
        this("");
    }

    /** Adds {@code moreFields}, JSON text, to the configuration. */
    FaultyProxyFixture(String moreFields) throws Exception {
        this(new ProxyFixture(), moreFields);
    }

    private FaultyProxyFixture(ProxyFixture baseFixture, String moreFields) throws Exception {
        this(baseFixture, baseFixture.config("automatic", "60000", moreFields), baseFixture.router);
    }

    /**
     * Uses the given router and the nodes of {@code config}; of the base fixture it uses discovery
     * alone.
     */
    FaultyProxyFixture(ProxyFixture baseFixture, Config config, Router router) throws Exception {
        this.baseFixture = baseFixture;
        loop = group.next();
        FaultySelectorProvider nodeProvider = new FaultySelectorProvider(nodeCalls);
        BodyMemory bodyMemory = new BodyMemory();
        pool =
                new NodePool(
                        loop,
                        ConnectionTransport.connectingBootstrap(
                                loop, () -> new NodeChannel(nodeProvider)),
                        CONNECT_TIMEOUT_MS,
                        60_000,
                        MAX_NODE_CONNECTIONS,
                        bodyMemory,
                        1,
                        System::nanoTime);
        Proxy proxy =
                new Proxy(loop, new Clock(), config.settings(), router, pool, MAX_OPEN_REQUESTS);
        clientServer = new ClientServer(loop, proxy, config.settings(), MAX_CLIENTS, bodyMemory);
        FaultySelectorProvider watchProvider = new FaultySelectorProvider(discoveryCalls);
        Discovery discovery =
                new Discovery(
                        loop,
                        config.discovery(),
                        proxy,
                        config.knownEndpoints(),
                        true,
                        Discovery.Times.PUSHED,
                        () -> {},
                        () -> new NioSocketChannel(watchProvider));
        FaultySelectorProvider peerProvider = new FaultySelectorProvider(peerCalls);
        peers =
                config.peerListen() == null
                        ? null
                        : new PeerSocket(
                                loop, config, proxy, () -> new NioDatagramChannel(peerProvider));
        if (peers != null) {
            peers.listen().sync();
        }
        proxy.setOutputs(discovery::subscribe, peers == null ? contents -> {} : peers::sendToAll);
        ServerSocketChannel listeningSocket =
                new FaultySelectorProvider(clientCalls)
                        .openServerSocketChannel()
                        .bind(EPHEMERAL_ADDRESS);
        listener =
                loop.submit(
                                () -> {
                                    proxy.start(config.knownEndpoints());
                                    discovery.start();
                                    clientServer.markReady();
                                    return clientServer.listen(listeningSocket);
                                })
                        .get()
                        .sync()
                        .channel();
    }

    TestServer.Connection client() throws IOException {
        return TestServer.connect((InetSocketAddress) listener.localAddress());
    }

    /** Waits until the event loop has processed the events that have arrived up to now. */
    void settle() throws Exception {
        loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).get();
    }

    @Override
    public void close() throws IOException {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        baseFixture.close();
    }
}
