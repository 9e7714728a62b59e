package cacheproxy.syscalls;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Defines which system calls of a {@link FaultySelectorProvider}'s channels fail, and with which
 * error. All calls succeed until a test schedules a fault. Thread-safe.
 */
public final class FaultSchedule {

    /**
     * The error of the next {@code remainingCalls} calls, until {@code untilNanos} of {@link
     * System#nanoTime}; {@link Long#MAX_VALUE} means no time limit.
     */
    private record Fault(Errno errno, long remainingCalls, long untilNanos) {}

    private final Map<SystemCall, Fault> faults = new EnumMap<>(SystemCall.class);
    private final Map<SystemCall, Integer> failureCounts = new EnumMap<>(SystemCall.class);
    private final Set<FaultySocketChannel> openSockets = ConcurrentHashMap.newKeySet();
    private int maxTransferBytes = Integer.MAX_VALUE;
    private long remainingWriteBytes = Long.MAX_VALUE;
    private int pendingInterrupts;

    /** Makes the next {@code calls} calls of this kind fail. */
    public synchronized void fail(SystemCall call, Errno errno, long calls) {
        faults.put(call, new Fault(errno, calls, Long.MAX_VALUE));
    }

    /** Makes every call of this kind fail for the given time from now. */
    public synchronized void failFor(SystemCall call, Errno errno, long milliseconds) {
        faults.put(
                call,
                new Fault(
                        errno,
                        Long.MAX_VALUE,
                        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds)));
    }

    /**
     * Removes all scheduled failures and byte limits. Broken connections stay broken, and pending
     * interrupts remain.
     */
    public synchronized void clearFaults() {
        faults.clear();
        maxTransferBytes = Integer.MAX_VALUE;
        remainingWriteBytes = Long.MAX_VALUE;
    }

    /** Limits the bytes that each read and each write transfers. */
    public synchronized void limitTransfers(int bytes) {
        maxTransferBytes = bytes;
    }

    /** Limits the bytes written from now on; after them writes behave as with full buffers. */
    public synchronized void limitWrittenBytes(long bytes) {
        remainingWriteBytes = bytes;
    }

    /** Whether the limit of written bytes is not yet reached. */
    public synchronized boolean mayWrite() {
        return remainingWriteBytes > 0;
    }

    /** Makes the next {@code count} waits return at once without events, as after a signal. */
    public synchronized void interruptWaits(int count) {
        pendingInterrupts = count;
    }

    /** Returns how many calls of this kind this schedule has made fail so far. */
    public synchronized int failureCount(SystemCall call) {
        return failureCounts.getOrDefault(call, 0);
    }

    /** Returns how many of the waits to interrupt have not happened yet. */
    public synchronized int pendingInterrupts() {
        return pendingInterrupts;
    }

    /** Returns how many socket channels are open. */
    public int openCount() {
        return openSockets.size();
    }

    /**
     * Breaks every open connection: it becomes ready at once, and its next read or write fails with
     * this error.
     */
    public void breakConnections(Errno errno) {
        openSockets.forEach(socket -> socket.breakVisibly(errno));
    }

    /**
     * Breaks every open connection without making it ready: the event loop notices only when it
     * reads or writes for another reason.
     */
    public void breakConnectionsSilently(Errno errno) {
        openSockets.forEach(socket -> socket.breakSilently(errno));
    }

    void opened(FaultySocketChannel socket) {
        openSockets.add(socket);
    }

    void closed(FaultySocketChannel socket) {
        openSockets.remove(socket);
    }

    synchronized boolean takeInterrupt() {
        if (pendingInterrupts == 0) {
            return false;
        }
        pendingInterrupts--;
        return true;
    }

    /** Throws the scheduled error if this call is to fail. */
    void failIfScheduled(SystemCall call) throws IOException {
        Errno errno = takeFault(call);
        if (errno != null) {
            throw errno.exception(call);
        }
    }

    private synchronized Errno takeFault(SystemCall call) {
        Fault fault = faults.get(call);
        if (fault == null) {
            return null;
        }
        boolean timed = fault.untilNanos() != Long.MAX_VALUE;
        if (fault.remainingCalls() == 0 || timed && System.nanoTime() - fault.untilNanos() >= 0) {
            faults.remove(call);
            return null;
        }
        if (!timed) {
            faults.put(
                    call, new Fault(fault.errno(), fault.remainingCalls() - 1, fault.untilNanos()));
        }
        failureCounts.merge(call, 1, Integer::sum);
        return fault.errno();
    }

    synchronized int maxReadBytes() {
        return maxTransferBytes;
    }

    synchronized int maxWriteBytes() {
        return (int) Math.min(maxTransferBytes, remainingWriteBytes);
    }

    synchronized void recordWritten(int bytes) {
        if (remainingWriteBytes != Long.MAX_VALUE) {
            remainingWriteBytes -= bytes;
        }
    }
}
