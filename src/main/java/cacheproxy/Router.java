package cacheproxy;

import java.util.List;
import java.util.Map;

/**
 * Interface between a proxy and its decision logic. One router serves one proxy. Each method
 * reports one event, and the router passes all resulting actions to the {@link Actions} before it
 * returns. Routers have no clock and no threads: {@code now} is the proxy's clock in milliseconds
 * and never decreases.
 */
public interface Router {

    /**
     * Maximum time in milliseconds that a proxy may be delayed between reading its clock and
     * writing: a write that must precede a time limit starts at least this long before it.
     */
    double MAX_PROCESSING_DELAY_MS = 150;

    /** The effect of running a request more than once. */
    enum Effect {
        /** May be repeated and rejected freely. */
        SAFE,
        /**
         * Carries an idempotency key by which a group of nodes discards repeats for a limited time.
         */
        KEYED,
        /** Must never run twice. */
        UNSAFE
    }

    /** The group of nodes that discard each other's repeats of a keyed request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** A node's state in the endpoint list. */
    enum Availability {
        UP,
        DRAINING,
        GONE
    }

    /** The content of an update of the endpoint list. */
    enum EndpointListKind {
        /** Delta: only entries that changed. */
        DELTA,
        /** Snapshot of every node; a node that is not named is gone. */
        SNAPSHOT,
        /** The stored snapshot from before a restart of this proxy; may be stale. */
        STORED_SNAPSHOT,
        /** A call to discovery failed or the watch broke; no entries. */
        FAILED
    }

    /** The meaning of the weights in the endpoint list. */
    enum Weights {
        NONE,
        SIZE,
        LIVE
    }

    /** How an attempt ended. */
    enum Outcome {
        OK(false),
        ERROR(false),
        REJECTED(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NEVER_SENT(true),
        MISS(true);

        private final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }

        /** Whether this outcome proves that the request had no effect at the node. */
        public boolean provesNotRun() {
            return provesNotRun;
        }

        /** Whether its connection broke or was never established. */
        public boolean isConnectionFailure() {
            return this == RESET || this == CONNECT_FAILED;
        }
    }

    /**
     * A class of requests: its latency objective, the time after which its clients time out, its
     * gain (the basis of its priority weight), and how it may be repeated.
     */
    record ServiceClass(
            String name,
            double latencyObjectiveMs,
            double latencyObjectiveStretch,
            double deadlineMs,
            double gain,
            double lateShare,
            Effect effect,
            Group group,
            double repeatWindowMs,
            boolean stream) {}

    /** A tenant and its quota in requests per second over all proxies. */
    record Tenant(String name, double quotaPerS) {}

    /**
     * What a site permits: attempts per request, cancelling attempts, probing nodes, messages
     * between proxies, Retry-After advice and its maximum, a second copy of a request in flight,
     * and the connect timeout.
     */
    record Limits(
            int maxAttempts,
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean retryAfter,
            double maxRetryAfterMs,
            boolean secondCopies,
            double connectTimeoutMs) {}

    /**
     * Parameters of the operating rules. In slow start a node's weight grows linearly from {@code
     * slowStartInitialFraction} to 1 within {@code slowStartMs}, and within {@code
     * slowStartWindowMs} all proxies together may send it {@code slowStartLoadMultiple} times the
     * work that it can do by then.
     */
    record Rules(
            double drainGraceMs,
            double slowStartInitialFraction,
            double slowStartMs,
            double slowStartLoadMultiple,
            double slowStartWindowMs,
            double answerSlackMs,
            double askWithinMs) {}

    /**
     * Cost of connections: the time after which idle ones close, the cost of 100 open ones per node
     * for a day, and the cost of opening one for every request.
     */
    record Connections(double idleTimeoutMs, double connectionCost, double handshakeCost) {

        /** Idle connections stay open and none has a cost. */
        public static final Connections FREE = new Connections(Double.POSITIVE_INFINITY, 0, 0);
    }

    /**
     * Configuration that a router gets before its first event. {@code originModel} is null if no
     * node is the origin.
     */
    record Settings(
            int index,
            int proxies,
            String zone,
            double tickMs,
            List<ServiceClass> classes,
            List<Tenant> tenants,
            double overQuotaWeightFactor,
            boolean weightByWork,
            Limits limits,
            Rules rules,
            boolean mustSubscribe,
            Weights weights,
            String originModel,
            Connections connections) {

        /** Settings of a site where connections have no cost. */
        public Settings(
                int index,
                int proxies,
                String zone,
                double tickMs,
                List<ServiceClass> classes,
                List<Tenant> tenants,
                double overQuotaWeightFactor,
                boolean weightByWork,
                Limits limits,
                Rules rules,
                boolean mustSubscribe,
                Weights weights,
                String originModel) {
            this(
                    index,
                    proxies,
                    zone,
                    tickMs,
                    classes,
                    tenants,
                    overQuotaWeightFactor,
                    weightByWork,
                    limits,
                    rules,
                    mustSubscribe,
                    weights,
                    originModel,
                    Connections.FREE);
        }

        /** Rejects settings without which no decision is possible; the message names the field. */
        public Settings {
            if (classes == null || classes.isEmpty()) {
                throw new IllegalArgumentException(
                        "settings: classes: at least one class is required");
            }
            for (ServiceClass serviceClass : classes) {
                if (!(serviceClass.deadlineMs() > 0)) {
                    throw new IllegalArgumentException(
                            "settings: classes: "
                                    + serviceClass.name()
                                    + ": deadlineMs must be greater than 0, found "
                                    + serviceClass.deadlineMs());
                }
            }
            classes = List.copyOf(classes);
            tenants = tenants == null ? List.of() : List.copyOf(tenants);
        }
    }

    /**
     * One entry of the endpoint list. {@code startedAtMs} is 0 for a node that started long ago. It
     * is a Unix time of a clock that need not agree with ours, so it identifies an incarnation of
     * the node and does not give its age.
     */
    record Node(
            String id,
            String model,
            String zone,
            int cell,
            double weight,
            double startedAtMs,
            Availability availability) {}

    /**
     * A client's request. {@code key} is negative if it names none; {@code workMs} is 0 without a
     * hint. {@code budgetMs}, the time until the client gives up this try, is negative if only the
     * class states it; it begins with the request's last byte, which may take up to {@code
     * uploadMs} more to arrive.
     */
    record Request(
            String id,
            String service,
            String tenant,
            long key,
            double workMs,
            double budgetMs,
            boolean write,
            boolean repeat,
            double uploadMs) {

        /** A request that has been received completely. */
        public Request(
                String id,
                String service,
                String tenant,
                long key,
                double workMs,
                double budgetMs,
                boolean write,
                boolean repeat) {
            this(id, service, tenant, key, workMs, budgetMs, write, repeat, 0);
        }
    }

    /**
     * The end of an attempt. {@code finished} states that the request already has its final answer.
     * {@code cacheStatus} is the node's report: 0 none, 1 hit, 2 miss, 3 pending.
     */
    record AttemptEnd(
            String request,
            int attempt,
            String node,
            Outcome outcome,
            double elapsedMs,
            boolean finished,
            int cacheStatus,
            Map<String, Double> load) {}

    /** Actions that a router requests of its proxy. */
    interface Actions {

        /** Starts the request's next attempt. */
        void send(String request, String node, double timeoutMs);

        /** Cancels an attempt. */
        void cancel(String request, int attempt);

        /** Final answer: rejected, safe to send again; 0 gives no advice on when. */
        void reject(String request, double retryAfterMs);

        /** Final answer: failed; whether the request had an effect is unknown. */
        void fail(String request);

        /** Schedules a call of {@link Router#timerFired} at a clock time. */
        void scheduleTimer(double atMs, String token);

        /** Asks discovery to send changes from now on. */
        void subscribe();

        /** Probes a node and asks for its load. */
        void probe(String node);

        /** Sends a short message to every other proxy; delivery is not guaranteed. */
        void sendToPeers(byte[] contents);

        /**
         * Closes this proxy's idle connections to a node. Attempts that wait for a connection there
         * end as never sent.
         */
        void closeIdleConnections(String node);
    }

    /** The proxy has started. This is the first event. */
    void started(double now, Actions out);

    /** An update of the endpoint list has arrived, or the call for it has failed. */
    void endpointListReceived(
            double now, EndpointListKind kind, long version, List<Node> entries, Actions out);

    /** A request has arrived; from now on exactly one final answer is owed. */
    void requestReceived(double now, Request request, Actions out);

    /** The first part of a streamed answer has reached the client. */
    void streamStarted(double now, String request, int attempt, String node, Actions out);

    /** An attempt has ended. */
    void attemptEnded(double now, AttemptEnd end, Actions out);

    /** The client has disconnected; no answer is owed any more. */
    void clientDisconnected(double now, String request, Actions out);

    /** A scheduled timer is due. */
    void timerFired(double now, String token, Actions out);

    /** A probe has completed. */
    void probeCompleted(
            double now,
            String node,
            Outcome outcome,
            double elapsedMs,
            Map<String, Double> load,
            Actions out);

    /**
     * Peers have begun or ceased to report that a node fails them: enough of them to rule out
     * chance and the error of a single peer. This is indirect evidence: routing may change only
     * once our own probe has confirmed it.
     */
    default void suspicionChanged(double now, String node, boolean suspected, Actions out) {}

    /**
     * Whether any endpoint list named this cache node; only such a node can be put into
     * maintenance. Has no side effects.
     */
    default boolean isKnownCacheNode(String node) {
        return false;
    }

    /**
     * Operators begin or end the maintenance of a cache node. Once this returns, no new request is
     * sent to the node until its maintenance ends, whatever the endpoint list states. Returns false
     * without any effect if no endpoint list named such a cache node.
     */
    default boolean setMaintenance(double now, String node, boolean begins, Actions out) {
        return false;
    }

    /** A message from another proxy has arrived. */
    void peerMessageReceived(double now, int from, byte[] contents, Actions out);

    /**
     * A short description of the throttling state for the log; it stays equal as long as nothing of
     * interest there has changed.
     */
    default String describeState() {
        return "";
    }

    /** The control level for the log: 0 while fetches are not throttled. */
    default int controlLevel() {
        return 0;
    }

    /**
     * Number of entries retained for requests: 0 once all requests have ended, unless there is a
     * leak.
     */
    default int entryCount() {
        return 0;
    }
}
