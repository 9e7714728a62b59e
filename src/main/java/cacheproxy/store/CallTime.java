package cacheproxy.store;

/**
 * The time of an operator's call by the machine's monotonic clock. On Linux all processes share
 * that clock until the next boot, and setting the wall clock does not affect it. So it orders the
 * calls to the old and the new process of an upgrade, which run on one machine, without any
 * communication between them.
 */
public record CallTime(long nanos) {

    /** Returns the time of a call that is being made now. */
    public static CallTime now() {
        return new CallTime(System.nanoTime());
    }

    /** Whether this call was made after another one of the same boot. */
    public boolean isAfter(CallTime other) {
        return nanos - other.nanos > 0;
    }
}
