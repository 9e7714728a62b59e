package cacheproxy.lab.sockets;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One listening address that belongs to one proxy alone, so that a connection tells by where it
 * came in who it is from. It can be shut (connections are refused) or made silent (they never come
 * up): nothing is accepted any more and the queue of the listener is filled, upon which the system
 * drops further attempts as a network that is cut would.
 */
final class FaultyListener {

    private static final int BACKLOG = 32;

    /** The system lets in a few more than it was asked to queue. */
    private static final int FILLER_CONNECTIONS = BACKLOG + 8;

    private final EventLoop loop;
    private final Consumer<SocketChannel> initializer;
    private final Set<SocketChannel> connections = new HashSet<>();
    private final List<java.nio.channels.SocketChannel> fillers = new ArrayList<>();
    private final Set<Integer> fillerPorts = new HashSet<>();
    private InetSocketAddress address;
    private Channel server;
    private boolean silent;

    /** {@code onOpen} fills the pipeline of each accepted connection, on the loop. */
    FaultyListener(EventLoop loop, Consumer<SocketChannel> initializer) {
        this.loop = loop;
        this.initializer = initializer;
    }

    /** Listens, on the address it had before if it had one. */
    void open() throws InterruptedException {
        server =
                bind(address == null
                                ? new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)
                                : address)
                        .sync()
                        .channel();
        address = (InetSocketAddress) server.localAddress();
    }

    /** The same from the loop itself, which may not wait. */
    void reopen() {
        server = bind(address).channel();
    }

    private io.netty.channel.ChannelFuture bind(InetSocketAddress bindAddress) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                if (fillerPorts.remove(channel.remoteAddress().getPort())) {
                                    channel.close();
                                    return;
                                }
                                connections.add(channel);
                                channel.closeFuture().addListener(f -> connections.remove(channel));
                                initializer.accept(channel);
                            }
                        })
                .bind(bindAddress);
    }

    String address() {
        return "127.0.0.1:" + address.getPort();
    }

    boolean isSilent() {
        return silent;
    }

    List<SocketChannel> connections() {
        return List.copyOf(connections);
    }

    /** The process died: open connections are reset, new ones refused. */
    void closeAndReset() {
        if (server != null) {
            server.close();
        }
        connections().forEach(FaultyListener::reset);
    }

    /** Stops taking new connections; those that are open stay. */
    void closeListener() {
        server.close();
    }

    void makeSilent() {
        if (silent || server == null || !server.isOpen()) {
            return;
        }
        silent = true;
        server.config().setAutoRead(false);
        for (int i = 0; i < FILLER_CONNECTIONS; i++) {
            try {
                java.nio.channels.SocketChannel filler = java.nio.channels.SocketChannel.open();
                filler.configureBlocking(false);
                filler.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                fillerPorts.add(((InetSocketAddress) filler.getLocalAddress()).getPort());
                filler.connect(address);
                fillers.add(filler);
            } catch (IOException e) {
                break;
            }
        }
    }

    /**
     * Connections come up again; those from before are reset, as the other side has long given them
     * up.
     */
    void endSilence() {
        if (!silent) {
            return;
        }
        silent = false;
        connections().forEach(FaultyListener::reset);
        for (java.nio.channels.SocketChannel filler : fillers) {
            try {
                filler.close();
            } catch (IOException e) {
                continue;
            }
        }
        fillers.clear();
        server.config().setAutoRead(true);
    }

    /** Ends a connection with a reset. */
    static void reset(SocketChannel channel) {
        if (channel.isActive()) {
            channel.config().setSoLinger(0);
        }
        channel.close();
    }
}
