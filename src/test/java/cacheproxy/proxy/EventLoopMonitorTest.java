package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Slow iterations of the event loop and late wake-ups are reported, with their parts. */
class EventLoopMonitorTest {

    private long nowNanos;
    private long extraDelayNanos;

    /** An I/O handler that works, waits and oversleeps for set times on the test's clock. */
    private final class SimulatedHandler implements IoHandler {
        private long waitMs;
        private long workMs;
        private long oversleptMs;
        private long delayNanos;

        @Override
        public int run(IoHandlerContext context) {
            delayNanos = context.delayNanos(nowNanos);
            nowNanos += ms(waitMs + oversleptMs + workMs);
            if (context.shouldReportActiveIoTime()) {
                context.reportActiveIoTime(ms(workMs));
            }
            return 3;
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void wakeup() {}

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return true;
        }
    }

    private final SimulatedHandler handler = new SimulatedHandler();
    private final List<String> reports = new ArrayList<>();
    private final EventLoopMonitor monitor =
            new EventLoopMonitor(
                    handler,
                    () -> nowNanos,
                    new EventLoopMonitor.SlowTurnListener() {
                        @Override
                        public void slowTurn(long inputMs, int ready, long tasksMs) {
                            reports.add(inputMs + " " + ready + " " + tasksMs);
                        }

                        @Override
                        public void lateTimer(long lateMs) {
                            reports.add("woke " + lateMs);
                        }
                    });

    /** The first timer is due when the handler's wait ends. */
    private final IoHandlerContext context =
            new IoHandlerContext() {
                @Override
                public boolean canBlock() {
                    return true;
                }

                @Override
                public long delayNanos(long now) {
                    return ms(handler.waitMs) + extraDelayNanos;
                }

                @Override
                public long deadlineNanos() {
                    return 0;
                }
            };

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void countsInputAndTasksButNotTheWait() {
        handler.waitMs = 5000;
        handler.workMs = 60;
        monitor.run(context);
        nowNanos += ms(EventLoopMonitor.SLOW_TURN_MS - 60 - 1);
        monitor.run(context);
        assertEquals(List.of(), reports, "one millisecond below the limit");

        nowNanos += ms(EventLoopMonitor.SLOW_TURN_MS - 60);
        handler.workMs = EventLoopMonitor.SLOW_TURN_MS + 7;
        monitor.run(context);
        assertEquals(List.of("60 3 40"), reports);

        monitor.run(context);
        assertEquals(List.of("60 3 40", "107 3 0"), reports);
    }

    @Test
    void reportsLateTimerNotAsSlowTurn() {
        handler.waitMs = 1000;
        handler.oversleptMs = EventLoopMonitor.SLOW_TURN_MS - 1;
        monitor.run(context);
        handler.oversleptMs = 650;
        monitor.run(context);
        handler.oversleptMs = 0;
        monitor.run(context);
        assertEquals(List.of("woke 650"), reports);
    }

    /**
     * The handler rounds to the nearest millisecond. With a timeout rounded to zero it would poll
     * the selector repeatedly without waiting.
     */
    @Test
    void roundsTimeoutUpToWholeMilliseconds() {
        for (long[] testCase :
                new long[][] {
                    {0, 1, 1}, {0, 400_000, 1}, {4, 1, 5}, {4, 0, 4}, {0, 0, 0}, {0, -1, 0}
                }) {
            handler.waitMs = testCase[0];
            extraDelayNanos = testCase[1];
            monitor.run(context);
            assertEquals(
                    ms(testCase[2]),
                    Math.max(0, handler.delayNanos),
                    testCase[0] + " ms and " + testCase[1] + " ns");
        }
        handler.waitMs = 0;
        extraDelayNanos = Long.MAX_VALUE;
        monitor.run(context);
        assertEquals(Long.MAX_VALUE, handler.delayNanos, "no timer is scheduled");
    }

    @Test
    @Timeout(60)
    void reportsTaskThatBlocksRealLoop() throws Exception {
        CountDownLatch slow = new CountDownLatch(1);
        long[] tasks = new long[1];
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        1,
                        EventLoopMonitor.factory(
                                NioIoHandler.newFactory(),
                                new EventLoopMonitor.SlowTurnListener() {
                                    @Override
                                    public void slowTurn(long inputMs, int ready, long tasksMs) {
                                        tasks[0] = Math.max(tasks[0], tasksMs);
                                        slow.countDown();
                                    }

                                    @Override
                                    public void lateTimer(long lateMs) {
                                        // Possible on a busy machine; not checked here.
                                    }
                                }));
        try {
            EventLoop loop = group.next();
            loop.submit(
                            () -> {
                                long until =
                                        System.nanoTime() + ms(2 * EventLoopMonitor.SLOW_TURN_MS);
                                while (System.nanoTime() - until < 0) {
                                    Thread.onSpinWait();
                                }
                            })
                    .sync();
            // An iteration is reported when the next one begins.
            loop.submit(() -> {}).sync();
            assertTrue(slow.await(30, TimeUnit.SECONDS));
            assertTrue(tasks[0] >= 2 * EventLoopMonitor.SLOW_TURN_MS, tasks[0] + " ms");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }
}
