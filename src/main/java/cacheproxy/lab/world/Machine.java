package cacheproxy.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The processor of one machine (processor sharing with a bounded queue). Its cores are shared
 * evenly among the requests in its slots; further requests wait in a FIFO queue, and are rejected
 * when the queue is full. Work is in core-milliseconds of a core of speed 1. After a restart the
 * capacity grows linearly from a fraction to its full value. Requests cannot be cancelled: accepted
 * work is always completed, as on the fleet's nodes.
 *
 * <p>An event takes O(log n) time for n requests in slots.
 */
public final class Machine {

    /** During warm-up the capacity is treated as constant over steps of this length. */
    private static final double SLOW_START_STEP_MS = 20;

    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** Remaining work below this is a rounding error, in core-milliseconds. */
    private static final double WORK_EPSILON = 1e-9;

    /**
     * Parameters of a machine. With n requests in slots beyond the number of cores, the capacity is
     * divided by 1 + n * {@code contention}.
     */
    public record MachineSpec(
            int cores,
            double speed,
            int slots,
            int queueCapacity,
            double initialFraction,
            double slowStartMs,
            double contention) {}

    /** A job that has been completed. */
    record CompletedJob(long job, double atMs) {}

    private record RunningJob(long job, double finishesAtService)
            implements Comparable<RunningJob> {

        @Override
        public int compareTo(RunningJob other) {
            return finishesAtService < other.finishesAtService
                    ? -1
                    : finishesAtService > other.finishesAtService
                            ? 1
                            : Long.compare(job, other.job);
        }
    }

    private record QueuedJob(long job, double workMs) {}

    private final MachineSpec spec;
    private final PriorityQueue<RunningJob> running = new PriorityQueue<>();
    private final Deque<QueuedJob> queue = new ArrayDeque<>();
    private double advancedTo;

    /** Cumulative work done for a request that has been in a slot since the start. */
    private double servicePerSlot;

    private double startedAt;
    private boolean slowStarts;
    private double slowdown = 1;
    private double stalledUntil = -1;

    Machine(MachineSpec spec, double now) {
        this.spec = spec;
        this.advancedTo = now;
        this.startedAt = now;
    }

    /**
     * Returns the capacity at a time in core-milliseconds per millisecond, without the effects of
     * contention, stalls and slowdown.
     */
    double capacity(double now) {
        double capacityFraction =
                !slowStarts
                        ? 1
                        : Math.min(
                                1,
                                spec.initialFraction()
                                        + (1 - spec.initialFraction())
                                                * (now - startedAt)
                                                / spec.slowStartMs());
        return spec.cores() * spec.speed() * capacityFraction;
    }

    double fullCapacity() {
        return spec.cores() * spec.speed();
    }

    boolean isWarmingUp(double now) {
        return slowStarts && now - startedAt < spec.slowStartMs();
    }

    int pendingJobs() {
        return running.size() + queue.size();
    }

    int cores() {
        return spec.cores();
    }

    /** Drops all jobs and starts warming up. */
    void restart(double now) {
        running.clear();
        queue.clear();
        servicePerSlot = 0;
        advancedTo = now;
        startedAt = now;
        slowStarts = spec.slowStartMs() > 0;
    }

    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Suspends all work until a time; jobs are kept and continue afterwards. */
    void stall(double until) {
        stalledUntil = Math.max(stalledUntil, until);
    }

    boolean isStalled(double now) {
        return now < stalledUntil;
    }

    /**
     * Accepts a job; returns false if slots and queue are full. The machine must have been advanced
     * to the present.
     */
    boolean offer(long job, double workMs) {
        if (running.size() < spec.slots()) {
            running.add(new RunningJob(job, servicePerSlot + workMs));
            return true;
        }
        if (queue.size() < spec.queueCapacity()) {
            queue.add(new QueuedJob(job, workMs));
            return true;
        }
        return false;
    }

    private double serviceRate() {
        int runningCount = running.size();
        if (runningCount == 0 || advancedTo < stalledUntil) {
            return 0;
        }
        double contentionFactor =
                1 / (1 + spec.contention() * Math.max(0, runningCount - spec.cores()));
        return capacity(advancedTo)
                / spec.cores()
                / slowdown
                * contentionFactor
                * Math.min(1, (double) spec.cores() / runningCount);
    }

    /** Returns the time of its next event; infinite if it is idle. */
    double nextEventAt() {
        if (running.isEmpty()) {
            return NEVER;
        }
        if (advancedTo < stalledUntil) {
            return stalledUntil;
        }
        double finishesAt =
                advancedTo
                        + Math.max(0, running.peek().finishesAtService() - servicePerSlot)
                                / serviceRate();
        return isWarmingUp(advancedTo)
                ? Math.min(finishesAt, advancedTo + SLOW_START_STEP_MS)
                : finishesAt;
    }

    /** Advances to a time and returns the jobs completed until then, in order. */
    List<CompletedJob> advance(double now) {
        List<CompletedJob> done = new ArrayList<>();
        while (advancedTo < now) {
            double next = Math.min(now, nextEventAt());
            double rate = serviceRate();
            servicePerSlot += rate * Math.max(0, next - advancedTo);
            advancedTo = Math.max(advancedTo, next);
            completeJobs(done);
            if (next >= now) {
                break;
            }
        }
        advancedTo = Math.max(advancedTo, now);
        return done;
    }

    private void completeJobs(List<CompletedJob> done) {
        while (!running.isEmpty()
                && running.peek().finishesAtService() <= servicePerSlot + WORK_EPSILON) {
            done.add(new CompletedJob(running.remove().job(), advancedTo));
            if (!queue.isEmpty()) {
                QueuedJob next = queue.remove();
                running.add(new RunningJob(next.job(), servicePerSlot + next.workMs()));
            }
        }
    }
}
