package cacheproxy.lab.virtual;

import cacheproxy.Router;
import cacheproxy.Router.AttemptEnd;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import cacheproxy.Router.Settings;
import cacheproxy.lab.NoopActions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One proxy around one router, the counterpart of {@code cacheproxy.proxy.Proxy} without sockets.
 * It has the same table of requests, the same limits on attempts and the same deadline enforcement,
 * and performs the router's actions in order after each call. Its own work takes no virtual time.
 */
final class VirtualProxy extends NoopActions {

    /** Receives the answer to a request. */
    interface Client {
        /**
         * Called at most once per request. {@code retryAfterMs} is NaN if the answer has no
         * Retry-After; {@code bodyAttempt} is the attempt that a served body names, or 0.
         */
        void onResponse(int status, double retryAfterMs, long bodyAttempt);
    }

    /** The network between the proxy and the machines. */
    interface Network {
        /** Sends an attempt; its end is reported once, by {@link VirtualProxy#attemptEnded}. */
        void send(VirtualProxy from, String request, int attempt, String node, double waitMs);

        /** Abandons an attempt; its end is not reported any more. */
        void abandon(VirtualProxy from, String request, int attempt);

        /** Probes a node; the end is reported once, by {@link VirtualProxy#probeCompleted}. */
        void probe(VirtualProxy from, String node);

        /** Passes the outcome of an attempt or a probe to the proxy's gossip. */
        void outcomeObserved(
                VirtualProxy from, String node, Outcome outcome, double elapsedMs, boolean probe);
    }

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;

    private static final class ActiveRequest {
        final Request request;
        final Client client;
        final double deadline;
        int attemptCount;
        int pendingAttempt = -1;
        String pendingNode;
        double sentAt;
        boolean finished;
        boolean provenNotRun = true;

        ActiveRequest(Request request, Client client, double deadline) {
            this.request = request;
            this.client = client;
            this.deadline = deadline;
        }
    }

    final int index;
    private final EventQueue eventQueue;
    private final Settings settings;
    private final Router router;
    private final Network network;
    private final Map<String, ActiveRequest> activeRequests = new HashMap<>();
    private final Deque<Runnable> events = new ArrayDeque<>();
    private final List<Runnable> pendingActions = new ArrayList<>();
    private boolean dispatching;
    private boolean dead;
    private double pausedUntil;
    private int pendingTimerCount;
    private int backstopCount;

    VirtualProxy(
            int index, EventQueue eventQueue, Settings settings, Router router, Network network) {
        this.index = index;
        this.eventQueue = eventQueue;
        this.settings = settings;
        this.router = router;
        this.network = network;
    }

    void start(List<Node> known) {
        dispatch(() -> router.started(eventQueue.now(), this));
        dispatch(
                () ->
                        router.endpointListReceived(
                                eventQueue.now(),
                                EndpointListKind.STORED_SNAPSHOT,
                                0,
                                known,
                                this));
    }

    /** Ends the process; requests in progress get no answer. */
    void kill() {
        dead = true;
        activeRequests.clear();
    }

    boolean isDead() {
        return dead;
    }

    /** Pauses the process until a time; events that arrive meanwhile are handled then, in order. */
    void pause(double until) {
        pausedUntil = until;
    }

    /** Returns whether the process is paused; if so, schedules the action for when it resumes. */
    private boolean deferIfPaused(Runnable action) {
        boolean paused = eventQueue.now() < pausedUntil;
        if (paused) {
            eventQueue.scheduleAt(pausedUntil, action);
        }
        return paused;
    }

    int controlLevel() {
        return router.controlLevel();
    }

    /** Returns whether an attempt is the pending attempt of a request. */
    boolean isAttemptPending(String id, int attempt) {
        ActiveRequest active = activeRequests.get(id);
        return active != null && active.pendingAttempt == attempt;
    }

    /** Returns the number of requests without an answer, for the invariants. */
    long unansweredCount() {
        return activeRequests.values().stream().filter(c -> !c.finished).count();
    }

    int activeRequestCount() {
        return activeRequests.size();
    }

    /** Returns the number of request entries in the router. */
    int routerEntryCount() {
        return router.entryCount();
    }

    /** Returns the number of requests that the proxy answered at their deadline, not the router. */
    int backstopCount() {
        return backstopCount;
    }

    /** Returns the number of timers of the router that have not fired yet. */
    int pendingTimerCount() {
        return pendingTimerCount;
    }

    void endpointListReceived(EndpointListKind kind, long version, List<Node> entries) {
        dispatch(() -> router.endpointListReceived(eventQueue.now(), kind, version, entries, this));
    }

    /** The operators start or end a node's maintenance. */
    void setMaintenance(String node, boolean inMaintenance) {
        if (!dead) {
            dispatch(() -> router.setMaintenance(eventQueue.now(), node, inMaintenance, this));
        }
    }

    void requestReceived(Request request, Client client) {
        // A paused proxy reads the request when it resumes, and its budget starts then.
        if (dead || deferIfPaused(() -> requestReceived(request, client))) {
            return;
        }
        ActiveRequest active =
                new ActiveRequest(request, client, eventQueue.now() + request.budgetMs());
        activeRequests.put(request.id(), active);
        eventQueue.scheduleAt(
                active.deadline + settings.rules().answerSlackMs(), () -> enforceDeadline(active));
        dispatch(() -> router.requestReceived(eventQueue.now(), request, this));
    }

    void clientDisconnected(String id) {
        if (deferIfPaused(() -> clientDisconnected(id))) {
            return;
        }
        ActiveRequest active = activeRequests.get(id);
        if (active != null && !active.finished) {
            finish(active);
            dispatch(() -> router.clientDisconnected(eventQueue.now(), id, this));
        }
    }

    /**
     * An attempt has ended; {@code bodyAttempt} is the attempt that a served body names, or 0. Does
     * nothing if the attempt is not pending any more.
     */
    void attemptEnded(String id, int attempt, Outcome outcome, int cacheStatus, long bodyAttempt) {
        if (deferIfPaused(() -> attemptEnded(id, attempt, outcome, cacheStatus, bodyAttempt))) {
            return;
        }
        ActiveRequest active = activeRequests.get(id);
        if (active == null || active.pendingAttempt != attempt) {
            return;
        }
        active.pendingAttempt = -1;
        active.provenNotRun &= outcome.provesNotRun();
        if (outcome == Outcome.OK && !active.finished) {
            finish(active);
            active.client.onResponse(OK, Double.NaN, bodyAttempt);
        }
        reportAttemptEnd(
                id,
                active,
                attempt,
                active.pendingNode,
                outcome,
                eventQueue.now() - active.sentAt,
                cacheStatus);
    }

    private void reportAttemptEnd(
            String id,
            ActiveRequest active,
            int attempt,
            String node,
            Outcome outcome,
            double elapsedMs,
            int cacheStatus) {
        boolean finished = active == null || active.finished;
        if (active != null && active.finished && active.pendingAttempt < 0) {
            activeRequests.remove(id, active);
        }
        network.outcomeObserved(this, node, outcome, elapsedMs, false);
        dispatch(
                () ->
                        router.attemptEnded(
                                eventQueue.now(),
                                new AttemptEnd(
                                        id,
                                        attempt,
                                        node,
                                        outcome,
                                        elapsedMs,
                                        finished,
                                        cacheStatus,
                                        Map.of()),
                                this));
    }

    void probeCompleted(String node, Outcome outcome, double elapsedMs) {
        if (deferIfPaused(() -> probeCompleted(node, outcome, elapsedMs))) {
            return;
        }
        network.outcomeObserved(this, node, outcome, elapsedMs, true);
        dispatch(
                () ->
                        router.probeCompleted(
                                eventQueue.now(), node, outcome, elapsedMs, Map.of(), this));
    }

    void suspicionChanged(String node, boolean suspected) {
        dispatch(() -> router.suspicionChanged(eventQueue.now(), node, suspected, this));
    }

    /**
     * Calls the router and then performs the actions that it asked for. Calls that arise meanwhile
     * are queued, so that the router is never called recursively.
     */
    private void dispatch(Runnable event) {
        if (dead) {
            return;
        }
        if (deferIfPaused(() -> dispatch(event))) {
            return;
        }
        events.add(event);
        if (dispatching) {
            return;
        }
        dispatching = true;
        while (!events.isEmpty() && !dead) {
            events.remove().run();
            List<Runnable> actions = List.copyOf(pendingActions);
            pendingActions.clear();
            actions.forEach(Runnable::run);
        }
        dispatching = false;
    }

    /** Answers a request that the router has left unanswered beyond its deadline and the slack. */
    private void enforceDeadline(ActiveRequest active) {
        if (deferIfPaused(() -> enforceDeadline(active))) {
            return;
        }
        if (!active.finished && !dead) {
            backstopCount++;
            if (active.pendingAttempt >= 0) {
                cancelPendingAttempt(active);
            }
            if (active.provenNotRun) {
                respond(active, SERVICE_UNAVAILABLE, Double.NaN);
            } else {
                respond(active, BAD_GATEWAY, Double.NaN);
            }
            dispatch(() -> router.clientDisconnected(eventQueue.now(), active.request.id(), this));
        }
    }

    private void respond(ActiveRequest active, int status, double retryAfterMs) {
        finish(active);
        active.client.onResponse(status, retryAfterMs, 0);
    }

    private void finish(ActiveRequest active) {
        active.finished = true;
        if (active.pendingAttempt < 0) {
            activeRequests.remove(active.request.id(), active);
        }
    }

    private void cancelPendingAttempt(ActiveRequest active) {
        int attempt = active.pendingAttempt;
        network.abandon(this, active.request.id(), attempt);
        attemptEnded(active.request.id(), attempt, Outcome.CANCELLED, 0, 0);
    }

    /** The time-out of an attempt has expired. */
    void attemptTimedOut(String id, int attempt) {
        if (deferIfPaused(() -> attemptTimedOut(id, attempt))) {
            return;
        }
        ActiveRequest active = activeRequests.get(id);
        if (active != null && active.pendingAttempt == attempt) {
            network.abandon(this, id, attempt);
            attemptEnded(id, attempt, Outcome.TIMEOUT, 0, 0);
        }
    }

    @Override
    public void send(String request, String node, double timeoutMs) {
        pendingActions.add(
                () -> {
                    ActiveRequest active = activeRequests.get(request);
                    int attempt = active == null ? 0 : active.attemptCount++;
                    double remainingMs = active == null ? 0 : active.deadline - eventQueue.now();
                    double waitMs = timeoutMs == 0 ? remainingMs : Math.min(timeoutMs, remainingMs);
                    if (active == null
                            || active.finished
                            || active.pendingAttempt >= 0
                            || waitMs <= 0
                            || attempt >= settings.limits().maxAttempts()) {
                        reportAttemptEnd(request, active, attempt, node, Outcome.NEVER_SENT, 0, 0);
                        return;
                    }
                    active.pendingAttempt = attempt;
                    active.pendingNode = node;
                    active.sentAt = eventQueue.now();
                    eventQueue.scheduleIn(waitMs, () -> attemptTimedOut(request, attempt));
                    network.send(this, request, attempt, node, waitMs);
                });
    }

    @Override
    public void probe(String node) {
        pendingActions.add(() -> network.probe(this, node));
    }

    @Override
    public void cancel(String request, int attempt) {
        pendingActions.add(
                () -> {
                    ActiveRequest active = activeRequests.get(request);
                    if (active != null && active.pendingAttempt == attempt) {
                        cancelPendingAttempt(active);
                    }
                });
    }

    @Override
    public void reject(String request, double retryAfterMs) {
        pendingActions.add(
                () ->
                        ifUnfinished(
                                request,
                                active ->
                                        respond(
                                                active,
                                                SERVICE_UNAVAILABLE,
                                                retryAfterMs > 0 ? retryAfterMs : Double.NaN)));
    }

    @Override
    public void fail(String request) {
        pendingActions.add(
                () -> ifUnfinished(request, active -> respond(active, BAD_GATEWAY, Double.NaN)));
    }

    private void ifUnfinished(String request, java.util.function.Consumer<ActiveRequest> action) {
        ActiveRequest active = activeRequests.get(request);
        if (active != null && !active.finished) {
            action.accept(active);
        }
    }

    @Override
    public void scheduleTimer(double atMs, String token) {
        pendingActions.add(
                () -> {
                    pendingTimerCount++;
                    eventQueue.scheduleAt(
                            atMs,
                            () -> {
                                pendingTimerCount--;
                                dispatch(() -> router.timerFired(eventQueue.now(), token, this));
                            });
                });
    }
}
