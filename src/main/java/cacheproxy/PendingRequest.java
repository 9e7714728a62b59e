package cacheproxy;

import static cacheproxy.measure.Hash.hashText;
import static cacheproxy.measure.Hash.unit;

import cacheproxy.Router.Request;
import cacheproxy.Router.ServiceClass;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that was taken and has no final answer yet. Times are the router's, in milliseconds.
 */
final class PendingRequest {

    /** Part of its latency objective that a read may wait for capacity at its key's two nodes. */
    static final double CAPACITY_WAIT_FRACTION = 0.25;

    final Request request;
    final ServiceClass service;

    /** The latest time of its final answer, with a margin for the proxy's own work. */
    final double answerBy;

    /** Until when it may wait for capacity. */
    final double waitUntil;

    /**
     * In [0, 1), from its ID: one draw for all that is decided by chance, so that a client's wait
     * buys no second one.
     */
    final double draw;

    /**
     * What the rendezvous hash is taken of: the key, or for a hot key, one of the variants that it
     * is spread over.
     */
    long placementKey;

    /** Share of recent requests that named its key. */
    double keyFrequency;

    /** How many variants a hot key is spread over. */
    int variants = 1;

    final List<DecisionModule.NodeView> tried = new ArrayList<>(2);

    /** Nodes that answered that they lack the key. */
    final List<DecisionModule.NodeView> missed = new ArrayList<>(2);

    /** The node of the latest attempt; null before the first. */
    DecisionModule.NodeView node;

    double priorityWeight;

    /** When the latest attempt began. */
    double sentAt;

    /** When the first attempt began that may have run: a window for repeats opens then. */
    double firstSentAt;

    int attempts;
    int fetchAttempts;

    /** Attempts that went once more to the node at which the one before had failed on the way. */
    int sameNodeRetries;

    /** Whether every attempt that has ended is known not to have run. */
    boolean neverRan = true;

    boolean lowPriority;

    /** Whether its work is many times the mean. */
    boolean heavy;

    /** Whether an attempt is out. */
    boolean inFlight;

    /** Whether its fetch has missed the latency objective and is out still. */
    boolean overdue;

    /** Whether its answer has begun to go to the client. */
    boolean streaming;

    /** Whether the latest choice was its key's second node. */
    boolean pickedSecond;

    /** Whether the latest choice found no capacity at its key's nodes. */
    boolean hasUntriedNode;

    /** Whether it has joined another request's fetch. */
    boolean joinedFetch;

    boolean hasToken;

    /** Whether it is the one that fetches its key, for which others may wait. */
    boolean leadsFetch;

    /**
     * Whether it had an attempt with the short timeout: the next one gets the usual, as many may be
     * slow at once.
     */
    boolean hadShortTimeout;

    /**
     * Takes a request in.
     *
     * @param marginMs how long before its deadline it has to be answered
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

    /** Whether its attempt is at a cache node and too young to tell of that node's health. */
    boolean isYoung(double now) {
        return inFlight && !node.isOrigin() && 2 * (now - sentAt) < service.latencyObjectiveMs();
    }
}
