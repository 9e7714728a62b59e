package cacheproxy.proxy;

import cacheproxy.Router.Outcome;

/**
 * Counts of requests and attempts for the log. Fetches are counted separately, because they show a
 * faltering origin before anything else does.
 */
final class RequestTally {
    final int[] lookUps = new int[Outcome.values().length];
    final int[] fetches = new int[Outcome.values().length];

    /** Rejections by the outcome of the request's last attempt. */
    final int[] refusedAfter = new int[Outcome.values().length];

    /** Rejections of requests that had no attempt. */
    int refusedUntried;

    private double servedFetchMs;
    int requests;
    int served;
    int refused;
    int failed;
    int gone;

    /** Requests that were refused or failed after their deadline. */
    int answeredLate;

    /** Responses that were being passed on and remained incomplete. */
    int streamsBroken;

    /** Clients' connections that the proxy ended, by {@link CloseCause}. */
    final int[] closed = new int[CloseCause.values().length];

    /** Counts the outcome of an attempt at the origin (a fetch) or at a cache node (a look-up). */
    void countAttempt(boolean atOrigin, Outcome outcome) {
        int[] counts = atOrigin ? fetches : lookUps;
        counts[outcome.ordinal()]++;
    }

    /** Adds the duration of a successful fetch, in milliseconds. */
    void addServedFetch(double elapsedMs) {
        servedFetchMs += elapsedMs;
    }

    /**
     * Counts a rejection.
     *
     * @param lastOutcome the outcome of the request's last attempt, or null if it had none
     */
    void countRefused(Outcome lastOutcome) {
        refused++;
        if (lastOutcome == null) {
            refusedUntried++;
        } else {
            refusedAfter[lastOutcome.ordinal()]++;
        }
    }

    /** Mean duration of the successful fetches, in milliseconds. */
    long meanFetchMs() {
        return Math.round(servedFetchMs / Math.max(1, fetches[Outcome.OK.ordinal()]));
    }
}
