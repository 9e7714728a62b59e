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
 * UDP transport of one proxy's gossip, running on the proxy's own event loop. It passes received
 * packets and the current time to {@link Gossip} and sends the packets that this produces. Names
 * are never resolved: a member is reachable only at a numeric address.
 */
public final class GossipSocket implements Gossip.Actions {

    /**
     * Size of the receive buffer, one byte above the maximum packet size: a longer datagram is
     * truncated to this size and rejected as too long.
     */
    private static final int RECEIVE_BUFFER_BYTES = Gossip.MAX_PACKET_BYTES + 1;

    /** Callbacks from gossip to the proxy. */
    public interface Hooks {
        /** Called when a quorum of the fleet starts or stops suspecting a node. */
        void nodeSuspicionChanged(String node, boolean suspected);

        /** Writes an event to the log. */
        void event(String name, Object... fields);

        /**
         * Called while the socket is set up. Handlers added to its pipeline here see each packet as
         * it is on the network.
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
     * Binds the socket and starts gossip.
     *
     * @param clock a monotonic clock in milliseconds
     * @throws KeyException if the key file or key ring cannot be used
     * @throws IOException if the address is invalid or cannot be bound
     */
    public static GossipSocket open(
            EventLoop loop, DoubleSupplier clock, long seed, Options.Gossip options, Hooks hooks)
            throws IOException, InterruptedException, KeyException {
        return open(loop, clock, seed, options, hooks, NioDatagramChannel::new);
    }

    /** As above with another channel factory; tests inject system call failures through it. */
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
                    "gossip.listen: " + options.listen() + " is not a numeric address with port");
        }
        ChannelFuture bound =
                new Bootstrap()
                        .group(loop)
                        .channelFactory(channels)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                        // Reading starts after the Gossip object exists. That needs the bound port,
                        // which the system may assign, as part of this proxy's address.
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
                "gossip_started",
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
            // Schedules the next tick first, so that an exception in this one does not stop them.
            loop.schedule(this::tick, (long) Gossip.TICK_MS, TimeUnit.MILLISECONDS);
            gossip.tick(clock.getAsDouble(), this);
        }
    }

    /** Returns the address to which the socket is bound. */
    public InetSocketAddress localAddress() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Returns the bound address as {@code host:port}. */
    public String addressText() {
        return NumericAddress.format(localAddress());
    }

    /** Reads the key files again; if they are invalid, the current keys stay in use. */
    public void reload() throws KeyException {
        keys.reload();
        hooks.event("gossip_keys", "key", String.format(Locale.ROOT, "%08x", keys.keyId()));
    }

    /** Notifies other members that this proxy leaves the fleet. */
    public void leave() {
        gossip.leave(clock.getAsDouble(), this);
    }

    /** Closes the socket; packets already written are still sent. */
    public void close() {
        channel.close();
        if (membersSocket != null) {
            membersSocket.close();
        }
    }

    // Events from the proxy.

    /**
     * Applies a full endpoint list or a delta, without the origin. Only nodes that are up are
     * passed on.
     */
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

    /** Returns the packet and byte totals since the start. */
    public Gossip.Counts counts() {
        return gossip.counts();
    }

    /**
     * Returns a header line with the local health and then one line per known member: name, status,
     * address, incarnation, weight of its claims, seconds of this proxy's awake time since its last
     * packet, and the members that suspect it.
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

    // Actions requested by gossip.

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
            // A datagram to a stopped member can cause an ICMP error here; the socket stays usable.
        }
    }
}
