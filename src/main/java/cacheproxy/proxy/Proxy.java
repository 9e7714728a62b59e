package cacheproxy.proxy;

import cacheproxy.Router;
import cacheproxy.Router.Actions;
import cacheproxy.Router.AttemptEnd;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import cacheproxy.Router.Settings;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Connects the decision module to the sockets. Every event becomes one call of the module, and the
 * actions that the module requests are executed in order after that call has returned. Everything
 * runs on a single event loop, so there are no locks.
 */
final class Proxy implements Actions {

    private static final double NANOS_PER_MS = 1e6;

    /** The timeout by which the module requests an attempt that lasts until the deadline. */
    private static final double UNTIL_DEADLINE = 0;

    /**
     * How late a request may have been read, in milliseconds; its client's time runs from when it
     * was sent. This is subtracted from the budget that a node is sent, limited to {@link
     * #MAX_READ_DELAY_FRACTION} of it. Together they ensure that even after a stall of {@link
     * Router#MAX_PROCESSING_DELAY_MS} the node gets no more than the client's remaining time plus
     * the 0.15 s of tolerance in the service agreement.
     */
    private static final double MAX_READ_DELAY_MS = 25;

    private static final double MAX_READ_DELAY_FRACTION = 0.25;

    /**
     * How long after a client's earliest possible deadline its request may still be answered, in
     * milliseconds, if the client may also have begun to wait later. It must get its answer within
     * half a second of its deadline; the rest of that is left to delays of this process.
     */
    private static final double MAX_DEADLINE_UNCERTAINTY_MS = 250;

    /**
     * Delay after which a timer is repeated if handling it failed. Otherwise a single fault would
     * stop all later control intervals.
     */
    private static final double TIMER_RETRY_DELAY_MS = 1000;

    /** The client's side of a request. */
    interface Client {
        /** Whether the client is known to have disconnected. If so, its connection is closed. */
        boolean hasDisconnected();

        /**
         * Whether the client is there, asked before an attempt begins. To find out, input behind
         * the request in progress may be given up.
         */
        ClientChannel.Presence presence();

        void onServed(FullHttpResponse response);

        void onRejected(double retryAfterMs);

        void onFailed();

        /**
         * A streamed response begins. The request is complete for this proxy; the client's side
         * consumes the body.
         */
        UpstreamAttempt.BodyConsumer onStreamedResponse(
                HttpResponse head, UpstreamAttempt upstreamAttempt);
    }

    /** Is notified on the event loop of what this proxy observes of the nodes. */
    interface NodeObserver {
        void onEndpointList(EndpointListKind kind, List<Router.Node> nodes);

        void onAttemptSent(String node);

        void onAttemptEnded(String node, Outcome outcome, double elapsedMs);

        void onProbeCompleted(String node, Outcome outcome);
    }

    private interface RouterEvent {
        void deliver(double now);
    }

    private record QueuedEvent(RouterEvent event, Runnable fallback) {}

    private final EventLoop loop;
    private final Clock clock;
    private final Settings settings;
    private final Router router;
    private final NodePool pool;
    private final int maxOpenRequests;
    private final Map<String, Call> calls = new HashMap<>();

    /** For each class with idempotency keys, how long its requests may be repeated. */
    private final Map<String, Double> repeatWindowsMs;

    /** Classes whose requests may run more than once. */
    private final Set<String> repeatableClasses;

    /** Null until the start, unless it is shared with another process. */
    private RequestIds requestIds;

    private final Queue<QueuedEvent> queuedEvents = new ArrayDeque<>();
    private final List<Runnable> requestedActions = new ArrayList<>();
    private final RequestTally tally = new RequestTally();
    private final RequestLog requestLog;
    private final IncompleteResponsePolicy incompleteResponses;
    private Runnable discoverySubscriber = () -> {};
    private Runnable endpointListListener = () -> {};
    private Consumer<byte[]> peerSender = contents -> {};

    /** Null if observations are not shared. */
    private NodeObserver nodeObserver;

    private boolean dispatching;

    /** Whether the process is terminating and the final responses have been sent. */
    private boolean terminating;

    private int pendingRequests;
    private String originId = "";

    Proxy(
            EventLoop loop,
            Clock clock,
            Settings settings,
            Router router,
            NodePool pool,
            int maxOpenRequests) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        this.router = router;
        this.pool = pool;
        this.maxOpenRequests = maxOpenRequests;
        this.incompleteResponses = new IncompleteResponsePolicy(loop, clock);
        this.requestLog = new RequestLog(clock, tally);
        this.repeatableClasses =
                settings.classes().stream()
                        .filter(c -> c.effect() == Router.Effect.SAFE)
                        .map(Router.ServiceClass::name)
                        .collect(Collectors.toSet());
        this.repeatWindowsMs =
                settings.classes().stream()
                        .filter(c -> c.effect() == Router.Effect.KEYED)
                        .collect(
                                Collectors.toMap(
                                        Router.ServiceClass::name,
                                        Router.ServiceClass::repeatWindowMs,
                                        (a, b) -> b));
    }

    /**
     * Sets the callbacks that subscribe to discovery and send to peers. They are set later because
     * both components need this proxy first.
     */
    void setOutputs(Runnable subscriber, Consumer<byte[]> sender) {
        discoverySubscriber = subscriber;
        peerSender = sender;
    }

    /**
     * Sets the action that runs after each endpoint list update, once the module knows the update
     * and its actions have been executed.
     */
    void setEndpointListListener(Runnable listener) {
        endpointListListener = listener;
    }

    /** Stops logging what becomes of single requests. */
    void disableRequestLog() {
        requestLog.disable();
    }

    /** Sets the table that this process shares with others; call before {@link #start}. */
    void setRequestIds(RequestIds shared) {
        requestIds = shared;
    }

    /** Sets the observer; call before {@link #start}. */
    void setNodeObserver(NodeObserver observer) {
        nodeObserver = observer;
    }

    void start(EndpointListUpdate storedList) {
        requestIds = requestIds == null ? RequestIds.ofProcess() : requestIds;
        dispatch(now -> router.started(now, this), () -> {});
        if (storedList != null) {
            endpointListReceived(EndpointListKind.STORED_SNAPSHOT, storedList);
        }
    }

    /** Number of requests without a final response. */
    int pendingRequests() {
        return pendingRequests;
    }

    RequestTally tally() {
        return tally;
    }

    // Events from the sockets

    /** The module's description of its state, for the log. */
    String describeState() {
        return router.describeState();
    }

    int controlLevel() {
        return router.controlLevel();
    }

    /** The origin's id; empty until an endpoint list has contained the origin. */
    String originId() {
        return originId;
    }

    void endpointListReceived(EndpointListKind kind, EndpointListUpdate update) {
        update.nodes().stream()
                .filter(n -> n.model() != null && n.model().equals(settings.originModel()))
                .forEach(n -> originId = n.id());
        Runnable cancellations = pool.applyEndpointList(update);
        if (nodeObserver != null) {
            nodeObserver.onEndpointList(
                    kind, update.nodes().stream().filter(n -> !n.id().equals(originId)).toList());
        }
        dispatch(
                now ->
                        router.endpointListReceived(
                                now, kind, update.version(), update.nodes(), this),
                () -> {});
        cancellations.run();
        endpointListListener.run();
    }

    /** Whether any endpoint list has contained this cache node. */
    boolean isKnownCacheNode(String node) {
        return router.isKnownCacheNode(node);
    }

    /**
     * Starts or ends maintenance of a cache node on behalf of the operators. Returns false if the
     * module did not accept the change.
     */
    boolean setMaintenance(String node, boolean active) {
        boolean[] accepted = new boolean[1];
        dispatch(now -> accepted[0] = router.setMaintenance(now, node, active, this), () -> {});
        return accepted[0];
    }

    void discoveryFailed() {
        dispatch(
                now ->
                        router.endpointListReceived(
                                now, EndpointListKind.FAILED, 0, List.of(), this),
                () -> {});
    }

    /** Peers suspect a node, or no longer do. */
    void suspicionChanged(String node, boolean suspected) {
        dispatch(now -> router.suspicionChanged(now, node, suspected, this), () -> {});
    }

    void peerMessageReceived(int from, byte[] contents) {
        dispatch(now -> router.peerMessageReceived(now, from, contents, this), () -> {});
    }

    /** Whether a request with this id is open; a second one's response would be ambiguous. */
    boolean isRequestOpen(String id) {
        return calls.containsKey(id);
    }

    /** Takes a client's request and the ownership of its payload. */
    void requestReceived(Request request, Payload payload, Client client) {
        tally.requests++;
        if (terminating || calls.size() >= maxOpenRequests) {
            // Above the configured limit, or after the final responses, the module is not asked.
            // Nothing has run, so the rejection is truthful.
            tally.refused++;
            requestLog.requestNotAccepted(
                    request, terminating ? EndCause.SHUTDOWN : EndCause.REQUEST_LIMIT);
            payload.release();
            client.onRejected(0);
            return;
        }
        if (!mayRunTwice(request) && !requestIds.claim(request.id(), clock.now())) {
            tally.failed++;
            requestLog.requestNotAccepted(request, EndCause.REPEATED_ID);
            payload.release();
            client.onFailed();
            return;
        }
        Call call = new Call(request, payload, client, clock.now());
        calls.put(request.id(), call);
        pendingRequests++;
        call.deadlineTimer =
                loop.schedule(
                        () -> deadlinePassed(call),
                        clock.nanosUntil(call.deadlineMs + settings.rules().answerSlackMs()),
                        TimeUnit.NANOSECONDS);
        if (payload.upload() != null) {
            payload.upload().onComplete(() -> uploadCompleted(call));
        }
        dispatch(
                now -> router.requestReceived(now, request, this),
                () -> answerForModule(call, EndCause.MODULE_FAULT));
        if (payload.upload() != null) {
            watchUpload(call);
        }
    }

    /**
     * The request's body is complete, so the client's time has started. The module only knows the
     * latest possible deadline, so the actual one is enforced here.
     */
    private void uploadCompleted(Call call) {
        if (call.finished) {
            return;
        }
        call.uploadEndMs = clock.now();
        call.earliestDeadlineMs = earliestDeadlineMs(call);
        setDeadline(call, answerByMs(call));
    }

    /** The client's deadline if it wrote the end of its body as early as that is possible. */
    private double earliestDeadlineMs(Call call) {
        return unixMs(call.payload.upload().earliestEndNanos()) + call.clientRequest.budgetMs();
    }

    /**
     * When a request with a streamed body has to be answered: a whole budget after the end of the
     * body was received, unless the client may have written that end much earlier.
     */
    private double answerByMs(Call call) {
        double latestDeadlineMs =
                unixMs(call.payload.upload().latestEndNanos()) + call.clientRequest.budgetMs();
        return Math.min(latestDeadlineMs, earliestDeadlineMs(call) + MAX_DEADLINE_UNCERTAINTY_MS);
    }

    /** The time on this proxy's clock of a past {@link System#nanoTime()}. */
    private double unixMs(long nanos) {
        return clock.now() - (System.nanoTime() - nanos) / NANOS_PER_MS;
    }

    private void setDeadline(Call call, double deadlineMs) {
        call.deadlineMs = deadlineMs;
        double latestEndMs = latestEndMs(deadlineMs);
        call.deadlineTimer.cancel(false);
        call.deadlineTimer =
                loop.schedule(
                        () -> deadlinePassed(call),
                        clock.nanosUntil(latestEndMs),
                        TimeUnit.NANOSECONDS);
        if (call.pendingAttempt != null) {
            call.pendingAttempt.setTimeout(latestEndMs - clock.now());
        }
    }

    /** When a request with the deadline has to be ended, to be answered by then. */
    private double latestEndMs(double deadlineMs) {
        return deadlineMs - 2 * settings.tickMs();
    }

    /**
     * Ends a request whose body is incomplete because its node does not take it, once its client
     * may have written all of it a whole budget ago.
     */
    private void watchUpload(Call call) {
        Upload upload = call.payload.upload();
        if (call.finished || upload.isComplete()) {
            return;
        }
        double remainingMs = latestEndMs(answerByMs(call)) - clock.now();
        if (remainingMs <= 0) {
            cancelPending(call);
            answerForModule(call, EndCause.BODY_NOT_ACCEPTED);
        } else {
            loop.schedule(
                    () -> watchUpload(call),
                    (long) (remainingMs * NANOS_PER_MS),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Cancels the attempt in flight; one that is not completely written has not run. */
    private void cancelPending(Call call) {
        if (call.pendingAttempt != null) {
            call.pendingAttempt.cancelIfUnwritten();
        }
        if (call.pendingAttempt != null) {
            call.pendingAttempt.cancel();
        }
    }

    private boolean mayRunTwice(Request request) {
        return repeatableClasses.contains(request.service());
    }

    void clientDisconnected(String id) {
        Call call = calls.get(id);
        if (call != null && !call.finished) {
            closeForDisconnect(call);
        }
    }

    private void closeForDisconnect(Call call) {
        tally.gone++;
        requestLog.requestEnded(call, EndCause.CLIENT_DISCONNECTED);
        markFinished(call);
        notifyDisconnected(call);
    }

    /**
     * Whether an attempt may begin. Asks the client's side, because a disconnect may not have been
     * read yet if the event loop is late or reading is paused. If that can't be told the request is
     * answered now: nothing may begin for a client that has left, and one that is there is owed an
     * answer.
     */
    private boolean mayBeginAttempt(Call call) {
        ClientChannel.Presence presence =
                call.finished ? ClientChannel.Presence.CLOSED : call.client.presence();
        if (!call.finished && presence == ClientChannel.Presence.CLOSED) {
            closeForDisconnect(call);
        } else if (presence == ClientChannel.Presence.UNKNOWN) {
            answerAsProven(call, EndCause.CLIENT_PRESENCE_UNKNOWN);
            notifyDisconnected(call);
        }
        return !call.finished;
    }

    /** Whether a response of which a part has arrived is still wanted. */
    private boolean isWanted(Call call) {
        if (!call.finished && call.client.hasDisconnected()) {
            closeForDisconnect(call);
        }
        return !call.finished;
    }

    private void attemptEnded(
            Call call,
            int attempt,
            String node,
            double sentAt,
            UpstreamAttempt upstreamAttempt,
            Outcome outcome,
            FullHttpResponse response) {
        call.pendingAttempt = null;
        call.provenNotRun &= outcome.provesNotRun();
        call.lastOutcome = outcome;
        countOutcome(node, outcome);
        requestLog.attemptEnded(call, attempt, upstreamAttempt, sentAt, outcome);
        if (outcome == Outcome.OK && node.equals(originId)) {
            tally.addServedFetch(clock.now() - sentAt);
        }
        if (outcome == Outcome.OK && !call.finished) {
            tally.served++;
            markFinished(call);
            call.client.onServed(response);
        }
        notifyAttemptEnded(
                call,
                attempt,
                node,
                outcome,
                clock.now() - Math.max(sentAt, call.uploadEndMs),
                cacheStatus(response));
    }

    private void notifyAttemptEnded(
            Call call,
            int attempt,
            String node,
            Outcome outcome,
            double elapsedMs,
            int cacheStatus) {
        if (nodeObserver != null && !node.equals(originId)) {
            nodeObserver.onAttemptEnded(node, outcome, elapsedMs);
        }
        reportToRouter(
                call.clientRequest.id(), call, attempt, node, outcome, elapsedMs, cacheStatus);
    }

    /**
     * A streamed response has begun. It cannot be requested from another node any more, so no
     * decisions remain for the request. The module is notified of a success whose duration is the
     * time to the first bytes.
     */
    private UpstreamAttempt.BodyConsumer streamingStarted(
            Call call,
            int attempt,
            String node,
            double sentAt,
            UpstreamAttempt upstreamAttempt,
            HttpResponse head) {
        call.pendingAttempt = null;
        call.lastOutcome = Outcome.OK;
        call.provenNotRun = false;
        countOutcome(node, Outcome.OK);
        UpstreamAttempt.BodyConsumer consumer = null;
        if (!call.finished) {
            tally.served++;
            markFinished(call);
            consumer = call.client.onStreamedResponse(head, upstreamAttempt);
            incompleteResponses.streamingStarted(upstreamAttempt, head, call.deadlineMs);
        }
        notifyAttemptEnded(
                call,
                attempt,
                node,
                Outcome.OK,
                clock.now() - Math.max(sentAt, call.uploadEndMs),
                cacheStatus(head));
        return consumer;
    }

    private boolean acceptsIncompleteResponse(Call call, double quietMs) {
        return isWanted(call)
                && incompleteResponses.accepts(
                        call.deadlineMs, call.clientRequest.budgetMs(), quietMs);
    }

    private void countOutcome(String node, Outcome outcome) {
        tally.countAttempt(node.equals(originId), outcome);
    }

    private void reportToRouter(
            String id,
            Call call,
            int attempt,
            String node,
            Outcome outcome,
            double elapsedMs,
            int cacheStatus) {
        boolean finished = call == null || call.finished;
        if (call != null) {
            removeIfDone(call);
        }
        AttemptEnd end =
                new AttemptEnd(
                        id, attempt, node, outcome, elapsedMs, finished, cacheStatus, Map.of());
        dispatch(
                now -> router.attemptEnded(now, end, this),
                call == null ? () -> {} : () -> answerForModule(call, EndCause.MODULE_FAULT));
    }

    // Calls of the decision module, one at a time

    /**
     * Notifies the module of an event. While the module is being called or its actions are being
     * executed the event is queued: the module must not be re-entered, and its actions must take
     * effect in the order in which it requested them.
     */
    private void dispatch(RouterEvent event, Runnable fallback) {
        queuedEvents.add(new QueuedEvent(event, fallback));
        if (dispatching) {
            return;
        }
        dispatching = true;
        while (!queuedEvents.isEmpty()) {
            QueuedEvent next = queuedEvents.remove();
            boolean failed = !runGuarded(() -> next.event().deliver(clock.now()));
            requestedActions.forEach(this::runGuarded);
            requestedActions.clear();
            if (failed) {
                runGuarded(next.fallback());
            }
        }
        dispatching = false;
    }

    /** Runs an action so that a fault in it does not end the process and all other requests. */
    private boolean runGuarded(Runnable action) {
        try {
            action.run();
            return true;
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            Log.error("decision_failed", e);
            return false;
        }
    }

    /**
     * Answers a request in place of the module, which has failed or has not answered in time. The
     * request is rejected only if it provably has not run, because a rejection promises that;
     * otherwise it fails.
     */
    private void answerForModule(Call call, EndCause cause) {
        if (call.finished || call.pendingAttempt != null) {
            return;
        }
        answerAsProven(call, cause);
        notifyDisconnected(call);
    }

    /** Notifies the module that its decisions on a request are not needed any more. */
    private void notifyDisconnected(Call call) {
        dispatch(now -> router.clientDisconnected(now, call.clientRequest.id(), this), () -> {});
    }

    /** Rejects a request that provably has not run, and fails any other. */
    private void answerAsProven(Call call, EndCause cause) {
        if (call.provenNotRun) {
            rejectNow(call, 0, cause);
        } else {
            failNow(call, cause);
        }
    }

    /** The module should have answered by now; without an answer the request would be lost. */
    private void deadlinePassed(Call call) {
        if (!call.finished) {
            requestLog.requestOverdue(call);
            cancelPending(call);
            answerForModule(call, EndCause.DEADLINE);
        }
    }

    /** Answers all open requests as the process terminates; later requests are rejected. */
    void answerPendingRequests() {
        terminating = true;
        for (Call call : List.copyOf(calls.values())) {
            if (call.finished) {
                continue;
            }
            Call.PendingAttempt pending = call.pendingAttempt;
            if (call.provenNotRun && (pending == null || !pending.isWritten())) {
                rejectNow(call, 0, EndCause.SHUTDOWN);
            } else {
                failNow(call, EndCause.SHUTDOWN);
            }
            if (pending != null) {
                pending.cancel();
            }
            notifyDisconnected(call);
        }
    }

    // Actions of the decision module, executed after its call has returned

    @Override
    public void send(String request, String node, double timeoutMs) {
        requestedActions.add(() -> sendNow(request, node, timeoutMs));
    }

    @Override
    public void cancel(String request, int attempt) {
        requestedActions.add(
                () -> {
                    Call call = calls.get(request);
                    if (call != null
                            && call.pendingAttempt != null
                            && call.attemptCount - 1 == attempt) {
                        call.pendingAttempt.cancel();
                    }
                });
    }

    @Override
    public void reject(String request, double retryAfterMs) {
        requestedActions.add(
                () -> ifOpen(request, call -> rejectNow(call, retryAfterMs, EndCause.DECISION)));
    }

    @Override
    public void fail(String request) {
        requestedActions.add(() -> ifOpen(request, call -> failNow(call, EndCause.DECISION)));
    }

    @Override
    public void scheduleTimer(double atMs, String token) {
        requestedActions.add(() -> scheduleTimerNow(atMs, token));
    }

    @Override
    public void subscribe() {
        requestedActions.add(discoverySubscriber);
    }

    @Override
    public void probe(String node) {
        requestedActions.add(() -> probeNow(node));
    }

    @Override
    public void sendToPeers(byte[] contents) {
        // The module may reuse its array before this is sent.
        byte[] copy = Arrays.copyOf(contents, contents.length);
        requestedActions.add(() -> peerSender.accept(copy));
    }

    @Override
    public void closeIdleConnections(String node) {
        requestedActions.add(() -> pool.closeIdle(node));
    }

    private void ifOpen(String request, Consumer<Call> action) {
        Call call = calls.get(request);
        if (call != null && !call.finished) {
            action.accept(call);
        }
    }

    private void rejectNow(Call call, double retryAfterMs, EndCause cause) {
        tally.countRefused(call.lastOutcome);
        requestLog.requestEnded(call, cause);
        markFinished(call);
        call.client.onRejected(retryAfterMs);
    }

    private void failNow(Call call, EndCause cause) {
        tally.failed++;
        requestLog.requestEnded(call, cause);
        markFinished(call);
        call.client.onFailed();
    }

    private void markFinished(Call call) {
        call.finished = true;
        if (call.payload.upload() != null) {
            call.payload.upload().discard();
        }
        pendingRequests--;
        call.deadlineTimer.cancel(false);
        if (call.pendingAttempt != null) {
            // The response is not wanted any more, so an unwritten attempt must not be written.
            call.pendingAttempt.cancelIfUnwritten();
        }
        removeIfDone(call);
    }

    private void removeIfDone(Call call) {
        if (call.finished
                && call.pendingAttempt == null
                && calls.remove(call.clientRequest.id(), call)) {
            call.payload.release();
            if (call.provenNotRun && !mayRunTwice(call.clientRequest)) {
                requestIds.release(call.clientRequest.id());
            }
        }
    }

    private void scheduleTimerNow(double atMs, String token) {
        loop.schedule(
                () ->
                        dispatch(
                                now -> router.timerFired(now, token, this),
                                () -> scheduleTimerNow(clock.now() + TIMER_RETRY_DELAY_MS, token)),
                clock.nanosUntil(atMs),
                TimeUnit.NANOSECONDS);
    }

    private void sendNow(String request, String node, double timeoutMs) {
        Call call = calls.get(request);
        int attempt = call == null ? 0 : call.attemptCount++;
        double now = clock.now();
        double remainingMs = call == null ? 0 : call.deadlineMs - now;
        double attemptTimeoutMs =
                timeoutMs == UNTIL_DEADLINE ? remainingMs : Math.min(timeoutMs, remainingMs);
        double writeWithinMs = call == null ? 0 : remainingRepeatWindowMs(call, now);
        // Nothing is sent for a request that is finished or late, that has used up its attempts, or
        // that has another attempt in flight.
        if (call == null
                || call.finished
                || call.pendingAttempt != null
                || attemptTimeoutMs <= 0
                || attempt >= settings.limits().maxAttempts()
                || call.isUploadConsumed()
                || writeWithinMs <= 0) {
            countOutcome(node, Outcome.NEVER_SENT);
            reportToRouter(request, call, attempt, node, Outcome.NEVER_SENT, 0, 0);
            return;
        }
        double attemptEndMs = now + attemptTimeoutMs;
        Call.PendingAttempt pending = new Call.PendingAttempt();
        call.pendingAttempt = pending;
        call.lastNode = node;
        if (nodeObserver != null && !node.equals(originId)) {
            nodeObserver.onAttemptSent(node);
        }
        call.firstSentAtMs = call.provenNotRun ? now : call.firstSentAtMs;
        Upload upload = call.payload.upload();
        // With a streamed body the attempt may take all of the client's remaining time.
        double limitMs = upload == null ? attemptTimeoutMs : remainingMs;
        pending.upstream =
                pool.send(
                        node,
                        () ->
                                call.payload.newNodeRequest(
                                        request, statedBudgetMs(call, attemptEndMs)),
                        upload,
                        limitMs,
                        writeWithinMs,
                        new UpstreamAttempt.Listener() {
                            @Override
                            public boolean isWanted() {
                                return mayBeginAttempt(call);
                            }

                            @Override
                            public void onEnded(
                                    UpstreamAttempt upstreamAttempt,
                                    Outcome outcome,
                                    FullHttpResponse response) {
                                Proxy.this.attemptEnded(
                                        call,
                                        attempt,
                                        node,
                                        now,
                                        upstreamAttempt,
                                        outcome,
                                        response);
                            }

                            @Override
                            public boolean acceptsIncompleteResponse(double quietMs) {
                                return Proxy.this.acceptsIncompleteResponse(call, quietMs);
                            }

                            @Override
                            public UpstreamAttempt.BodyConsumer onStreamedResponse(
                                    UpstreamAttempt upstreamAttempt, HttpResponse head) {
                                return Proxy.this.streamingStarted(
                                        call, attempt, node, now, upstreamAttempt, head);
                            }

                            @Override
                            public void onStreamBroken(StreamEnd end, long streamedBytes) {
                                requestLog.streamBroken(call, end, streamedBytes);
                            }
                        });
    }

    /**
     * The budget that an attempt states to its node, in milliseconds, computed when the request is
     * written. While the body is still arriving the client's time has not started.
     */
    private double statedBudgetMs(Call call, double attemptEndMs) {
        Upload upload = call.payload.upload();
        if (upload != null && !upload.isComplete()) {
            return call.clientRequest.budgetMs();
        }
        double endMs = upload == null ? attemptEndMs : call.earliestDeadlineMs;
        double remainingMs = Math.max(0, endMs - clock.now());
        return remainingMs - Math.min(MAX_READ_DELAY_MS, MAX_READ_DELAY_FRACTION * remainingMs);
    }

    /**
     * Time in milliseconds within which a further attempt may still be written. If an earlier
     * attempt may have run, this is limited to the time for which nodes remember its key, less the
     * time for which this process may stall before it writes. The module respects that limit when
     * it decides, but the attempt may then wait for a connection.
     */
    private double remainingRepeatWindowMs(Call call, double now) {
        double windowMs =
                call.provenNotRun
                        ? Double.POSITIVE_INFINITY
                        : repeatWindowsMs.getOrDefault(
                                call.clientRequest.service(), Double.POSITIVE_INFINITY);
        return call.firstSentAtMs + windowMs - Router.MAX_PROCESSING_DELAY_MS - now;
    }

    private static int cacheStatus(HttpResponse response) {
        return switch (response == null ? "" : response.headers().get("X-Hit", "")) {
            case "hit" -> 1;
            case "miss" -> 2;
            case "pending" -> 3;
            default -> 0;
        };
    }

    private void probeNow(String node) {
        double now = clock.now();
        pool.send(
                node,
                () -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/alive"),
                settings.limits().connectTimeoutMs() * 2,
                (upstreamAttempt, outcome, response) -> {
                    double elapsedMs = clock.now() - now;
                    if (nodeObserver != null) {
                        nodeObserver.onProbeCompleted(node, outcome);
                    }
                    dispatch(
                            at ->
                                    router.probeCompleted(
                                            at, node, outcome, elapsedMs, Map.of(), this),
                            () -> {});
                });
    }
}
