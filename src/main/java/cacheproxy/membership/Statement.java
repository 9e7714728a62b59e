package cacheproxy.membership;

import java.util.List;

/**
 * Everything that one proxy holds against nodes, signed by itself, so that whoever passes it on can
 * neither change nor invent it. A later one replaces it: of a higher incarnation, or of the same
 * and a higher number. An empty one withdraws all.
 */
record Statement(
        String observer, int incarnation, int number, List<Claim> claims, byte[] signature) {

    /** Claims of one statement; the worst of them where a proxy has more. */
    static final int MAX_CLAIMS = 16;

    List<String> accusedNodes() {
        return claims.stream().map(Claim::node).sorted().toList();
    }

    boolean newerThan(Statement other) {
        return other == null || incarnation != other.incarnation
                ? other == null || incarnation > other.incarnation
                : number > other.number;
    }
}
