package cacheproxy.lab.virtual;

import cacheproxy.Router;
import cacheproxy.Router.AttemptEnd;
import cacheproxy.Router.ListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import cacheproxy.Router.Settings;
import cacheproxy.lab.QuietActions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One proxy around one router, as {@code cacheproxy.proxy.Proxy} is on sockets: the same table of
 * requests, the same limits on attempts, the same backstop, wishes done in order after each call.
 * It costs no time itself.
 */
final class VirtualProxy extends QuietActions {

    /** The client's side of a request. */
    interface Client {
        void answered(int status, double retryAfterMs, long made);
    }

    /** The network's side: an attempt on its way. The end comes once, by {@link #ended}. */
    interface Network {
        void send(VirtualProxy from, String request, int attempt, String node, double waitMs);

        /** The proxy gives an attempt up: nothing of it is heard any more. */
        void abandon(VirtualProxy from, String request, int attempt);

        /** Asks a node whether it is alive; the end comes once, by {@link #probed}. */
        void probe(VirtualProxy from, String node);

        /** What the proxy's gossip is told of its attempts and probes. */
        void seen(VirtualProxy from, String node, Outcome outcome, double elapsedMs, boolean probe);
    }

    private static final int OK = 200;
    private static final int REFUSED = 503;
    private static final int FAILED = 502;

    private static final class Call {
        final Request in;
        final Client client;
        final double deadline;
        int attempts;
        int out = -1;
        String outAt;
        double sentAt;
        boolean over;
        boolean proven = true;

        Call(Request in, Client client, double deadline) {
            this.in = in;
            this.client = client;
            this.deadline = deadline;
        }
    }

    final int index;
    private final Agenda agenda;
    private final Settings settings;
    private final Router router;
    private final Network network;
    private final Map<String, Call> calls = new HashMap<>();
    private final Deque<Runnable> events = new ArrayDeque<>();
    private final List<Runnable> wishes = new ArrayList<>();
    private boolean telling;
    private boolean dead;
    private double stoppedUntil;
    private int timers;
    private int backstops;

    VirtualProxy(int index, Agenda agenda, Settings settings, Router router, Network network) {
        this.index = index;
        this.agenda = agenda;
        this.settings = settings;
        this.router = router;
        this.network = network;
    }

    void start(List<Node> known) {
        tell(() -> router.started(agenda.now(), this));
        tell(() -> router.nodes(agenda.now(), ListKind.REMEMBERED, 0, known, this));
    }

    /** It is gone: whoever waits for it hears nothing more of it. */
    void die() {
        dead = true;
        calls.clear();
    }

    boolean dead() {
        return dead;
    }

    /** Does nothing until then; what comes meanwhile is handled afterwards, in order. */
    void stop(double until) {
        stoppedUntil = until;
    }

    /** Whether it does nothing now; then it does this when it goes on. */
    private boolean stopped(Runnable act) {
        boolean stopped = agenda.now() < stoppedUntil;
        if (stopped) {
            agenda.at(stoppedUntil, act);
        }
        return stopped;
    }

    int level() {
        return router.level();
    }

    /** Whether this attempt of a request is still out. */
    boolean awaits(String id, int attempt) {
        Call call = calls.get(id);
        return call != null && call.out == attempt;
    }

    /** Requests it owes an answer, for the invariants. */
    long owed() {
        return calls.values().stream().filter(c -> !c.over).count();
    }

    int table() {
        return calls.size();
    }

    /** What its router keeps for requests, and timers of the router's that are still to come. */
    int entries() {
        return router.entries();
    }

    /** Requests that the proxy had to answer in its router's place. */
    int backstops() {
        return backstops;
    }

    int timers() {
        return timers;
    }

    void nodes(ListKind kind, long version, List<Node> entries) {
        tell(() -> router.nodes(agenda.now(), kind, version, entries, this));
    }

    /** The operators take a node out, or put it back. */
    void maintain(String node, boolean begins) {
        if (!dead) {
            tell(() -> router.maintain(agenda.now(), node, begins, this));
        }
    }

    void request(Request in, Client client) {
        // A proxy that stands still reads it when it goes on, and counts its time from there.
        if (dead || stopped(() -> request(in, client))) {
            return;
        }
        Call call = new Call(in, client, agenda.now() + in.budgetMs());
        calls.put(in.id(), call);
        agenda.at(call.deadline + settings.rules().answerSlackMs(), () -> overdue(call));
        tell(() -> router.request(agenda.now(), in, this));
    }

    void clientGone(String id) {
        if (stopped(() -> clientGone(id))) {
            return;
        }
        Call call = calls.get(id);
        if (call != null && !call.over) {
            settle(call);
            tell(() -> router.clientGone(agenda.now(), id, this));
        }
    }

    /** An attempt has ended; {@code made} is the attempt that a served body names. */
    void ended(String id, int attempt, Outcome outcome, int note, long made) {
        if (stopped(() -> ended(id, attempt, outcome, note, made))) {
            return;
        }
        Call call = calls.get(id);
        if (call == null || call.out != attempt) {
            return;
        }
        call.out = -1;
        call.proven &= outcome.provesNotRun();
        if (outcome == Outcome.OK && !call.over) {
            settle(call);
            call.client.answered(OK, Double.NaN, made);
        }
        report(id, call, attempt, call.outAt, outcome, agenda.now() - call.sentAt, note);
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
        if (call != null && call.over && call.out < 0) {
            calls.remove(id, call);
        }
        network.seen(this, node, outcome, elapsedMs, false);
        tell(
                () ->
                        router.attemptEnded(
                                agenda.now(),
                                new AttemptEnd(
                                        id, attempt, node, outcome, elapsedMs, finished, note,
                                        Map.of()),
                                this));
    }

    void probed(String node, Outcome outcome, double elapsedMs) {
        if (stopped(() -> probed(node, outcome, elapsedMs))) {
            return;
        }
        network.seen(this, node, outcome, elapsedMs, true);
        tell(() -> router.probed(agenda.now(), node, outcome, elapsedMs, Map.of(), this));
    }

    void standing(String node, boolean doubted) {
        tell(() -> router.standing(agenda.now(), node, doubted, this));
    }

    private void tell(Runnable event) {
        if (dead) {
            return;
        }
        if (stopped(() -> tell(event))) {
            return;
        }
        events.add(event);
        if (telling) {
            return;
        }
        telling = true;
        while (!events.isEmpty() && !dead) {
            events.remove().run();
            List<Runnable> now = List.copyOf(wishes);
            wishes.clear();
            now.forEach(Runnable::run);
        }
        telling = false;
    }

    private void overdue(Call call) {
        if (stopped(() -> overdue(call))) {
            return;
        }
        if (!call.over && !dead) {
            backstops++;
            if (call.out >= 0) {
                cancelNow(call);
            }
            if (call.proven) {
                answer(call, REFUSED, Double.NaN);
            } else {
                answer(call, FAILED, Double.NaN);
            }
            tell(() -> router.clientGone(agenda.now(), call.in.id(), this));
        }
    }

    private void answer(Call call, int status, double retryAfterMs) {
        settle(call);
        call.client.answered(status, retryAfterMs, 0);
    }

    private void settle(Call call) {
        call.over = true;
        if (call.out < 0) {
            calls.remove(call.in.id(), call);
        }
    }

    private void cancelNow(Call call) {
        int attempt = call.out;
        network.abandon(this, call.in.id(), attempt);
        ended(call.in.id(), attempt, Outcome.CANCELLED, 0, 0);
    }

    /** An attempt's time is up. */
    void timedOut(String id, int attempt) {
        if (stopped(() -> timedOut(id, attempt))) {
            return;
        }
        Call call = calls.get(id);
        if (call != null && call.out == attempt) {
            network.abandon(this, id, attempt);
            ended(id, attempt, Outcome.TIMEOUT, 0, 0);
        }
    }

    @Override
    public void send(String request, String node, double timeoutMs) {
        wishes.add(
                () -> {
                    Call call = calls.get(request);
                    int attempt = call == null ? 0 : call.attempts++;
                    double left = call == null ? 0 : call.deadline - agenda.now();
                    double wait = timeoutMs == 0 ? left : Math.min(timeoutMs, left);
                    if (call == null
                            || call.over
                            || call.out >= 0
                            || wait <= 0
                            || attempt >= settings.limits().maxAttempts()) {
                        report(request, call, attempt, node, Outcome.NEVER_SENT, 0, 0);
                        return;
                    }
                    call.out = attempt;
                    call.outAt = node;
                    call.sentAt = agenda.now();
                    agenda.in(wait, () -> timedOut(request, attempt));
                    network.send(this, request, attempt, node, wait);
                });
    }

    @Override
    public void probe(String node) {
        wishes.add(() -> network.probe(this, node));
    }

    @Override
    public void cancel(String request, int attempt) {
        wishes.add(
                () -> {
                    Call call = calls.get(request);
                    if (call != null && call.out == attempt) {
                        cancelNow(call);
                    }
                });
    }

    @Override
    public void refuse(String request, double retryAfterMs) {
        wishes.add(
                () ->
                        ifOpen(
                                request,
                                call ->
                                        answer(
                                                call,
                                                REFUSED,
                                                retryAfterMs > 0 ? retryAfterMs : Double.NaN)));
    }

    @Override
    public void fail(String request) {
        wishes.add(() -> ifOpen(request, call -> answer(call, FAILED, Double.NaN)));
    }

    private void ifOpen(String request, java.util.function.Consumer<Call> act) {
        Call call = calls.get(request);
        if (call != null && !call.over) {
            act.accept(call);
        }
    }

    @Override
    public void timer(double atMs, String token) {
        wishes.add(
                () -> {
                    timers++;
                    agenda.at(
                            atMs,
                            () -> {
                                timers--;
                                tell(() -> router.timer(agenda.now(), token, this));
                            });
                });
    }
}
