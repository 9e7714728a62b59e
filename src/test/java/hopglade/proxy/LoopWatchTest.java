package hopglade.proxy;

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

    /** Reads for as long as it is told to, after a wait that is nobody's work. */
    private final class Reading implements IoHandler {
        private long waitMs;
        private long workMs;

        @Override
        public int run(IoHandlerContext context) {
            nowNanos += ms(waitMs + workMs);
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
        public void wakeup() { }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return true;
        }
    }

    private static final IoHandlerContext CONTEXT = new IoHandlerContext() {
        @Override
        public boolean canBlock() {
            return true;
        }

        @Override
        public long delayNanos(long nowNanos) {
            return 0;
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
        List<String> told = new ArrayList<>();
        Reading reading = new Reading();
        LoopWatch watch = new LoopWatch(reading, () -> nowNanos,
                (inputMs, ready, tasksMs) -> told.add(inputMs + " " + ready + " " + tasksMs));

        reading.waitMs = 5000;
        reading.workMs = 60;
        watch.run(CONTEXT);
        nowNanos += ms(LoopWatch.SLOW_MS - 60 - 1);
        watch.run(CONTEXT);
        assertEquals(List.of(), told, "a millisecond less than slow");

        nowNanos += ms(LoopWatch.SLOW_MS - 60);
        reading.workMs = LoopWatch.SLOW_MS + 7;
        watch.run(CONTEXT);
        assertEquals(List.of("60 3 40"), told);

        watch.run(CONTEXT);
        assertEquals(List.of("60 3 40", "107 3 0"), told);
    }

    @Test
    @Timeout(60)
    void aTaskThatHoldsARealLoopIsToldOf() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        long[] tasks = new long[1];
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
                LoopWatch.factory(NioIoHandler.newFactory(), (inputMs, ready, tasksMs) -> {
                    tasks[0] = Math.max(tasks[0], tasksMs);
                    told.countDown();
                }));
        try {
            EventLoop loop = group.next();
            loop.submit(() -> {
                long until = System.nanoTime() + ms(2 * LoopWatch.SLOW_MS);
                while (System.nanoTime() - until < 0) {
                    Thread.onSpinWait();
                }
            }).sync();
            // Its turn is judged when the next begins.
            loop.submit(() -> { }).sync();
            assertTrue(told.await(30, TimeUnit.SECONDS));
            assertTrue(tasks[0] >= 2 * LoopWatch.SLOW_MS, tasks[0] + " ms");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }
}
