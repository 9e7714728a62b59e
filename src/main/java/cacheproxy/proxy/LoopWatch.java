package cacheproxy.proxy;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Times each turn of an event loop: first what its connections brought is read, then its tasks and
 * timers run. A slow one is told of with both times and how many connections were ready, as
 * everything else waits for it. So is a wait that ends late, for which the loop did nothing: the
 * machine had no core for it, or another thread held what it needed. Costs four readings of the
 * clock a turn. And it has the loop sleep until a timer is due, where the last part of a
 * millisecond would be spent on asking the system again.
 */
final class LoopWatch implements IoHandler {

    /** Takes what kept the loop, in milliseconds. */
    interface Slow {
        /** A turn that worked for so long. */
        void turn(long inputMs, int ready, long tasksMs);

        /**
         * A wait that ended so long after the first timer was due: the loop had nothing to do with
         * that.
         */
        void woke(long lateMs);
    }

    /**
     * A client's patience is some hundreds of milliseconds, and 100 ms after it has left nothing
     * may begin for it.
     */
    static final long SLOW_MS = 100;

    private static final long A_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler handler;
    private final LongSupplier nanos;
    private final Slow slow;
    private final Measured measured = new Measured();
    private long inputNanos;
    private int ready;

    /** When the tasks of this turn began. */
    private long tasksSince;

    private boolean turned;

    LoopWatch(IoHandler handler, LongSupplier nanos, Slow slow) {
        this.handler = handler;
        this.nanos = nanos;
        this.slow = slow;
    }

    static IoHandlerFactory factory(IoHandlerFactory handlers, Slow slow) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new LoopWatch(handlers.newHandler(executor), System::nanoTime, slow);
            }
        };
    }

    @Override
    public int run(IoHandlerContext context) {
        long began = nanos.getAsLong();
        if (turned) {
            long tasksNanos = began - tasksSince;
            if (inputNanos + tasksNanos >= TimeUnit.MILLISECONDS.toNanos(SLOW_MS)) {
                slow.turn(
                        TimeUnit.NANOSECONDS.toMillis(inputNanos),
                        ready,
                        TimeUnit.NANOSECONDS.toMillis(tasksNanos));
            }
        }
        inputNanos = 0;
        measured.context = context;
        long due = context.canBlock() ? Math.max(0, context.delayNanos(began)) : 0;
        ready = handler.run(measured);
        turned = true;
        tasksSince = nanos.getAsLong();
        long lateNanos = tasksSince - began - inputNanos - due;
        if (lateNanos >= TimeUnit.MILLISECONDS.toNanos(SLOW_MS)) {
            slow.woke(TimeUnit.NANOSECONDS.toMillis(lateNanos));
        }
        return ready;
    }

    @Override
    public void initialize() {
        handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(handle);
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return handler.isCompatible(type);
    }

    /** Has the handler say how long it worked, its wait not counted. */
    private final class Measured implements IoHandlerContext {
        private IoHandlerContext context;

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        /**
         * The selector waits for whole milliseconds, and its handler rounds to the nearest: what is
         * left of less than a half it would spend asking the system over and over. Rounded up it is
         * slept through; a timer comes at most a millisecond later.
         */
        @Override
        public long delayNanos(long nowNanos) {
            long delay = context.delayNanos(nowNanos);
            long over = delay % A_MILLISECOND;
            return delay <= 0 || over == 0 || delay > Long.MAX_VALUE - A_MILLISECOND
                    ? delay
                    : delay + A_MILLISECOND - over;
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return true;
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            inputNanos += activeNanos;
            if (context.shouldReportActiveIoTime()) {
                context.reportActiveIoTime(activeNanos);
            }
        }
    }
}
