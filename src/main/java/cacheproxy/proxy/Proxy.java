package cacheproxy.proxy;

import cacheproxy.Router;
import cacheproxy.Router.Actions;
import cacheproxy.Router.AttemptEnd;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import cacheproxy.Router.Settings;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Joins the decision module to the sockets: every event becomes one call of the module, and what
 * the module asks for is done in order once that call has returned. All of it runs on the one event
 * loop, so there are no locks.
 */
final class Proxy implements Actions {

    /** A time that the module gives to an attempt when it names none. */
    private static final double UNTIL_DEADLINE = 0;

    /**
     * How late a request may have been read: its client's time runs from when it was sent. Taken
     * off what a node is told, but no more than a part of it, so that with a hold-up of {@link
     * Router#HOLD_UP_MS} the node is still told of no more than the client has left and the slack
     * of 0.15 s that the terms give.
     */
    private static final double MAX_READ_DELAY_MS = 25;

    private static final double MAX_READ_DELAY_FRACTION = 0.25;

    /**
     * When a timer whose handling failed is tried again: without it one fault would end all later
     * intervals.
     */
    private static final double TIMER_RETRY_DELAY_MS = 1000;

    /** The client's side of one request. */
    interface Client {
        /**
         * Whether it waits for no answer any more, as far as it has told up to now; if so its
         * connection ends.
         */
        boolean hasDisconnected();

        void onServed(FullHttpResponse response);

        void onRejected(double retryAfterMs);

        void onFailed();

        /**
         * A long answer begins; the request is over with it, and the client's side has what
         * follows.
         */
        UpstreamAttempt.BodyConsumer onStreamedResponse(
                HttpResponse head, UpstreamAttempt upstreamAttempt);
    }

    /**
     * Who shares with other proxies what this one sees of the nodes; told of it on the event loop.
     */
    interface NodeObserver {
        void onEndpointList(EndpointListKind kind, List<Router.Node> nodes);

        void onAttemptSent(String node);

        void onAttemptEnded(String node, Outcome outcome, double elapsedMs);

        void onProbeCompleted(String node, Outcome outcome);
    }

    /**
     * A request as it goes on to nodes. {@code key} and {@code contentType} are null where it has
     * none. Of one that is too long to be gathered {@code body} is empty, {@code upload} has it,
     * and {@code length} says how long it is, or is negative.
     */
    record Payload(
            HttpMethod method,
            String uri,
            byte[] body,
            String key,
            String contentType,
            Upload upload,
            long length) {}

    /**
     * Counts for the log. Fetches are counted apart: an origin that falters shows in nothing else
     * as soon.
     */
    static final class Tally {
        final int[] lookUps = new int[Outcome.values().length];
        final int[] fetches = new int[Outcome.values().length];

        /**
         * Refusals by how the request's last attempt had ended: what a proxy gives up on, and after
         * what.
         */
        final int[] refusedAfter = new int[Outcome.values().length];

        int refusedUntried;
        private double servedFetchMs;
        int requests;
        int served;
        int refused;
        int failed;
        int gone;

        /** Mean time of the fetches that were served, in milliseconds. */
        long meanFetchMs() {
            return Math.round(servedFetchMs / Math.max(1, fetches[Outcome.OK.ordinal()]));
        }
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

    /** For how long each keyed class may be repeated. */
    private final Map<String, Double> repeatWindowsMs;

    private final Queue<QueuedEvent> queuedEvents = new ArrayDeque<>();
    private final List<Runnable> requestedActions = new ArrayList<>();
    private final Log log = new Log();
    private final Tally tally = new Tally();
    private Runnable discoverySubscriber = () -> {};
    private Runnable endpointListListener = () -> {};
    private Consumer<byte[]> peerSender = contents -> {};

    /** Null where nothing is shared. */
    private NodeObserver nodeObserver;

    private boolean dispatching;

    /** Whether the last answers have been given, as the process ends. */
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
        this.repeatWindowsMs =
                settings.classes().stream()
                        .filter(c -> c.effect() == Router.Effect.KEYED)
                        .collect(
                                Collectors.toMap(
                                        Router.ServiceClass::name,
                                        Router.ServiceClass::repeatWindowMs,
                                        (a, b) -> b));
    }

    /** Names what asks discovery and what tells peers; both need this proxy to be made first. */
    void setOutputs(Runnable subscriber, Consumer<byte[]> sender) {
        discoverySubscriber = subscriber;
        peerSender = sender;
    }

    /** Names what runs once the module knows a list and before anything is sent by it. */
    void setEndpointListListener(Runnable listener) {
        endpointListListener = listener;
    }

    /** Names who is told of what this proxy sees; before {@link #start}. */
    void setNodeObserver(NodeObserver observer) {
        nodeObserver = observer;
    }

    void start(EndpointListUpdate storedList) {
        dispatch(now -> router.started(now, this), () -> {});
        if (storedList != null) {
            endpointListReceived(EndpointListKind.STORED_SNAPSHOT, storedList);
        }
    }

    /** Requests that have no final answer yet. */
    int pendingRequests() {
        return pendingRequests;
    }

    Tally tally() {
        return tally;
    }

    // Events from the sockets.

    /** The module's own account of how it is doing, for the log. */
    String describeState() {
        return router.describeState();
    }

    int controlLevel() {
        return router.controlLevel();
    }

    /** The origin's id; empty as long as no list has named one. */
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

    /** Whether any list ever named this cache node. */
    boolean isKnownCacheNode(String node) {
        return router.isKnownCacheNode(node);
    }

    /**
     * The operators take a cache node out or put it back; false where the module has not taken
     * that.
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

    /** Peers doubt a node, or no longer do. */
    void suspicionChanged(String node, boolean suspected) {
        dispatch(now -> router.suspicionChanged(now, node, suspected, this), () -> {});
    }

    void peerMessageReceived(int from, byte[] contents) {
        dispatch(now -> router.peerMessageReceived(now, from, contents, this), () -> {});
    }

    /** Whether a request with this id is open: its answer and another's could not be told apart. */
    boolean isRequestOpen(String id) {
        return calls.containsKey(id);
    }

    void requestReceived(Request request, Payload payload, Client client) {
        tally.requests++;
        if (terminating || calls.size() >= maxOpenRequests) {
            // Beyond what the settings allow, or after the last answers, the module is not asked;
            // nothing ran, so this promise is true.
            tally.refused++;
            client.onRejected(0);
            return;
        }
        Call call =
                new Call(
                        request,
                        payload,
                        client,
                        clock.now() + request.uploadMs() + request.budgetMs());
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
        dispatch(now -> router.requestReceived(now, request, this), () -> answerAfterFault(call));
    }

    /**
     * The client's time runs from here; the module knows no closer end of it than the latest, so
     * this side keeps it.
     */
    private void uploadCompleted(Call call) {
        if (call.finished) {
            return;
        }
        call.uploadEndMs = clock.now();
        call.deadlineMs = call.uploadEndMs + call.clientRequest.budgetMs();
        double latestEndMs = call.deadlineMs - 2 * settings.tickMs();
        call.deadlineTimer.cancel(false);
        call.deadlineTimer =
                loop.schedule(
                        () -> deadlinePassed(call),
                        clock.nanosUntil(latestEndMs),
                        TimeUnit.NANOSECONDS);
        if (call.pendingAttempt != null && call.pendingAttempt.upstream != null) {
            call.pendingAttempt.upstream.setTimeout(latestEndMs - call.uploadEndMs);
        }
    }

    void clientDisconnected(String id) {
        Call call = calls.get(id);
        if (call != null && !call.finished) {
            closeForDisconnect(call);
        }
    }

    private void closeForDisconnect(Call call) {
        tally.gone++;
        markFinished(call);
        dispatch(now -> router.clientDisconnected(now, call.clientRequest.id(), this), () -> {});
    }

    /**
     * Asks the client's own side: that it has left may lie unread, as the loop is late or reading
     * is held back.
     */
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
            Outcome outcome,
            FullHttpResponse response) {
        call.pendingAttempt = null;
        call.provenNotRun &= outcome.provesNotRun();
        call.lastOutcome = outcome;
        countOutcome(node, outcome);
        if (outcome == Outcome.OK && node.equals(originId)) {
            tally.servedFetchMs += clock.now() - sentAt;
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
     * A long answer has begun: all that can be decided on the request has been, as it can't be made
     * elsewhere any more. The module is told that it was answered, after the time until its first
     * bytes.
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
        countOutcome(node, Outcome.OK);
        UpstreamAttempt.BodyConsumer consumer = null;
        if (!call.finished) {
            tally.served++;
            markFinished(call);
            consumer = call.client.onStreamedResponse(head, upstreamAttempt);
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

    private void countOutcome(String node, Outcome outcome) {
        (node.equals(originId) ? tally.fetches : tally.lookUps)[outcome.ordinal()]++;
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
                call == null ? () -> {} : () -> answerAfterFault(call));
    }

    // The module's calls, one at a time.

    /**
     * Tells the module of an event, or queues it if the module is being told of one or its wishes
     * are being done: it must never be entered from within itself, and its wishes must take effect
     * in the order it had them.
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

    /** One fault must not take the process, and with it every other request, along. */
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
     * Answers for a module that failed: a refusal only where provably nothing ran, as it promises
     * just that.
     */
    private void answerAfterFault(Call call) {
        if (call.finished || call.pendingAttempt != null) {
            return;
        }
        if (call.provenNotRun) {
            rejectNow(call, 0);
        } else {
            failNow(call);
        }
        dispatch(now -> router.clientDisconnected(now, call.clientRequest.id(), this), () -> {});
    }

    /** The module owes an answer before this; without one the request would be lost. */
    private void deadlinePassed(Call call) {
        if (!call.finished) {
            log.warnLimited("overdue", "request", call.clientRequest.id());
            if (call.pendingAttempt != null) {
                call.pendingAttempt.cancel();
            }
            answerAfterFault(call);
        }
    }

    /** The process ends: whatever is open has its answer now, and what still comes is refused. */
    void answerPendingRequests() {
        terminating = true;
        for (Call call : List.copyOf(calls.values())) {
            if (call.finished) {
                continue;
            }
            PendingAttempt pending = call.pendingAttempt;
            if (call.provenNotRun && (pending == null || !pending.isWritten())) {
                rejectNow(call, 0);
            } else {
                failNow(call);
            }
            if (pending != null) {
                pending.cancel();
            }
            dispatch(
                    now -> router.clientDisconnected(now, call.clientRequest.id(), this), () -> {});
        }
    }

    // What the module asks for. Each is done after the module has returned.

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
        requestedActions.add(() -> ifOpen(request, call -> rejectNow(call, retryAfterMs)));
    }

    @Override
    public void fail(String request) {
        requestedActions.add(() -> ifOpen(request, this::failNow));
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
        // The module may use its array again before this is sent.
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

    private void rejectNow(Call call, double retryAfterMs) {
        tally.refused++;
        if (call.lastOutcome == null) {
            tally.refusedUntried++;
        } else {
            tally.refusedAfter[call.lastOutcome.ordinal()]++;
        }
        markFinished(call);
        call.client.onRejected(retryAfterMs);
    }

    private void failNow(Call call) {
        tally.failed++;
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
            // Nobody waits for it any more: if it has not been written it never is.
            call.pendingAttempt.cancelIfUnwritten();
        }
        removeIfDone(call);
    }

    private void removeIfDone(Call call) {
        if (call.finished && call.pendingAttempt == null) {
            calls.remove(call.clientRequest.id(), call);
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
        // Nothing goes out for a request that is over or late, past the attempts allowed, or beside
        // another of its own.
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
        PendingAttempt pending = new PendingAttempt();
        call.pendingAttempt = pending;
        if (nodeObserver != null && !node.equals(originId)) {
            nodeObserver.onAttemptSent(node);
        }
        call.firstSentAtMs = call.provenNotRun ? now : call.firstSentAtMs;
        Upload upload = call.payload.upload();
        // The time of a body that is still coming is its client's.
        double limitMs = upload == null ? attemptTimeoutMs : remainingMs;
        pending.upstream =
                pool.send(
                        node,
                        () -> call.newNodeRequest(statedBudgetMs(call, attemptEndMs)),
                        upload,
                        limitMs,
                        writeWithinMs,
                        new UpstreamAttempt.Listener() {
                            @Override
                            public boolean isWanted() {
                                return Proxy.this.isWanted(call);
                            }

                            @Override
                            public void onEnded(
                                    UpstreamAttempt upstreamAttempt,
                                    Outcome outcome,
                                    FullHttpResponse response) {
                                Proxy.this.attemptEnded(
                                        call, attempt, node, now, outcome, response);
                            }

                            @Override
                            public UpstreamAttempt.BodyConsumer onStreamedResponse(
                                    UpstreamAttempt upstreamAttempt, HttpResponse head) {
                                return Proxy.this.streamingStarted(
                                        call, attempt, node, now, upstreamAttempt, head);
                            }
                        });
    }

    /**
     * The time that an attempt tells its node, in milliseconds, read as it is written. Of a body
     * that is still coming its client's time has not begun.
     */
    private double statedBudgetMs(Call call, double attemptEndMs) {
        Upload upload = call.payload.upload();
        if (upload != null && !upload.isComplete()) {
            return call.clientRequest.budgetMs();
        }
        double remainingMs = (upload == null ? attemptEndMs : call.deadlineMs) - clock.now();
        return remainingMs - Math.min(MAX_READ_DELAY_MS, MAX_READ_DELAY_FRACTION * remainingMs);
    }

    /**
     * How long from now a further attempt may still be written: where an earlier one may have run,
     * no longer than nodes know its key, less the time for which this process may be held up before
     * it writes. The module minds that when it decides, but what it decides may wait for a
     * connection.
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

    /** The attempt that is out; the pool may end it before it has handed the exchange over. */
    private static final class PendingAttempt {
        private UpstreamAttempt upstream;

        boolean isWritten() {
            return upstream != null && upstream.written;
        }

        void cancelIfUnwritten() {
            if (upstream != null) {
                upstream.cancelIfUnwritten();
            }
        }

        void cancel() {
            if (upstream != null) {
                upstream.cancel();
            }
        }
    }

    /**
     * A request in the table: open until its final answer, kept on until its last attempt has
     * ended.
     */
    private static final class Call {
        final Request clientRequest;
        final Payload payload;
        final Client client;
        double deadlineMs;

        /** When the last byte of its body came, where that flows. */
        double uploadEndMs;

        Future<?> deadlineTimer;
        PendingAttempt pendingAttempt;
        int attemptCount;

        /** When the first attempt was sent that may have run. */
        double firstSentAtMs;

        /** How its latest attempt ended; null before one has. */
        Outcome lastOutcome;

        boolean provenNotRun = true;
        boolean finished;

        Call(Request clientRequest, Payload payload, Client client, double deadlineMs) {
            this.clientRequest = clientRequest;
            this.payload = payload;
            this.client = client;
            this.deadlineMs = deadlineMs;
        }

        /** Whether its body has gone to a node already: there is nothing left to send again. */
        boolean isUploadConsumed() {
            return payload.upload() != null && payload.upload().isConsumed();
        }

        HttpRequest newNodeRequest(double budgetMs) {
            HttpRequest request =
                    payload.upload() != null
                            ? new DefaultHttpRequest(
                                    HttpVersion.HTTP_1_1, payload.method(), payload.uri())
                            : new DefaultFullHttpRequest(
                                    HttpVersion.HTTP_1_1,
                                    payload.method(),
                                    payload.uri(),
                                    Unpooled.wrappedBuffer(payload.body()));
            request.headers()
                    .set(HttpHeaderNames.HOST, "service.internal")
                    .set("X-Call-Id", clientRequest.id())
                    .set(
                            "X-Budget",
                            BigDecimal.valueOf(Math.max(1, (long) budgetMs), 3).toPlainString());
            if (payload.key() != null) {
                request.headers().set("Idempotency-Key", payload.key());
            }
            if (payload.contentType() != null) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, payload.contentType());
            }
            if (payload.upload() != null && payload.length() < 0) {
                HttpUtil.setTransferEncodingChunked(request, true);
            } else if (payload.upload() != null) {
                HttpUtil.setContentLength(request, payload.length());
            } else if (payload.body().length > 0 || payload.method().equals(HttpMethod.PUT)) {
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, payload.body().length);
            }
            return request;
        }
    }
}
