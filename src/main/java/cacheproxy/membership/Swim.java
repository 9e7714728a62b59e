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
    static final double ACK_TIMEOUT_SHARE = 0.4;

    /**
     * Of the wait, the part after which a relay that heard nothing says so (Lifeguard's nack, 80%).
     */
    static final double NACK_DELAY_SHARE = 0.8;

    /** Others that are asked after one that is silent. */
    static final int INDIRECT_PROBES = 3;

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
    static final double ISOLATION_MS = 3000;

    /**
     * Nor before so many probes: a proxy of bad health sends them seconds apart, and one or two are
     * lost by chance.
     */
    private static final int ISOLATION_PROBES = 3;

    /** So many relays that were asked and say nothing at all are a sign of our own link. */
    private static final int MIN_SILENT_RELAYS = 2;

    /** An answer to one of so many probes proves that we are heard. */
    private static final int RECENT_PROBES = 8;

    /**
     * Longest that a cut-off proxy holds back deaths: a fleet that truly died around it is let go
     * then.
     */
    static final double MAX_ISOLATION_GRACE_MS = 60_000;

    /**
     * Periods of the least suspicion, for each power of ten of the fleet (memberlist's 4 at a
     * period of 1 s, Lifeguard's α).
     */
    private static final double MIN_SUSPICION_PERIODS = 2;

    /** The longest over the least (Lifeguard's β). */
    private static final double MAX_SUSPICION_FACTOR = 6;

    /**
     * Independent confirmations after which the least holds (Lifeguard's K; memberlist's 4 - 2).
     */
    private static final int EXPECTED_CONFIRMATIONS = 2;

    /** Accusers that are kept of one suspicion. */
    private static final int MAX_ACCUSERS = 8;

    /** One that is gone, or a seed, is called so often. */
    private static final double RECONNECT_INTERVAL_MS = 3000;

    /** How long a death is remembered, so that older news of that life is known as such. */
    private static final double DEAD_RETENTION_MS = 600_000;

    /** What it wants sent, and what it has found. */
    interface Actions {
        void sendPing(Member to, int number);

        void sendPingRequest(Member relay, Member target, int number);

        /** An address that no member is known for yet. */
        void pingAddress(String address);

        void memberChanged(Member before, Member after);

        /** It had to raise its incarnation: {@code news} said otherwise of it. */
        void selfRefuted(Member update);

        /** It is cut off and steps down, or is heard again. */
        void isolationChanged(boolean isolated, String evidence);
    }

    private static final class Peer {
        Member member;
        double statusSince;
        double lastPacketAt;
        final Set<String> accusers = new LinkedHashSet<>();

        Peer(Member member, double now) {
            this.member = member;
            this.statusSince = now;
            this.lastPacketAt = now;
        }
    }

    private final List<String> seeds;
    private final SplittableRandom random;
    private final int maxHealth;
    private final Map<String, Peer> peers = new TreeMap<>();
    private Member self;
    private List<String> probeOrder = new ArrayList<>();
    private double lastCallAt = Double.NaN;
    private double awakeMs;

    /** When the last tick was, by the clock and in the time that counts. */
    private double lastTickAt;

    private double awakeAtLastTick;
    private double periodStartedAt;
    private double nextReconnectAt;
    private int probeNumber;
    private String probedName;
    private double probeSentAt;
    private int probedIncarnation;
    private boolean indirectProbesSent;
    private boolean answered = true;
    private int relaysAsked;
    private int nacksReceived;
    private int health;

    /**
     * When the first probe went out of those since the last answer of any kind, and how many have.
     */
    private double unansweredSince;

    private int unansweredProbes;
    private boolean isolated;
    private double isolatedAt;
    private long digest;
    private long stallCount;

    /**
     * @param healthMost the highest local health score; 0 holds timeouts as they are
     */
    Swim(Member self, List<String> seeds, SplittableRandom random, int maxHealth) {
        this.self = self;
        this.seeds = seeds.stream().filter(s -> !s.equals(self.address())).toList();
        this.random = random;
        this.maxHealth = maxHealth;
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
        Peer peer = peers.get(name);
        return peer == null ? null : peer.member;
    }

    /** The others that take part. */
    List<Member> others() {
        return peers.values().stream().map(p -> p.member).filter(Member::isPresent).toList();
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
    long stallCount() {
        return stallCount;
    }

    /**
     * Milliseconds of its own awake time since a packet of this member was last taken; -1 for one
     * unknown.
     */
    double lastPacketAgeMs(double now, String name) {
        Peer peer = peers.get(name);
        return peer == null ? -1 : advanceAwakeTime(now) - peer.lastPacketAt;
    }

    /** Who holds the suspicion of a member, as far as told here. */
    List<String> accusers(String name) {
        Peer peer = peers.get(name);
        return peer == null ? List.of() : List.copyOf(peer.accusers);
    }

    private static long hash(Member member) {
        // Suspicion comes and goes too often to be made good by tables.
        long hash = member.incarnation() * 0x9e3779b97f4a7c15L + (member.isPresent() ? 1 : 2);
        for (int i = 0; i < member.name().length(); i++) {
            hash = (hash ^ member.name().charAt(i)) * 0x100000001b3L;
        }
        return (hash ^ (hash >>> 29)) * 0xbf58476d1ce4e5b9L;
    }

    /**
     * Time that counts: the own clock, less what passed while the process stood still or its event
     * loop was held up.
     */
    private double advanceAwakeTime(double now) {
        if (Double.isNaN(lastCallAt)) {
            lastCallAt = now;
            lastTickAt = now;
        }
        double gap = Math.max(0, now - lastCallAt);
        lastCallAt = Math.max(lastCallAt, now);
        if (gap > STALL_MS) {
            stallCount++;
            // What was asked before the pause is void: the answer may wait in the socket, and the
            // fault was ours.
            answered = true;
            indirectProbesSent = true;
            adjustHealth(+1);
            // Others may hold it dead by now: its next probe brings that to light.
            periodStartedAt = Double.NEGATIVE_INFINITY;
        }
        double sinceTick = lastCallAt - lastTickAt;
        if (sinceTick <= LATE_TICK_MS) {
            awakeMs = Math.max(awakeMs, awakeAtLastTick + sinceTick);
        }
        return awakeMs;
    }

    /**
     * Ends a tick. A late one counts only now, after its timers were judged, and as one tick: what
     * came during the hold-up may lie unread in the socket, and is read before the next tick.
     */
    private void endTick() {
        if (lastCallAt - lastTickAt > LATE_TICK_MS) {
            awakeMs += Gossip.TICK_MS;
        }
        lastTickAt = lastCallAt;
        awakeAtLastTick = awakeMs;
    }

    private void adjustHealth(int change) {
        health = Math.max(0, Math.min(maxHealth, health + change));
    }

    /**
     * While nothing answers at all, probes show whether we are cut off and accuse nobody: they go
     * on at a pace that tells soon.
     */
    private double periodMs() {
        return Math.min(
                PERIOD_MS * (1 + health),
                unansweredProbes == 0 ? Double.POSITIVE_INFINITY : ISOLATION_MS / ISOLATION_PROBES);
    }

    /**
     * How long this proxy waits for an answer now; a relay says no after {@link #NACK_SHARE} of it.
     */
    double ackTimeoutMs() {
        return ACK_TIMEOUT_SHARE * periodMs();
    }

    void start(double now, Actions actions) {
        double awakeNow = advanceAwakeTime(now);
        periodStartedAt = awakeNow - random.nextDouble() * PERIOD_MS;
        nextReconnectAt = awakeNow + RECONNECT_INTERVAL_MS;
        seeds.forEach(actions::pingAddress);
    }

    void tick(double now, Actions actions) {
        double awakeNow = advanceAwakeTime(now);
        if (!answered && !indirectProbesSent && awakeNow - probeSentAt >= ackTimeoutMs()) {
            indirectProbesSent = true;
            Member target = find(probedName);
            for (Member relay :
                    target == null
                            ? List.<Member>of()
                            : randomMembers(INDIRECT_PROBES, probedName)) {
                relaysAsked++;
                actions.sendPingRequest(relay, target, probeNumber);
            }
        }
        if (awakeNow - periodStartedAt >= periodMs()) {
            periodStartedAt = awakeNow;
            endPeriod(awakeNow, actions);
            beginPeriod(awakeNow, actions);
        }
        expire(awakeNow, actions);
        updateIsolation(awakeNow, actions);
        endTick();
    }

    /** A probe that failed starts a suspicion, or confirms one that others hold. */
    private void suspect(double awakeNow, Member target, Actions actions) {
        // Where not one of several relays says anything, the silence is our own link's as likely as
        // the member's.
        boolean relaysSilent = unansweredProbes > 0 && relaysAsked >= MIN_SILENT_RELAYS;
        // One that has refuted since the probe went out hears and is heard: the probe was late, not
        // the member.
        boolean refuted = target != null && target.incarnation() > probedIncarnation;
        if (target != null
                && target.isPresent()
                && !refuted
                && !withholdsVerdicts(awakeNow)
                && (!relaysSilent || isolated)) {
            apply(awakeNow, target.asSuspect(self.name()), actions);
        }
    }

    private void endPeriod(double awakeNow, Actions actions) {
        if (!answered) {
            // As memberlist counts: where every relay says that it was not answered either, the
            // member's silence is none of ours.
            adjustHealth(relaysAsked == 0 || nacksReceived < relaysAsked ? +1 : 0);
            suspect(awakeNow, find(probedName), actions);
        }
        answered = true;
    }

    private void beginPeriod(double awakeNow, Actions actions) {
        if (others().isEmpty() || awakeNow >= nextReconnectAt) {
            nextReconnectAt = awakeNow + RECONNECT_INTERVAL_MS;
            reconnect(actions);
        }
        Member target = nextTarget();
        if (target != null) {
            probeNumber++;
            probedName = target.name();
            probeSentAt = awakeNow;
            probedIncarnation = target.incarnation();
            answered = false;
            indirectProbesSent = false;
            relaysAsked = 0;
            nacksReceived = 0;
            unansweredSince = unansweredProbes++ == 0 ? awakeNow : unansweredSince;
            actions.sendPing(target, probeNumber);
        }
    }

    private void reconnect(Actions actions) {
        List<String> addresses =
                new ArrayList<>(
                        peers.values().stream()
                                .filter(p -> p.member.status() == Status.DEAD)
                                .map(p -> p.member.address())
                                .toList());
        List<String> present = others().stream().map(Member::address).toList();
        seeds.stream()
                .filter(s -> !present.contains(s) && !addresses.contains(s))
                .forEach(addresses::add);
        if (!addresses.isEmpty()) {
            actions.pingAddress(addresses.get(random.nextInt(addresses.size())));
        }
    }

    private Member nextTarget() {
        while (!probeOrder.isEmpty()) {
            Member member = find(probeOrder.remove(probeOrder.size() - 1));
            if (member != null && member.isPresent()) {
                return member;
            }
        }
        for (Member member : others()) {
            probeOrder.add(random.nextInt(probeOrder.size() + 1), member.name());
        }
        return probeOrder.isEmpty() ? null : find(probeOrder.remove(probeOrder.size() - 1));
    }

    /** So many others that take part, drawn by chance, without one. */
    List<Member> randomMembers(int count, String excluded) {
        List<Member> candidates = new ArrayList<>(others());
        candidates.removeIf(m -> m.name().equals(excluded));
        List<Member> selected = new ArrayList<>();
        while (selected.size() < count && !candidates.isEmpty()) {
            selected.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return selected;
    }

    /**
     * How long a suspicion lasts with so many independent confirmations beyond the first
     * (Lifeguard, section 4.2).
     */
    double suspicionMs(int confirmations) {
        int members = others().size() + 1;
        double minMs = MIN_SUSPICION_PERIODS * PERIOD_MS * Math.max(1, Math.log10(members));
        double maxMs = MAX_SUSPICION_FACTOR * minMs;
        int expected = Math.min(EXPECTED_CONFIRMATIONS, members - 2);
        if (expected < 1) {
            return minMs;
        }
        double progress = Math.log(Math.min(confirmations, expected) + 1) / Math.log(expected + 1);
        return Math.max(minMs, maxMs - (maxMs - minMs) * progress);
    }

    private boolean withholdsVerdicts(double awakeNow) {
        return isolated && awakeNow - isolatedAt < MAX_ISOLATION_GRACE_MS;
    }

    private void expire(double awakeNow, Actions actions) {
        for (Peer peer : List.copyOf(peers.values())) {
            if (peer.member.status() == Status.SUSPECT
                    && !withholdsVerdicts(awakeNow)
                    && awakeNow - peer.statusSince >= suspicionMs(peer.accusers.size() - 1)) {
                apply(awakeNow, peer.member.withStatus(Status.DEAD), actions);
            } else if (!peer.member.isPresent()
                    && awakeNow - peer.statusSince >= DEAD_RETENTION_MS) {
                digest ^= hash(peer.member);
                peers.remove(peer.member.name());
            }
        }
    }

    /** Steps down once nothing has answered for long, and up at the first answer. */
    private void updateIsolation(double awakeNow, Actions actions) {
        boolean nowIsolated =
                others().size() >= 2
                        && unansweredProbes >= ISOLATION_PROBES
                        && awakeNow - unansweredSince >= ISOLATION_MS;
        if (nowIsolated && !isolated) {
            isolated = true;
            isolatedAt = awakeNow;
            withdrawOwnSuspicions(actions);
            actions.isolationChanged(
                    true,
                    String.format(
                            Locale.ROOT,
                            "unanswered_ms:%.0f probes:%d health:%d",
                            awakeNow - unansweredSince,
                            unansweredProbes,
                            health));
        } else if (!nowIsolated && isolated) {
            isolated = false;
            actions.isolationChanged(
                    false,
                    String.format(
                            Locale.ROOT, "down_ms:%.0f health:%d", awakeNow - isolatedAt, health));
        }
    }

    /** Suspicions that this proxy alone holds are its own link's fault: they are taken back. */
    private void withdrawOwnSuspicions(Actions actions) {
        for (Peer peer : peers.values()) {
            if (peer.member.status() == Status.SUSPECT
                    && peer.accusers.equals(Set.of(self.name()))) {
                Member before = peer.member;
                digest ^= hash(before);
                peer.member = before.withStatus(Status.ALIVE);
                peer.accusers.clear();
                digest ^= hash(peer.member);
                actions.memberChanged(before, peer.member);
            }
        }
    }

    /**
     * An answer to a probe has come, from the member itself or by way of another; a late one too
     * proves that we are heard.
     */
    void ackReceived(double now, int probe, String from, Actions actions) {
        double awakeNow = advanceAwakeTime(now);
        if (probe == probeNumber && from.equals(probedName) && !answered) {
            answered = true;
            adjustHealth(-1);
        }
        answerReceived(awakeNow, probe, actions);
    }

    /**
     * A relay says that the member that it was asked to ping gave it no answer; it proves our own
     * link.
     */
    void nackReceived(double now, int probe, Actions actions) {
        double awakeNow = advanceAwakeTime(now);
        nacksReceived += probe == probeNumber ? 1 : 0;
        answerReceived(awakeNow, probe, actions);
    }

    private void answerReceived(double awakeNow, int probe, Actions actions) {
        if (probe > probeNumber - RECENT_PROBES && probe > 0 && probe <= probeNumber) {
            unansweredProbes = 0;
            updateIsolation(awakeNow, actions);
        }
    }

    /** A packet of a member has been taken. */
    void packetReceived(double now, String name) {
        Peer peer = peers.get(name);
        if (peer != null) {
            peer.lastPacketAt = advanceAwakeTime(now);
        }
    }

    /**
     * News of a member; returns whether it was new here. News of ourselves that is wrong is
     * refuted: this raises the incarnation past it. A suspicion that is held already counts once
     * more for each member that holds it too.
     */
    boolean applyUpdate(double now, Member update, Actions actions) {
        return apply(advanceAwakeTime(now), update, actions);
    }

    private boolean apply(double awakeNow, Member update, Actions actions) {
        if (update.name().equals(self.name())) {
            return refute(update, actions);
        }
        Peer peer = peers.get(update.name());
        if (peer != null
                && update.status() == Status.SUSPECT
                && peer.member.status() == Status.SUSPECT
                && update.incarnation() == peer.member.incarnation()) {
            return confirm(peer, update, actions);
        }
        if (peer != null && !update.overrides(peer.member) || peer == null && !update.isPresent()) {
            return false;
        }
        Member before = peer == null ? null : peer.member;
        if (peer == null) {
            peer = new Peer(update, awakeNow);
            peers.put(update.name(), peer);
        } else {
            digest ^= hash(peer.member);
            peer.member = update;
            peer.statusSince = awakeNow;
        }
        peer.accusers.clear();
        if (update.status() == Status.SUSPECT) {
            peer.accusers.add(update.suspectedBy().isEmpty() ? self.name() : update.suspectedBy());
            if (!update.suspectedBy().equals(self.name())) {
                // Its own probe confirms it, or tells it of the suspicion in time to refute: it
                // comes next, in place of its turn.
                probeOrder.remove(update.name());
                probeOrder.add(update.name());
            }
        }
        digest ^= hash(update);
        actions.memberChanged(before, update);
        return true;
    }

    private boolean refute(Member update, Actions actions) {
        boolean contradictsSelf =
                update.incarnation() > self.incarnation()
                        || update.incarnation() == self.incarnation()
                                && update.status() != Status.ALIVE
                                && self.status() == Status.ALIVE;
        if (contradictsSelf && update.incarnation() < Integer.MAX_VALUE) {
            Member before = self;
            replaceSelf(
                    new Member(
                            self.name(), self.address(), update.incarnation() + 1, self.status()));
            adjustHealth(+1);
            actions.selfRefuted(update);
            actions.memberChanged(before, self);
        }
        return contradictsSelf;
    }

    private boolean confirm(Peer peer, Member update, Actions actions) {
        if (update.suspectedBy().isEmpty()
                || peer.accusers.contains(update.suspectedBy())
                || peer.accusers.size() >= MAX_ACCUSERS) {
            return false;
        }
        peer.accusers.add(update.suspectedBy());
        Member before = peer.member;
        peer.member = update;
        actions.memberChanged(before, update);
        return true;
    }

    /** Tells that this proxy is leaving. */
    void leave() {
        replaceSelf(self.withStatus(Status.LEFT));
    }

    private void replaceSelf(Member next) {
        digest ^= hash(self);
        self = next;
        digest ^= hash(self);
    }
}
