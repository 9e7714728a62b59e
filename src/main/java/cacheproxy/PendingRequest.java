package cacheproxy;

import static cacheproxy.measure.Hash.hashText;
import static cacheproxy.measure.Hash.unit;

import cacheproxy.Router.Request;
import cacheproxy.Router.ServiceClass;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that was accepted and has no final answer yet. Times are in milliseconds of the
 * router's clock.
 */
final class PendingRequest {

    /**
     * Fraction of its latency objective that a read may wait for capacity at its key's two nodes.
     */
    static final double CAPACITY_WAIT_FRACTION = 0.25;

    final Request request;
    final ServiceClass service;

    /** The latest time of its final answer, with a margin for the proxy's own work. */
    final double answerBy;

    /** Until when it may wait for capacity. */
    final double waitUntil;

    /**
     * Number in [0, 1) derived from its ID, used for every random decision about it, so that a
     * client's wait gives no second draw.
     */
    final double draw;

    /** Input of the rendezvous hash: the key or, for a hot key, one of its variants. */
    long placementKey;

    /** Share of recent requests that named its key. */
    double keyFrequency;

    /** Number of variants that a hot key is spread over. */
    int variants = 1;

    /** Nodes at which a look-up has ended. */
    final List<DecisionModule.NodeView> tried = new ArrayList<>(2);

    /** Nodes that answered with a miss. */
    final List<DecisionModule.NodeView> missed = new ArrayList<>(2);

    /** The node of the latest attempt; null before the first. */
    DecisionModule.NodeView node;

    double priorityWeight;

    /** Start of the latest attempt. */
    double sentAt;

    /** Start of the first attempt that may have run; the repeat window begins then. */
    double firstSentAt;

    int attempts;
    int fetchAttempts;

    /** Retries at the same node after the network broke the attempt there. */
    int sameNodeRetries;

    /** Whether every attempt that has ended is known not to have run. */
    boolean neverRan = true;

    boolean lowPriority;

    /** Whether its work is many times the mean. */
    boolean heavy;

    /** Whether an attempt is in flight. */
    boolean inFlight;

    /** Whether its fetch has missed the latency objective and is still in flight. */
    boolean overdue;

    /** Whether the proxy has begun to send its answer to the client. */
    boolean streaming;

    /** Whether the latest choice was its key's second node. */
    boolean pickedSecond;

    /**
     * Whether the latest choice saw a usable node of its key that was not tried yet. If none was
     * chosen, these nodes lack capacity.
     */
    boolean hasUntriedNode;

    /** Whether it waits, or has waited, for another request's fetch of its key. */
    boolean joinedFetch;

    /** Whether its next fetch needs no further token. */
    boolean hasToken;

    /** Whether its own fetch of its key is in flight, for which others may wait. */
    boolean leadsFetch;

    /**
     * Whether it had an attempt with the short timeout. The next one gets the normal timeout, as
     * many nodes may be slow at once.
     */
    boolean hadShortTimeout;

    /**
     * Creates the state of a request that arrives at {@code now}.
     *
     * @param marginMs how long before its deadline it must be answered
     */
    PendingRequest(Request request, ServiceClass service, double now, double marginMs) {
        this.request = request;
        this.service = service;
        double budget = request.budgetMs() >= 0 ? request.budgetMs() : service.deadlineMs();
        this.draw = unit(hashText(request.id()));
        this.placementKey = request.key() >= 0 ? request.key() : hashText(request.id());
        this.answerBy = now + request.uploadMs() + Math.max(0, budget - marginMs);
        this.waitUntil =
                now + CAPACITY_WAIT_FRACTION * Math.min(service.latencyObjectiveMs(), budget);
    }

    /**
     * Whether its attempt is at a cache node and too recent to say anything about that node's
     * health.
     */
    boolean isYoung(double now) {
        return inFlight && !node.isOrigin() && 2 * (now - sentAt) < service.latencyObjectiveMs();
    }
}
