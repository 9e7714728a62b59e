package cacheproxy.proxy;

import cacheproxy.Router;
import cacheproxy.syscalls.FaultSchedule;
import cacheproxy.syscalls.FaultyProvider;
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
 * The parts of a proxy on one event loop, with the peers of a {@link Site}. The system calls of its
 * clients' side, of its connections to the node, of its watch and of the loop itself each go by a
 * schedule of their own.
 */
final class FaultySite implements Closeable {

    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int CONNECT_TIMEOUT_MS = 5000;
    private static final int CLIENTS = 100;
    private static final int NODES = 100;
    private static final int MOST_OPEN = 4;

    final FaultSchedule loopCalls = new FaultSchedule();
    final FaultSchedule clientCalls = new FaultSchedule();
    final FaultSchedule nodeCalls = new FaultSchedule();
    final FaultSchedule discoveryCalls = new FaultSchedule();
    final FaultSchedule peerCalls = new FaultSchedule();
    final Site site;
    final EventLoop loop;
    final NodePool pool;
    final ClientServer clients;
    final Channel listener;

    /** Null where the configuration names no address for them. */
    final Peers peers;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, NioIoHandler.newFactory(new FaultyProvider(loopCalls)));

    FaultySite() throws Exception {
        this("");
    }

    /** With more keys of the configuration. */
    FaultySite(String more) throws Exception {
        this(new Site(), more);
    }

    private FaultySite(Site site, String more) throws Exception {
        this(site, site.config("automatic", "60000", more), site.router);
    }

    /** With decisions and nodes of its own; of the site it uses discovery alone. */
    FaultySite(Site site, Config config, Router router) throws Exception {
        this.site = site;
        loop = group.next();
        FaultyProvider nodes = new FaultyProvider(nodeCalls);
        pool =
                new NodePool(
                        loop,
                        Transport.connecting(loop, () -> new NodeChannel(nodes)),
                        CONNECT_TIMEOUT_MS,
                        60_000,
                        NODES,
                        1,
                        System::nanoTime);
        Proxy proxy = new Proxy(loop, new Clock(), config.settings(), router, pool, MOST_OPEN);
        clients = new ClientServer(loop, proxy, config.settings(), CLIENTS);
        FaultyProvider watches = new FaultyProvider(discoveryCalls);
        Discovery discovery =
                new Discovery(
                        loop,
                        config.discovery(),
                        proxy,
                        config.known(),
                        true,
                        Discovery.Times.PUSHED,
                        () -> {},
                        () -> new NioSocketChannel(watches));
        FaultyProvider peerProvider = new FaultyProvider(peerCalls);
        peers =
                config.peerListen() == null
                        ? null
                        : new Peers(
                                loop, config, proxy, () -> new NioDatagramChannel(peerProvider));
        if (peers != null) {
            peers.listen().sync();
        }
        proxy.wire(discovery::subscribe, peers == null ? contents -> {} : peers::tell);
        ServerSocketChannel socket =
                new FaultyProvider(clientCalls).openServerSocketChannel().bind(ANY);
        listener =
                loop.submit(
                                () -> {
                                    proxy.start(config.known());
                                    discovery.start();
                                    clients.ready();
                                    return clients.listen(socket);
                                })
                        .get()
                        .sync()
                        .channel();
    }

    Peer.Wire client() throws IOException {
        return Peer.connect((InetSocketAddress) listener.localAddress());
    }

    /** Waits until the loop has nothing more to do for what has happened up to now. */
    void settle() throws Exception {
        loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).get();
    }

    @Override
    public void close() throws IOException {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        site.close();
    }
}
