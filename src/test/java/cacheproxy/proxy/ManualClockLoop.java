package cacheproxy.proxy;

import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** An event loop with real sockets whose timers use a clock that a test advances. */
final class ManualClockLoop extends SingleThreadIoEventLoop {

    /** The clock; only {@link #advance} moves it. */
    private static final class ManualTicker implements Ticker {
        private final long initial = System.nanoTime();
        private final AtomicLong now = new AtomicLong(initial);

        @Override
        public long initialNanoTime() {
            return initial;
        }

        @Override
        public long nanoTime() {
            return now.get();
        }

        @Override
        public void sleep(long delay, TimeUnit unit) {
            throw new UnsupportedOperationException("the manual clock does not support sleeping");
        }
    }

    /** Null during the superclass constructor, where no time is read yet. */
    private final ManualTicker ticker = new ManualTicker();

    ManualClockLoop() {
        super(null, new DefaultThreadFactory("manual-clock", true), NioIoHandler.newFactory());
    }

    @Override
    public Ticker ticker() {
        return ticker == null ? Ticker.systemTicker() : ticker;
    }

    /** The selector passes the system time; the timeout has to follow this loop's clock. */
    @Override
    protected long delayNanos(long currentTimeNanos, long scheduledPurgeInterval) {
        return super.delayNanos(ticker.nanoTime(), scheduledPurgeInterval);
    }

    long nanos() {
        return ticker.nanoTime();
    }

    /** Advances the clock and returns when all timers that are due by then have run. */
    void advance(long ms) throws Exception {
        // Timers run in the order of their due times, so this one runs last.
        Future<?> last = submit(() -> schedule(() -> {}, ms, TimeUnit.MILLISECONDS)).get();
        ticker.now.addAndGet(TimeUnit.MILLISECONDS.toNanos(ms));
        submit(() -> {}).get();
        last.get();
    }
}
