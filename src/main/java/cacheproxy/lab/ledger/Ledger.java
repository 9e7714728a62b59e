package cacheproxy.lab.ledger;

import cacheproxy.lab.world.SlowStartAllowance;
import cacheproxy.lab.world.SlowStartWindow;
import cacheproxy.lab.world.World;
import cacheproxy.lab.world.World.Answer;
import cacheproxy.lab.world.World.Health;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Records what a driver observed. Clients and machines may be driven by two threads: tries belong
 * to the first, attempts to the second, and the records are read only after both threads have
 * ended. Times are milliseconds of the run by the driver's single clock.
 */
public final class Ledger {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    /** The outcome of an attempt at its machine. The names are written to proofs of violations. */
    public enum Verdict {
        /** It was accepted and not answered so far: it may have been executed, or may yet be. */
        OPEN(false),
        /** 200: it was executed. */
        RAN(false),
        /** 404 at a cache node: no effect. */
        MISSED(true),
        /** 503 with X-Rejected: it was not executed. */
        REJECTED(true),
        /** 500: it may have been executed. */
        ERRED(false),
        /** It was executed, and the answer was truncated, malformed or replaced by a reset. */
        BROKEN(false);

        private final boolean provesNotRun;

        Verdict(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }

        public boolean provesNotRun() {
            return provesNotRun;
        }

        /** Returns the outcome of an attempt whose machine sends this answer. */
        public static Verdict of(Answer answer) {
            if (answer.completion() != World.AnswerCompletion.COMPLETE) {
                return BROKEN;
            }
            return answer.rejected()
                    ? REJECTED
                    : answer.status() == NOT_FOUND ? MISSED : answer.status() == OK ? RAN : ERRED;
        }
    }

    /**
     * An attempt as observed by its machine. {@code answeredAt} is the time at which the last byte
     * of the answer reached the proxy, infinite if it did not.
     */
    public static final class Attempt {
        public final long number;
        public final String callId;
        public final String machine;
        public final boolean origin;
        public final int proxy;
        public final double firstByteAt;
        public final double lastByteAt;

        /** Work of the attempt at its machine, in core-milliseconds. */
        public final double workMs;

        /**
         * Work of its request as a hit, in core-milliseconds, which counts towards the allowed load
         * of a node that is warming up; 0 if the attempt never arrived.
         */
        public final double requestWorkMs;

        public Verdict verdict = Verdict.OPEN;
        public double answeredAt = Double.POSITIVE_INFINITY;

        /** When the proxy closed its side of the connection; infinite if it did not. */
        public double closedAt = Double.POSITIVE_INFINITY;

        public boolean executed;
        public boolean atWarmingNode;

        public Attempt(
                long number,
                String callId,
                String machine,
                boolean origin,
                int proxy,
                double firstByteAt,
                double lastByteAt,
                double workMs,
                double requestWorkMs) {
            this.number = number;
            this.callId = callId;
            this.machine = machine;
            this.origin = origin;
            this.proxy = proxy;
            this.firstByteAt = firstByteAt;
            this.lastByteAt = lastByteAt;
            this.workMs = workMs;
            this.requestWorkMs = requestWorkMs;
        }
    }

    /**
     * A final answer as received by the client. {@code retryAfterMs} is NaN without Retry-After;
     * {@code attemptNumber} is the attempt named in the body of a served answer, or 0.
     */
    public record FinalAnswer(double at, int status, double retryAfterMs, long attemptNumber) {}

    /** A try of a client: a request or a retry of it, sent to one proxy. */
    public static final class ClientTry {
        public final String id;
        public final int requestIndex;
        public final int classIndex;
        public final long key;
        public final int proxy;
        public final double sentAt;
        public final double budgetMs;
        public final List<FinalAnswer> replies = new ArrayList<>(1);
        public final List<Attempt> attempts = new ArrayList<>(2);

        /**
         * When the proxy closed the connection without a complete answer; infinite if it did not.
         */
        public double connectionLostAt = Double.POSITIVE_INFINITY;

        /** When the client stopped waiting; infinite if it got an answer. */
        public double gaveUpAt = Double.POSITIVE_INFINITY;

        /**
         * Whether it was the first request on its connection. If the proxy closes that connection
         * without sending anything, it rejected the connection, and the request counts as failed
         * rather than unanswered.
         */
        public boolean firstOnConnection;

        /** Whether the proxy began an answer that it could not complete. */
        public boolean answerBegun;

        ClientTry(
                String id,
                int requestIndex,
                int classIndex,
                long key,
                int proxy,
                double sentAt,
                double budgetMs) {
            this.id = id;
            this.requestIndex = requestIndex;
            this.classIndex = classIndex;
            this.key = key;
            this.proxy = proxy;
            this.sentAt = sentAt;
            this.budgetMs = budgetMs;
        }

        public double endedAt() {
            double repliedAt = replies.isEmpty() ? Double.POSITIVE_INFINITY : replies.get(0).at();
            return Math.min(repliedAt, Math.min(connectionLostAt, gaveUpAt));
        }
    }

    /**
     * An endpoint list entry that discovery sent to a proxy. {@code startedAt} is negative for
     * machines that started before the run.
     */
    public record ListNotification(
            int proxy, String machine, Health health, double startedAt, double at) {}

    /**
     * A machine started and is warming up. {@code capacity} is its full capacity, in
     * core-milliseconds per millisecond.
     */
    public record MachineStart(
            String machine, double at, double capacity, SlowStartAllowance allowance) {

        SlowStartWindow window() {
            return new SlowStartWindow(allowance, at, capacity);
        }
    }

    /** An interval in which a proxy could not work because of something the testbed did. */
    public record ExcusedInterval(int proxy, double from, double to, String cause) {}

    /** The origin stopped because of overload. */
    public record OriginStop(double at) {}

    private final Map<String, ClientTry> tries = new ConcurrentHashMap<>();
    private final List<Attempt> attempts = Collections.synchronizedList(new ArrayList<>());
    private final List<Attempt> unmatchedAttempts = Collections.synchronizedList(new ArrayList<>());
    private final List<ListNotification> notifications =
            Collections.synchronizedList(new ArrayList<>());
    private final List<ListNotification> changes = Collections.synchronizedList(new ArrayList<>());
    private final List<MachineStart> started = Collections.synchronizedList(new ArrayList<>());
    private final List<ExcusedInterval> excuses = Collections.synchronizedList(new ArrayList<>());
    private final List<OriginStop> originStops = Collections.synchronizedList(new ArrayList<>());

    /** Records a try that a client is about to send; its time budget starts at its last byte. */
    public ClientTry sent(
            String id,
            int requestIndex,
            int classIndex,
            long key,
            int proxy,
            double at,
            double budgetMs) {
        ClientTry clientTry = new ClientTry(id, requestIndex, classIndex, key, proxy, at, budgetMs);
        tries.put(id, clientTry);
        return clientTry;
    }

    /**
     * Records an attempt whose last byte has reached a machine. An attempt with an id that no
     * client sent is also recorded as unmatched.
     */
    public void attempt(Attempt attempt) {
        attempts.add(attempt);
        ClientTry clientTry = tries.get(attempt.callId);
        if (clientTry == null) {
            unmatchedAttempts.add(attempt);
        } else {
            clientTry.attempts.add(attempt);
        }
    }

    public void notified(ListNotification entry) {
        notifications.add(entry);
    }

    /** Records a change of the endpoint list itself; proxies are notified later. */
    public void changed(String machine, Health health, double startedAt, double at) {
        changes.add(new ListNotification(-1, machine, health, startedAt, at));
    }

    public void started(MachineStart start) {
        started.add(start);
    }

    public void excuse(ExcusedInterval excuse) {
        excuses.add(excuse);
    }

    public void originStopped(double at) {
        originStops.add(new OriginStop(at));
    }

    public ClientTry find(String id) {
        return tries.get(id);
    }

    /** Returns all tries in the order in which they were sent. */
    public List<ClientTry> tries() {
        return tries.values().stream()
                .sorted(
                        Comparator.comparingDouble((ClientTry t) -> t.sentAt)
                                .thenComparing(t -> t.id))
                .toList();
    }

    public List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    List<Attempt> unmatchedAttempts() {
        return List.copyOf(unmatchedAttempts);
    }

    List<ListNotification> notified() {
        return List.copyOf(notifications);
    }

    List<ListNotification> changes() {
        return List.copyOf(changes);
    }

    List<MachineStart> started() {
        return List.copyOf(started);
    }

    List<OriginStop> originStops() {
        return List.copyOf(originStops);
    }

    boolean isExcused(int proxy, double from, double to) {
        return excuses.stream()
                .anyMatch(e -> e.proxy() == proxy && e.from() <= to && e.to() >= from);
    }
}
