package cacheproxy.epoch;

import java.util.ArrayList;
import java.util.List;

/**
 * The state machine of the replicated policy log: the epochs that have been in force, in order, and
 * at most one prepared epoch. Every voter applies the same changes in the same order and so reaches
 * the same state. An epoch takes two log entries. The first prepares it; from its commit on, no
 * voter grants a lease on the older epoch. The second puts the new epoch in force once no proxy can
 * count itself current at the older one.
 */
public final class Epochs {

    /** Maximum length of a policy's content, in characters. */
    public static final int MAX_CONTENT_CHARS = 16_384;

    /**
     * Number of past epochs that are retained. A proxy that is further behind starts from the
     * oldest retained epoch, as from a snapshot.
     */
    static final int MAX_RETAINED_EPOCHS = 256;

    /** One policy: its number (from 1 on), the id of its proposal, and its text. */
    public record Epoch(long number, String proposal, String content) {}

    /** An entry of the replicated log. */
    public sealed interface Change permits Prepare, Activate, NewTermEntry {}

    /**
     * Prepares the epoch after {@code base}. It is rejected if {@code base} is no longer in force,
     * because its author based the change on an outdated policy.
     */
    public record Prepare(String proposal, long base, String content) implements Change {}

    /** Puts the prepared epoch in force. */
    public record Activate(long epoch) implements Change {}

    /** A new leader's first entry; it does not change the state. */
    public record NewTermEntry() implements Change {}

    /**
     * The result of applying a change: the epoch's number, or the reason for its rejection (null if
     * accepted).
     */
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
            // A previous leader may already have appended this proposal before it failed; the same
            // proposal yields the same epoch.
            return new Outcome(existing.number(), null);
        }
        if (prepared != null) {
            return new Outcome(
                    0,
                    "another change is in progress, epoch "
                            + prepared.number()
                            + "; nothing was changed");
        }
        if (prepare.base() != inForce) {
            return new Outcome(
                    0,
                    "epoch "
                            + inForce
                            + " is in force, but the change is based on epoch "
                            + prepare.base()
                            + "; nothing was changed");
        }
        prepared = new Epoch(inForce + 1, prepare.proposal(), prepare.content());
        return new Outcome(prepared.number(), null);
    }

    /**
     * Records an epoch as in force. {@link PolicyMember} calls it at a proxy that is no voter, when
     * a voter has sent the epoch.
     */
    void recordInForce(Epoch epoch) {
        inForce = epoch.number();
        retained.add(epoch);
        if (retained.size() > MAX_RETAINED_EPOCHS) {
            retained.remove(0);
        }
    }

    /** Returns the number of the epoch in force; 0 before the first. */
    public long inForce() {
        return inForce;
    }

    /** Returns the number of the prepared epoch, or 0 if none is prepared. */
    public long prepared() {
        return prepared == null ? 0 : prepared.number();
    }

    /** Returns the retained epoch of this number, or null. */
    public Epoch find(long number) {
        return retained.stream().filter(e -> e.number() == number).findFirst().orElse(null);
    }

    /** Returns the retained epochs after {@code number}, oldest first, at most {@code limit}. */
    public List<Epoch> after(long number, int limit) {
        return retained.stream().filter(e -> e.number() > number).limit(limit).toList();
    }

    /** Returns all retained epochs, oldest first. */
    public List<Epoch> history() {
        return List.copyOf(retained);
    }
}
