package cacheproxy.lab.load;

import cacheproxy.Router.Effect;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.load.LoadPlan.PlannedRequest;

/**
 * The behavior of clients: the timeout of a try, and whether and when they retry. It has no clock;
 * both drivers use it.
 */
public record ClientBehavior(Experiment experiment) {

    /** Outcome of a try for its client. */
    public enum TryOutcome {
        SERVED,
        REFUSED,
        FAILED,
        /** No proxy accepted it, so it has certainly not been executed. */
        UNREACHED
    }

    /** Minimum time left until the deadline for a retry, in ms; with less it could not succeed. */
    private static final double MIN_RETRY_TIME_MS = 30;

    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    public Experiment.Class classOf(PlannedRequest request) {
        return experiment.load().classes().get(request.classIndex());
    }

    /** Returns the outcome for the client of an answer with this status. */
    public static TryOutcome outcomeOf(int status) {
        return status == OK
                ? TryOutcome.SERVED
                : status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE
                        ? TryOutcome.REFUSED
                        : TryOutcome.FAILED;
    }

    /** Returns how long the client waits for a try that it sends now, in ms. */
    public double tryBudgetMs(PlannedRequest request, double now) {
        return Math.min(
                request.atMs() + classOf(request).deadlineMs() - now,
                classOf(request).deadlineMs() * request.timeoutFraction());
    }

    /** Returns the request path of a key. */
    public static String pathOf(long key) {
        return "/api/" + String.format("%012x", key);
    }

    /** Returns the id of a try: 16 hex digits, unique in the run. */
    public String tryId(PlannedRequest request, int tries) {
        long mixed =
                (experiment.seed() << 40 ^ (long) request.index() << 8 ^ tries)
                        * 0x9E3779B97F4A7C15L;
        return String.format("%016x", mixed ^ mixed >>> 32);
    }

    /**
     * Returns the time of the run at which the client retries, or NaN if it does not.
     *
     * @param retryAfterMs value of Retry-After; NaN or 0 if the answer has none
     */
    public double retryAt(
            PlannedRequest request,
            int tries,
            TryOutcome outcome,
            double retryAfterMs,
            double now) {
        Experiment.Load load = experiment.load();
        double pauseMs =
                load.retryWaitMs()[0]
                        + (load.retryWaitMs()[1] - load.retryWaitMs()[0])
                                * request.retryPauseFraction();
        if (outcome == TryOutcome.REFUSED && request.honorsRetryAfter() && retryAfterMs > 0) {
            pauseMs = Math.max(pauseMs, Math.min(retryAfterMs, load.maxRetryAfterMs()));
        }
        boolean enoughTimeLeft =
                request.atMs() + classOf(request).deadlineMs() - now - pauseMs > MIN_RETRY_TIME_MS;
        return outcome != TryOutcome.SERVED
                        && enoughTimeLeft
                        && tries <= load.retries()
                        && mayRetry(request, outcome, now)
                ? now + pauseMs
                : Double.NaN;
    }

    private boolean mayRetry(PlannedRequest request, TryOutcome outcome, double now) {
        return outcome == TryOutcome.REFUSED
                || outcome == TryOutcome.UNREACHED
                || classOf(request).effect() == Effect.SAFE
                || classOf(request).effect() == Effect.KEYED
                        && now - request.atMs() < classOf(request).repeatWindowMs();
    }
}
