package cacheproxy.lab.load;

import cacheproxy.Router.Effect;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.load.LoadPlan.First;

/**
 * How clients behave: how long a try may take, whether and when they come again. No clock; both
 * drivers ask it.
 */
public record Habits(Experiment experiment) {

    /** How a try ended for its client. */
    public enum Ending {
        SERVED,
        REFUSED,
        FAILED,
        /** No proxy took it: it certainly did not run. */
        UNREACHED
    }

    /** Less time than this left of a request is no use to a retry. */
    private static final double LEAST_MS = 30;

    private static final int OK = 200;
    private static final int MANY = 429;
    private static final int UNAVAILABLE = 503;

    public Experiment.Class type(First first) {
        return experiment.load().classes().get(first.type());
    }

    /** What an answer's status means to the client. */
    public static Ending ending(int status) {
        return status == OK
                ? Ending.SERVED
                : status == MANY || status == UNAVAILABLE ? Ending.REFUSED : Ending.FAILED;
    }

    /** How long a try that goes out now is waited for, in ms. */
    public double budgetMs(First first, double now) {
        return Math.min(
                first.atMs() + type(first).deadlineMs() - now,
                type(first).deadlineMs() * first.patience());
    }

    /** The path that names a key. */
    public static String path(long key) {
        return "/api/" + String.format("%012x", key);
    }

    /** 16 hex digits that no other try of the run has. */
    public String id(First first, int tries) {
        long mixed =
                (experiment.seed() << 40 ^ (long) first.index() << 8 ^ tries) * 0x9E3779B97F4A7C15L;
        return String.format("%016x", mixed ^ mixed >>> 32);
    }

    /**
     * When the client tries again, a time of the run, or NaN if it does not; {@code retryAfterMs}
     * is NaN or 0 without one.
     */
    public double againAt(First first, int tries, Ending ending, double retryAfterMs, double now) {
        Experiment.Load load = experiment.load();
        double pause =
                load.retryWaitMs()[0]
                        + (load.retryWaitMs()[1] - load.retryWaitMs()[0]) * first.pause();
        if (ending == Ending.REFUSED && first.honours() && retryAfterMs > 0) {
            pause = Math.max(pause, Math.min(retryAfterMs, load.maxRetryAfterMs()));
        }
        boolean left = first.atMs() + type(first).deadlineMs() - now - pause > LEAST_MS;
        return ending != Ending.SERVED
                        && left
                        && tries <= load.retries()
                        && mayRepeat(first, ending, now)
                ? now + pause
                : Double.NaN;
    }

    private boolean mayRepeat(First first, Ending ending, double now) {
        return ending == Ending.REFUSED
                || ending == Ending.UNREACHED
                || type(first).effect() == Effect.SAFE
                || type(first).effect() == Effect.KEYED
                        && now - first.atMs() < type(first).repeatWindowMs();
    }
}
