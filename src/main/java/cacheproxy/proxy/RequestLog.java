package cacheproxy.proxy;

import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;

/**
 * Logs what becomes of requests that are not simply served: each attempt that failed, each request
 * that was refused, failed or left by its client, with its id, so that one request can be followed
 * through the log. Every kind of line has a rate limit of its own.
 */
final class RequestLog {

    private final Clock clock;
    private final RequestTally tally;
    private final Log attempts = new Log();
    private final Log requests = new Log();
    private final Log streams = new Log();
    private final Log overdue = new Log();
    private boolean enabled = true;

    RequestLog(Clock clock, RequestTally tally) {
        this.clock = clock;
        this.tally = tally;
    }

    /** An attempt has ended; one that was answered with a value or a miss is not logged. */
    void attemptEnded(
            Call call, int attempt, UpstreamAttempt upstream, double sentAtMs, Outcome outcome) {
        if (outcome == Outcome.OK || outcome == Outcome.MISS) {
            return;
        }
        write(
                attempts,
                "attempt_ended",
                "request",
                call.clientRequest.id(),
                "attempt",
                attempt,
                "node",
                call.lastNode,
                "outcome",
                Log.lowerCase(outcome),
                "after_ms",
                elapsedMs(sentAtMs),
                "written",
                upstream.written,
                "response_started",
                upstream.responseStarted,
                "answered",
                call.finished);
    }

    /** A request ends without being served. Called before its answer is written. */
    void requestEnded(Call call, EndCause cause) {
        if (clock.now() > call.deadlineMs && cause != EndCause.CLIENT_DISCONNECTED) {
            tally.answeredLate++;
        }
        write(
                requests,
                "request_ended",
                "request",
                call.clientRequest.id(),
                "class",
                call.clientRequest.service(),
                "cause",
                Log.lowerCase(cause),
                "after_ms",
                elapsedMs(call.receivedAtMs),
                "left_ms",
                Math.round(call.deadlineMs - clock.now()),
                "attempts",
                call.attemptCount,
                "last_node",
                call.lastNode == null ? "none" : call.lastNode,
                "last_outcome",
                call.lastOutcome == null ? "none" : Log.lowerCase(call.lastOutcome),
                "may_have_run",
                !call.provenNotRun);
    }

    /** A request was rejected or failed as it arrived, without asking the decision module. */
    void requestNotAccepted(Request request, EndCause cause) {
        write(
                requests,
                "request_not_accepted",
                "request",
                request.id(),
                "class",
                request.service(),
                "cause",
                Log.lowerCase(cause));
    }

    /** The decision module has not answered a request by its deadline. */
    void requestOverdue(Call call) {
        write(overdue, "request_overdue", "request", call.clientRequest.id());
    }

    /** A response that was being passed on to its client remains incomplete. */
    void streamBroken(Call call, StreamEnd end, long streamedBytes) {
        tally.streamsBroken++;
        write(
                streams,
                "response_broken_off",
                "request",
                call.clientRequest.id(),
                "node",
                call.lastNode,
                "cause",
                Log.lowerCase(end),
                "after_ms",
                elapsedMs(call.receivedAtMs),
                "left_ms",
                Math.round(call.deadlineMs - clock.now()),
                "bytes",
                streamedBytes);
    }

    /** Logs nothing from now on, as of requests that rehearse a start. */
    void disable() {
        enabled = false;
    }

    private void write(Log log, String event, Object... fields) {
        if (enabled) {
            log.warnLimited(event, fields);
        }
    }

    private long elapsedMs(double sinceMs) {
        return Math.round(clock.now() - sinceMs);
    }
}
