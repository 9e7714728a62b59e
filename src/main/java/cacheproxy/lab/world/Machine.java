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
    private static final double STEP_MS = 20;

    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** Below this a rest of work is rounding. */
    private static final double ROUNDING = 1e-9;

    /**
     * What the machine is made of. {@code crowding} is the part of its capacity that each request
     * in a slot beyond its cores takes.
     */
    public record Make(
            int cores,
            double speed,
            int slots,
            int room,
            double coldFrom,
            double coldMs,
            double crowding) {}

    /** A piece of work that is done. */
    record Done(long job, double atMs) {}

    private record Running(long job, double until) implements Comparable<Running> {

        @Override
        public int compareTo(Running other) {
            return until < other.until
                    ? -1
                    : until > other.until ? 1 : Long.compare(job, other.job);
        }
    }

    private record Waiting(long job, double workMs) {}

    private final Make make;
    private final PriorityQueue<Running> running = new PriorityQueue<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private double at;

    /** Work that each request in a slot has had so far, were it there from the beginning. */
    private double served;

    private double startedAt;
    private boolean cold;
    private double slowness = 1;
    private double stalledUntil = -1;

    Machine(Make make, double now) {
        this.make = make;
        this.at = now;
        this.startedAt = now;
    }

    /**
     * Capacity in core-milliseconds a millisecond at a time, without crowding, stalls and slowness.
     */
    double capacity(double now) {
        double warmth =
                !cold
                        ? 1
                        : Math.min(
                                1,
                                make.coldFrom()
                                        + (1 - make.coldFrom())
                                                * (now - startedAt)
                                                / make.coldMs());
        return make.cores() * make.speed() * warmth;
    }

    double fullCapacity() {
        return make.cores() * make.speed();
    }

    boolean cold(double now) {
        return cold && now - startedAt < make.coldMs();
    }

    int held() {
        return running.size() + waiting.size();
    }

    int cores() {
        return make.cores();
    }

    /** Loses all it holds; what it does from now on it does cold. */
    void restartCold(double now) {
        running.clear();
        waiting.clear();
        served = 0;
        at = now;
        startedAt = now;
        cold = make.coldMs() > 0;
    }

    void slow(double factor) {
        slowness = factor;
    }

    /** Works on nothing until then, and goes on with all it holds afterwards. */
    void stall(double until) {
        stalledUntil = Math.max(stalledUntil, until);
    }

    boolean stalled(double now) {
        return now < stalledUntil;
    }

    /** Takes a job, or says that it is full. The machine must have been advanced to now. */
    boolean offer(long job, double workMs) {
        if (running.size() < make.slots()) {
            running.add(new Running(job, served + workMs));
            return true;
        }
        if (waiting.size() < make.room()) {
            waiting.add(new Waiting(job, workMs));
            return true;
        }
        return false;
    }

    private double rate() {
        int n = running.size();
        if (n == 0 || at < stalledUntil) {
            return 0;
        }
        double crowd = 1 / (1 + make.crowding() * Math.max(0, n - make.cores()));
        return capacity(at)
                / make.cores()
                / slowness
                * crowd
                * Math.min(1, (double) make.cores() / n);
    }

    /** When it next has something to say; infinite if it is idle. */
    double nextAt() {
        if (running.isEmpty()) {
            return NEVER;
        }
        if (at < stalledUntil) {
            return stalledUntil;
        }
        double due = at + Math.max(0, running.peek().until() - served) / rate();
        return cold(at) ? Math.min(due, at + STEP_MS) : due;
    }

    /** Works on until now and returns what was finished, in order. */
    List<Done> advance(double now) {
        List<Done> done = new ArrayList<>();
        while (at < now) {
            double next = Math.min(now, nextAt());
            double rate = rate();
            served += rate * Math.max(0, next - at);
            at = Math.max(at, next);
            finish(done);
            if (next >= now) {
                break;
            }
        }
        at = Math.max(at, now);
        return done;
    }

    private void finish(List<Done> done) {
        while (!running.isEmpty() && running.peek().until() <= served + ROUNDING) {
            done.add(new Done(running.remove().job(), at));
            if (!waiting.isEmpty()) {
                Waiting next = waiting.remove();
                running.add(new Running(next.job(), served + next.workMs()));
            }
        }
    }
}
