package cacheproxy.syscalls;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Which calls of a {@link FaultyProvider}'s channels fail, and with what. Everything succeeds until
 * a test says otherwise; tests may change it from any thread.
 */
public final class FaultSchedule {

    /**
     * The error of a call, for so many calls and until so long; nanoseconds of {@link
     * System#nanoTime}.
     */
    private record Fault(Errno errno, long calls, long until) {}

    private final Map<SystemCall, Fault> faults = new EnumMap<>(SystemCall.class);
    private final Map<SystemCall, Integer> failed = new EnumMap<>(SystemCall.class);
    private final Set<FaultySocketChannel> sockets = ConcurrentHashMap.newKeySet();
    private int longestTransfer = Integer.MAX_VALUE;
    private long writable = Long.MAX_VALUE;
    private int interrupted;

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
    public synchronized void heal() {
        faults.clear();
        longestTransfer = Integer.MAX_VALUE;
        writable = Long.MAX_VALUE;
    }

    /** No read and no write moves more bytes than this at once. */
    public synchronized void shorten(int bytes) {
        longestTransfer = bytes;
    }

    /** So many bytes may be written still; after them the sockets' buffers are as good as full. */
    public synchronized void allowWritten(long bytes) {
        writable = bytes;
    }

    /** Whether anything may be written still. */
    public synchronized boolean mayWrite() {
        return writable > 0;
    }

    /**
     * The next so many waits return at once and tell of nothing, as those that a signal interrupts.
     */
    public synchronized void interruptWaits(int waits) {
        interrupted = waits;
    }

    /** How many of these calls have failed by this schedule so far. */
    public synchronized int failed(SystemCall call) {
        return failed.getOrDefault(call, 0);
    }

    /** Waits that were to be interrupted and have not come yet. */
    public synchronized int interruptsLeft() {
        return interrupted;
    }

    /** Channels that are open now. */
    public int open() {
        return sockets.size();
    }

    /**
     * Every connection that is open breaks: its next read or write fails with this, and it is ready
     * at once for that.
     */
    public void breakConnections(Errno errno) {
        sockets.forEach(s -> s.breakWith(errno));
    }

    /** The same, but the loop learns of it only where it reads or writes for another reason. */
    public void breakConnectionsUnseen(Errno errno) {
        sockets.forEach(s -> s.breakUnseen(errno));
    }

    void opened(FaultySocketChannel socket) {
        sockets.add(socket);
    }

    void closed(FaultySocketChannel socket) {
        sockets.remove(socket);
    }

    synchronized boolean interruptsWait() {
        if (interrupted == 0) {
            return false;
        }
        interrupted--;
        return true;
    }

    /** Throws if this call is to fail. */
    void before(SystemCall call) throws IOException {
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
        boolean timed = fault.until() != Long.MAX_VALUE;
        if (fault.calls() == 0 || timed && System.nanoTime() - fault.until() >= 0) {
            faults.remove(call);
            return null;
        }
        if (!timed) {
            faults.put(call, new Fault(fault.errno(), fault.calls() - 1, fault.until()));
        }
        failed.merge(call, 1, Integer::sum);
        return fault.errno();
    }

    synchronized int longestRead() {
        return longestTransfer;
    }

    synchronized int longestWrite() {
        return (int) Math.min(longestTransfer, writable);
    }

    synchronized void wrote(int bytes) {
        if (writable != Long.MAX_VALUE) {
            writable -= bytes;
        }
    }
}
