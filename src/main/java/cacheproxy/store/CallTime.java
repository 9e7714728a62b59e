package cacheproxy.store;

/**
 * When an operator made a call, by the machine's monotonic clock: on Linux all processes share it
 * from one boot to the next, and no setting of the wall clock moves it. So it orders the calls at
 * the two processes of an upgrade, which share a machine, without a word between them.
 */
public record CallTime(long nanos) {

    /** The time of a call that is being made. */
    public static CallTime now() {
        return new CallTime(System.nanoTime());
    }

    /** Whether this call was made after another of the same boot. */
    public boolean isAfter(CallTime other) {
        return nanos - other.nanos > 0;
    }
}
