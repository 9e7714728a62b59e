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
final class EventLoopMonitor implements IoHandler {

    /** Takes what kept the loop, in milliseconds. */
    interface SlowTurnListener {
        /** A turn that worked for so long. */
        void slowTurn(long inputMs, int ready, long tasksMs);

        /**
         * A wait that ended so long after the first timer was due: the loop had nothing to do with
         * that.
         */
        void lateTimer(long lateMs);
    }

    /**
     * A client's patience is some hundreds of milliseconds, and 100 ms after it has left nothing
     * may begin for it.
     */
    static final long SLOW_TURN_MS = 100;

    private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler delegate;
    private final LongSupplier nanoClock;
    private final SlowTurnListener listener;
    private final MeasuringContext measuringContext = new MeasuringContext();
    private long inputNanos;
    private int ready;

    /** When the tasks of this turn began. */
    private long tasksStartNanos;

    private boolean hasRun;

    EventLoopMonitor(IoHandler delegate, LongSupplier nanoClock, SlowTurnListener listener) {
        this.delegate = delegate;
        this.nanoClock = nanoClock;
        this.listener = listener;
    }

    static IoHandlerFactory factory(IoHandlerFactory delegates, SlowTurnListener listener) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new EventLoopMonitor(
                        delegates.newHandler(executor), System::nanoTime, listener);
            }
        };
    }

    @Override
    public int run(IoHandlerContext context) {
        long startNanos = nanoClock.getAsLong();
        if (hasRun) {
            long tasksNanos = startNanos - tasksStartNanos;
            if (inputNanos + tasksNanos >= TimeUnit.MILLISECONDS.toNanos(SLOW_TURN_MS)) {
                listener.slowTurn(
                        TimeUnit.NANOSECONDS.toMillis(inputNanos),
                        ready,
                        TimeUnit.NANOSECONDS.toMillis(tasksNanos));
            }
        }
        inputNanos = 0;
        measuringContext.context = context;
        long timeoutNanos = context.canBlock() ? Math.max(0, context.delayNanos(startNanos)) : 0;
        ready = delegate.run(measuringContext);
        hasRun = true;
        tasksStartNanos = nanoClock.getAsLong();
        long lateNanos = tasksStartNanos - startNanos - inputNanos - timeoutNanos;
        if (lateNanos >= TimeUnit.MILLISECONDS.toNanos(SLOW_TURN_MS)) {
            listener.lateTimer(TimeUnit.NANOSECONDS.toMillis(lateNanos));
        }
        return ready;
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return delegate.isCompatible(type);
    }

    /** Has the handler say how long it worked, its wait not counted. */
    private final class MeasuringContext implements IoHandlerContext {
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
            long delayNanos = context.delayNanos(nowNanos);
            long remainderNanos = delayNanos % NANOS_PER_MS;
            return delayNanos <= 0
                            || remainderNanos == 0
                            || delayNanos > Long.MAX_VALUE - NANOS_PER_MS
                    ? delayNanos
                    : delayNanos + NANOS_PER_MS - remainderNanos;
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
