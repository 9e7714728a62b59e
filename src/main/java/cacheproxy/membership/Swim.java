package cacheproxy.membership;

import cacheproxy.membership.Member.Status;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Who is there: each period one member is pinged, in an order drawn anew for each round; one that
 * does not answer is asked after by others, then suspected, and taken for dead unless it refutes
 * the suspicion by a higher incarnation (SWIM, Das, Gupta and Motivala 2002). Members that died,
 * and seeds, are called now and then, so that the parts of a fleet that was cut in two find one
 * another.
 *
 * <p>After Lifeguard (Dadgar, Phillips and Currey 2018): a local health score from 0 to {@code
 * healthMost} rises with each probe that went unanswered and that not every relay answered for, and
 * with each suspicion of itself that it had to refute, falls with each answered probe, and
 * stretches its own period and wait by {@code 1 + health}, so that a proxy that is slow itself
 * accuses late. A suspicion lasts from six times its least down to the least, {@code 3 · period ·
 * max(1, log10 n)}, as independent members confirm it; one that hears of a suspicion probes the
 * suspect next, and tells it. Beyond the paper: time in which the process stood still (a gap
 * between calls above {@link #STALL_MS}) or its event loop was held up (a tick that comes later
 * than {@link #LATE_TICK_MS}) counts for no timer, and a proxy whose probes nobody has answered,
 * directly, through others or by a negative answer, three at least and for {@link #ISOLATED_MS} of
 * its own time, is cut off: it steps down, starts no suspicion and ends none for {@link #HOLD_MS},
 * until any answer comes.
 *
 * <p>All times are this proxy's own milliseconds, which never run back; none is compared with
 * another proxy's.
 */
final class Swim {

    static final double PERIOD_MS = 500;

    /** Of a period, the part that an answer may take before others are asked. */
    static final double ANSWER_SHARE = 0.4;

    /**
     * Of the wait, the part after which a relay that heard nothing says so (Lifeguard's nack, 80%).
     */
    static final double NACK_SHARE = 0.8;

    /** Others that are asked after one that is silent. */
    static final int ASKED = 3;

    /**
     * A gap between two calls that is longer was a pause of the process: it voids the probe that is
     * out.
     */
    static final double STALL_MS = 300;

    /** A longer gap between two ticks was a hold-up of the event loop; it counts as one tick. */
    static final double LATE_TICK_MS = 3 * Gossip.TICK_MS;

    /**
     * No answer of any kind for so long since a first probe without one, with two others at least,
     * and this proxy is cut off.
     */
    static final double ISOLATED_MS = 3000;

    /**
     * Nor before so many probes: a proxy of bad health sends them seconds apart, and one or two are
     * lost by chance.
     */
    private static final int ISOLATED_PROBES = 3;

    /** So many relays that were asked and say nothing at all are a sign of our own link. */
    private static final int VOICES = 2;

    /** An answer to one of so many probes proves that we are heard. */
    private static final int HEARD_PROBES = 8;

    /**
     * Longest that a cut-off proxy holds back deaths: a fleet that truly died around it is let go
     * then.
     */
    static final double HOLD_MS = 60_000;

    /**
     * Periods of the least suspicion, for each power of ten of the fleet (memberlist's 4 at a
     * period of 1 s, Lifeguard's α).
     */
    private static final double SUSPECT_PERIODS = 2;

    /** The longest over the least (Lifeguard's β). */
    private static final double SUSPECT_MOST_TIMES = 6;

    /**
     * Independent confirmations after which the least holds (Lifeguard's K; memberlist's 4 - 2).
     */
    private static final int CONFIRMATIONS = 2;

    /** Accusers that are kept of one suspicion. */
    private static final int MOST_ACCUSERS = 8;

    /** One that is gone, or a seed, is called so often. */
    private static final double RECALL_MS = 3000;

    /** How long a death is remembered, so that older news of that life is known as such. */
    private static final double REMEMBER_MS = 600_000;

    /** What it wants sent, and what it has found. */
    interface Out {
        void ping(Member to, int number);

        void ask(Member via, Member about, int number);

        /** An address that no member is known for yet. */
        void call(String address);

        void changed(Member before, Member now);

        /** It had to raise its incarnation: {@code news} said otherwise of it. */
        void refuted(Member news);

        /** It is cut off and steps down, or is heard again. */
        void stepped(boolean down, String evidence);
    }

    private static final class Peer {
        Member member;
        double since;
        double heardAt;
        final Set<String> accusers = new LinkedHashSet<>();

        Peer(Member member, double now) {
            this.member = member;
            this.since = now;
            this.heardAt = now;
        }
    }

    private final List<String> seeds;
    private final SplittableRandom random;
    private final int healthMost;
    private final Map<String, Peer> peers = new TreeMap<>();
    private Member self;
    private List<String> round = new ArrayList<>();
    private double lastNow = Double.NaN;
    private double awake;

    /** When the last tick was, by the clock and in the time that counts. */
    private double lastTick;

    private double awakeAtLastTick;
    private double periodAt;
    private double nextRecall;
    private int number;
    private String probed;
    private double probedAt;
    private int probedIncarnation;
    private boolean asked;
    private boolean answered = true;
    private int nacksAsked;
    private int nacks;
    private int health;

    /**
     * When the first probe went out of those since the last answer of any kind, and how many have.
     */
    private double unheardSince;

    private int unheardProbes;
    private boolean isolated;
    private double isolatedAt;
    private long digest;
    private long stalls;

    /**
     * @param healthMost the highest local health score; 0 holds timeouts as they are
     */
    Swim(Member self, List<String> seeds, SplittableRandom random, int healthMost) {
        this.self = self;
        this.seeds = seeds.stream().filter(s -> !s.equals(self.address())).toList();
        this.random = random;
        this.healthMost = healthMost;
        digest = hash(self);
    }

    Member self() {
        return self;
    }

    /** All that are known, this proxy first; those that died lately too. */
    List<Member> table() {
        List<Member> all = new ArrayList<>();
        all.add(self);
        peers.values().forEach(p -> all.add(p.member));
        return all;
    }

    Member find(String name) {
        Peer p = peers.get(name);
        return p == null ? null : p.member;
    }

    /** The others that take part. */
    List<Member> others() {
        return peers.values().stream().map(p -> p.member).filter(Member::present).toList();
    }

    /**
     * The same for two proxies that hold the same of everyone; deaths count, as they too must be
     * agreed on.
     */
    long digest() {
        return digest;
    }

    /** The local health score, 0 while all is well. */
    int health() {
        return health;
    }

    /** Whether it is cut off and has stepped down. */
    boolean isolated() {
        return isolated;
    }

    /** How often the process was seen to stand still. */
    long stalls() {
        return stalls;
    }

    /**
     * Milliseconds of its own awake time since a packet of this member was last taken; -1 for one
     * unknown.
     */
    double heardAgoMs(double now, String name) {
        Peer p = peers.get(name);
        return p == null ? -1 : awake(now) - p.heardAt;
    }

    /** Who holds the suspicion of a member, as far as told here. */
    List<String> accusers(String name) {
        Peer p = peers.get(name);
        return p == null ? List.of() : List.copyOf(p.accusers);
    }

    private static long hash(Member m) {
        // Suspicion comes and goes too often to be made good by tables.
        long h = m.incarnation() * 0x9e3779b97f4a7c15L + (m.present() ? 1 : 2);
        for (int i = 0; i < m.name().length(); i++) {
            h = (h ^ m.name().charAt(i)) * 0x100000001b3L;
        }
        return (h ^ (h >>> 29)) * 0xbf58476d1ce4e5b9L;
    }

    /**
     * Time that counts: the own clock, less what passed while the process stood still or its event
     * loop was held up.
     */
    private double awake(double now) {
        if (Double.isNaN(lastNow)) {
            lastNow = now;
            lastTick = now;
        }
        double gap = Math.max(0, now - lastNow);
        lastNow = Math.max(lastNow, now);
        if (gap > STALL_MS) {
            stalls++;
            // What was asked before the pause is void: the answer may wait in the socket, and the
            // fault was ours.
            answered = true;
            asked = true;
            well(+1);
            // Others may hold it dead by now: its next probe brings that to light.
            periodAt = Double.NEGATIVE_INFINITY;
        }
        double sinceTick = lastNow - lastTick;
        if (sinceTick <= LATE_TICK_MS) {
            awake = Math.max(awake, awakeAtLastTick + sinceTick);
        }
        return awake;
    }

    /**
     * Ends a tick. A late one counts only now, after its timers were judged, and as one tick: what
     * came during the hold-up may lie unread in the socket, and is read before the next tick.
     */
    private void endTick() {
        if (lastNow - lastTick > LATE_TICK_MS) {
            awake += Gossip.TICK_MS;
        }
        lastTick = lastNow;
        awakeAtLastTick = awake;
    }

    private void well(int change) {
        health = Math.max(0, Math.min(healthMost, health + change));
    }

    /**
     * While nothing answers at all, probes show whether we are cut off and accuse nobody: they go
     * on at a pace that tells soon.
     */
    private double period() {
        return Math.min(
                PERIOD_MS * (1 + health),
                unheardProbes == 0 ? Double.POSITIVE_INFINITY : ISOLATED_MS / ISOLATED_PROBES);
    }

    /**
     * How long this proxy waits for an answer now; a relay says no after {@link #NACK_SHARE} of it.
     */
    double answerMs() {
        return ANSWER_SHARE * period();
    }

    void start(double now, Out out) {
        double at = awake(now);
        periodAt = at - random.nextDouble() * PERIOD_MS;
        nextRecall = at + RECALL_MS;
        seeds.forEach(out::call);
    }

    void tick(double now, Out out) {
        double at = awake(now);
        if (!answered && !asked && at - probedAt >= answerMs()) {
            asked = true;
            Member target = find(probed);
            for (Member via : target == null ? List.<Member>of() : some(ASKED, probed)) {
                nacksAsked++;
                out.ask(via, target, number);
            }
        }
        if (at - periodAt >= period()) {
            periodAt = at;
            endPeriod(at, out);
            beginPeriod(at, out);
        }
        age(at, out);
        step(at, out);
        endTick();
    }

    /** A probe that failed starts a suspicion, or confirms one that others hold. */
    private void accuse(double at, Member target, Out out) {
        // Where not one of several relays says anything, the silence is our own link's as likely as
        // the member's.
        boolean voiceless = unheardProbes > 0 && nacksAsked >= VOICES;
        // One that has refuted since the probe went out hears and is heard: the probe was late, not
        // the member.
        boolean refuted = target != null && target.incarnation() > probedIncarnation;
        if (target != null
                && target.present()
                && !refuted
                && !holds(at)
                && (!voiceless || isolated)) {
            apply(at, target.suspectedBy(self.name()), out);
        }
    }

    private void endPeriod(double at, Out out) {
        if (!answered) {
            // As memberlist counts: where every relay says that it was not answered either, the
            // member's silence is none of ours.
            well(nacksAsked == 0 || nacks < nacksAsked ? +1 : 0);
            accuse(at, find(probed), out);
        }
        answered = true;
    }

    private void beginPeriod(double at, Out out) {
        if (others().isEmpty() || at >= nextRecall) {
            nextRecall = at + RECALL_MS;
            recall(out);
        }
        Member target = next();
        if (target != null) {
            number++;
            probed = target.name();
            probedAt = at;
            probedIncarnation = target.incarnation();
            answered = false;
            asked = false;
            nacksAsked = 0;
            nacks = 0;
            unheardSince = unheardProbes++ == 0 ? at : unheardSince;
            out.ping(target, number);
        }
    }

    private void recall(Out out) {
        List<String> gone =
                new ArrayList<>(
                        peers.values().stream()
                                .filter(p -> p.member.status() == Status.DEAD)
                                .map(p -> p.member.address())
                                .toList());
        List<String> present = others().stream().map(Member::address).toList();
        seeds.stream().filter(s -> !present.contains(s) && !gone.contains(s)).forEach(gone::add);
        if (!gone.isEmpty()) {
            out.call(gone.get(random.nextInt(gone.size())));
        }
    }

    private Member next() {
        while (!round.isEmpty()) {
            Member m = find(round.remove(round.size() - 1));
            if (m != null && m.present()) {
                return m;
            }
        }
        for (Member m : others()) {
            round.add(random.nextInt(round.size() + 1), m.name());
        }
        return round.isEmpty() ? null : find(round.remove(round.size() - 1));
    }

    /** So many others that take part, drawn by chance, without one. */
    List<Member> some(int count, String without) {
        List<Member> from = new ArrayList<>(others());
        from.removeIf(m -> m.name().equals(without));
        List<Member> drawn = new ArrayList<>();
        while (drawn.size() < count && !from.isEmpty()) {
            drawn.add(from.remove(random.nextInt(from.size())));
        }
        return drawn;
    }

    /**
     * How long a suspicion lasts with so many independent confirmations beyond the first
     * (Lifeguard, section 4.2).
     */
    double suspicionMs(int confirmations) {
        int members = others().size() + 1;
        double least = SUSPECT_PERIODS * PERIOD_MS * Math.max(1, Math.log10(members));
        double most = SUSPECT_MOST_TIMES * least;
        int expected = Math.min(CONFIRMATIONS, members - 2);
        if (expected < 1) {
            return least;
        }
        double part = Math.log(Math.min(confirmations, expected) + 1) / Math.log(expected + 1);
        return Math.max(least, most - (most - least) * part);
    }

    private boolean holds(double at) {
        return isolated && at - isolatedAt < HOLD_MS;
    }

    private void age(double at, Out out) {
        for (Peer p : List.copyOf(peers.values())) {
            if (p.member.status() == Status.SUSPECT
                    && !holds(at)
                    && at - p.since >= suspicionMs(p.accusers.size() - 1)) {
                apply(at, p.member.with(Status.DEAD), out);
            } else if (!p.member.present() && at - p.since >= REMEMBER_MS) {
                digest ^= hash(p.member);
                peers.remove(p.member.name());
            }
        }
    }

    /** Steps down once nothing has answered for long, and up at the first answer. */
    private void step(double at, Out out) {
        boolean cut =
                others().size() >= 2
                        && unheardProbes >= ISOLATED_PROBES
                        && at - unheardSince >= ISOLATED_MS;
        if (cut && !isolated) {
            isolated = true;
            isolatedAt = at;
            withdraw(out);
            out.stepped(
                    true,
                    String.format(
                            Locale.ROOT,
                            "unanswered_ms:%.0f probes:%d health:%d",
                            at - unheardSince,
                            unheardProbes,
                            health));
        } else if (!cut && isolated) {
            isolated = false;
            out.stepped(
                    false,
                    String.format(Locale.ROOT, "down_ms:%.0f health:%d", at - isolatedAt, health));
        }
    }

    /** Suspicions that this proxy alone holds are its own link's fault: they are taken back. */
    private void withdraw(Out out) {
        for (Peer p : peers.values()) {
            if (p.member.status() == Status.SUSPECT && p.accusers.equals(Set.of(self.name()))) {
                Member before = p.member;
                digest ^= hash(before);
                p.member = before.with(Status.ALIVE);
                p.accusers.clear();
                digest ^= hash(p.member);
                out.changed(before, p.member);
            }
        }
    }

    /**
     * An answer to a probe has come, from the member itself or by way of another; a late one too
     * proves that we are heard.
     */
    void answered(double now, int probe, String from, Out out) {
        double at = awake(now);
        if (probe == number && from.equals(probed) && !answered) {
            answered = true;
            well(-1);
        }
        heardBack(at, probe, out);
    }

    /**
     * A relay says that the member that it was asked to ping gave it no answer; it proves our own
     * link.
     */
    void nacked(double now, int probe, Out out) {
        double at = awake(now);
        nacks += probe == number ? 1 : 0;
        heardBack(at, probe, out);
    }

    private void heardBack(double at, int probe, Out out) {
        if (probe > number - HEARD_PROBES && probe > 0 && probe <= number) {
            unheardProbes = 0;
            step(at, out);
        }
    }

    /** A packet of a member has been taken. */
    void heard(double now, String name) {
        Peer p = peers.get(name);
        if (p != null) {
            p.heardAt = awake(now);
        }
    }

    /**
     * News of a member; returns whether it was new here. News of ourselves that is wrong is
     * refuted: this raises the incarnation past it. A suspicion that is held already counts once
     * more for each member that holds it too.
     */
    boolean take(double now, Member news, Out out) {
        return apply(awake(now), news, out);
    }

    private boolean apply(double at, Member news, Out out) {
        if (news.name().equals(self.name())) {
            return refute(news, out);
        }
        Peer known = peers.get(news.name());
        if (known != null
                && news.status() == Status.SUSPECT
                && known.member.status() == Status.SUSPECT
                && news.incarnation() == known.member.incarnation()) {
            return confirm(known, news, out);
        }
        if (known != null && !news.overrides(known.member) || known == null && !news.present()) {
            return false;
        }
        Member before = known == null ? null : known.member;
        if (known == null) {
            known = new Peer(news, at);
            peers.put(news.name(), known);
        } else {
            digest ^= hash(known.member);
            known.member = news;
            known.since = at;
        }
        known.accusers.clear();
        if (news.status() == Status.SUSPECT) {
            known.accusers.add(news.by().isEmpty() ? self.name() : news.by());
            if (!news.by().equals(self.name())) {
                // Its own probe confirms it, or tells it of the suspicion in time to refute: it
                // comes next, in place of its turn.
                round.remove(news.name());
                round.add(news.name());
            }
        }
        digest ^= hash(news);
        out.changed(before, news);
        return true;
    }

    private boolean refute(Member news, Out out) {
        boolean wrong =
                news.incarnation() > self.incarnation()
                        || news.incarnation() == self.incarnation()
                                && news.status() != Status.ALIVE
                                && self.status() == Status.ALIVE;
        if (wrong && news.incarnation() < Integer.MAX_VALUE) {
            Member before = self;
            become(new Member(self.name(), self.address(), news.incarnation() + 1, self.status()));
            well(+1);
            out.refuted(news);
            out.changed(before, self);
        }
        return wrong;
    }

    private boolean confirm(Peer known, Member news, Out out) {
        if (news.by().isEmpty()
                || known.accusers.contains(news.by())
                || known.accusers.size() >= MOST_ACCUSERS) {
            return false;
        }
        known.accusers.add(news.by());
        Member before = known.member;
        known.member = news;
        out.changed(before, news);
        return true;
    }

    /** Tells that this proxy is leaving. */
    void leave() {
        become(self.with(Status.LEFT));
    }

    private void become(Member next) {
        digest ^= hash(self);
        self = next;
        digest ^= hash(self);
    }
}
