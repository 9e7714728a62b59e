package cacheproxy.membership;

/**
 * The state of one proxy in the member table. Of two reports the one with the higher incarnation
 * takes precedence; at the same incarnation, the one with the later {@link Status} (SWIM, Das,
 * Gupta and Motivala 2002, section 4.2).
 *
 * @param name the proxy's name, 1 to 32 bytes, unique within the fleet
 * @param address the address to which its packets are sent, {@code host:port}, at most 64 bytes
 * @param incarnation a counter that only the proxy itself raises, to refute reports of others
 * @param suspectedBy the member that reports the suspicion, by which independent suspicions are
 *     counted (Lifeguard); empty unless suspected
 */
public record Member(
        String name, String address, int incarnation, Status status, String suspectedBy) {

    /**
     * A later status overrides an earlier one of the same incarnation. The ordinals are part of the
     * packet format.
     */
    public enum Status {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    public Member(String name, String address, int incarnation, Status status) {
        this(name, address, incarnation, status, "");
    }

    boolean overrides(Member other) {
        return incarnation != other.incarnation
                ? incarnation > other.incarnation
                : status.compareTo(other.status) > 0;
    }

    /** Returns whether the member participates; a suspected member still does. */
    public boolean isPresent() {
        return status == Status.ALIVE || status == Status.SUSPECT;
    }

    Member withStatus(Status next) {
        return new Member(name, address, incarnation, next, "");
    }

    Member asSuspect(String accuser) {
        return new Member(name, address, incarnation, Status.SUSPECT, accuser);
    }
}
