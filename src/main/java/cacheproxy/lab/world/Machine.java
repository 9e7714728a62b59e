package cacheproxy.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The processor of one machine: its cores are shared evenly among the requests in its slots, what
 * comes beyond waits in turn, and what comes beyond the waiting room is turned away. Work is in
 * core-milliseconds of a core of speed 1. Started cold, its capacity grows evenly from a share to
 * the whole. Cancelling stops nothing here: whatever was taken is worked on to its end, as the
 * fleet's nodes do.
 *
 * <p>An event costs O(log n) of the requests in slots.
 */
public final class Machine {

    /** While capacity grows it is taken as constant over steps of this length. */
    private static final double SLOW_START_STEP_MS = 20;

    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** Below this a rest of work is rounding. */
    private static final double WORK_EPSILON = 1e-9;

    /**
     * What the machine is made of. {@code crowding} is the part of its capacity that each request
     * in a slot beyond its cores takes.
     */
    public record MachineSpec(
            int cores,
            double speed,
            int slots,
            int queueCapacity,
            double initialFraction,
            double slowStartMs,
            double contention) {}

    /** A piece of work that is done. */
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

    /** Work that each request in a slot has had so far, were it there from the beginning. */
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
     * Capacity in core-milliseconds a millisecond at a time, without crowding, stalls and slowness.
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

    /** Loses all it holds; what it does from now on it does cold. */
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

    /** Works on nothing until then, and goes on with all it holds afterwards. */
    void stall(double until) {
        stalledUntil = Math.max(stalledUntil, until);
    }

    boolean isStalled(double now) {
        return now < stalledUntil;
    }

    /** Takes a job, or says that it is full. The machine must have been advanced to now. */
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

    /** When it next has something to say; infinite if it is idle. */
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

    /** Works on until now and returns what was finished, in order. */
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
