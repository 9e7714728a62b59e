package cacheproxy.syscalls;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Which calls of a {@link FaultySelectorProvider}'s channels fail, and with what. Everything
 * succeeds until a test says otherwise; tests may change it from any thread.
 */
public final class FaultSchedule {

    /**
     * The error of a call, for so many calls and until so long; nanoseconds of {@link
     * System#nanoTime}.
     */
    private record Fault(Errno errno, long remainingCalls, long untilNanos) {}

    private final Map<SystemCall, Fault> faults = new EnumMap<>(SystemCall.class);
    private final Map<SystemCall, Integer> failureCounts = new EnumMap<>(SystemCall.class);
    private final Set<FaultySocketChannel> openSockets = ConcurrentHashMap.newKeySet();
    private int maxTransferBytes = Integer.MAX_VALUE;
    private long remainingWriteBytes = Long.MAX_VALUE;
    private int pendingInterrupts;

    /** The next {@code calls} of these fail. */
    public synchronized void fail(SystemCall call, Errno errno, long calls) {
        faults.put(call, new Fault(errno, calls, Long.MAX_VALUE));
    }

    /** Every one of these fails for so long from now. */
    public synchronized void failFor(SystemCall call, Errno errno, long milliseconds) {
        faults.put(
                call,
                new Fault(
                        errno,
                        Long.MAX_VALUE,
                        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds)));
    }

    /** Whatever was to fail succeeds from now on. */
    public synchronized void clearFaults() {
        faults.clear();
        maxTransferBytes = Integer.MAX_VALUE;
        remainingWriteBytes = Long.MAX_VALUE;
    }

    /** No read and no write moves more bytes than this at once. */
    public synchronized void limitTransfers(int bytes) {
        maxTransferBytes = bytes;
    }

    /** So many bytes may be written still; after them the sockets' buffers are as good as full. */
    public synchronized void limitWrittenBytes(long bytes) {
        remainingWriteBytes = bytes;
    }

    /** Whether anything may be written still. */
    public synchronized boolean mayWrite() {
        return remainingWriteBytes > 0;
    }

    /**
     * The next so many waits return at once and tell of nothing, as those that a signal interrupts.
     */
    public synchronized void interruptWaits(int count) {
        pendingInterrupts = count;
    }

    /** How many of these calls have failed by this schedule so far. */
    public synchronized int failureCount(SystemCall call) {
        return failureCounts.getOrDefault(call, 0);
    }

    /** Waits that were to be interrupted and have not come yet. */
    public synchronized int pendingInterrupts() {
        return pendingInterrupts;
    }

    /** Channels that are open now. */
    public int openCount() {
        return openSockets.size();
    }

    /**
     * Every connection that is open breaks: its next read or write fails with this, and it is ready
     * at once for that.
     */
    public void breakConnections(Errno errno) {
        openSockets.forEach(socket -> socket.breakVisibly(errno));
    }

    /** The same, but the loop learns of it only where it reads or writes for another reason. */
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

    /** Throws if this call is to fail. */
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
