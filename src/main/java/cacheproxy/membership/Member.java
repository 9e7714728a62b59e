package cacheproxy.membership;

/**
 * One proxy as the fleet knows it. Of two reports the one of the higher incarnation holds; of the
 * same incarnation, the one of the later status (SWIM, Das, Gupta and Motivala 2002, section 4.2).
 *
 * @param name its name, 1 to 32 bytes; each proxy of a fleet has its own
 * @param address where its packets go, {@code host:port}, at most 64 bytes
 * @param incarnation raised by the proxy itself alone, to refute what others say of it
 * @param by of a suspicion, the member that holds it, so that independent ones can be counted
 *     (Lifeguard); empty else
 */
public record Member(
        String name, String address, int incarnation, Status status, String suspectedBy) {

    /** In the order in which one overrides another of the same incarnation. */
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

    /** Whether it takes part: also while it is suspected. */
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
