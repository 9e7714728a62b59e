package cacheproxy.epoch;

import cacheproxy.epoch.Epochs.Activate;
import cacheproxy.epoch.Epochs.Epoch;
import cacheproxy.epoch.Epochs.Outcome;
import cacheproxy.epoch.Epochs.Prepare;
import cacheproxy.epoch.Message.Ending;
import cacheproxy.epoch.Message.Hello;
import cacheproxy.epoch.Message.Propose;
import cacheproxy.epoch.Message.Proposed;
import cacheproxy.epoch.Message.Welcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * One proxy's part in the fleet's policy, voter or not. It asks every voter a few times a second,
 * applies the epochs in force that it lacks, in order, and counts itself current while a majority
 * of voters grants it the epoch that it runs. Any two majorities share a voter, and a prepared
 * epoch goes in force only once a majority grants the older one no more and nobody can still rely
 * on it, so no two proxies count themselves current at different epochs, however they are cut off,
 * paused or restarted.
 *
 * <p>{@code now} is this proxy's own clock in milliseconds, which never runs back; no other is
 * compared with it. Used by one thread.
 */
public final class PolicyMember {

    /** How often voters are asked; more often while a change is under way. */
    private static final double ASK_MS = 250;

    private static final double ASK_SOON_MS = 100;

    /** How long a grant lasts. */
    private static final double LEASE_MS = 1000;

    /** A voter counts as reachable for so long after its last answer. */
    private static final double HEARD_MS = 2000;

    /** How long a proposal is waited for. */
    private static final double PATIENCE_MS = 10_000;

    private static final int FEW = 8;
    private static final int ASKED_KEPT = 16;

    /** What a voter sees of the log that consensus keeps. */
    public interface Log {
        boolean leads();

        /**
         * Whether it leads and a majority has confirmed that in this term, so that it has applied
         * all that any earlier one committed.
         */
        boolean led();

        /** Whom it takes for the leader; empty if for nobody. */
        String leader();

        int term();

        /** The index up to which it has applied the log. */
        long applied();

        /** Asks a majority whether this still leads; {@code then} is told once that is known. */
        void confirm(Consumer<Boolean> then);

        /**
         * Appends; {@code then} is told what applying it came to, or null where that can't be
         * known.
         */
        void append(Epochs.Change change, Consumer<Outcome> then);
    }

    /** What an operator may want to know. */
    public enum What {
        /** An epoch is in force here. */
        APPLIED,
        /** This proxy counts itself current from {@code atMs} on. */
        CURRENT,
        /** It did so until {@code atMs}. */
        NOT_CURRENT,
        /** A newer epoch is prepared, so that this one is on its way out. */
        FENCED,
        /** A voter told of a higher epoch than runs here. */
        BEHIND
    }

    /** Where the wishes go. */
    public interface Out {
        void send(String to, Message message);

        /** Puts an epoch in force on this proxy. */
        void apply(Epoch epoch);

        void event(What what, long epoch, double atMs);
    }

    /**
     * How a proposal ended: the epoch that is in force, or why none is; {@code text} is for people.
     */
    public record Answer(Ending ending, long epoch, String text) {}

    /** A proxy as a voter last heard it: the epoch in force there, and when it said so. */
    public record Seen(long epoch, boolean fenced, double at) {}

    private record Asked(long seq, double at) {}

    /** {@code epoch} is what it was prepared as; 0 before. */
    private record Waiting(Consumer<Answer> then, double until, long epoch) {}

    private final String name;
    private final List<String> voters;

    /** Null where this proxy is no voter. */
    private final Log log;

    private final Epochs epochs;
    private final Grants grants;
    private final int bornTerm;
    private long barrier = -1;

    private long inForce;
    private double inForceSince;
    private long fenced;
    private long seq;
    private double askAt = Double.NEGATIVE_INFINITY;
    private boolean counted;
    private double countedUntil;
    private final Map<String, List<Asked>> asked = new HashMap<>();
    private final Map<String, Double> grantedUntil = new HashMap<>();
    private final Map<String, Double> heardAt = new HashMap<>();
    private final Map<String, Welcome> said = new HashMap<>();
    private final Map<String, Seen> seen = new TreeMap<>();
    private final Map<String, Waiting> waiting = new TreeMap<>();
    private boolean activating;
    private int proposals;

    /**
     * @param log null where this proxy does not vote
     * @param epochs what the log amounts to; the caller applies committed entries to it and then
     *     calls {@link #committed}
     * @param last what was in force here when the last process ended, or null
     */
    public PolicyMember(
            String name, List<String> voters, Log log, Epochs epochs, Epoch last, double now) {
        this.name = name;
        this.voters = List.copyOf(voters);
        this.log = log;
        this.epochs = epochs;
        this.grants = new Grants(LEASE_MS, now);
        this.bornTerm = log == null ? 0 : log.term();
        this.inForce = last == null ? 0 : last.number();
        this.inForceSince = now;
    }

    private int majority() {
        return voters.size() / 2 + 1;
    }

    public long inForce() {
        return inForce;
    }

    public double inForceSince() {
        return inForceSince;
    }

    /** The highest epoch that any voter has called in force or prepared. */
    public long highest() {
        return said.values().stream()
                .mapToLong(w -> Math.max(w.inForce(), w.prepared()))
                .reduce(Math.max(inForce, fenced), Math::max);
    }

    /** Voters that answered lately. */
    public long reachable(double now) {
        return heardAt.values().stream().filter(t -> now - t < HEARD_MS).count();
    }

    /** Who leads the log, as far as told; empty if nobody is known to. */
    public String leader(double now) {
        if (log != null && log.leads()) {
            return name;
        }
        return said.entrySet().stream()
                .filter(
                        e ->
                                now - heardAt.get(e.getKey()) < HEARD_MS
                                        && !e.getValue().leader().isEmpty())
                .max(Comparator.comparingInt(e -> e.getValue().term()))
                .map(e -> e.getValue().leader())
                .orElse("");
    }

    /** Every proxy that has asked this voter, as it last spoke. */
    public Map<String, Seen> seen() {
        return Map.copyOf(seen);
    }

    /** The time until which a majority's grants hold. */
    private double currentUntil() {
        if (fenced > inForce || grantedUntil.size() < majority()) {
            return Double.NEGATIVE_INFINITY;
        }
        return grantedUntil.values().stream()
                .sorted(Comparator.reverseOrder())
                .skip(majority() - 1)
                .findFirst()
                .orElseThrow();
    }

    /** Whether this proxy runs what the fleet runs, and a majority of voters stands for that. */
    public boolean current(double now) {
        return now < currentUntil();
    }

    private void count(double now, Out out) {
        double until = currentUntil();
        if (counted && now >= countedUntil && now < until) {
            // It lapsed and came back between two looks.
            out.event(What.NOT_CURRENT, inForce, countedUntil);
            counted = false;
        }
        if (!counted && now < until) {
            counted = true;
            out.event(What.CURRENT, inForce, now);
        } else if (counted && now >= until) {
            stop(now, out);
        }
        countedUntil = counted ? Math.max(countedUntil, until) : until;
    }

    private void stop(double now, Out out) {
        if (counted) {
            counted = false;
            out.event(What.NOT_CURRENT, inForce, Math.min(now, countedUntil));
        }
    }

    /**
     * Ends it, as another takes its place: it counts itself current no more, and how the proposals
     * that it waits for end is not known.
     */
    public void end(double now, Out out) {
        stop(now, out);
        for (Waiting proposal : waiting.values()) {
            proposal.then()
                    .accept(
                            new Answer(
                                    Ending.UNKNOWN,
                                    0,
                                    "the voter's storage failed meanwhile: the change may still take hold; "
                                            + "see policy status"));
        }
        waiting.clear();
    }

    public void tick(double now, Out out) {
        count(now, out);
        boolean soon = fenced > inForce || epochs.prepared() > 0 || !counted;
        if (now - askAt >= (soon ? ASK_SOON_MS : ASK_MS)) {
            ask(now, out);
        }
        lead(now, out);
        for (Map.Entry<String, Waiting> e : List.copyOf(waiting.entrySet())) {
            if (now >= e.getValue().until()) {
                waiting.remove(e.getKey());
                e.getValue()
                        .then()
                        .accept(
                                new Answer(
                                        Ending.UNKNOWN,
                                        0,
                                        (e.getValue().epoch() > 0
                                                        ? "prepared as epoch "
                                                                + e.getValue().epoch()
                                                                + " and not in force"
                                                        : "no answer")
                                                + " after "
                                                + Math.round(PATIENCE_MS / 1000)
                                                + " s: the change may still take hold; see policy status"));
            }
        }
    }

    private void ask(double now, Out out) {
        askAt = now;
        seq++;
        Hello hello = new Hello(seq, inForce, fenced);
        for (String voter : voters) {
            List<Asked> mine = asked.computeIfAbsent(voter, v -> new ArrayList<>());
            mine.add(new Asked(seq, now));
            if (mine.size() > ASKED_KEPT) {
                mine.remove(0);
            }
            if (voter.equals(name)) {
                received(now, name, hello, out);
            } else {
                out.send(voter, hello);
            }
        }
    }

    /** A message of another proxy, whose name is proven. */
    public void received(double now, String from, Message message, Out out) {
        if (message instanceof Hello h && log != null) {
            hello(now, from, h, out);
        } else if (message instanceof Welcome w && voters.contains(from)) {
            welcome(now, from, w, out);
        } else if (message instanceof Propose p && log != null) {
            proposed(
                    now,
                    p,
                    a -> out.send(from, new Proposed(p.id(), a.ending(), a.epoch(), a.text())));
        } else if (message instanceof Proposed p && voters.contains(from)) {
            answered(p.id(), new Answer(p.ending(), p.epoch(), p.text()));
        }
    }

    /** One that is prepared has ended once it is in force here. */
    private void answered(String id, Answer answer) {
        Waiting w = waiting.remove(id);
        if (w != null && answer.ending() == Ending.IN_FORCE && answer.epoch() > inForce) {
            waiting.put(id, new Waiting(w.then(), w.until(), answer.epoch()));
        } else if (w != null) {
            w.then().accept(answer);
        }
    }

    private void inForceNow() {
        for (Map.Entry<String, Waiting> e : List.copyOf(waiting.entrySet())) {
            if (e.getValue().epoch() > 0 && e.getValue().epoch() <= inForce) {
                answered(
                        e.getKey(),
                        new Answer(
                                Ending.IN_FORCE,
                                e.getValue().epoch(),
                                "epoch " + e.getValue().epoch() + " is in force"));
            }
        }
    }

    // As a voter.

    private boolean caughtUp() {
        return log.led() || barrier >= 0 && log.applied() >= barrier;
    }

    private void hello(double now, String from, Hello h, Out out) {
        seen.put(from, new Seen(h.epoch(), h.fenced() > h.epoch(), now));
        if (h.fenced() > h.epoch()) {
            grants.release(from);
        }
        boolean granted =
                h.fenced() <= h.epoch()
                        && epochs.prepared() == 0
                        && epochs.inForce() == h.epoch()
                        && caughtUp();
        if (granted) {
            grants.grant(now, from);
        }
        Welcome answer =
                new Welcome(
                        h.seq(),
                        granted,
                        epochs.inForce(),
                        epochs.prepared(),
                        epochs.prepared() > 0 && grants.clear(now),
                        epochs.after(h.epoch(), FEW),
                        log.leads() ? name : log.leader(),
                        log.term(),
                        log.applied(),
                        log.led());
        if (from.equals(name)) {
            welcome(now, name, answer, out);
        } else {
            out.send(from, answer);
        }
    }

    /** The log has been applied further; the epochs say how far. */
    public void committed(double now, Out out) {
        take(now, epochs.after(inForce, Epochs.KEPT), out);
        fence(now, epochs.prepared(), out);
    }

    /** A leader puts a prepared epoch in force once a majority relies on nothing older. */
    private void lead(double now, Out out) {
        long prepared = epochs.prepared();
        if (log == null || prepared == 0 || activating || !log.led()) {
            return;
        }
        long clear =
                voters.stream()
                        .filter(
                                v ->
                                        v.equals(name)
                                                ? grants.clear(now)
                                                : said.containsKey(v)
                                                        && said.get(v).prepared() == prepared
                                                        && said.get(v).clear())
                        .count();
        if (clear >= majority()) {
            activating = true;
            log.append(new Activate(prepared), o -> activating = false);
        }
    }

    // As a proxy.

    private void welcome(double now, String from, Welcome w, Out out) {
        heardAt.put(from, now);
        said.put(from, w);
        if (log != null && w.led() && w.term() >= bornTerm && barrier < 0) {
            barrier = w.applied();
        }
        double asked =
                this.asked.getOrDefault(from, List.of()).stream()
                        .filter(a -> a.seq() == w.seq())
                        .mapToDouble(Asked::at)
                        .findFirst()
                        .orElse(Double.NEGATIVE_INFINITY);
        if (w.granted() && w.inForce() == inForce) {
            grantedUntil.merge(from, asked + LEASE_MS, Math::max);
        }
        if (w.inForce() > inForce && w.next().isEmpty()) {
            out.event(What.BEHIND, w.inForce(), now);
        }
        take(now, w.next(), out);
        fence(now, w.prepared(), out);
        count(now, out);
    }

    private void fence(double now, long prepared, Out out) {
        if (prepared > fenced && prepared > inForce) {
            stop(now, out);
            fenced = prepared;
            out.event(What.FENCED, prepared, now);
            // Told at once, voters need not wait for the lease to run out.
            ask(now, out);
        }
    }

    private void take(double now, List<Epoch> next, Out out) {
        for (Epoch e : next) {
            // The first may be the oldest that is kept, as a snapshot; else each follows the one
            // before.
            if (e.number() == inForce + 1 || e == next.get(0) && e.number() > inForce) {
                stop(now, out);
                grantedUntil.clear();
                if (log == null) {
                    epochs.learn(e);
                }
                inForce = e.number();
                inForceSince = now;
                out.apply(e);
                out.event(What.APPLIED, e.number(), now);
                askAt = Double.NEGATIVE_INFINITY;
            }
        }
        inForceNow();
    }

    // Proposals.

    /**
     * Proposes a policy for the epoch after the one in force; {@code then} is told once how it
     * ended.
     */
    public void propose(double now, String content, Out out, Consumer<Answer> then) {
        String id = name + "-" + Math.round(now) + "-" + ++proposals;
        if (content.length() > Epochs.MOST_CONTENT) {
            then.accept(
                    new Answer(
                            Ending.REFUSED,
                            0,
                            "longer than "
                                    + Epochs.MOST_CONTENT
                                    + " characters; nothing was changed"));
            return;
        }
        String leader = leader(now);
        if (reachable(now) < majority() || leader.isEmpty()) {
            then.accept(
                    new Answer(
                            Ending.NO_MAJORITY,
                            0,
                            "only "
                                    + reachable(now)
                                    + " of "
                                    + voters.size()
                                    + " voters can be reached"
                                    + (leader.isEmpty() ? ", and none leads" : "")
                                    + "; nothing was changed"));
            return;
        }
        waiting.put(id, new Waiting(then, now + PATIENCE_MS, 0));
        if (leader.equals(name)) {
            proposed(now, new Propose(id, inForce, content), a -> answered(id, a));
        } else {
            out.send(leader, new Propose(id, inForce, content));
        }
    }

    /**
     * At the leader; before anything is appended a majority has confirmed that it leads, so that a
     * refusal is final.
     */
    private void proposed(double now, Propose p, Consumer<Answer> then) {
        if (!log.leads()) {
            then.accept(
                    new Answer(
                            Ending.REFUSED,
                            0,
                            "the leader has changed; nothing was changed, try again"));
            return;
        }
        log.confirm(
                leads -> {
                    if (!leads) {
                        then.accept(
                                new Answer(
                                        Ending.NO_MAJORITY,
                                        0,
                                        "the leader can't reach a majority of voters; nothing was changed"));
                        return;
                    }
                    log.append(
                            new Prepare(p.id(), p.base(), p.content()),
                            o -> {
                                if (o == null) {
                                    then.accept(
                                            new Answer(
                                                    Ending.UNKNOWN,
                                                    0,
                                                    "the leader was lost meanwhile: the change may still take hold; see policy status"));
                                } else if (o.refusal() != null) {
                                    then.accept(new Answer(Ending.REFUSED, 0, o.refusal()));
                                } else {
                                    then.accept(
                                            new Answer(
                                                    Ending.IN_FORCE,
                                                    o.epoch(),
                                                    "prepared as epoch " + o.epoch()));
                                }
                            });
                });
    }
}
