package cacheproxy.lab.faults;

/** Policies that are proposed in an experiment: each another one that a proxy takes. */
public final class ProposedPolicies {

    private ProposedPolicies() {}

    /** The content of the proposal of a number, from 1 on. */
    public static String content(int proposal) {
        return "[log]\nodd_lines = " + (20 + proposal) + "\n";
    }
}
