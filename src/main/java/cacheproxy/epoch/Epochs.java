package cacheproxy.epoch;

import java.util.ArrayList;
import java.util.List;

/**
 * What the replicated log amounts to: the epochs that were in force, in order, and at most one that
 * is prepared. Every voter applies the same changes in the same order and so holds the same. An
 * epoch takes two entries: the first prepares it, and from its commit on no proxy may be granted
 * the older one any more; the second, once nobody can count itself current at the older one, puts
 * it in force.
 */
public final class Epochs {

    /** Longest content of one policy, in characters. */
    public static final int MAX_CONTENT_CHARS = 16_384;

    /** So many are kept; one who lacks more takes the oldest that is kept as a snapshot. */
    static final int MAX_RETAINED_EPOCHS = 256;

    /** One policy: its number, from 1 on, the proposal it came from, and its text. */
    public record Epoch(long number, String proposal, String content) {}

    /** An entry of the log. */
    public sealed interface Change permits Prepare, Activate, NewTermEntry {}

    /**
     * Prepares the epoch after {@code base}; a base that is not in force any more refuses it, as
     * its author had seen another.
     */
    public record Prepare(String proposal, long base, String content) implements Change {}

    /** Puts a prepared epoch in force. */
    public record Activate(long epoch) implements Change {}

    /** A new leader's first entry; changes nothing. */
    public record NewTermEntry() implements Change {}

    /** What a change came to: the epoch's number, or why it was refused. */
    public record Outcome(long epoch, String rejectionReason) {}

    private final List<Epoch> retained = new ArrayList<>();
    private long inForce;
    private Epoch prepared;

    /** Applies a committed entry. */
    public Outcome apply(Change change) {
        if (change instanceof Prepare prepare) {
            return prepare(prepare);
        }
        if (change instanceof Activate activate
                && prepared != null
                && prepared.number() == activate.epoch()) {
            recordInForce(prepared);
            prepared = null;
        }
        return new Outcome(inForce, null);
    }

    private Outcome prepare(Prepare prepare) {
        Epoch existing =
                prepared != null && prepared.proposal().equals(prepare.proposal())
                        ? prepared
                        : retained.stream()
                                .filter(e -> e.proposal().equals(prepare.proposal()))
                                .findFirst()
                                .orElse(null);
        if (existing != null) {
            // A leader that was lost may have been asked before: the same proposal is the same
            // epoch.
            return new Outcome(existing.number(), null);
        }
        if (prepared != null) {
            return new Outcome(
                    0,
                    "another change is under way, epoch "
                            + prepared.number()
                            + "; nothing was changed");
        }
        if (prepare.base() != inForce) {
            return new Outcome(
                    0,
                    "epoch "
                            + inForce
                            + " is in force, the change was made for epoch "
                            + prepare.base()
                            + "; nothing was changed");
        }
        prepared = new Epoch(inForce + 1, prepare.proposal(), prepare.content());
        return new Outcome(prepared.number(), null);
    }

    /**
     * An epoch is in force; called from outside for a proxy that does not vote, once a voter has
     * said so.
     */
    void recordInForce(Epoch epoch) {
        inForce = epoch.number();
        retained.add(epoch);
        if (retained.size() > MAX_RETAINED_EPOCHS) {
            retained.remove(0);
        }
    }

    /** The number in force; 0 before the first. */
    public long inForce() {
        return inForce;
    }

    /** The number that is prepared, or 0. */
    public long prepared() {
        return prepared == null ? 0 : prepared.number();
    }

    /** An epoch that was in force and is kept; null else. */
    public Epoch find(long number) {
        return retained.stream().filter(e -> e.number() == number).findFirst().orElse(null);
    }

    /** Those in force after {@code number}, in order, so many at most. */
    public List<Epoch> after(long number, int limit) {
        return retained.stream().filter(e -> e.number() > number).limit(limit).toList();
    }

    /** All that are kept, oldest first. */
    public List<Epoch> history() {
        return List.copyOf(retained);
    }
}
