package hopglade.membership;

import hopglade.membership.Member.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Who is there: each period one member is pinged, in an order drawn anew for each round; one that does not answer is asked
 * after by others, then suspected, and taken for dead unless it refutes the suspicion by a higher incarnation (SWIM). Members
 * that died, and seeds, are pinged again now and then, so that the parts of a fleet that was cut in two find one another.
 */
final class Swim {

    static final double PERIOD_MS = 1000;
    /** How long an answer may take before others are asked. */
    static final double ANSWER_MS = 300;
    /** Others that are asked after one that is silent. */
    static final int ASKED = 3;
    /** Periods of suspicion, for each doubling of the fleet. */
    private static final double SUSPECT_PERIODS = 2;
    /** Every so many periods one that is gone, or a seed, is pinged. */
    private static final int RECALL_PERIODS = 3;
    /** Periods that a death is remembered, so that older news of that life is known as such. */
    private static final double REMEMBER_PERIODS = 600;

    /** What it wants sent, and what it has found. */
    interface Out {
        void ping(Member to, int number);

        void ask(Member via, Member about, int number);

        /** An address that no member is known for yet. */
        void call(String address);

        void changed(Member before, Member now);
    }

    private static final class Peer {
        Member member;
        double since;

        Peer(Member member, double now) {
            this.member = member;
            this.since = now;
        }
    }

    private final List<String> seeds;
    private final SplittableRandom random;
    private final Map<String, Peer> peers = new TreeMap<>();
    private Member self;
    private List<String> round = new ArrayList<>();
    private double nextPeriod;
    private int periods;
    private int number;
    private String probed;
    private double probedAt;
    private boolean asked;
    private boolean answered = true;
    private long digest;

    Swim(Member self, List<String> seeds, SplittableRandom random) {
        this.self = self;
        this.seeds = seeds.stream().filter(s -> !s.equals(self.address())).toList();
        this.random = random;
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

    /** The same for two proxies that hold the same of everyone; deaths count, as they too must be agreed on. */
    long digest() {
        return digest;
    }

    private static long hash(Member m) {
        // Suspicion comes and goes too often to be made good by tables.
        long h = m.incarnation() * 0x9e3779b97f4a7c15L + (m.present() ? 1 : 2);
        for (int i = 0; i < m.name().length(); i++) {
            h = (h ^ m.name().charAt(i)) * 0x100000001b3L;
        }
        return (h ^ (h >>> 29)) * 0xbf58476d1ce4e5b9L;
    }

    void start(double now, Out out) {
        nextPeriod = now + random.nextDouble() * PERIOD_MS;
        seeds.forEach(out::call);
    }

    void tick(double now, Out out) {
        if (!answered && !asked && now - probedAt >= ANSWER_MS) {
            asked = true;
            Member target = find(probed);
            for (Member via : target == null ? List.<Member>of() : some(ASKED, probed)) {
                out.ask(via, target, number);
            }
        }
        if (now >= nextPeriod) {
            nextPeriod = Math.max(now, nextPeriod + PERIOD_MS);
            endPeriod(now, out);
            age(now, out);
            beginPeriod(now, out);
        }
    }

    private void endPeriod(double now, Out out) {
        Member target = answered ? null : find(probed);
        if (target != null && target.status() == Status.ALIVE) {
            take(now, target.with(Status.SUSPECT), out);
        }
        answered = true;
    }

    private void beginPeriod(double now, Out out) {
        periods++;
        if (others().isEmpty() || periods % RECALL_PERIODS == 0) {
            recall(out);
        }
        Member target = next();
        if (target != null) {
            number++;
            probed = target.name();
            probedAt = now;
            answered = false;
            asked = false;
            out.ping(target, number);
        }
    }

    private void recall(Out out) {
        List<String> gone = new ArrayList<>(peers.values().stream().filter(p -> p.member.status() == Status.DEAD)
                .map(p -> p.member.address()).toList());
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

    private void age(double now, Out out) {
        double patience = PERIOD_MS * SUSPECT_PERIODS * Math.max(1, Math.log(peers.size() + 1) / Math.log(2));
        for (Peer p : List.copyOf(peers.values())) {
            if (p.member.status() == Status.SUSPECT && now - p.since >= patience) {
                take(now, p.member.with(Status.DEAD), out);
            } else if (!p.member.present() && now - p.since >= PERIOD_MS * REMEMBER_PERIODS) {
                digest ^= hash(p.member);
                peers.remove(p.member.name());
            }
        }
    }

    /** An answer to a probe has come, from the member itself or by way of another. */
    void answered(int probe, String from) {
        if (probe == number && from.equals(probed)) {
            answered = true;
        }
    }

    /**
     * News of a member; returns whether it was new here. News of ourselves that is wrong is refuted: this raises the
     * incarnation past it.
     */
    boolean take(double now, Member news, Out out) {
        if (news.name().equals(self.name())) {
            boolean wrong = news.incarnation() > self.incarnation()
                    || news.incarnation() == self.incarnation() && news.status() != Status.ALIVE && self.status() == Status.ALIVE;
            if (wrong && news.incarnation() < Integer.MAX_VALUE) {
                Member before = self;
                become(new Member(self.name(), self.address(), news.incarnation() + 1, self.status()));
                out.changed(before, self);
            }
            return wrong;
        }
        Peer known = peers.get(news.name());
        if (known != null && !news.overrides(known.member) || known == null && !news.present()) {
            return false;
        }
        Member before = known == null ? null : known.member;
        if (known == null) {
            peers.put(news.name(), new Peer(news, now));
        } else {
            digest ^= hash(known.member);
            known.member = news;
            known.since = now;
        }
        digest ^= hash(news);
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
