package cacheproxy.proxy;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A pool with one scripted node c0, and a clock that moves only when a test advances it. */
abstract class WithNodePool {

    private static final int CONNECT_TIMEOUT_MS = 5000;

    final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final AtomicLong nanoClock = new AtomicLong();
    final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    TestServer node;
    NodePool pool;
    EventLoop loop;

    @BeforeEach
    void start() throws Exception {
        node = new TestServer();
        loop = group.next();
        pool =
                new NodePool(
                        loop,
                        ConnectionTransport.TCP,
                        CONNECT_TIMEOUT_MS,
                        60_000,
                        100,
                        new BodyMemory(),
                        1,
                        nanoClock::get);
        setAvailability(Availability.UP);
    }

    @AfterEach
    void stop() throws Exception {
        node.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
    }

    void setAvailability(Availability availability) throws Exception {
        Node listedNode = new Node("c0", "std", "a", 0, 1, 0, availability);
        loop.submit(
                        () ->
                                pool.applyEndpointList(
                                                new EndpointListUpdate(
                                                        1,
                                                        true,
                                                        List.of(
                                                                new EndpointListUpdate.Endpoint(
                                                                        listedNode,
                                                                        node.address()))))
                                        .run())
                .get();
    }

    void send() {
        loop.execute(
                () ->
                        pool.send(
                                "c0",
                                () ->
                                        new DefaultFullHttpRequest(
                                                HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/k1"),
                                60_000,
                                (attempt, outcome, response) -> outcomes.add(outcome)));
    }

    /**
     * Waits until each idle connection may be reused. The pause before that ends by the pool's
     * clock and a timer of the event loop.
     */
    void awaitReusable() throws Exception {
        nanoClock.addAndGet(TimeUnit.MILLISECONDS.toNanos(5));
        while (!loop.submit(pool::hasNoPausingConnection).get()) {
            loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).get();
        }
    }
}
