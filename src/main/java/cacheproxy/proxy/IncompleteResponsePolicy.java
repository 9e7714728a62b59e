package cacheproxy.proxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;

/**
 * Decides how long a proxy waits for the rest of a successful response of unknown length: whether
 * its part is passed on when the time of its attempt is over, and when a response that is being
 * passed on has been silent for too long. Used on the event loop only.
 */
final class IncompleteResponsePolicy {

    /**
     * Longest pause within a response after which its node still counts as writing it, in
     * milliseconds. After a longer one another node is asked, if there is time for it.
     */
    private static final double MAX_RESPONSE_PAUSE_MS = 2000;

    /** An attempt is the last one of a request if less than this fraction of its budget remains. */
    private static final double LAST_ATTEMPT_BUDGET_FRACTION = 0.1;

    /**
     * Time after a request's deadline at which a streamed response must not be silent, in
     * milliseconds, unless more of it has arrived than is aggregated: of a short response the last
     * byte is due half a second after the deadline.
     */
    private static final double SILENT_RESPONSE_GRACE_MS = 300;

    /**
     * Silence at that time that ends the response. The response of a node that hung up to the
     * deadline ends within half a second after it.
     */
    private static final double SILENT_RESPONSE_MS = 450;

    /** A node that has paused before may pause this many times as long again. */
    private static final double EARLIER_PAUSE_FACTOR = 2;

    private final EventLoop loop;
    private final Clock clock;

    IncompleteResponsePolicy(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Whether a response is passed on although only a part of it has arrived when its attempt's
     * time is over. It may be a long one, which must not be cut off while its node writes it.
     *
     * @param deadlineMs the deadline of the request
     * @param budgetMs the budget of the request
     * @param quietMs the time since the last byte of the response arrived
     */
    boolean accepts(double deadlineMs, double budgetMs, double quietMs) {
        double remainingMs = deadlineMs - clock.now();
        boolean lastAttempt = remainingMs < LAST_ATTEMPT_BUDGET_FRACTION * budgetMs;
        return lastAttempt || quietMs < MAX_RESPONSE_PAUSE_MS;
    }

    /**
     * A response is passed on from now. One of unknown length is ended if it is silent after the
     * request's deadline, so that the client learns in time that it is incomplete.
     */
    void streamingStarted(UpstreamAttempt upstreamAttempt, HttpResponse head, double deadlineMs) {
        if (!HttpUtil.isContentLengthSet(head)) {
            scheduleSilenceCheck(upstreamAttempt, deadlineMs + SILENT_RESPONSE_GRACE_MS);
        }
    }

    private void scheduleSilenceCheck(UpstreamAttempt upstreamAttempt, double atMs) {
        loop.schedule(
                () -> endIfSilent(upstreamAttempt), clock.nanosUntil(atMs), TimeUnit.NANOSECONDS);
    }

    /** A response that is known to be long is left to its node. */
    private void endIfSilent(UpstreamAttempt upstreamAttempt) {
        if (!upstreamAttempt.isStreaming()
                || upstreamAttempt.streamedBytes() > MessageAggregator.MAX_AGGREGATED_BYTES) {
            return;
        }
        double remainingMs =
                allowedSilenceMs(upstreamAttempt.longestPauseMs()) - upstreamAttempt.silentMs();
        if (remainingMs <= 0) {
            upstreamAttempt.closeStreaming();
        } else {
            scheduleSilenceCheck(upstreamAttempt, clock.now() + remainingMs);
        }
    }

    private static double allowedSilenceMs(double longestPauseMs) {
        return Math.min(
                MAX_RESPONSE_PAUSE_MS,
                Math.max(SILENT_RESPONSE_MS, EARLIER_PAUSE_FACTOR * longestPauseMs));
    }
}
