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
 * Failure detector of the SWIM protocol (Das, Gupta and Motivala 2002). In each period one member
 * is pinged, in a random order that changes every round. If a member does not answer, other members
 * are asked to ping it; if these get no answer either, it is suspected, and it is declared dead
 * unless it refutes the suspicion with a higher incarnation. Dead members and seeds are pinged from
 * time to time, so that the parts of a partitioned fleet find each other again.
 *
 * <p>Extensions of Lifeguard (Dadgar, Phillips and Currey 2018):
 *
 * <ul>
 *   <li>A local health score from 0 to {@code maxHealth} rises with each unanswered probe for which
 *       not every relay sent a negative answer, with each detected pause of the process, and with
 *       each report on itself that this proxy refutes. It falls with each answered probe. It
 *       extends the probe period and the timeout by the factor {@code 1 + health}, so that a slow
 *       proxy suspects others later.
 *   <li>The duration of a suspicion falls from six times its minimum to the minimum, {@code 2 ·
 *       period · max(1, log10 n)}, as independent members confirm it.
 *   <li>A member that learns of a suspicion probes the suspect next and thereby notifies it.
 * </ul>
 *
 * <p>Extensions beyond the paper:
 *
 * <ul>
 *   <li>Time during which the process was paused (a gap between calls above {@link #STALL_MS}) or
 *       its event loop was blocked (a tick later than {@link #LATE_TICK_MS}) counts for no timer.
 *   <li>A proxy is isolated when at least three of its probes in a row, over at least {@link
 *       #ISOLATION_MS} of its own time, got no answer at all: neither direct, nor through a relay,
 *       nor negative. It then steps down: it neither starts nor ends a suspicion until an answer
 *       arrives, but at most for {@link #MAX_ISOLATION_GRACE_MS}.
 * </ul>
 *
 * <p>All times are milliseconds of this proxy's own monotonic clock; none is compared with another
 * proxy's clock.
 */
final class Swim {

    /** The probe period at health score 0. */
    static final double PERIOD_MS = 500;

    /** Share of a period after which an unanswered ping leads to indirect probes. */
    static final double ACK_TIMEOUT_SHARE = 0.4;

    /**
     * Share of the ack timeout after which a relay without an answer sends a nack (80% as in
     * Lifeguard).
     */
    static final double NACK_DELAY_SHARE = 0.8;

    /** Number of members that are asked to ping a silent member. */
    static final int INDIRECT_PROBES = 3;

    /** A longer gap between two calls is a pause of the process and voids the pending probe. */
    static final double STALL_MS = 300;

    /** A longer gap between two ticks means a blocked event loop; it counts as one tick. */
    static final double LATE_TICK_MS = 3 * Gossip.TICK_MS;

    /**
     * Minimum time without any answer, from the first unanswered probe on, after which this proxy
     * is isolated. Applies only if there are at least two other members.
     */
    static final double ISOLATION_MS = 3000;

    /**
     * Minimum number of unanswered probes before this proxy is isolated: with a bad health score
     * probes are seconds apart, and one or two may be lost by chance.
     */
    private static final int ISOLATION_PROBES = 3;

    /** If at least this many relays were asked and none answers, our own link may be at fault. */
    private static final int MIN_SILENT_RELAYS = 2;

    /** An answer to any of this many latest probes proves that others receive our packets. */
    private static final int RECENT_PROBES = 8;

    /**
     * Maximum time for which an isolated proxy neither starts nor ends a suspicion. After that,
     * members that have really failed are declared dead.
     */
    static final double MAX_ISOLATION_GRACE_MS = 60_000;

    /**
     * Minimum duration of a suspicion in periods, per power of ten of the fleet size (Lifeguard's
     * α; memberlist uses 4 at a period of 1 s).
     */
    private static final double MIN_SUSPICION_PERIODS = 2;

    /** Ratio of the maximum to the minimum duration of a suspicion (Lifeguard's β). */
    private static final double MAX_SUSPICION_FACTOR = 6;

    /**
     * Independent confirmations after which a suspicion has its minimum duration (Lifeguard's K;
     * memberlist's 4 - 2).
     */
    private static final int EXPECTED_CONFIRMATIONS = 2;

    /** Maximum number of accusers recorded per suspicion. */
    private static final int MAX_ACCUSERS = 8;

    /** Interval at which a dead member or a seed is pinged. */
    private static final double RECONNECT_INTERVAL_MS = 3000;

    /** How long a dead member is remembered, so that late updates about it are recognized. */
    private static final double DEAD_RETENTION_MS = 600_000;

    /** Receives the packets to send and the membership changes. */
    interface Actions {
        void sendPing(Member to, int number);

        void sendPingRequest(Member relay, Member target, int number);

        /** Pings an address for which no present member is known. */
        void pingAddress(String address);

        void memberChanged(Member before, Member after);

        /** This proxy raised its incarnation because {@code update} contradicted its own state. */
        void selfRefuted(Member update);

        /** This proxy became isolated and steps down, or it received an answer again. */
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

    /** Time of the last tick by the clock; {@code awakeAtLastTick} is the same in awake time. */
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

    /** Time of the first probe since the last answer of any kind. */
    private double unansweredSince;

    /** Number of probes sent since the last answer of any kind. */
    private int unansweredProbes;

    private boolean isolated;
    private double isolatedAt;
    private long digest;
    private long stallCount;

    /**
     * Creates a failure detector without any other members.
     *
     * @param maxHealth the highest local health score; 0 keeps timeouts constant
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

    /** Returns all known members, this proxy first, including those that died recently. */
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

    /** Returns the other members that are present. */
    List<Member> others() {
        return peers.values().stream().map(p -> p.member).filter(Member::isPresent).toList();
    }

    /**
     * Returns a digest of the member table, equal for two proxies with equal tables. Dead members
     * are included, as the proxies must agree on these too.
     */
    long digest() {
        return digest;
    }

    /** Returns the local health score; 0 is healthy. */
    int health() {
        return health;
    }

    /** Returns whether this proxy is isolated and has stepped down. */
    boolean isolated() {
        return isolated;
    }

    /** Returns how many pauses of the process were detected. */
    long stallCount() {
        return stallCount;
    }

    /**
     * Returns the milliseconds of awake time since the last accepted packet of a member; -1 if the
     * member is unknown.
     */
    double lastPacketAgeMs(double now, String name) {
        Peer peer = peers.get(name);
        return peer == null ? -1 : advanceAwakeTime(now) - peer.lastPacketAt;
    }

    /** Returns the members known to suspect a member. */
    List<String> accusers(String name) {
        Peer peer = peers.get(name);
        return peer == null ? List.of() : List.copyOf(peer.accusers);
    }

    private static long hash(Member member) {
        // Suspicion is left out: it changes too often to be synchronized by table transfers.
        long hash = member.incarnation() * 0x9e3779b97f4a7c15L + (member.isPresent() ? 1 : 2);
        for (int i = 0; i < member.name().length(); i++) {
            hash = (hash ^ member.name().charAt(i)) * 0x100000001b3L;
        }
        return (hash ^ (hash >>> 29)) * 0xbf58476d1ce4e5b9L;
    }

    /**
     * Advances and returns the awake time: this proxy's clock less the time during which the
     * process was paused or its event loop was blocked. All timers use it.
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
            // The probe sent before the pause is void: its answer may be unread in the socket, and
            // the delay was our own.
            answered = true;
            indirectProbesSent = true;
            adjustHealth(+1);
            // Others may have declared this proxy dead by now; a probe sent at once reveals that.
            periodStartedAt = Double.NEGATIVE_INFINITY;
        }
        double sinceTick = lastCallAt - lastTickAt;
        if (sinceTick <= LATE_TICK_MS) {
            awakeMs = Math.max(awakeMs, awakeAtLastTick + sinceTick);
        }
        return awakeMs;
    }

    /**
     * Ends a tick. A late tick advances the awake time only now, after its timers were evaluated,
     * and only by one tick: packets that arrived while the loop was blocked may still be unread in
     * the socket and are read before the next tick.
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
     * Returns the current probe period. While no probe is answered, probes only serve to detect
     * isolation and cause no suspicion, so their period is limited to detect it in time.
     */
    private double periodMs() {
        return Math.min(
                PERIOD_MS * (1 + health),
                unansweredProbes == 0 ? Double.POSITIVE_INFINITY : ISOLATION_MS / ISOLATION_PROBES);
    }

    /**
     * Returns the current timeout for the answer to a ping; a relay sends a nack after {@link
     * #NACK_DELAY_SHARE} of it.
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

    /** Starts a suspicion after a failed probe, or confirms an existing one. */
    private void suspect(double awakeNow, Member target, Actions actions) {
        // If none of several relays answers, our own link is as likely at fault as the member.
        boolean relaysSilent = unansweredProbes > 0 && relaysAsked >= MIN_SILENT_RELAYS;
        // A member that has refuted a suspicion since the probe was sent both receives and sends
        // packets: the probe was late, not the member.
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
            // As in memberlist: if every relay reports that it got no answer either, the member's
            // silence is not caused by this proxy.
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

    /** Returns up to {@code count} present members chosen at random, without {@code excluded}. */
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
     * Returns the duration of a suspicion with this number of independent confirmations beyond the
     * first accuser (Lifeguard, section 4.2).
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

    /** Steps down once no probe has been answered for long enough; steps up at the first answer. */
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

    /** Withdraws suspicions without another accuser: their cause is this proxy's own link. */
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
     * Records an answer to a probe, received from the member itself or through a relay. A late
     * answer also proves that others receive our packets.
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
     * Records a relay's report that the member that it was asked to ping did not answer. It proves
     * that our own link works.
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

    /** Records that a packet of a member was accepted. */
    void packetReceived(double now, String name) {
        Peer peer = peers.get(name);
        if (peer != null) {
            peer.lastPacketAt = advanceAwakeTime(now);
        }
    }

    /**
     * Applies an update about a member; returns whether it changed anything. A wrong update about
     * this proxy itself is refuted by raising the own incarnation above it. For an existing
     * suspicion, each further member that reports it counts as one confirmation.
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
                // Probing the suspect next, ahead of its turn, either confirms the suspicion or
                // notifies the suspect in time to refute it.
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

    /** Sets this proxy's own status to LEFT. */
    void leave() {
        replaceSelf(self.withStatus(Status.LEFT));
    }

    private void replaceSelf(Member next) {
        digest ^= hash(self);
        self = next;
        digest ^= hash(self);
    }
}
