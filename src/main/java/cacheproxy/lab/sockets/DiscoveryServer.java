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
 * One proxy's discovery agent: the whole list, and a watch that tells what the world has let it
 * hear. Runs on the world's loop.
 */
final class DiscoveryServer {

    private static final long HEARTBEAT_S = 2;
    private static final long OLD_CLOSES_MS = 1500;

    private final EventLoop loop;
    private final RunClock clock;
    private final Installation plan;
    private final int proxy;
    private final Machines machines;
    private final Ledger ledger;
    private final Map<String, Entry> known = new LinkedHashMap<>();

    /** Entries as the proxy was told them last. */
    private final Map<String, Entry> told = new LinkedHashMap<>();

    private final Set<SocketChannel> watches = new HashSet<>();
    private Doors doors;
    private long version;
    private long sentBytes;

    /** The whole list as it was written last; null once it has changed. */
    private String wholeText;

    private boolean silent;

    DiscoveryServer(
            EventLoop loop,
            RunClock clock,
            Installation plan,
            int proxy,
            Machines machines,
            Ledger ledger,
            World world) {
        this.loop = loop;
        this.clock = clock;
        this.plan = plan;
        this.proxy = proxy;
        this.machines = machines;
        this.ledger = ledger;
        this.version = world.version();
        world.truth().forEach(e -> known.put(e.id(), e));
    }

    void open() throws InterruptedException {
        doors = new Doors(loop, this::accepted);
        doors.open();
        loop.scheduleAtFixedRate(this::beat, HEARTBEAT_S, HEARTBEAT_S, TimeUnit.SECONDS);
    }

    String dial() {
        return doors.dial();
    }

    /**
     * Goes to another address; the old one takes nothing new, and closes what is open a while
     * later. Returns the new one.
     */
    String move() throws InterruptedException {
        Doors old = doors;
        Doors next = new Doors(loop, this::accepted);
        next.open();
        loop.execute(
                () -> {
                    doors = next;
                    old.closeListener();
                    loop.schedule(
                            () -> old.links().forEach(SocketChannel::close),
                            OLD_CLOSES_MS,
                            TimeUnit.MILLISECONDS);
                });
        return next.dial();
    }

    /** Bytes of lists and changes written to this proxy so far, heartbeats left out. */
    long sentBytes() {
        return sentBytes;
    }

    void silent(boolean on) {
        silent = on;
    }

    /** The list as a proxy is given it at its start: what it had last, or the first one. */
    JsonObject whole() {
        return message(true, new ArrayList<>(known.values()));
    }

    /** News that reaches this agent now. */
    void news(long next, List<Entry> entries) {
        version = next;
        wholeText = null;
        entries.forEach(
                e -> {
                    if (e.health() == Health.REMOVED) {
                        known.remove(e.id());
                    } else {
                        known.put(e.id(), e);
                    }
                });
        if (!watches.isEmpty()) {
            String line = message(false, entries) + "\n";
            watches.forEach(w -> send(w, line));
            noteTold(entries);
        }
    }

    private void noteTold(List<Entry> entries) {
        for (Entry e : entries) {
            Entry before = told.put(e.id(), e);
            if (before == null
                    || before.health() != e.health()
                    || before.startedAt() != e.startedAt()) {
                ledger.told(new Ledger.Told(proxy, e.id(), e.health(), e.startedAt(), clock.now()));
            }
        }
    }

    private JsonObject message(boolean whole, List<Entry> entries) {
        JsonArray hosts = new JsonArray();
        for (Entry e : entries) {
            JsonObject host = new JsonObject();
            host.addProperty("host", e.id());
            host.addProperty("dial", machines.dial(e.id(), proxy));
            host.addProperty("site", plan.zones().get(e.zone()));
            host.addProperty("class", e.kind());
            host.addProperty("block", 0);
            host.addProperty("health", e.health().name().toLowerCase(java.util.Locale.ROOT));
            host.addProperty("share", e.weight());
            host.addProperty("born_ms", clock.unixMs(e.startedAt()));
            hosts.add(host);
        }
        JsonObject message = new JsonObject();
        message.addProperty("seq", version);
        message.addProperty("whole", whole);
        message.add("hosts", hosts);
        return message;
    }

    private void send(SocketChannel watch, String line) {
        DefaultHttpContent chunk = chunk(line);
        sentBytes += chunk.content().readableBytes();
        watch.writeAndFlush(chunk);
    }

    private static DefaultHttpContent chunk(String line) {
        return new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8));
    }

    private void beat() {
        if (!silent) {
            watches.forEach(w -> w.writeAndFlush(chunk("\n")));
        }
    }

    private void accepted(SocketChannel channel) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(1 << 16),
                        new Agent(channel));
    }

    private final class Agent extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;

        Agent(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            if (silent) {
                return;
            }
            if (!uri.path().equals("/discovery/hosts")) {
                FullHttpResponse none =
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND);
                none.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
                ctx.writeAndFlush(none);
                return;
            }
            wholeText = wholeText == null ? whole().toString() : wholeText;
            String list = wholeText;
            noteTold(new ArrayList<>(known.values()));
            // What was told before and is no more on the whole list is gone with it.
            told.keySet().removeIf(id -> !known.containsKey(id));
            if (!uri.parameters().containsKey("watch")) {
                FullHttpResponse all =
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.OK,
                                Unpooled.copiedBuffer(list, StandardCharsets.UTF_8));
                sentBytes += all.content().readableBytes();
                all.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, all.content().readableBytes());
                ctx.writeAndFlush(all);
                return;
            }
            DefaultHttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            ctx.write(head);
            send(channel, list + "\n");
            watches.add(channel);
            channel.closeFuture().addListener(f -> watches.remove(channel));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
