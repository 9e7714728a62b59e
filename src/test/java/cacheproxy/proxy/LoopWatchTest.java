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

/** A turn of the loop that keeps everything else waiting is told of, and which half of it did. */
class LoopWatchTest {

    private long nowNanos;
    private long moreNanos;

    /** Reads for as long as it is told to, after a wait that is nobody's work. */
    private final class Reading implements IoHandler {
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

    private final Reading reading = new Reading();
    private final List<String> told = new ArrayList<>();
    private final LoopWatch watch =
            new LoopWatch(
                    reading,
                    () -> nowNanos,
                    new LoopWatch.Slow() {
                        @Override
                        public void turn(long inputMs, int ready, long tasksMs) {
                            told.add(inputMs + " " + ready + " " + tasksMs);
                        }

                        @Override
                        public void woke(long lateMs) {
                            told.add("woke " + lateMs);
                        }
                    });

    /** Its first timer is due when the handler's wait is over. */
    private final IoHandlerContext context =
            new IoHandlerContext() {
                @Override
                public boolean canBlock() {
                    return true;
                }

                @Override
                public long delayNanos(long now) {
                    return ms(reading.waitMs) + moreNanos;
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
    void bothHalvesOfATurnCountAndTheWaitDoesNot() {
        reading.waitMs = 5000;
        reading.workMs = 60;
        watch.run(context);
        nowNanos += ms(LoopWatch.SLOW_MS - 60 - 1);
        watch.run(context);
        assertEquals(List.of(), told, "a millisecond less than slow");

        nowNanos += ms(LoopWatch.SLOW_MS - 60);
        reading.workMs = LoopWatch.SLOW_MS + 7;
        watch.run(context);
        assertEquals(List.of("60 3 40"), told);

        watch.run(context);
        assertEquals(List.of("60 3 40", "107 3 0"), told);
    }

    @Test
    void aWaitThatEndsAfterItsTimerWasDueIsNoWork() {
        reading.waitMs = 1000;
        reading.oversleptMs = LoopWatch.SLOW_MS - 1;
        watch.run(context);
        reading.oversleptMs = 650;
        watch.run(context);
        reading.oversleptMs = 0;
        watch.run(context);
        assertEquals(List.of("woke 650"), told);
    }

    /**
     * The handler rounds to the nearest millisecond, and with none left asks the system without a
     * wait, again and again.
     */
    @Test
    void whatIsLeftOfAMillisecondIsSleptThrough() {
        for (long[] asked :
                new long[][] {
                    {0, 1, 1}, {0, 400_000, 1}, {4, 1, 5}, {4, 0, 4}, {0, 0, 0}, {0, -1, 0}
                }) {
            reading.waitMs = asked[0];
            moreNanos = asked[1];
            watch.run(context);
            assertEquals(
                    ms(asked[2]),
                    Math.max(0, reading.delayNanos),
                    asked[0] + " ms and " + asked[1] + " ns");
        }
        reading.waitMs = 0;
        moreNanos = Long.MAX_VALUE;
        watch.run(context);
        assertEquals(Long.MAX_VALUE, reading.delayNanos, "no timer at all");
    }

    @Test
    @Timeout(60)
    void aTaskThatHoldsARealLoopIsToldOf() throws Exception {
        CountDownLatch slow = new CountDownLatch(1);
        long[] tasks = new long[1];
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        1,
                        LoopWatch.factory(
                                NioIoHandler.newFactory(),
                                new LoopWatch.Slow() {
                                    @Override
                                    public void turn(long inputMs, int ready, long tasksMs) {
                                        tasks[0] = Math.max(tasks[0], tasksMs);
                                        slow.countDown();
                                    }

                                    @Override
                                    public void woke(long lateMs) {
                                        // A busy machine wakes it when it can.
                                    }
                                }));
        try {
            EventLoop loop = group.next();
            loop.submit(
                            () -> {
                                long until = System.nanoTime() + ms(2 * LoopWatch.SLOW_MS);
                                while (System.nanoTime() - until < 0) {
                                    Thread.onSpinWait();
                                }
                            })
                    .sync();
            // Its turn is judged when the next begins.
            loop.submit(() -> {}).sync();
            assertTrue(slow.await(30, TimeUnit.SECONDS));
            assertTrue(tasks[0] >= 2 * LoopWatch.SLOW_MS, tasks[0] + " ms");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }
}
