package cacheproxy.lab.load;

/**
 * The outcome of a request, including its retries.
 *
 * @param sendDelayMs how late the load generator sent the request, in ms
 * @param endedAt time of the run at which the last answer arrived or the client gave up
 * @param status status of the last answer; 0 if there was none, -1 if no proxy was reached
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

    /** Returns the latency from the planned time of sending, in ms. */
    public double latencyMs() {
        return endedAt - request.atMs();
    }
}
