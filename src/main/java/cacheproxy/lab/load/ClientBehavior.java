package cacheproxy.lab.load;

import cacheproxy.Router.Effect;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.load.LoadPlan.PlannedRequest;

/**
 * How clients behave: how long a try may take, whether and when they come again. No clock; both
 * drivers ask it.
 */
public record ClientBehavior(Experiment experiment) {

    /** How a try ended for its client. */
    public enum TryOutcome {
        SERVED,
        REFUSED,
        FAILED,
        /** No proxy took it: it certainly did not run. */
        UNREACHED
    }

    /** Less time than this left of a request is no use to a retry. */
    private static final double MIN_RETRY_TIME_MS = 30;

    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    public Experiment.Class classOf(PlannedRequest request) {
        return experiment.load().classes().get(request.classIndex());
    }

    /** What an answer's status means to the client. */
    public static TryOutcome outcomeOf(int status) {
        return status == OK
                ? TryOutcome.SERVED
                : status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE
                        ? TryOutcome.REFUSED
                        : TryOutcome.FAILED;
    }

    /** How long a try that goes out now is waited for, in ms. */
    public double tryBudgetMs(PlannedRequest request, double now) {
        return Math.min(
                request.atMs() + classOf(request).deadlineMs() - now,
                classOf(request).deadlineMs() * request.timeoutFraction());
    }

    /** The path that names a key. */
    public static String pathOf(long key) {
        return "/api/" + String.format("%012x", key);
    }

    /** 16 hex digits that no other try of the run has. */
    public String tryId(PlannedRequest request, int tries) {
        long mixed =
                (experiment.seed() << 40 ^ (long) request.index() << 8 ^ tries)
                        * 0x9E3779B97F4A7C15L;
        return String.format("%016x", mixed ^ mixed >>> 32);
    }

    /**
     * When the client tries again, a time of the run, or NaN if it does not; {@code retryAfterMs}
     * is NaN or 0 without one.
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
