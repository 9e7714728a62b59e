package cacheproxy.lab.sockets;

import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.world.Installation;
import cacheproxy.lab.world.World;
import cacheproxy.lab.world.World.Entry;
import cacheproxy.lab.world.World.Health;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The discovery agent of one proxy. It serves the endpoint list and a watch with those changes that
 * the simulated discovery has delivered to this proxy. Runs on the event loop of the simulated
 * installation.
 */
final class DiscoveryServer {

    private static final long HEARTBEAT_INTERVAL_S = 2;
    private static final long OLD_CONNECTIONS_CLOSE_DELAY_MS = 1500;

    private final EventLoop loop;
    private final RunClock clock;
    private final Installation installation;
    private final int proxy;
    private final UpstreamServers upstreamServers;
    private final Ledger ledger;

    /** The endpoint list as this agent has it, by machine. */
    private final Map<String, Entry> endpoints = new LinkedHashMap<>();

    /** The entries last sent to the proxy, by machine. */
    private final Map<String, Entry> lastSent = new LinkedHashMap<>();

    private final Set<SocketChannel> watchers = new HashSet<>();
    private FaultyListener listener;
    private long version;
    private long sentBytes;

    /** The serialized snapshot; null if the list has changed since it was serialized. */
    private String snapshotText;

    private boolean silent;

    DiscoveryServer(
            EventLoop loop,
            RunClock clock,
            Installation installation,
            int proxy,
            UpstreamServers upstreamServers,
            Ledger ledger,
            World world) {
        this.loop = loop;
        this.clock = clock;
        this.installation = installation;
        this.proxy = proxy;
        this.upstreamServers = upstreamServers;
        this.ledger = ledger;
        this.version = world.version();
        world.currentEndpoints().forEach(e -> endpoints.put(e.id(), e));
    }

    void open() throws InterruptedException {
        listener = new FaultyListener(loop, this::initializeConnection);
        listener.open();
        loop.scheduleAtFixedRate(
                this::sendHeartbeat, HEARTBEAT_INTERVAL_S, HEARTBEAT_INTERVAL_S, TimeUnit.SECONDS);
    }

    String address() {
        return listener.address();
    }

    /**
     * Moves the agent to another address and returns that. The old address accepts no new
     * connections, and closes the open ones after a delay.
     */
    String changeAddress() throws InterruptedException {
        FaultyListener oldListener = listener;
        FaultyListener newListener = new FaultyListener(loop, this::initializeConnection);
        newListener.open();
        loop.execute(
                () -> {
                    listener = newListener;
                    oldListener.closeListener();
                    loop.schedule(
                            () -> oldListener.connections().forEach(SocketChannel::close),
                            OLD_CONNECTIONS_CLOSE_DELAY_MS,
                            TimeUnit.MILLISECONDS);
                });
        return newListener.address();
    }

    /** Returns the bytes of snapshots and watch events written so far, without heartbeats. */
    long sentBytes() {
        return sentBytes;
    }

    /** Sets whether the agent ignores requests and sends no heartbeats. */
    void setSilent(boolean enabled) {
        silent = enabled;
    }

    /** Returns the current snapshot in the format of discovery. */
    JsonObject snapshot() {
        return message(true, new ArrayList<>(endpoints.values()));
    }

    /** Applies changed entries to the list and sends them to the open watches. */
    void publish(long newVersion, List<Entry> entries) {
        version = newVersion;
        snapshotText = null;
        entries.forEach(
                entry -> {
                    if (entry.health() == Health.REMOVED) {
                        endpoints.remove(entry.id());
                    } else {
                        endpoints.put(entry.id(), entry);
                    }
                });
        if (!watchers.isEmpty()) {
            String line = message(false, entries) + "\n";
            watchers.forEach(w -> send(w, line));
            recordSent(entries);
        }
    }

    private void recordSent(List<Entry> entries) {
        for (Entry entry : entries) {
            Entry previous = lastSent.put(entry.id(), entry);
            if (previous == null
                    || previous.health() != entry.health()
                    || previous.startedAt() != entry.startedAt()) {
                ledger.notified(
                        new Ledger.ListNotification(
                                proxy, entry.id(), entry.health(), entry.startedAt(), clock.now()));
            }
        }
    }

    private JsonObject message(boolean snapshot, List<Entry> entries) {
        JsonArray hosts = new JsonArray();
        for (Entry entry : entries) {
            JsonObject host = new JsonObject();
            host.addProperty("host", entry.id());
            host.addProperty("dial", upstreamServers.address(entry.id(), proxy));
            host.addProperty("site", installation.zones().get(entry.zone()));
            host.addProperty("class", entry.kind());
            host.addProperty("block", 0);
            host.addProperty("health", entry.health().name().toLowerCase(java.util.Locale.ROOT));
            host.addProperty("share", entry.weight());
            host.addProperty("born_ms", clock.unixMs(entry.startedAt()));
            hosts.add(host);
        }
        JsonObject message = new JsonObject();
        message.addProperty("seq", version);
        message.addProperty("whole", snapshot);
        message.add("hosts", hosts);
        return message;
    }

    private void send(SocketChannel watcher, String line) {
        DefaultHttpContent chunk = chunk(line);
        sentBytes += chunk.content().readableBytes();
        watcher.writeAndFlush(chunk);
    }

    private static DefaultHttpContent chunk(String line) {
        return new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8));
    }

    private void sendHeartbeat() {
        if (!silent) {
            watchers.forEach(w -> w.writeAndFlush(chunk("\n")));
        }
    }

    private void initializeConnection(SocketChannel channel) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(1 << 16),
                        new DiscoveryRequestHandler(channel));
    }

    /** Answers requests for a snapshot or a watch on one connection. */
    private final class DiscoveryRequestHandler
            extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;

        DiscoveryRequestHandler(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            if (silent) {
                return;
            }
            if (!uri.path().equals("/discovery/hosts")) {
                FullHttpResponse notFound =
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND);
                notFound.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
                ctx.writeAndFlush(notFound);
                return;
            }
            snapshotText = snapshotText == null ? snapshot().toString() : snapshotText;
            String json = snapshotText;
            recordSent(new ArrayList<>(endpoints.values()));
            // The snapshot replaces the proxy's list: entries that it lacks are removed there.
            lastSent.keySet().removeIf(id -> !endpoints.containsKey(id));
            if (!uri.parameters().containsKey("watch")) {
                FullHttpResponse response =
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.OK,
                                Unpooled.copiedBuffer(json, StandardCharsets.UTF_8));
                sentBytes += response.content().readableBytes();
                response.headers()
                        .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
                ctx.writeAndFlush(response);
                return;
            }
            DefaultHttpResponse responseHead =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            responseHead.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            ctx.write(responseHead);
            send(channel, json + "\n");
            watchers.add(channel);
            channel.closeFuture().addListener(f -> watchers.remove(channel));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
