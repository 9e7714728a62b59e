package cacheproxy.lab.faults;

/** The policies proposed in an experiment; all of them are valid and differ from one another. */
public final class ProposedPolicies {

    private ProposedPolicies() {}

    /** Returns the content of a proposal, numbered from 1. */
    public static String content(int proposal) {
        return "[log]\nodd_lines = " + (20 + proposal) + "\n";
    }
}
