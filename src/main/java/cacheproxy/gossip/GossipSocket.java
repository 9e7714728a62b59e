package cacheproxy.gossip;

import cacheproxy.Router.Availability;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.config.Options;
import cacheproxy.membership.Gossip;
import cacheproxy.membership.Gossip.EventType;
import cacheproxy.membership.Member;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * One proxy's gossip on UDP, on the proxy's own event loop. It carries packets and time to {@link
 * Gossip} and its wishes back; it looks no name up, so a member is reached at a numeric address or
 * not at all.
 */
public final class GossipSocket implements Gossip.Actions {

    /**
     * A datagram that is longer than any of ours shows as one byte more than that, and is refused
     * for it.
     */
    private static final int RECEIVE_BUFFER_BYTES = Gossip.MAX_PACKET_BYTES + 1;

    /** What the proxy does with what is heard. */
    public interface Hooks {
        void nodeSuspicionChanged(String node, boolean suspected);

        /** An event for the log. */
        void event(String name, Object... fields);

        /**
         * The socket is being set up; what is put into its pipeline here sees each packet as the
         * wire does.
         */
        default void initializeChannel(Channel socket) {}
    }

    private final EventLoop loop;
    private final DoubleSupplier clock;
    private final Hooks hooks;
    private final KeyRing keys;
    private final Options.Gossip options;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final long seed;
    private Gossip gossip;
    private Channel channel;
    private LocalSocket membersSocket;

    private GossipSocket(
            EventLoop loop,
            DoubleSupplier clock,
            long seed,
            Options.Gossip options,
            KeyRing keys,
            Hooks hooks) {
        this.loop = loop;
        this.clock = clock;
        this.seed = seed;
        this.options = options;
        this.keys = keys;
        this.hooks = hooks;
    }

    /**
     * Binds and begins. Throws where the keys can't be used or the address can't be had.
     *
     * @param clock milliseconds that never run back
     */
    public static GossipSocket open(
            EventLoop loop, DoubleSupplier clock, long seed, Options.Gossip options, Hooks hooks)
            throws IOException, InterruptedException, KeyException {
        return open(loop, clock, seed, options, hooks, NioDatagramChannel::new);
    }

    /** The same with a socket whose system calls may fail, as tests have it. */
    static GossipSocket open(
            EventLoop loop,
            DoubleSupplier clock,
            long seed,
            Options.Gossip options,
            Hooks hooks,
            ChannelFactory<? extends DatagramChannel> channels)
            throws IOException, InterruptedException, KeyException {
        KeyRing keys = new KeyRing(Path.of(options.keyFile()), Path.of(options.ringFile()));
        GossipSocket socket = new GossipSocket(loop, clock, seed, options, keys, hooks);
        socket.bind(channels);
        return socket;
    }

    private void bind(ChannelFactory<? extends DatagramChannel> channels)
            throws IOException, InterruptedException {
        InetSocketAddress listen = NumericAddress.parse(options.listen());
        if (listen == null) {
            throw new IOException(
                    "gossip.listen: " + options.listen() + " is no numeric address and port");
        }
        ChannelFuture bound =
                new Bootstrap()
                        .group(loop)
                        .channelFactory(channels)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                        // Nothing is read before there is somebody to tell: the port, which may be
                        // drawn, is part of who we are.
                        .option(ChannelOption.AUTO_READ, false)
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel socket) {
                                        hooks.initializeChannel(socket);
                                        socket.pipeline().addLast(new DatagramHandler());
                                    }
                                })
                        .bind(listen)
                        .await();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on "
                            + options.listen()
                            + " for gossip: "
                            + bound.cause().getMessage());
        }
        channel = bound.channel();
        String advertisedAddress =
                options.advertise().isEmpty()
                        ? NumericAddress.format(localAddress())
                        : options.advertise();
        gossip =
                new Gossip(
                        new Gossip.Settings(
                                advertisedAddress,
                                options.seeds(),
                                options.bytesPerS(),
                                options.verificationsPerS(),
                                options.healthMost()),
                        keys,
                        seed);
        if (!options.membersSocket().isEmpty()) {
            membersSocket =
                    MembersSocket.open(
                            Path.of(options.membersSocket()), loop, this::describeMembers);
        }
        hooks.event(
                "gossip",
                "name",
                keys.name(),
                "address",
                advertisedAddress,
                "seeds",
                options.seeds().size());
        loop.execute(
                () -> {
                    gossip.start(clock.getAsDouble(), this);
                    channel.config().setAutoRead(true);
                    tick();
                });
    }

    private void tick() {
        if (channel.isOpen()) {
            // First the next one: a fault in this must not end all later ones.
            loop.schedule(this::tick, (long) Gossip.TICK_MS, TimeUnit.MILLISECONDS);
            gossip.tick(clock.getAsDouble(), this);
        }
    }

    /** Where it listens. */
    public InetSocketAddress localAddress() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** The same as text. */
    public String addressText() {
        return NumericAddress.format(localAddress());
    }

    /** Reads the keys again; what is wrong with them changes nothing. */
    public void reload() throws KeyException {
        keys.reload();
        hooks.event("gossip_keys", "key", String.format(Locale.ROOT, "%08x", keys.keyId()));
    }

    /** Tells the others that this proxy goes. */
    public void leave() {
        gossip.leave(clock.getAsDouble(), this);
    }

    /** Ends it; packets that are on their way still go. */
    public void close() {
        channel.close();
        if (membersSocket != null) {
            membersSocket.close();
        }
    }

    // What the proxy sees.

    /** The server list or news of it, without the origin. */
    public void updateNodes(EndpointListKind kind, List<Node> entries) {
        if (kind == EndpointListKind.SNAPSHOT) {
            nodes.clear();
        }
        for (Node node : entries) {
            if (node.availability() == Availability.UP) {
                nodes.put(node.id(), node);
            } else {
                nodes.remove(node.id());
            }
        }
        gossip.updateNodes(clock.getAsDouble(), nodes.values(), this);
    }

    public void attemptStarted(String node) {
        gossip.attemptStarted(clock.getAsDouble(), node);
    }

    public void attemptEnded(String node, Outcome outcome, double elapsedMs) {
        gossip.attemptEnded(clock.getAsDouble(), node, outcome, elapsedMs);
    }

    public void probeEnded(String node, Outcome outcome) {
        gossip.probeEnded(clock.getAsDouble(), node, outcome, this);
    }

    /** Packets and bytes so far. */
    public Gossip.Counts counts() {
        return gossip.counts();
    }

    /**
     * Everyone that is known, one a line after a head: name, state, address, incarnation, how far
     * its claims are believed, seconds of this proxy's own awake time since it was last heard, and
     * who suspects it.
     */
    String describeMembers() {
        double now = clock.getAsDouble();
        StringBuilder report =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "# health %d%s stalls %d%n",
                                gossip.health(),
                                gossip.isSteppedDown() ? " stepped-down" : "",
                                gossip.stallCount()));
        for (Gossip.MemberView memberView : gossip.memberViews(now)) {
            Member member = memberView.member();
            report.append(
                    String.format(
                            Locale.ROOT,
                            "%-32s %-8s %-24s %6d  %.2f %8.1f  %s%n",
                            member.name(),
                            member.status().name().toLowerCase(Locale.ROOT),
                            member.address(),
                            member.incarnation(),
                            gossip.weight(now, member.name()),
                            memberView.lastPacketAgeMs() / 1000,
                            memberView.suspectedBy().isEmpty()
                                    ? "-"
                                    : String.join(",", memberView.suspectedBy())));
        }
        return report.toString();
    }

    // What gossip wants.

    @Override
    public void send(String to, byte[] packet) {
        InetSocketAddress address = NumericAddress.parse(to);
        if (address != null) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(packet), address));
        }
    }

    @Override
    public void nodeSuspicionChanged(String node, boolean suspected) {
        hooks.nodeSuspicionChanged(node, suspected);
    }

    @Override
    public void event(EventType type, String subject, String evidence) {
        hooks.event(
                "gossip_" + type.name().toLowerCase(Locale.ROOT),
                "subject",
                subject,
                "evidence",
                evidence);
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            gossip.received(
                    clock.getAsDouble(),
                    NumericAddress.format(packet.sender()),
                    ByteBufUtil.getBytes(packet.content()),
                    GossipSocket.this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A member that is gone shows as an error on this socket; the socket itself is fine.
        }
    }
}
