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
 * A listening TCP socket for one proxy, so that the proxy behind a connection is known from the
 * address it connects to. The socket can be closed (connections are refused) or made silent
 * (connections are never established). A silent socket accepts nothing and has its backlog filled,
 * so that the kernel drops further SYN packets, as they would be in a network partition.
 */
final class FaultyListener {

    private static final int BACKLOG = 32;

    /** More than the backlog, as the kernel queues a few connections more than requested. */
    private static final int FILLER_CONNECTIONS = BACKLOG + 8;

    private final EventLoop loop;
    private final Consumer<SocketChannel> initializer;
    private final Set<SocketChannel> connections = new HashSet<>();
    private final List<java.nio.channels.SocketChannel> fillers = new ArrayList<>();
    private final Set<Integer> fillerPorts = new HashSet<>();
    private InetSocketAddress address;
    private Channel server;
    private boolean silent;

    /**
     * Creates a closed listener.
     *
     * @param initializer sets up the pipeline of each accepted connection; runs on the event loop
     */
    FaultyListener(EventLoop loop, Consumer<SocketChannel> initializer) {
        this.loop = loop;
        this.initializer = initializer;
    }

    /** Binds the socket, to its previous address if it had one, and waits until it is bound. */
    void open() throws InterruptedException {
        server =
                bind(address == null
                                ? new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)
                                : address)
                        .sync()
                        .channel();
        address = (InetSocketAddress) server.localAddress();
    }

    /** Binds the socket to its previous address without waiting; for use on the event loop. */
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

    /** Returns the address as {@code host:port}. */
    String address() {
        return "127.0.0.1:" + address.getPort();
    }

    boolean isSilent() {
        return silent;
    }

    List<SocketChannel> connections() {
        return List.copyOf(connections);
    }

    /** Acts as a crashed process: resets open connections and refuses new ones. */
    void closeAndReset() {
        if (server != null) {
            server.close();
        }
        connections().forEach(FaultyListener::reset);
    }

    /** Refuses new connections; open ones are kept. */
    void closeListener() {
        server.close();
    }

    /** Stops accepting and fills the backlog, so that new connections are not established. */
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
     * Accepts connections again. Connections from before the silence are reset, as the proxy has
     * abandoned them by now.
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

    /** Closes a connection with a TCP reset. */
    static void reset(SocketChannel channel) {
        if (channel.isActive()) {
            channel.config().setSoLinger(0);
        }
        channel.close();
    }
}
