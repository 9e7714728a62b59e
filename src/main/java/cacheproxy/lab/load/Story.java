package cacheproxy.lab.load;

/**
 * How a first try and its retries ended. {@code lateMs} is how late the generator sent it, {@code
 * endedAt} when its last answer came or it was given up (a time of the run), {@code status} the
 * last answer's: 0 for none, -1 where no proxy was reached.
 */
public record Story(LoadPlan.First first, double lateMs, double endedAt, int status, int tries) {

    private static final int OK = 200;
    private static final int MANY = 429;
    private static final int UNAVAILABLE = 503;

    public boolean served() {
        return status == OK;
    }

    public boolean refused() {
        return status == MANY || status == UNAVAILABLE;
    }

    /** From the time at which it was meant to go out. */
    public double latencyMs() {
        return endedAt - first.atMs();
    }
}
