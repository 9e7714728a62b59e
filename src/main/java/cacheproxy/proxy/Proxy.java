package cacheproxy.proxy;

import cacheproxy.Router;
import cacheproxy.Router.Actions;
import cacheproxy.Router.AttemptEnd;
import cacheproxy.Router.ListKind;
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
    private static final double READ_LATE_MS = 25;

    private static final double READ_LATE_MOST_PART = 0.25;

    /**
     * When a timer whose handling failed is tried again: without it one fault would end all later
     * intervals.
     */
    private static final double RETRY_TIMER_MS = 1000;

    /** The client's side of one request. */
    interface Client {
        /**
         * Whether it waits for no answer any more, as far as it has told up to now; if so its
         * connection ends.
         */
        boolean hasLeft();

        void served(FullHttpResponse response);

        void refused(double retryAfterMs);

        void failed();

        /**
         * A long answer begins; the request is over with it, and the client's side has what
         * follows.
         */
        Exchange.Rest flows(HttpResponse head, Exchange exchange);
    }

    /**
     * Who shares with other proxies what this one sees of the nodes; told of it on the event loop.
     */
    interface Watch {
        void listed(ListKind kind, List<Router.Node> nodes);

        void sent(String node);

        void ended(String node, Outcome outcome, double elapsedMs);

        void probed(String node, Outcome outcome);
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
        private double fetchedMs;
        int requests;
        int served;
        int refused;
        int failed;
        int gone;

        /** Mean time of the fetches that were served, in milliseconds. */
        long fetchMs() {
            return Math.round(fetchedMs / Math.max(1, fetches[Outcome.OK.ordinal()]));
        }
    }

    private interface Event {
        void tell(double now);
    }

    private record Pending(Event event, Runnable rescue) {}

    private final EventLoop loop;
    private final Clock clock;
    private final Settings settings;
    private final Router router;
    private final NodePool pool;
    private final int maxOpen;
    private final Map<String, Call> calls = new HashMap<>();

    /** For how long each keyed class may be repeated. */
    private final Map<String, Double> windows;

    private final Queue<Pending> events = new ArrayDeque<>();
    private final List<Runnable> actions = new ArrayList<>();
    private final Log log = new Log();
    private final Tally tally = new Tally();
    private Runnable subscribe = () -> {};
    private Runnable listed = () -> {};
    private Consumer<byte[]> tell = contents -> {};

    /** Null where nothing is shared. */
    private Watch watch;

    private boolean telling;

    /** Whether the last answers have been given, as the process ends. */
    private boolean ending;

    private int owed;
    private String origin = "";

    Proxy(
            EventLoop loop,
            Clock clock,
            Settings settings,
            Router router,
            NodePool pool,
            int maxOpen) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        this.router = router;
        this.pool = pool;
        this.maxOpen = maxOpen;
        this.windows =
                settings.classes().stream()
                        .filter(c -> c.effect() == Router.Effect.KEYED)
                        .collect(
                                Collectors.toMap(
                                        Router.ServiceClass::name,
                                        Router.ServiceClass::repeatWindowMs,
                                        (a, b) -> b));
    }

    /** Names what asks discovery and what tells peers; both need this proxy to be made first. */
    void wire(Runnable asksDiscovery, Consumer<byte[]> tellsPeers) {
        subscribe = asksDiscovery;
        tell = tellsPeers;
    }

    /** Names what runs once the module knows a list and before anything is sent by it. */
    void onList(Runnable runs) {
        listed = runs;
    }

    /** Names who is told of what this proxy sees; before {@link #start}. */
    void watch(Watch watching) {
        watch = watching;
    }

    void start(HostList known) {
        tell(now -> router.started(now, this), () -> {});
        if (known != null) {
            hosts(ListKind.REMEMBERED, known);
        }
    }

    /** Requests that have no final answer yet. */
    int owed() {
        return owed;
    }

    Tally tally() {
        return tally;
    }

    // Events from the sockets.

    /** The module's own account of how it is doing, for the log. */
    String state() {
        return router.state();
    }

    int level() {
        return router.level();
    }

    /** The origin's id; empty as long as no list has named one. */
    String origin() {
        return origin;
    }

    void hosts(ListKind kind, HostList list) {
        list.nodes().stream()
                .filter(n -> n.model() != null && n.model().equals(settings.originModel()))
                .forEach(n -> origin = n.id());
        Runnable endings = pool.list(list);
        if (watch != null) {
            watch.listed(kind, list.nodes().stream().filter(n -> !n.id().equals(origin)).toList());
        }
        tell(now -> router.nodes(now, kind, list.version(), list.nodes(), this), () -> {});
        endings.run();
        listed.run();
    }

    /** Whether any list ever named this cache node. */
    boolean knows(String node) {
        return router.knows(node);
    }

    /**
     * The operators take a cache node out or put it back; false where the module has not taken
     * that.
     */
    boolean maintain(String node, boolean begins) {
        boolean[] taken = new boolean[1];
        tell(now -> taken[0] = router.maintain(now, node, begins, this), () -> {});
        return taken[0];
    }

    void discoveryRefused() {
        tell(now -> router.nodes(now, ListKind.REFUSED, 0, List.of(), this), () -> {});
    }

    /** Peers doubt a node, or no longer do. */
    void standing(String node, boolean doubted) {
        tell(now -> router.standing(now, node, doubted, this), () -> {});
    }

    void peerMessage(int from, byte[] contents) {
        tell(now -> router.peerMessage(now, from, contents, this), () -> {});
    }

    /** Whether a request with this id is open: its answer and another's could not be told apart. */
    boolean isOpen(String id) {
        return calls.containsKey(id);
    }

    void request(Request in, Payload payload, Client client) {
        tally.requests++;
        if (ending || calls.size() >= maxOpen) {
            // Beyond what the settings allow, or after the last answers, the module is not asked;
            // nothing ran, so this promise is true.
            tally.refused++;
            client.refused(0);
            return;
        }
        Call call = new Call(in, payload, client, clock.now() + in.uploadMs() + in.budgetMs());
        calls.put(in.id(), call);
        owed++;
        call.backstop =
                loop.schedule(
                        () -> overdue(call),
                        clock.nanosUntil(call.deadline + settings.rules().answerSlackMs()),
                        TimeUnit.NANOSECONDS);
        if (payload.upload() != null) {
            payload.upload().whenEnded(() -> bodyEnded(call));
        }
        tell(now -> router.request(now, in, this), () -> answerInstead(call));
    }

    /**
     * The client's time runs from here; the module knows no closer end of it than the latest, so
     * this side keeps it.
     */
    private void bodyEnded(Call call) {
        if (call.over) {
            return;
        }
        call.bodyEnded = clock.now();
        call.deadline = call.bodyEnded + call.in.budgetMs();
        double last = call.deadline - 2 * settings.tickMs();
        call.backstop.cancel(false);
        call.backstop =
                loop.schedule(() -> overdue(call), clock.nanosUntil(last), TimeUnit.NANOSECONDS);
        if (call.out != null && call.out.exchange != null) {
            call.out.exchange.limit(last - call.bodyEnded);
        }
    }

    void clientGone(String id) {
        Call call = calls.get(id);
        if (call != null && !call.over) {
            gone(call);
        }
    }

    private void gone(Call call) {
        tally.gone++;
        settle(call);
        tell(now -> router.clientGone(now, call.in.id(), this), () -> {});
    }

    /**
     * Asks the client's own side: that it has left may lie unread, as the loop is late or reading
     * is held back.
     */
    private boolean isWanted(Call call) {
        if (!call.over && call.client.hasLeft()) {
            gone(call);
        }
        return !call.over;
    }

    private void ended(
            Call call,
            int attempt,
            String node,
            double sentAt,
            Outcome outcome,
            FullHttpResponse response) {
        call.out = null;
        call.proven &= outcome.provesNotRun();
        call.last = outcome;
        count(node, outcome);
        if (outcome == Outcome.OK && node.equals(origin)) {
            tally.fetchedMs += clock.now() - sentAt;
        }
        if (outcome == Outcome.OK && !call.over) {
            tally.served++;
            settle(call);
            call.client.served(response);
        }
        told(
                call,
                attempt,
                node,
                outcome,
                clock.now() - Math.max(sentAt, call.bodyEnded),
                note(response));
    }

    private void told(
            Call call, int attempt, String node, Outcome outcome, double elapsedMs, int note) {
        if (watch != null && !node.equals(origin)) {
            watch.ended(node, outcome, elapsedMs);
        }
        report(call.in.id(), call, attempt, node, outcome, elapsedMs, note);
    }

    /**
     * A long answer has begun: all that can be decided on the request has been, as it can't be made
     * elsewhere any more. The module is told that it was answered, after the time until its first
     * bytes.
     */
    private Exchange.Rest began(
            Call call,
            int attempt,
            String node,
            double sentAt,
            Exchange exchange,
            HttpResponse head) {
        call.out = null;
        call.last = Outcome.OK;
        count(node, Outcome.OK);
        Exchange.Rest rest = null;
        if (!call.over) {
            tally.served++;
            settle(call);
            rest = call.client.flows(head, exchange);
        }
        told(
                call,
                attempt,
                node,
                Outcome.OK,
                clock.now() - Math.max(sentAt, call.bodyEnded),
                note(head));
        return rest;
    }

    private void count(String node, Outcome outcome) {
        (node.equals(origin) ? tally.fetches : tally.lookUps)[outcome.ordinal()]++;
    }

    private void report(
            String id,
            Call call,
            int attempt,
            String node,
            Outcome outcome,
            double elapsedMs,
            int note) {
        boolean finished = call == null || call.over;
        if (call != null) {
            forgetIfDone(call);
        }
        AttemptEnd end =
                new AttemptEnd(id, attempt, node, outcome, elapsedMs, finished, note, Map.of());
        tell(
                now -> router.attemptEnded(now, end, this),
                call == null ? () -> {} : () -> answerInstead(call));
    }

    // The module's calls, one at a time.

    /**
     * Tells the module of an event, or queues it if the module is being told of one or its wishes
     * are being done: it must never be entered from within itself, and its wishes must take effect
     * in the order it had them.
     */
    private void tell(Event event, Runnable rescue) {
        events.add(new Pending(event, rescue));
        if (telling) {
            return;
        }
        telling = true;
        while (!events.isEmpty()) {
            Pending next = events.remove();
            boolean failed = !guarded(() -> next.event().tell(clock.now()));
            actions.forEach(this::guarded);
            actions.clear();
            if (failed) {
                guarded(next.rescue());
            }
        }
        telling = false;
    }

    /** One fault must not take the process, and with it every other request, along. */
    private boolean guarded(Runnable action) {
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
    private void answerInstead(Call call) {
        if (call.over || call.out != null) {
            return;
        }
        if (call.proven) {
            refuseNow(call, 0);
        } else {
            failNow(call);
        }
        tell(now -> router.clientGone(now, call.in.id(), this), () -> {});
    }

    /** The module owes an answer before this; without one the request would be lost. */
    private void overdue(Call call) {
        if (!call.over) {
            log.odd("overdue", "request", call.in.id());
            if (call.out != null) {
                call.out.cancel();
            }
            answerInstead(call);
        }
    }

    /** The process ends: whatever is open has its answer now, and what still comes is refused. */
    void answerAll() {
        ending = true;
        for (Call call : List.copyOf(calls.values())) {
            if (call.over) {
                continue;
            }
            Attempt out = call.out;
            if (call.proven && (out == null || !out.isWritten())) {
                refuseNow(call, 0);
            } else {
                failNow(call);
            }
            if (out != null) {
                out.cancel();
            }
            tell(now -> router.clientGone(now, call.in.id(), this), () -> {});
        }
    }

    // What the module asks for. Each is done after the module has returned.

    @Override
    public void send(String request, String node, double timeoutMs) {
        actions.add(() -> sendNow(request, node, timeoutMs));
    }

    @Override
    public void cancel(String request, int attempt) {
        actions.add(
                () -> {
                    Call call = calls.get(request);
                    if (call != null && call.out != null && call.attempts - 1 == attempt) {
                        call.out.cancel();
                    }
                });
    }

    @Override
    public void refuse(String request, double retryAfterMs) {
        actions.add(() -> ifOpen(request, call -> refuseNow(call, retryAfterMs)));
    }

    @Override
    public void fail(String request) {
        actions.add(() -> ifOpen(request, this::failNow));
    }

    @Override
    public void timer(double atMs, String token) {
        actions.add(() -> timerNow(atMs, token));
    }

    @Override
    public void subscribe() {
        actions.add(subscribe);
    }

    @Override
    public void probe(String node) {
        actions.add(() -> probeNow(node));
    }

    @Override
    public void tell(byte[] contents) {
        // The module may use its array again before this is sent.
        byte[] copy = Arrays.copyOf(contents, contents.length);
        actions.add(() -> tell.accept(copy));
    }

    @Override
    public void close(String node) {
        actions.add(() -> pool.closeIdle(node));
    }

    private void ifOpen(String request, Consumer<Call> action) {
        Call call = calls.get(request);
        if (call != null && !call.over) {
            action.accept(call);
        }
    }

    private void refuseNow(Call call, double retryAfterMs) {
        tally.refused++;
        if (call.last == null) {
            tally.refusedUntried++;
        } else {
            tally.refusedAfter[call.last.ordinal()]++;
        }
        settle(call);
        call.client.refused(retryAfterMs);
    }

    private void failNow(Call call) {
        tally.failed++;
        settle(call);
        call.client.failed();
    }

    private void settle(Call call) {
        call.over = true;
        if (call.payload.upload() != null) {
            call.payload.upload().drop();
        }
        owed--;
        call.backstop.cancel(false);
        if (call.out != null) {
            // Nobody waits for it any more: if it has not been written it never is.
            call.out.dropUnlessWritten();
        }
        forgetIfDone(call);
    }

    private void forgetIfDone(Call call) {
        if (call.over && call.out == null) {
            calls.remove(call.in.id(), call);
        }
    }

    private void timerNow(double atMs, String token) {
        loop.schedule(
                () ->
                        tell(
                                now -> router.timer(now, token, this),
                                () -> timerNow(clock.now() + RETRY_TIMER_MS, token)),
                clock.nanosUntil(atMs),
                TimeUnit.NANOSECONDS);
    }

    private void sendNow(String request, String node, double timeoutMs) {
        Call call = calls.get(request);
        int attempt = call == null ? 0 : call.attempts++;
        double now = clock.now();
        double left = call == null ? 0 : call.deadline - now;
        double wait = timeoutMs == UNTIL_DEADLINE ? left : Math.min(timeoutMs, left);
        double writeWithin = call == null ? 0 : repeatWithin(call, now);
        // Nothing goes out for a request that is over or late, past the attempts allowed, or beside
        // another of its own.
        if (call == null
                || call.over
                || call.out != null
                || wait <= 0
                || attempt >= settings.limits().maxAttempts()
                || call.isUsedUp()
                || writeWithin <= 0) {
            count(node, Outcome.NEVER_SENT);
            report(request, call, attempt, node, Outcome.NEVER_SENT, 0, 0);
            return;
        }
        double giveUp = now + wait;
        Attempt out = new Attempt();
        call.out = out;
        if (watch != null && !node.equals(origin)) {
            watch.sent(node);
        }
        call.firstSent = call.proven ? now : call.firstSent;
        Upload upload = call.payload.upload();
        // The time of a body that is still coming is its client's.
        double limit = upload == null ? wait : left;
        out.exchange =
                pool.send(
                        node,
                        () -> call.toNode(toldMs(call, giveUp)),
                        upload,
                        limit,
                        writeWithin,
                        new Exchange.Done() {
                            @Override
                            public boolean isWanted() {
                                return Proxy.this.isWanted(call);
                            }

                            @Override
                            public void ended(
                                    Exchange exchange, Outcome outcome, FullHttpResponse response) {
                                Proxy.this.ended(call, attempt, node, now, outcome, response);
                            }

                            @Override
                            public Exchange.Rest began(Exchange exchange, HttpResponse head) {
                                return Proxy.this.began(call, attempt, node, now, exchange, head);
                            }
                        });
    }

    /**
     * The time that an attempt tells its node, in milliseconds, read as it is written. Of a body
     * that is still coming its client's time has not begun.
     */
    private double toldMs(Call call, double giveUp) {
        Upload upload = call.payload.upload();
        if (upload != null && !upload.ended()) {
            return call.in.budgetMs();
        }
        double left = (upload == null ? giveUp : call.deadline) - clock.now();
        return left - Math.min(READ_LATE_MS, READ_LATE_MOST_PART * left);
    }

    /**
     * How long from now a further attempt may still be written: where an earlier one may have run,
     * no longer than nodes know its key, less the time for which this process may be held up before
     * it writes. The module minds that when it decides, but what it decides may wait for a
     * connection.
     */
    private double repeatWithin(Call call, double now) {
        double window =
                call.proven
                        ? Double.POSITIVE_INFINITY
                        : windows.getOrDefault(call.in.service(), Double.POSITIVE_INFINITY);
        return call.firstSent + window - Router.HOLD_UP_MS - now;
    }

    private static int note(HttpResponse response) {
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
                (exchange, outcome, response) -> {
                    double elapsed = clock.now() - now;
                    if (watch != null) {
                        watch.probed(node, outcome);
                    }
                    tell(at -> router.probed(at, node, outcome, elapsed, Map.of(), this), () -> {});
                });
    }

    /** The attempt that is out; the pool may end it before it has handed the exchange over. */
    private static final class Attempt {
        private Exchange exchange;

        boolean isWritten() {
            return exchange != null && exchange.written;
        }

        void dropUnlessWritten() {
            if (exchange != null) {
                exchange.dropUnlessWritten();
            }
        }

        void cancel() {
            if (exchange != null) {
                exchange.cancel();
            }
        }
    }

    /**
     * A request in the table: open until its final answer, kept on until its last attempt has
     * ended.
     */
    private static final class Call {
        final Request in;
        final Payload payload;
        final Client client;
        double deadline;

        /** When the last byte of its body came, where that flows. */
        double bodyEnded;

        Future<?> backstop;
        Attempt out;
        int attempts;

        /** When the first attempt was sent that may have run. */
        double firstSent;

        /** How its latest attempt ended; null before one has. */
        Outcome last;

        boolean proven = true;
        boolean over;

        Call(Request in, Payload payload, Client client, double deadline) {
            this.in = in;
            this.payload = payload;
            this.client = client;
            this.deadline = deadline;
        }

        /** Whether its body has gone to a node already: there is nothing left to send again. */
        boolean isUsedUp() {
            return payload.upload() != null && payload.upload().taken();
        }

        HttpRequest toNode(double budgetMs) {
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
                    .set("X-Call-Id", in.id())
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
