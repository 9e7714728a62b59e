package cacheproxy.raft;

import cacheproxy.membership.Identity;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.MessageDigest;
import java.security.spec.X509EncodedKeySpec;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.crypto.KeyAgreement;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Sealed messages between proxies on TCP: each proxy keeps one connection to each voter; answers
 * come back on it. Both ends begin with a key drawn for the connection, agree on a secret (X25519)
 * and prove who they are by a signature over both keys (Ed25519, the gossip's); every later frame
 * carries an HMAC over a count and itself, so that none can be played again. A signature for each
 * frame took a fifth of a core. A connection that falls silent is closed and made anew. What can't
 * be sent is dropped, as all that is sent is asked again.
 */
final class Links {

    private static final int MOST_FRAME = 1 << 18;
    private static final String AGREEMENT = "X25519";
    private static final String SEAL = "HmacSHA256";
    private static final byte[] PURPOSE = "flintmill policy 1".getBytes(StandardCharsets.US_ASCII);
    private static final int MOST_WAITING = 64;
    private static final int CONNECT_MS = 500;

    /** Questions go out several times a second, and each has an answer. */
    private static final long SILENT_MS = 1500;

    private static final long AGAIN_MS = 200;

    /** Takes a message whose sender is proven. */
    interface Inbox {
        void received(String from, JsonObject message);
    }

    private final EventLoop loop;
    private final Identity identity;
    private final Map<String, InetSocketAddress> voters;
    private final Consumer<Channel> opens;
    private final Inbox inbox;
    private final ChannelFactory<Channel> channels;
    private final Map<String, Link> outgoing = new HashMap<>();
    private final Map<String, Link> incoming = new HashMap<>();
    private Channel listener;
    private boolean closed;

    /**
     * @param opens is given each connection before anything of ours is in its pipeline
     */
    Links(
            EventLoop loop,
            Identity identity,
            Map<String, InetSocketAddress> voters,
            Consumer<Channel> opens,
            Inbox inbox) {
        this(loop, identity, voters, opens, inbox, NioSocketChannel::new);
    }

    /**
     * For tests: connects over channels that may fail to be made, as where no descriptor is left.
     */
    Links(
            EventLoop loop,
            Identity identity,
            Map<String, InetSocketAddress> voters,
            Consumer<Channel> opens,
            Inbox inbox,
            ChannelFactory<Channel> channels) {
        this.loop = loop;
        this.identity = identity;
        this.voters = voters;
        this.opens = opens;
        this.inbox = inbox;
        this.channels = channels;
    }

    private static KeyPair sessionKey() {
        try {
            return KeyPairGenerator.getInstance(AGREEMENT).generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Takes connections; only a voter has any. */
    void listen(InetSocketAddress at) throws IOException, InterruptedException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        pipe(channel, new Link(null));
                                    }
                                })
                        .bind(at)
                        .await();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + at + " for the policy: " + bound.cause().getMessage());
        }
        listener = bound.channel();
    }

    /** On the loop: connects to every voter but this proxy itself. */
    void start() {
        voters.keySet().stream().filter(v -> !v.equals(identity.name())).forEach(this::connect);
    }

    void close() {
        closed = true;
        if (listener != null) {
            listener.close();
        }
        outgoing.values().forEach(l -> l.channel.close());
        incoming.values().forEach(l -> l.channel.close());
    }

    /** On the loop: a question, to a voter. */
    void ask(String voter, JsonObject message) {
        Link link = outgoing.get(voter);
        if (link != null) {
            link.send(message);
        }
    }

    /** On the loop: an answer, on the connection that the proxy keeps to us. */
    void answer(String proxy, JsonObject message) {
        Link link = incoming.get(proxy);
        if (link != null) {
            link.send(message);
        }
    }

    private void connect(String voter) {
        if (closed) {
            return;
        }
        Link link = new Link(voter);
        outgoing.put(voter, link);
        ChannelFuture connecting =
                new Bootstrap()
                        .group(loop)
                        .channelFactory(channels)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        pipe(channel, link);
                                    }
                                })
                        .connect(voters.get(voter));
        if (connecting.isDone() && !connecting.isSuccess()) {
            // No socket could be made, as descriptors are out: there is no channel whose end would
            // be told.
            outgoing.remove(voter);
            connectLater(voter);
            return;
        }
        link.channel = connecting.channel();
        link.channel.closeFuture().addListener(f -> connectLater(voter));
    }

    private void connectLater(String voter) {
        if (!closed) {
            loop.schedule(() -> connect(voter), AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void pipe(Channel channel, Link link) {
        link.channel = channel;
        opens.accept(channel);
        channel.pipeline()
                .addLast(
                        new ReadTimeoutHandler(SILENT_MS, TimeUnit.MILLISECONDS),
                        new LengthFieldBasedFrameDecoder(MOST_FRAME, 0, 4, 0, 4),
                        new LengthFieldPrepender(4),
                        link);
    }

    /** One connection. */
    private final class Link extends SimpleChannelInboundHandler<ByteBuf> {
        /** Whom it was made to; null where it was taken. */
        private final String to;

        private final KeyPair ours = sessionKey();
        private final Deque<JsonObject> waiting = new ArrayDeque<>();
        private Channel channel;
        private byte[] theirs;
        private Mac sends;
        private Mac takes;
        private String from;
        private long sent;
        private long received;

        Link(String to) {
            this.to = to;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(ours.getPublic().getEncoded()));
        }

        void send(JsonObject message) {
            if (theirs == null) {
                if (waiting.size() < MOST_WAITING) {
                    waiting.add(message);
                }
            } else if (channel.isActive() && channel.isWritable()) {
                byte[] json = message.toString().getBytes(StandardCharsets.UTF_8);
                channel.writeAndFlush(Unpooled.wrappedBuffer(seal(sends, ++sent, json), json));
            }
        }

        private byte[] seal(Mac mac, long count, byte[] json) {
            mac.update(ByteBuffer.allocate(Long.BYTES).putLong(count).array());
            return mac.doFinal(json);
        }

        /**
         * The session's keys follow from both ends' fresh ones; what proves who the other end is,
         * is its signature over both.
         */
        private void greet(ChannelHandlerContext ctx, byte[] key) throws GeneralSecurityException {
            byte[] own = ours.getPublic().getEncoded();
            KeyAgreement agreement = KeyAgreement.getInstance(AGREEMENT);
            agreement.init(ours.getPrivate());
            agreement.doPhase(
                    KeyFactory.getInstance(AGREEMENT).generatePublic(new X509EncodedKeySpec(key)),
                    true);
            byte[] secret = agreement.generateSecret();
            sends = mac(secret, own, key);
            takes = mac(secret, key, own);
            theirs = key;
            byte[] name = identity.name().getBytes(StandardCharsets.UTF_8);
            byte[] both = both(own, key);
            ctx.writeAndFlush(
                    Unpooled.buffer()
                            .writeByte(name.length)
                            .writeBytes(name)
                            .writeInt(identity.keyId())
                            .writeBytes(identity.sign(both, both.length)));
            waiting.forEach(this::send);
            waiting.clear();
        }

        private Mac mac(byte[] secret, byte[] sender, byte[] receiver)
                throws GeneralSecurityException {
            Mac derive = Mac.getInstance(SEAL);
            derive.init(new SecretKeySpec(secret, SEAL));
            Mac mac = Mac.getInstance(SEAL);
            mac.init(new SecretKeySpec(derive.doFinal(both(sender, receiver)), SEAL));
            return mac;
        }

        private byte[] both(byte[] sender, byte[] receiver) {
            return ByteBuffer.allocate(PURPOSE.length + sender.length + receiver.length)
                    .put(PURPOSE)
                    .put(sender)
                    .put(receiver)
                    .array();
        }

        /** The other end says who it is, and proves it. */
        private boolean proves(ByteBuf frame) {
            String name =
                    frame.readCharSequence(frame.readUnsignedByte(), StandardCharsets.UTF_8)
                            .toString();
            int key = frame.readInt();
            byte[] both = both(theirs, ours.getPublic().getEncoded());
            boolean proven =
                    (to == null || name.equals(to))
                            && identity.knows(name, key)
                            && identity.verify(
                                    name, key, both, both.length, ByteBufUtil.getBytes(frame));
            from = proven ? name : null;
            if (proven && to == null) {
                incoming.put(name, this);
            }
            return proven;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame)
                throws GeneralSecurityException {
            if (theirs == null) {
                greet(ctx, ByteBufUtil.getBytes(frame));
            } else if (from == null) {
                if (!proves(frame)) {
                    ctx.close();
                }
            } else {
                byte[] seal = new byte[takes.getMacLength()];
                frame.readBytes(seal);
                byte[] json = ByteBufUtil.getBytes(frame);
                if (!MessageDigest.isEqual(seal, seal(takes, ++received, json))) {
                    ctx.close();
                    return;
                }
                inbox.received(
                        from,
                        JsonParser.parseString(new String(json, StandardCharsets.UTF_8))
                                .getAsJsonObject());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (from != null) {
                incoming.remove(from, this);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Silence, a reset, or a frame that is none: a new connection begins anew.
            ctx.close();
        }
    }
}
