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
 * Writes down what a driver saw. Clients and machines may be driven by two threads: tries belong to
 * the first, attempts to the second, and nobody reads before both have ended. Times are
 * milliseconds of the run, as the driver's one clock has them.
 */
public final class Ledger {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    /** What became of an attempt at its machine. */
    public enum Verdict {
        /** It was taken and nothing has been heard of it: it may have run, or may yet. */
        OPEN(false),
        /** 200: it ran. */
        RAN(false),
        /** 404 at a cache node: no effect. */
        MISSED(true),
        /** 503 with X-Rejected: never ran. */
        REJECTED(true),
        /** 500: it may have run. */
        ERRED(false),
        /** It ran, and the answer was cut, spoilt or reset. */
        BROKEN(false);

        private final boolean provesNotRun;

        Verdict(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }

        public boolean provesNotRun() {
            return provesNotRun;
        }

        /** What an answer that leaves its machine says of its attempt. */
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
     * One attempt as its machine saw it; {@code answeredAt} is when the answer's last byte reached
     * the proxy, or infinite.
     */
    public static final class Attempt {
        public final long number;
        public final String callId;
        public final String machine;
        public final boolean origin;
        public final int proxy;
        public final double firstByteAt;
        public final double lastByteAt;

        /** Work that it is at its machine, in core-milliseconds. */
        public final double workMs;

        /**
         * Work of its request where that is a hit, by which it weighs at a cold node; 0 where it
         * never arrived.
         */
        public final double requestWorkMs;

        public Verdict verdict = Verdict.OPEN;
        public double answeredAt = Double.POSITIVE_INFINITY;

        /** When the proxy ended its side; infinite while it had not. */
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
     * A final answer as the client read it. {@code retryAfterMs} is NaN without one; {@code made}
     * is the attempt named in a served body, or 0.
     */
    public record FinalAnswer(double at, int status, double retryAfterMs, long attemptNumber) {}

    /** One try of a client. */
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

        /** When the proxy closed on it without a whole answer; infinite if it did not. */
        public double connectionLostAt = Double.POSITIVE_INFINITY;

        /** When the client stopped waiting; infinite if it had an answer. */
        public double gaveUpAt = Double.POSITIVE_INFINITY;

        /**
         * It was the first request on its connection; closed without a word, such a one has failed
         * and is not lost.
         */
        public boolean firstOnConnection;

        /** The proxy began an answer that it could not finish. */
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

    /** Discovery told a proxy of a machine; {@code startedAt} is negative for long ago. */
    public record ListNotification(
            int proxy, String machine, Health health, double startedAt, double at) {}

    /**
     * A machine started cold; {@code capacity} is what it has when it is warm, in core-milliseconds
     * a millisecond.
     */
    public record MachineStart(
            String machine, double at, double capacity, SlowStartAllowance allowance) {

        SlowStartWindow window() {
            return new SlowStartWindow(allowance, at, capacity);
        }
    }

    /** For a cause of ours a proxy could not do its work from one time to another. */
    public record ExcusedInterval(int proxy, double from, double to, String cause) {}

    /** The origin stopped because of what it was sent. */
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

    /** A client's try is about to go out; its time runs from its last byte. */
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
     * An attempt's last byte has come to a machine; one with an id that no client sent is kept
     * apart.
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

    /** The list itself changed; proxies hear of it later. */
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

    /** All tries in the order in which they were sent. */
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
