package cacheproxy.membership;

import java.util.List;

/**
 * All current claims of one proxy, signed by it, so that a forwarding member can neither alter nor
 * forge them. A statement is replaced by one of a higher incarnation, or of the same incarnation
 * and a higher number. A statement without claims withdraws all earlier ones.
 */
record Statement(
        String observer, int incarnation, int number, List<Claim> claims, byte[] signature) {

    /** Maximum claims per statement; a proxy with more includes those with the most attempts. */
    static final int MAX_CLAIMS = 16;

    /** Returns the ids of the accused nodes in sorted order. */
    List<String> accusedNodes() {
        return claims.stream().map(Claim::node).sorted().toList();
    }

    boolean newerThan(Statement other) {
        return other == null || incarnation != other.incarnation
                ? other == null || incarnation > other.incarnation
                : number > other.number;
    }
}
