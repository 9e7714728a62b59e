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
 * Authenticated messages between proxies and voters, or between control machines, over TCP. Each
 * process keeps one connection to each voter; answers are sent back on the connection that the
 * question came from.
 *
 * <p>Each end sends a public key generated for the connection. Both derive a shared secret (X25519)
 * and prove their identity by signing both keys with their gossip key (Ed25519). Every later frame
 * carries an HMAC over a frame counter and its content, so a frame cannot be replayed. Frames are
 * not signed one by one, because that took a fifth of a core. The content is not encrypted.
 *
 * <p>A connection on which nothing is received is closed and reconnected. Messages that cannot be
 * sent are dropped: senders repeat whatever is not answered.
 */
final class PeerConnections {

    private static final int MAX_FRAME_BYTES = 1 << 18;
    private static final String KEY_AGREEMENT = "X25519";
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final byte[] PROTOCOL_LABEL =
            "flintmill policy 1".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_QUEUED_MESSAGES = 64;
    private static final int CONNECT_TIMEOUT_MS = 500;

    /**
     * A connection is closed when nothing was received for this long. In normal operation several
     * questions a second are sent, and each is answered.
     */
    private static final long READ_TIMEOUT_MS = 1500;

    private static final long RECONNECT_DELAY_MS = 200;

    /** Receives messages of authenticated senders. */
    interface MessageListener {
        void received(String from, JsonObject message);
    }

    private final EventLoop loop;
    private final Identity identity;
    private final Map<String, InetSocketAddress> voters;
    private final Consumer<Channel> channelInitializer;
    private final MessageListener messageListener;
    private final ChannelFactory<Channel> channelFactory;
    private final Map<String, Link> outgoing = new HashMap<>();
    private final Map<String, Link> incoming = new HashMap<>();
    private Channel serverChannel;
    private boolean closed;

    /**
     * @param channelInitializer called with each new connection before the handlers of this class
     *     are added to its pipeline
     */
    PeerConnections(
            EventLoop loop,
            Identity identity,
            Map<String, InetSocketAddress> voters,
            Consumer<Channel> channelInitializer,
            MessageListener messageListener) {
        this(loop, identity, voters, channelInitializer, messageListener, NioSocketChannel::new);
    }

    /**
     * For tests: connects over channels of this factory, which may fail to create one, as when the
     * process is out of file descriptors.
     */
    PeerConnections(
            EventLoop loop,
            Identity identity,
            Map<String, InetSocketAddress> voters,
            Consumer<Channel> channelInitializer,
            MessageListener messageListener,
            ChannelFactory<Channel> channelFactory) {
        this.loop = loop;
        this.identity = identity;
        this.voters = voters;
        this.channelInitializer = channelInitializer;
        this.messageListener = messageListener;
        this.channelFactory = channelFactory;
    }

    private static KeyPair sessionKey() {
        try {
            return KeyPairGenerator.getInstance(KEY_AGREEMENT).generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Accepts connections at an address; called only on voters. */
    void listen(InetSocketAddress address) throws IOException, InterruptedException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        initPipeline(channel, new Link(null));
                                    }
                                })
                        .bind(address)
                        .await();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen for peers on " + address + ": " + bound.cause().getMessage());
        }
        serverChannel = bound.channel();
    }

    /** Connects to every voter except this process itself. Called on the event loop. */
    void start() {
        voters.keySet().stream().filter(v -> !v.equals(identity.name())).forEach(this::connect);
    }

    void close() {
        closed = true;
        if (serverChannel != null) {
            serverChannel.close();
        }
        outgoing.values().forEach(l -> l.channel.close());
        incoming.values().forEach(l -> l.channel.close());
    }

    /**
     * Sends a message to a voter on this process's own connection to it. Called on the event loop.
     */
    void sendToVoter(String voter, JsonObject message) {
        Link link = outgoing.get(voter);
        if (link != null) {
            link.send(message);
        }
    }

    /** Sends an answer on the connection that a proxy opened to us. Called on the event loop. */
    void sendToProxy(String proxy, JsonObject message) {
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
                        .channelFactory(channelFactory)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        initPipeline(channel, link);
                                    }
                                })
                        .connect(voters.get(voter));
        if (connecting.isDone() && !connecting.isSuccess()) {
            // No socket could be created, for example without free file descriptors. There is no
            // channel whose close future would trigger the reconnect below.
            outgoing.remove(voter);
            scheduleReconnect(voter);
            return;
        }
        link.channel = connecting.channel();
        link.channel.closeFuture().addListener(f -> scheduleReconnect(voter));
    }

    private void scheduleReconnect(String voter) {
        if (!closed) {
            loop.schedule(() -> connect(voter), RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void initPipeline(Channel channel, Link link) {
        link.channel = channel;
        channelInitializer.accept(channel);
        channel.pipeline()
                .addLast(
                        new ReadTimeoutHandler(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS),
                        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, 4, 0, 4),
                        new LengthFieldPrepender(4),
                        link);
    }

    /** One connection, outgoing or accepted. */
    private final class Link extends SimpleChannelInboundHandler<ByteBuf> {
        /** The voter that this connection was opened to; null for an accepted connection. */
        private final String expectedPeer;

        private final KeyPair localKeys = sessionKey();
        private final Deque<JsonObject> queuedMessages = new ArrayDeque<>();
        private Channel channel;
        private byte[] remoteKey;
        private Mac sendMac;
        private Mac receiveMac;
        private String peerName;
        private long framesSent;
        private long framesReceived;

        Link(String expectedPeer) {
            this.expectedPeer = expectedPeer;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(localKeys.getPublic().getEncoded()));
        }

        void send(JsonObject message) {
            if (remoteKey == null) {
                if (queuedMessages.size() < MAX_QUEUED_MESSAGES) {
                    queuedMessages.add(message);
                }
            } else if (channel.isActive() && channel.isWritable()) {
                byte[] json = message.toString().getBytes(StandardCharsets.UTF_8);
                channel.writeAndFlush(
                        Unpooled.wrappedBuffer(computeMac(sendMac, ++framesSent, json), json));
            }
        }

        private byte[] computeMac(Mac mac, long count, byte[] json) {
            mac.update(ByteBuffer.allocate(Long.BYTES).putLong(count).array());
            return mac.doFinal(json);
        }

        /**
         * Derives the session's MAC keys from the remote end's public key and ours, and sends our
         * identity: the signature over both public keys.
         */
        private void establishSession(ChannelHandlerContext ctx, byte[] remotePublicKey)
                throws GeneralSecurityException {
            byte[] localPublicKey = localKeys.getPublic().getEncoded();
            KeyAgreement agreement = KeyAgreement.getInstance(KEY_AGREEMENT);
            agreement.init(localKeys.getPrivate());
            agreement.doPhase(
                    KeyFactory.getInstance(KEY_AGREEMENT)
                            .generatePublic(new X509EncodedKeySpec(remotePublicKey)),
                    true);
            byte[] secret = agreement.generateSecret();
            sendMac = deriveMac(secret, localPublicKey, remotePublicKey);
            receiveMac = deriveMac(secret, remotePublicKey, localPublicKey);
            remoteKey = remotePublicKey;
            byte[] name = identity.name().getBytes(StandardCharsets.UTF_8);
            byte[] transcript = transcript(localPublicKey, remotePublicKey);
            ctx.writeAndFlush(
                    Unpooled.buffer()
                            .writeByte(name.length)
                            .writeBytes(name)
                            .writeInt(identity.keyId())
                            .writeBytes(identity.sign(transcript, transcript.length)));
            queuedMessages.forEach(this::send);
            queuedMessages.clear();
        }

        private Mac deriveMac(byte[] secret, byte[] sender, byte[] receiver)
                throws GeneralSecurityException {
            Mac keyDerivation = Mac.getInstance(MAC_ALGORITHM);
            keyDerivation.init(new SecretKeySpec(secret, MAC_ALGORITHM));
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(
                    new SecretKeySpec(
                            keyDerivation.doFinal(transcript(sender, receiver)), MAC_ALGORITHM));
            return mac;
        }

        private byte[] transcript(byte[] sender, byte[] receiver) {
            return ByteBuffer.allocate(PROTOCOL_LABEL.length + sender.length + receiver.length)
                    .put(PROTOCOL_LABEL)
                    .put(sender)
                    .put(receiver)
                    .array();
        }

        /** Reads the identity frame of the remote end and verifies its signature. */
        private boolean verifyIdentity(ByteBuf frame) {
            String name =
                    frame.readCharSequence(frame.readUnsignedByte(), StandardCharsets.UTF_8)
                            .toString();
            int keyId = frame.readInt();
            byte[] transcript = transcript(remoteKey, localKeys.getPublic().getEncoded());
            boolean verified =
                    (expectedPeer == null || name.equals(expectedPeer))
                            && identity.hasKey(name, keyId)
                            && identity.verify(
                                    name,
                                    keyId,
                                    transcript,
                                    transcript.length,
                                    ByteBufUtil.getBytes(frame));
            peerName = verified ? name : null;
            if (verified && expectedPeer == null) {
                incoming.put(name, this);
            }
            return verified;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame)
                throws GeneralSecurityException {
            if (remoteKey == null) {
                establishSession(ctx, ByteBufUtil.getBytes(frame));
            } else if (peerName == null) {
                if (!verifyIdentity(frame)) {
                    ctx.close();
                }
            } else {
                byte[] frameMac = new byte[receiveMac.getMacLength()];
                frame.readBytes(frameMac);
                byte[] json = ByteBufUtil.getBytes(frame);
                if (!MessageDigest.isEqual(
                        frameMac, computeMac(receiveMac, ++framesReceived, json))) {
                    ctx.close();
                    return;
                }
                messageListener.received(
                        peerName,
                        JsonParser.parseString(new String(json, StandardCharsets.UTF_8))
                                .getAsJsonObject());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (peerName != null) {
                incoming.remove(peerName, this);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A read timeout, a reset or a malformed frame: the peer has to connect again.
            ctx.close();
        }
    }
}
