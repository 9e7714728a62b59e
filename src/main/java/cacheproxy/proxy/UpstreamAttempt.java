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
 * One attempt of a request at one node and its single outcome. Until its last byte is written the
 * node cannot have executed any of it, so it can be dropped without effect. That happens if its
 * client no longer waits for it or its write deadline has passed.
 */
final class UpstreamAttempt {

    /** Is notified of an attempt's progress and of its outcome. */
    interface Listener {
        /**
         * The attempt has ended. {@code response} is null if no complete response was received, and
         * is released after the call.
         */
        void onEnded(UpstreamAttempt attempt, Outcome outcome, FullHttpResponse response);

        /**
         * Whether the response is still wanted; asked immediately before the first byte could be
         * written.
         */
        default boolean isWanted() {
            return true;
        }

        /**
         * Whether a response of which only a part has arrived is to be passed on as it arrives,
         * rather than given up now.
         *
         * @param quietMs time since its latest bytes, in milliseconds
         */
        default boolean acceptsIncompleteResponse(double quietMs) {
            return false;
        }

        /**
         * A successful response that is too long to be aggregated has begun, or one whose length
         * isn't known and that was accepted while it is incomplete. Returns the consumer of its
         * body, or null if the body is not wanted.
         */
        default BodyConsumer onStreamedResponse(UpstreamAttempt attempt, HttpResponse head) {
            return null;
        }

        /** A streamed response remains incomplete. */
        default void onStreamBroken(StreamEnd end, long streamedBytes) {}
    }

    /** A response on its way from the node, of which nothing was passed on yet. */
    interface IncompleteResponse {
        /** Time since its latest bytes, in milliseconds. */
        double quietMs();

        /** The longest time between two arrivals of its bytes, in milliseconds. */
        double longestPauseMs();

        /**
         * Starts to stream it if it may be longer than what is aggregated. Returns false if it is
         * short, not successful, or has no complete head yet.
         */
        boolean stream();
    }

    /** Takes the body of a streamed response. */
    interface BodyConsumer {
        /** Takes one part and the ownership of it. */
        void onPart(HttpContent part);

        /** The body is complete, or will remain incomplete. */
        void onEnd(boolean complete);
    }

    private final Supplier<? extends HttpRequest> requestSupplier;
    private final EventLoop loop;
    private final IdleTimeoutEstimator idleTimeouts;
    private final LongSupplier nanoClock;
    private final Listener listener;
    final Upload upload;

    /** The consumer of a streamed response; null if there is none or the body has ended. */
    BodyConsumer bodyConsumer;

    /** The connection, which may still be being established; null while waiting for one. */
    Channel channel;

    /** Whether the last byte of the request has been written. */
    boolean written;

    boolean finished;

    /** How long the connection had been idle when the request was written; 0 if it was new. */
    double connectionIdleMs;

    /** Whether bytes of a response have been received. */
    boolean responseStarted;

    /** The response on the attempt's connection; null while the request is not written. */
    IncompleteResponse incompleteResponse;

    private long streamedBytes;

    /** Why a streamed response remains incomplete, if its connection closes. */
    private StreamEnd streamEnd = StreamEnd.NODE_BROKE;

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
     * Cancels the attempt and closes its connection, because the response may still arrive and
     * would be taken for another request's. A response that is accepted while it is incomplete is
     * streamed instead.
     */
    void cancel() {
        if (streamIncompleteResponse()) {
            return;
        }
        abandon(Outcome.CANCELLED);
        if (bodyConsumer != null) {
            bodyConsumer = null;
            listener.onStreamBroken(StreamEnd.CLIENT_DISCONNECTED, streamedBytes);
            channel.close();
        }
    }

    /** Pauses or resumes reading of a streamed response. */
    void setPaused(boolean paused) {
        if (bodyConsumer != null) {
            channel.config().setAutoRead(!paused);
        }
    }

    /**
     * Sets the timeout, counted from now. It is set again for a request with a streamed body, whose
     * time begins with the body's last byte.
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
     * Sets the time, counted from now, within which the last byte must have been written; otherwise
     * the attempt ends as never sent. A request that must not run twice may be repeated only for a
     * short while.
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

    /**
     * Whether the request may be written now, which includes asking the client's side. If not, ends
     * the attempt.
     */
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
     * Ends the attempt if its request is not completely written. Whether cancelling is enabled in
     * the settings does not matter here, because the request cannot have run.
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

    /** Whether a response is being streamed that has not ended yet. */
    boolean isStreaming() {
        return bodyConsumer != null;
    }

    /** Number of body bytes that were streamed so far. */
    long streamedBytes() {
        return streamedBytes;
    }

    /**
     * Time since the node of a streamed response last wrote, in milliseconds; 0 while it is not
     * read from.
     */
    double silentMs() {
        return channel.config().isAutoRead() ? incompleteResponse.quietMs() : 0;
    }

    /** The longest pause of the node between two parts of its response, in milliseconds. */
    double longestPauseMs() {
        return incompleteResponse.longestPauseMs();
    }

    /** Gives a streamed response up; its consumer is notified that it remains incomplete. */
    void closeStreaming() {
        streamEnd = StreamEnd.NODE_SILENT;
        channel.close();
    }

    void startStreaming(HttpResponse head) {
        finished = true;
        cancelTimers();
        idleTimeouts.recordUse(connectionIdleMs, false, nanoClock.getAsLong());
        bodyConsumer = listener.onStreamedResponse(this, head);
    }

    void streamPart(HttpContent part) {
        streamedBytes += part.content().readableBytes();
        bodyConsumer.onPart(part);
    }

    void finishStreaming(HttpContent part) {
        BodyConsumer consumer = bodyConsumer;
        bodyConsumer = null;
        consumer.onPart(part);
        consumer.onEnd(true);
    }

    /** Reports that the rest of a streamed response will not arrive. */
    void abortStreaming() {
        BodyConsumer consumer = bodyConsumer;
        bodyConsumer = null;
        if (consumer != null) {
            listener.onStreamBroken(streamEnd, streamedBytes);
            consumer.onEnd(false);
        }
    }

    private void onTimeout() {
        if (!streamIncompleteResponse()) {
            // The node cannot have started the request before its last byte was written.
            abandon(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }
    }

    private boolean streamIncompleteResponse() {
        return !finished
                && written
                && incompleteResponse != null
                && listener.acceptsIncompleteResponse(incompleteResponse.quietMs())
                && incompleteResponse.stream();
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
