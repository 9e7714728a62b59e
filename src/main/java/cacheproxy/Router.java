package cacheproxy;

import java.util.List;
import java.util.Map;

/**
 * What a proxy tells its router, and what the router asks of its proxy. One router serves one
 * proxy; a call reports one event, and everything the router wants done goes to the {@link Actions}
 * sink before it returns. Routers keep no clock and no threads: {@code now} is the proxy's clock in
 * milliseconds and never runs back.
 */
public interface Router {

    /**
     * How long a proxy may be held up between reading its clock and writing, in milliseconds: what
     * it writes against a limit in time begins so much before that limit.
     */
    double MAX_PROCESSING_DELAY_MS = 150;

    /** What repeating a request does. */
    enum Effect {
        /** May be repeated and refused freely. */
        SAFE,
        /** Carries a key by which a group of nodes discards repeats for a while. */
        KEYED,
        /** Must never run twice. */
        UNSAFE
    }

    /** Which nodes discard each other's repeats of a keyed request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** What the server list says of a node. */
    enum Availability {
        UP,
        DRAINING,
        GONE
    }

    /** What a delivery of the server list holds. */
    enum EndpointListKind {
        /** Only entries that changed. */
        DELTA,
        /** Every node; one that is not named is gone. */
        SNAPSHOT,
        /** Every node as this proxy last knew them before a restart; may be stale. */
        STORED_SNAPSHOT,
        /** A call to discovery failed or the subscription broke; no entries. */
        FAILED
    }

    /** How a node's weight is meant. */
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

        /** Whether this outcome shows that the request had no effect at the node. */
        public boolean provesNotRun() {
            return provesNotRun;
        }

        /** Whether its connection broke or never came up. */
        public boolean isConnectionFailure() {
            return this == RESET || this == CONNECT_FAILED;
        }
    }

    /**
     * A request class: its aim, the time its clients wait, its worth and what repeating it does.
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

    /** A tenant and the request rate, over all proxies, that stays inside its share. */
    record Tenant(String name, double quotaPerS) {}

    /** What the site permits. */
    record Limits(
            int maxAttempts,
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean retryAfter,
            double maxRetryAfterMs,
            boolean secondCopies,
            double connectTimeoutMs) {}

    /** The figures behind the rules. */
    record Rules(
            double drainGraceMs,
            double slowStartInitialFraction,
            double slowStartMs,
            double slowStartLoadMultiple,
            double slowStartWindowMs,
            double answerSlackMs,
            double askWithinMs) {}

    /**
     * Connections: after how long idle ones close by themselves, the price of 100 open ones a node
     * all day, and the price of opening one for every request.
     */
    record Connections(double idleTimeoutMs, double connectionCost, double handshakeCost) {

        /** Idle ones stay and none has a price. */
        public static final Connections FREE = new Connections(Double.POSITIVE_INFINITY, 0, 0);
    }

    /**
     * What a router is told before its first event. {@code originModel} is null where no node is
     * the origin.
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

        /** Settings of a site where connections have no price. */
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

        /** Refuses settings without which nothing can be decided, naming the field. */
        public Settings {
            if (classes == null || classes.isEmpty()) {
                throw new IllegalArgumentException("settings: classes: at least one is needed");
            }
            for (ServiceClass serviceClass : classes) {
                if (!(serviceClass.deadlineMs() > 0)) {
                    throw new IllegalArgumentException(
                            "settings: classes: "
                                    + serviceClass.name()
                                    + ": deadlineMs > 0 needed");
                }
            }
            classes = List.copyOf(classes);
            tenants = tenants == null ? List.of() : List.copyOf(tenants);
        }
    }

    /**
     * One entry of the server list; {@code startedAtMs} is 0 for a node that started long ago. It
     * is a Unix time of a clock that need not agree with ours, so it identifies a run of the node
     * and is no age.
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
     * A client's request. {@code key} is negative where it names none; {@code workMs} is 0 without
     * a hint; {@code budgetMs}, the time until the client gives up this try, is negative where only
     * the class tells. It begins with the request's last byte, which may take up to {@code
     * uploadMs} more to come.
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

        /** A request that is here with its last byte. */
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
     * How an attempt ended. {@code finished} says that the request has its final answer already.
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

    /** Where a router's wishes go. */
    interface Actions {

        /** Starts the request's next attempt. */
        void send(String request, String node, double timeoutMs);

        /** Stops waiting for an attempt. */
        void cancel(String request, int attempt);

        /** Final answer: turned away, harmless to try again; 0 gives no advice on when. */
        void reject(String request, double retryAfterMs);

        /** Final answer: failed, with no promise about its effect. */
        void fail(String request);

        /** Asks for {@link Router#timer} at a clock time. */
        void scheduleTimer(double atMs, String token);

        /** Asks discovery to send changes from now on. */
        void subscribe();

        /** Asks a node for its load. */
        void probe(String node);

        /** Sends a short message to every other proxy; it may be lost. */
        void sendToPeers(byte[] contents);

        /**
         * Closes this proxy's idle connections to a node, and ends what waits for one there as
         * never sent.
         */
        void closeIdleConnections(String node);
    }

    /** The proxy has started; comes first. */
    void started(double now, Actions out);

    /** The server list, or news of it. */
    void endpointListReceived(
            double now, EndpointListKind kind, long version, List<Node> entries, Actions out);

    /** A request came in; exactly one final answer is owed from here on. */
    void requestReceived(double now, Request request, Actions out);

    /** The first part of a streamed answer has reached the client. */
    void streamStarted(double now, String request, int attempt, String node, Actions out);

    /** An attempt ended. */
    void attemptEnded(double now, AttemptEnd end, Actions out);

    /** The client is gone; nothing is owed any more. */
    void clientDisconnected(double now, String request, Actions out);

    /** A timer that was asked for is due. */
    void timerFired(double now, String token, Actions out);

    /** A probe's result. */
    void probeCompleted(
            double now,
            String node,
            Outcome outcome,
            double elapsedMs,
            Map<String, Double> load,
            Actions out);

    /**
     * So many peers that chance and a single one's error are ruled out say that a node fails them,
     * or no longer say so. It is hearsay: what is sent where may change only once our own probe has
     * shown the same.
     */
    default void suspicionChanged(double now, String node, boolean suspected, Actions out) {}

    /**
     * Whether any list ever named this cache node: only such a one can be taken out. Changes
     * nothing.
     */
    default boolean isKnownCacheNode(String node) {
        return false;
    }

    /**
     * The operators take a cache node out, or put it back: from the return on nothing new goes
     * there until it is put back, whatever the list says. False where no list ever named such a
     * cache node; then nothing has changed.
     */
    default boolean setMaintenance(double now, String node, boolean begins, Actions out) {
        return false;
    }

    /** A message from another proxy. */
    void peerMessageReceived(double now, int from, byte[] contents, Actions out);

    /**
     * How it is doing, in a few words for the log; equal as long as nothing that matters there has
     * changed.
     */
    default String describeState() {
        return "";
    }

    /** The control level, for the log: 0 where fetches are not throttled. */
    default int controlLevel() {
        return 0;
    }

    /**
     * Entries that it keeps for requests it has been told of: 0 when all of them are over, or
     * something has leaked.
     */
    default int entryCount() {
        return 0;
    }
}
