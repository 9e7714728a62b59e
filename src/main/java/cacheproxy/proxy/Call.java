package cacheproxy.proxy;

import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import java.util.concurrent.Future;

/**
 * A tracked request. It is open until its final response and tracked until its last attempt has
 * ended. Used on the event loop only.
 */
final class Call {
    final Request clientRequest;
    final Payload payload;
    final Proxy.Client client;

    /** When the request was received, or of a streamed one its head, in milliseconds. */
    final double receivedAtMs;

    /** When the request has to be answered. */
    double deadlineMs;

    /**
     * The earliest time at which the client may stop waiting. It is before {@link #deadlineMs} if
     * it is not known when the client had written the end of its body.
     */
    double earliestDeadlineMs;

    /** When the last byte of a streamed body was received. */
    double uploadEndMs;

    Future<?> deadlineTimer;

    /** The attempt in flight; null if there is none. */
    PendingAttempt pendingAttempt;

    int attemptCount;

    /** When the first attempt that may have run was sent. */
    double firstSentAtMs;

    /** Outcome of the latest attempt that ended; null if there is none. */
    Outcome lastOutcome;

    /** Node of the latest attempt; null if there is none. */
    String lastNode;

    boolean provenNotRun = true;
    boolean finished;

    Call(Request clientRequest, Payload payload, Proxy.Client client, double receivedAtMs) {
        this.clientRequest = clientRequest;
        this.payload = payload;
        this.client = client;
        this.receivedAtMs = receivedAtMs;
        this.deadlineMs = receivedAtMs + clientRequest.uploadMs() + clientRequest.budgetMs();
        this.earliestDeadlineMs = deadlineMs;
    }

    /** Whether a streamed body has been sent to a node already and cannot be sent again. */
    boolean isUploadConsumed() {
        return payload.upload() != null && payload.upload().isConsumed();
    }

    /** An attempt in flight. The pool may end it before {@code send} has returned it. */
    static final class PendingAttempt {
        UpstreamAttempt upstream;

        boolean isWritten() {
            return upstream != null && upstream.written;
        }

        void cancelIfUnwritten() {
            if (upstream != null) {
                upstream.cancelIfUnwritten();
            }
        }

        void cancel() {
            if (upstream != null) {
                upstream.cancel();
            }
        }

        void setTimeout(double timeoutMs) {
            if (upstream != null) {
                upstream.setTimeout(timeoutMs);
            }
        }
    }
}
