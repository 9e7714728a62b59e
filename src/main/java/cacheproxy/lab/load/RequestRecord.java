package cacheproxy.lab.load;

/**
 * How a first try and its retries ended. {@code lateMs} is how late the generator sent it, {@code
 * endedAt} when its last answer came or it was given up (a time of the run), {@code status} the
 * last answer's: 0 for none, -1 where no proxy was reached.
 */
public record RequestRecord(
        LoadPlan.PlannedRequest request,
        double sendDelayMs,
        double endedAt,
        int status,
        int tries) {

    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    public boolean served() {
        return status == OK;
    }

    public boolean refused() {
        return status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
    }

    /** From the time at which it was meant to go out. */
    public double latencyMs() {
        return endedAt - request.atMs();
    }
}
