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
 * Measures each iteration of an event loop: it first handles I/O of its connections, then runs
 * tasks and timers. A slow iteration is reported with both times and the number of ready
 * connections, as everything else waits for it. A late wake-up is reported as well; the loop did
 * not cause it: no core was available, or another thread blocked a resource. This costs four clock
 * reads per iteration.
 *
 * <p>The class also makes the loop sleep until a timer is due, where the loop would otherwise poll
 * the selector repeatedly for the last fraction of a millisecond.
 */
final class EventLoopMonitor implements IoHandler {

    /** Receives slow iterations and late wake-ups; times in milliseconds. */
    interface SlowTurnListener {
        /**
         * Called after an iteration with {@code inputMs} of I/O and {@code tasksMs} of tasks and
         * timers.
         */
        void slowTurn(long inputMs, int ready, long tasksMs);

        /**
         * Called after a wait that ended {@code lateMs} after the first timer was due. The loop did
         * no work in that time.
         */
        void lateTimer(long lateMs);
    }

    /**
     * Clients wait some hundreds of milliseconds for a response, and no work may begin for a client
     * later than 100 ms after it has disconnected.
     */
    static final long SLOW_TURN_MS = 100;

    private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler delegate;
    private final LongSupplier nanoClock;
    private final SlowTurnListener listener;
    private final MeasuringContext measuringContext = new MeasuringContext();
    private long inputNanos;
    private int ready;

    /** Start of the tasks of this iteration, in nanoseconds of the clock. */
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

    /** Passes the context on and requests the active I/O time, which excludes the wait. */
    private final class MeasuringContext implements IoHandlerContext {
        private IoHandlerContext context;

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        /**
         * Rounds the delay up to whole milliseconds. The selector waits for whole milliseconds, and
         * its handler rounds to the nearest, so for a remainder below half a millisecond it would
         * poll the selector repeatedly without waiting. Rounded up, a timer fires at most one
         * millisecond later.
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
