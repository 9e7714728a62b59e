package cacheproxy.proxy;

import cacheproxy.Router.Outcome;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * One request to one node and its one outcome. Until its last byte is written nothing of it has
 * run: it can be given up without a trace, and is where nobody waits for it any more or its time
 * for being written is over.
 */
final class UpstreamAttempt {

    /**
     * Takes how an exchange ended; {@code response} is null where no whole answer came and is
     * released afterwards.
     */
    interface Listener {
        void onEnded(UpstreamAttempt attempt, Outcome outcome, FullHttpResponse response);

        /**
         * Whether somebody still waits for its answer; asked in the moment in which its first byte
         * could be written.
         */
        default boolean isWanted() {
            return true;
        }

        /**
         * A good answer that is too long to be gathered has begun; null where nobody takes its
         * rest.
         */
        default BodyConsumer onStreamedResponse(UpstreamAttempt attempt, HttpResponse head) {
            return null;
        }
    }

    /** Takes the rest of a long answer. */
    interface BodyConsumer {
        /** A part, which this owns. */
        void onPart(HttpContent part);

        /** It has come to its end, or will not. */
        void onEnd(boolean complete);
    }

    private final Supplier<? extends HttpRequest> requestSupplier;
    private final EventLoop loop;
    private final IdleTimeoutEstimator idleTimeouts;
    private final LongSupplier nanoClock;
    private final Listener listener;
    final Upload upload;

    /** Who takes the rest of a long answer; null where there is none, or none is left. */
    BodyConsumer bodyConsumer;

    /** Its connection, which may be coming up still; null while it waits for one. */
    Channel channel;

    /** Whether its last byte is. */
    boolean written;

    boolean finished;

    /**
     * How long its connection had been idle, 0 for a new one; and whether bytes of an answer have
     * come.
     */
    double connectionIdleMs;

    boolean responseStarted;
    private Future<?> timeoutTimer;
    private Future<?> writeDeadlineTimer;
    private long writeDeadlineNanos;

    UpstreamAttempt(
            Supplier<? extends HttpRequest> requestSupplier,
            Upload upload,
            Listener listener,
            EventLoop loop,
            IdleTimeoutEstimator idleTimeouts,
            LongSupplier nanoClock) {
        this.requestSupplier = requestSupplier;
        this.upload = upload;
        this.listener = listener;
        this.loop = loop;
        this.idleTimeouts = idleTimeouts;
        this.nanoClock = nanoClock;
    }

    HttpRequest buildRequest() {
        return requestSupplier.get();
    }

    /**
     * Gives it up. The connection goes too: its answer may still come and would be taken for
     * another's.
     */
    void cancel() {
        abandon(Outcome.CANCELLED);
        if (bodyConsumer != null) {
            bodyConsumer = null;
            channel.close();
        }
    }

    /** Stops reading a long answer, or reads on. */
    void setPaused(boolean paused) {
        if (bodyConsumer != null) {
            channel.config().setAutoRead(!paused);
        }
    }

    /**
     * Gives it up after so long from now; said again for a request whose body flows, as its time
     * begins with its last byte.
     */
    void setTimeout(double timeoutMs) {
        if (!finished) {
            cancelTimer(timeoutTimer);
            timeoutTimer =
                    loop.schedule(
                            this::onTimeout,
                            (long) (Math.max(0, timeoutMs) * 1e6),
                            TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Has its last byte written within so long, or never: what may not run twice may be repeated
     * for a short while only.
     */
    void setWriteDeadline(double timeoutMs) {
        if (timeoutMs < Long.MAX_VALUE / 1e6) {
            long timeoutNanos = (long) (timeoutMs * 1e6);
            writeDeadlineNanos = nanoClock.getAsLong() + timeoutNanos;
            writeDeadlineTimer =
                    loop.schedule(
                            this::cancelIfUnwritten,
                            Math.max(0, timeoutNanos),
                            TimeUnit.NANOSECONDS);
        }
    }

    /** Whether it may be written now, which asks its client's side; one that may not ends here. */
    boolean mayBeWritten() {
        if (writeDeadlineTimer != null && nanoClock.getAsLong() - writeDeadlineNanos >= 0) {
            cancelIfUnwritten();
        }
        if (!finished && !listener.isWanted()) {
            cancelIfUnwritten();
        }
        return !finished;
    }

    /**
     * Gives it up if it can't have run, whatever the settings say of giving up: then nothing was
     * sent.
     */
    void cancelIfUnwritten() {
        if (!written) {
            abandon(Outcome.NEVER_SENT);
        }
    }

    private static void cancelTimer(Future<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void cancelTimers() {
        cancelTimer(timeoutTimer);
        cancelTimer(writeDeadlineTimer);
    }

    void startStreaming(HttpResponse head) {
        finished = true;
        cancelTimers();
        idleTimeouts.recordUse(connectionIdleMs, false, nanoClock.getAsLong());
        bodyConsumer = listener.onStreamedResponse(this, head);
    }

    void finishStreaming(HttpContent part) {
        BodyConsumer consumer = bodyConsumer;
        bodyConsumer = null;
        consumer.onPart(part);
        consumer.onEnd(true);
    }

    /** The rest of a long answer will not come. */
    void abortStreaming() {
        BodyConsumer consumer = bodyConsumer;
        bodyConsumer = null;
        if (consumer != null) {
            consumer.onEnd(false);
        }
    }

    private void onTimeout() {
        // Before its last byte was written the node cannot have begun it.
        abandon(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
    }

    void failIfUnconnected() {
        if (channel == null) {
            finish(Outcome.CONNECT_FAILED, null);
        }
    }

    void connectionBroken() {
        finish(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }

    void abandon(Outcome outcome) {
        if (!finished) {
            finish(outcome, null);
            if (channel != null) {
                channel.close();
            }
        }
    }

    void finish(Outcome outcome, FullHttpResponse response) {
        if (!finished) {
            finished = true;
            cancelTimers();
            boolean broke = outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED;
            if (outcome != Outcome.CANCELLED && outcome != Outcome.NEVER_SENT) {
                idleTimeouts.recordUse(
                        connectionIdleMs, broke && !responseStarted, nanoClock.getAsLong());
            }
            listener.onEnded(this, outcome, response);
        }
    }
}
