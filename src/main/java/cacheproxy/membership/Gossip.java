package cacheproxy.membership;

import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.membership.Member.Status;
import cacheproxy.membership.Message.Kind;
import cacheproxy.membership.Message.RelayedStatement;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One proxy's participant in the fleet's gossip protocol. Each event is one method call; the
 * packets to send and the events to report are passed to {@link Actions} before the call returns.
 * {@code now} is this proxy's own monotonic clock in milliseconds; it is never compared with
 * another proxy's clock.
 */
public final class Gossip {

    /** How often {@link #tick} is called. */
    public static final double TICK_MS = 50;

    /** Bytes of UDP and IPv4 headers per packet; the byte budget includes them. */
    public static final int HEADER_BYTES = 28;

    /** Maximum size of a packet, in bytes of UDP payload. */
    public static final int MAX_PACKET_BYTES = PacketCodec.MAX_PACKET_BYTES;

    /** Minimum interval between two rounds of update packets. */
    private static final double UPDATE_INTERVAL_MS = 50;

    /** Number of members that receive an update packet in each round. */
    private static final int FANOUT = 2;

    /**
     * Times that each proxy forwards a statement: epidemic dissemination with four copies misses
     * about 2% of the proxies, which renewals then reach.
     */
    private static final int STATEMENT_COPIES = 4;

    /**
     * Times that each proxy forwards a renewal, a statement that accuses the same nodes as the
     * previous one: most proxies have already acted on that, and two copies reach about 80% of
     * them.
     */
    private static final int RENEWAL_COPIES = 2;

    /** Share of the byte burst that is reserved for probes and their answers. */
    private static final double PROBE_RESERVE_SHARE = 0.25;

    /** Minimum interval between two transfers of the whole member table to the same member. */
    private static final double TABLE_INTERVAL_MS = 5000;

    /** Minimum interval between two challenges sent to the same sender. */
    private static final double WELCOME_INTERVAL_MS = 100;

    /** Maximum number of packets in one transfer of the whole member table. */
    private static final int MAX_TABLE_PACKETS = 24;

    /**
     * Share of the signature verifications that is available to addresses of non-members; more than
     * a few joins per second are invalid packets.
     */
    private static final double NON_MEMBER_SHARE = 0.25;

    /** Maximum number of bytes sent at once, a few packets. */
    private static final double MAX_BURST_BYTES = 4096;

    /** Maximum number of replaced nonces that are remembered per peer. */
    private static final int MAX_RETIRED_NONCES = 8;

    /** Size of the replay window, in packet counters; one bit of a long each. */
    private static final int REPLAY_WINDOW = 64;

    /**
     * How far an incarnation reported by a third party may be ahead of the known one. The member
     * itself could not refute a much higher one, as it would soon reach the maximum value.
     */
    private static final int MAX_INCARNATION_LEAD = 64;

    /**
     * Configuration of a participant.
     *
     * @param address the address at which others reach this proxy, {@code host:port}
     * @param seeds addresses contacted to join the fleet; may contain this proxy's own address
     * @param bytesPerS the maximum number of bytes sent in any second, including UDP and IPv4
     *     headers; at least 4096, as a packet must fit
     * @param verificationsPerS the maximum number of signatures verified per second; bounds the
     *     cost of a flood of packets
     * @param maxHealth the highest local health score (Lifeguard), which extends timeouts by up to
     *     {@code 1 + maxHealth} times; 0 keeps timeouts constant
     */
    public record Settings(
            String address,
            List<String> seeds,
            int bytesPerS,
            int verificationsPerS,
            int maxHealth) {

        /** The highest score of Lifeguard and memberlist. */
        public static final int MAX_HEALTH = 8;
    }

    /** The kinds of events that are reported to operators; their names appear in the log. */
    public enum EventType {
        MEMBER,
        SUSPECTED,
        DIED,
        LEFT,
        RESTARTED,
        NAME_TWICE,
        DOUBTED,
        CLEARED,
        DISTRUSTED,
        /** Others reported this proxy as suspected or dead; it raised its incarnation. */
        REFUTED,
        /**
         * No member has answered this proxy for {@code ISOLATION_MS}: it publishes no claims and
         * declares no member dead.
         */
        STEPPED_DOWN,
        /** This proxy received an answer again after it had stepped down. */
        STEPPED_UP
    }

    /**
     * One member as this proxy sees it.
     *
     * @param lastPacketAgeMs milliseconds of this proxy's own awake time since it last accepted a
     *     packet of the member; 0 for this proxy itself
     * @param suspectedBy the members known to suspect this member; empty unless it is suspected
     */
    public record MemberView(Member member, double lastPacketAgeMs, List<String> suspectedBy) {}

    /** Receives the packets to send and the events to report. */
    public interface Actions {
        void send(String address, byte[] packet);

        /** Called when a quorum starts or stops suspecting a node. */
        void nodeSuspicionChanged(String node, boolean suspected);

        void event(EventType type, String subject, String evidence);
    }

    /**
     * Totals since the start.
     *
     * @param sent packets sent
     * @param sentBytes bytes of UDP payload sent
     * @param received packets received
     * @param invalid packets and statements dropped because they are malformed, of an unknown key,
     *     over the verification budget, or wrongly signed
     * @param replayed packets dropped because their counter was already seen
     * @param verified signatures verified
     * @param rateLimited packets not sent because of the byte budget
     */
    public record Counts(
            long sent,
            long sentBytes,
            long received,
            long invalid,
            long replayed,
            long verified,
            long rateLimited) {}

    /** Replay protection state of one peer: proves that packets are of its current incarnation. */
    private static final class Session {
        final String name;
        long nonce;
        long challenge;
        long pendingNonce;
        long pendingChallenge;
        long token;
        int highestCounter;
        long replayWindow;

        /** Nonces that were replaced, with the highest counter seen of each. */
        final Map<Long, Integer> retiredNonces = new LinkedHashMap<>();

        int highestUnprovenCounter;
        double welcomedAt = Double.NEGATIVE_INFINITY;
        double tableSentAt = Double.NEGATIVE_INFINITY;
        boolean digestDiffers;

        /** The peer has shown a new nonce and waits for our grant to that nonce. */
        boolean awaitingGrant;

        /** The message to send once the peer has granted us a token. */
        Message deferredMessage;

        Session(String name) {
            this.name = name;
        }

        private boolean usesPendingNonce(boolean welcome) {
            return pendingNonce != 0 && (welcome || awaitingGrant || nonce == 0);
        }

        long grant(boolean welcome) {
            return usesPendingNonce(welcome) ? pendingChallenge : challenge;
        }

        long echo(boolean welcome) {
            return usesPendingNonce(welcome) ? pendingNonce : nonce;
        }

        /**
         * Returns whether a counter is neither a duplicate nor too old, and marks it as seen. This
         * is the anti-replay window of IPsec (RFC 4303, appendix A2).
         */
        boolean acceptCounter(int counter) {
            int ahead = counter - highestCounter;
            if (ahead > 0) {
                replayWindow = ahead >= REPLAY_WINDOW ? 1 : replayWindow << ahead | 1;
                highestCounter = counter;
                return true;
            }
            long bit = -ahead >= REPLAY_WINDOW ? 0 : 1L << -ahead;
            boolean accepted = bit != 0 && (replayWindow & bit) == 0;
            replayWindow |= bit;
            return accepted;
        }
    }

    /**
     * Token bucket. The refill rate is the maximum per second less the burst, so that no interval
     * of one second exceeds the maximum.
     */
    private static final class TokenBucket {
        final double burst;
        final double refillPerS;
        double tokens;
        double refilledAt;

        TokenBucket(double maxPerS, double burst) {
            this.burst = burst;
            this.refillPerS = maxPerS - burst;
            this.tokens = burst;
        }

        boolean hasTokens(double now, double amount, double reserve) {
            tokens = Math.min(burst, tokens + Math.max(0, now - refilledAt) / 1000 * refillPerS);
            refilledAt = now;
            return tokens - amount >= reserve;
        }

        boolean tryTake(double now, double amount, double reserve) {
            boolean granted = hasTokens(now, amount, reserve);
            tokens -= granted ? amount : 0;
            return granted;
        }
    }

    /** The number of times that an update is still to be sent. */
    private static final class PendingUpdate {
        int copiesLeft;

        PendingUpdate(int copiesLeft) {
            this.copiesLeft = copiesLeft;
        }
    }

    /**
     * The newest statement of an observer. It is retained after it has expired, so that a replayed
     * copy is not accepted as new.
     */
    private record StoredStatement(Statement statement, double statedAt, double expiresAt) {

        RelayedStatement toRelayed(double now) {
            return new RelayedStatement(statement, (int) (now - statedAt));
        }
    }

    /** A probe that this proxy sent on behalf of another member. */
    private record RelayedProbe(String requester, int number, double expiresAt, double nackAt) {}

    private final Settings settings;
    private final Identity identity;
    private final SplittableRandom random;
    private final Swim swim;
    private final Evidence evidence = new Evidence();
    private final long nonce;
    private final Map<String, Session> sessions = new TreeMap<>();
    private final Map<String, StoredStatement> statements = new TreeMap<>();
    private final Map<String, PendingUpdate> memberUpdates = new LinkedHashMap<>();
    private final Map<String, PendingUpdate> statementUpdates = new LinkedHashMap<>();
    private final Map<Integer, RelayedProbe> relayedProbes = new LinkedHashMap<>();
    private final TokenBucket byteBudget;
    private final TokenBucket memberVerifications;
    private final TokenBucket nonMemberVerifications;
    private int counter;
    private int statementNumber;
    private int relayedProbeNumber;
    private int nextTableIndex;
    private double lastUpdateAt;
    private boolean updatesPending;
    private boolean hasLeft;
    private long sent;
    private long sentBytes;
    private long received;
    private long invalid;
    private long replayed;
    private long verified;
    private long rateLimited;

    public Gossip(Settings settings, Identity identity, long seed) {
        this.settings = settings;
        this.identity = identity;
        this.random = new SplittableRandom(seed);
        this.nonce = random.nextLong() | 1;
        this.swim =
                new Swim(
                        new Member(identity.name(), settings.address(), 0, Status.ALIVE),
                        settings.seeds(),
                        random,
                        settings.maxHealth());
        this.byteBudget =
                new TokenBucket(
                        settings.bytesPerS(),
                        Math.min(MAX_BURST_BYTES, settings.bytesPerS() / 2.0));
        this.memberVerifications =
                new TokenBucket(
                        (1 - NON_MEMBER_SHARE) * settings.verificationsPerS(),
                        (1 - NON_MEMBER_SHARE) * settings.verificationsPerS() / 2);
        this.nonMemberVerifications =
                new TokenBucket(
                        NON_MEMBER_SHARE * settings.verificationsPerS(),
                        NON_MEMBER_SHARE * settings.verificationsPerS() / 2);
    }

    /** Returns all known members, this proxy first. */
    public List<Member> table() {
        return swim.table();
    }

    /**
     * Returns all known members, this proxy first, with the age of each member's last packet and
     * the members that suspect it.
     */
    public List<MemberView> memberViews(double now) {
        return swim.table().stream()
                .map(
                        member ->
                                member.name().equals(identity.name())
                                        ? new MemberView(member, 0, List.of())
                                        : new MemberView(
                                                member,
                                                swim.lastPacketAgeMs(now, member.name()),
                                                member.status() == Status.SUSPECT
                                                        ? swim.accusers(member.name())
                                                        : List.of()))
                .toList();
    }

    /**
     * Returns the local health score, 0 to {@link Settings#maxHealth}; 0 while this proxy's own
     * probes are answered.
     */
    public int health() {
        return swim.health();
    }

    /** Returns whether this proxy has stepped down because no member has answered it. */
    public boolean isSteppedDown() {
        return swim.isolated();
    }

    /** Returns how many pauses of this process were detected. */
    public long stallCount() {
        return swim.stallCount();
    }

    /** Returns the weight of a member's claims, 0 to 1; 1 for this proxy itself. */
    public double weight(double now, String name) {
        return name.equals(identity.name()) ? 1 : evidence.weight(now, name);
    }

    public Counts counts() {
        return new Counts(sent, sentBytes, received, invalid, replayed, verified, rateLimited);
    }

    // Incoming events.

    /** Contacts the seeds. Called once, before the first tick. */
    public void start(double now, Actions actions) {
        swim.start(now, swimActions(now, actions));
    }

    /**
     * Replaces the set of known nodes by the current endpoint list. Claims about a node that
     * arrived before the node was listed take effect now.
     */
    public void updateNodes(double now, Collection<Node> endpoints, Actions actions) {
        Set<String> added = evidence.updateNodes(endpoints);
        for (StoredStatement stored : statements.values()) {
            boolean usable =
                    now < stored.expiresAt()
                            && !stored.statement().observer().equals(identity.name());
            for (Claim claim :
                    usable && !added.isEmpty() ? stored.statement().claims() : List.<Claim>of()) {
                if (added.contains(claim.node())) {
                    evidence.addClaim(stored.statement().observer(), claim, stored.statedAt());
                }
            }
        }
        evaluateEvidence(now, actions);
    }

    /** Records that this proxy has sent an attempt to a node. */
    public void attemptStarted(double now, String node) {
        evidence.attemptStarted(now, node);
    }

    /** Records the outcome of one of this proxy's attempts at a node. */
    public void attemptEnded(double now, String node, Outcome outcome, double elapsedMs) {
        evidence.attemptEnded(now, node, outcome, elapsedMs);
    }

    /** Records the outcome of one of this proxy's probes of a node. */
    public void probeEnded(double now, String node, Outcome outcome, Actions actions) {
        evidence.probeEnded(now, node, outcome);
        evaluateEvidence(now, actions);
    }

    /** Runs all timers; called every {@link #TICK_MS}. */
    public void tick(double now, Actions actions) {
        swim.tick(now, swimActions(now, actions));
        int proxies = evaluateEvidence(now, actions);
        relayedProbes.values().removeIf(relayedProbe -> now >= relayedProbe.expiresAt());
        for (Map.Entry<Integer, RelayedProbe> entry : List.copyOf(relayedProbes.entrySet())) {
            RelayedProbe relayedProbe = entry.getValue();
            Member requester =
                    now >= relayedProbe.nackAt() ? swim.find(relayedProbe.requester()) : null;
            if (requester != null) {
                relayedProbes.put(
                        entry.getKey(),
                        new RelayedProbe(
                                relayedProbe.requester(),
                                relayedProbe.number(),
                                relayedProbe.expiresAt(),
                                Double.POSITIVE_INFINITY));
                transmit(
                        now,
                        requester.address(),
                        requester.name(),
                        newMessage(now, Kind.NACK, relayedProbe.number(), null, requester.name()),
                        actions);
            }
        }
        // An isolated proxy sees all nodes fail alike: its claims would describe its own link.
        List<Claim> ownClaims =
                hasLeft || swim.isolated() ? null : evidence.claimsToPublish(now, proxies);
        if (ownClaims != null) {
            publishStatement(now, ownClaims);
        }
        if (now - lastUpdateAt >= UPDATE_INTERVAL_MS && updatesPending) {
            lastUpdateAt = now;
            boolean budgetExhausted = false;
            for (Member member : swim.randomMembers(FANOUT, "")) {
                // Waiting loses nothing, whereas a packet that is built and then exceeds the budget
                // has already used up copies of its updates.
                budgetExhausted |=
                        !byteBudget.hasTokens(
                                now,
                                maxUpdateBytes(member.name()) + HEADER_BYTES,
                                probeReserveBytes());
                if (!budgetExhausted) {
                    transmit(
                            now,
                            member.address(),
                            member.name(),
                            new Message(
                                    Kind.NEWS,
                                    0,
                                    null,
                                    swim.digest(),
                                    membersToSend(now, member.name()),
                                    statementsToSend(now)),
                            actions);
                }
            }
            updatesPending =
                    hasCopiesLeft(statementUpdates)
                            || budgetExhausted && hasCopiesLeft(memberUpdates);
        }
    }

    /**
     * Returns the maximum size of an update packet to a member, in bytes. Without pending
     * statements it is much smaller than the maximum packet size.
     */
    private int maxUpdateBytes(String to) {
        if (hasCopiesLeft(statementUpdates)) {
            return PacketCodec.MAX_PACKET_BYTES;
        }
        Session session = sessions.get(to);
        List<Member> selected =
                new ArrayList<>(
                        session != null && session.digestDiffers
                                ? swim.table()
                                : List.of(swim.self()));
        memberUpdates.keySet().stream()
                .map(swim::find)
                .filter(member -> member != null)
                .forEach(selected::add);
        return Math.min(
                PacketCodec.MAX_PACKET_BYTES,
                PacketCodec.MAX_ENVELOPE_BYTES
                        + selected.stream().mapToInt(PacketCodec::encodedBytes).sum());
    }

    private static boolean hasCopiesLeft(Map<String, PendingUpdate> news) {
        return news.values().stream().anyMatch(n -> n.copiesLeft > 0);
    }

    /** Re-evaluates the evidence on all nodes; returns the number of present proxies. */
    private int evaluateEvidence(double now, Actions actions) {
        int proxies = swim.others().size() + 1;
        for (Evidence.SuspicionChange change : evidence.evaluate(now, proxies)) {
            actions.event(
                    change.suspected() ? EventType.DOUBTED : EventType.CLEARED,
                    change.node(),
                    change.evidence());
            actions.nodeSuspicionChanged(change.node(), change.suspected());
        }
        return proxies;
    }

    /**
     * Notifies a few members that this proxy leaves; they disseminate it. Packets that arrive after
     * this call are dropped.
     */
    public void leave(double now, Actions actions) {
        hasLeft = true;
        swim.leave();
        for (Member member : swim.randomMembers(2 * FANOUT, "")) {
            transmit(
                    now,
                    member.address(),
                    member.name(),
                    new Message(Kind.NEWS, 0, null, swim.digest(), List.of(swim.self()), List.of()),
                    actions);
        }
    }

    private void publishStatement(double now, List<Claim> claims) {
        Statement unsigned =
                new Statement(
                        identity.name(),
                        swim.self().incarnation(),
                        ++statementNumber,
                        claims,
                        null);
        byte[] signedBytes = PacketCodec.bytesToSign(unsigned);
        Statement statement =
                new Statement(
                        unsigned.observer(),
                        unsigned.incarnation(),
                        unsigned.number(),
                        claims,
                        identity.sign(signedBytes, signedBytes.length));
        storeStatement(now, statement, 0);
    }

    private void storeStatement(double now, Statement statement, double ageMs) {
        StoredStatement previous =
                statements.put(
                        statement.observer(),
                        new StoredStatement(
                                statement, now - ageMs, now - ageMs + Evidence.CLAIM_LIFETIME_MS));
        boolean renewal =
                previous != null
                        && now < previous.expiresAt()
                        && previous.statement().accusedNodes().equals(statement.accusedNodes());
        statementUpdates.put(
                statement.observer(),
                new PendingUpdate(renewal ? RENEWAL_COPIES : STATEMENT_COPIES));
        updatesPending = true;
    }

    // Outgoing packets.

    private Swim.Actions swimActions(double now, Actions actions) {
        return new Swim.Actions() {
            @Override
            public void sendPing(Member to, int number) {
                transmit(
                        now,
                        to.address(),
                        to.name(),
                        newMessage(now, Kind.PING, number, null, to.name()),
                        actions);
            }

            @Override
            public void sendPingRequest(Member relay, Member target, int number) {
                transmit(
                        now,
                        relay.address(),
                        relay.name(),
                        newMessage(now, Kind.ASK, number, target, relay.name()),
                        actions);
            }

            @Override
            public void pingAddress(String address) {
                transmit(
                        now,
                        address,
                        "",
                        new Message(
                                Kind.PING, 0, null, swim.digest(), List.of(swim.self()), List.of()),
                        actions);
            }

            @Override
            public void memberChanged(Member before, Member after) {
                handleMemberChange(before, after, actions);
            }

            @Override
            public void selfRefuted(Member update) {
                actions.event(
                        EventType.REFUTED,
                        identity.name(),
                        "said:"
                                + update.status().name().toLowerCase(Locale.ROOT)
                                + " by:"
                                + (update.suspectedBy().isEmpty() ? "-" : update.suspectedBy())
                                + " incarnation:"
                                + update.incarnation()
                                + " now:"
                                + swim.self().incarnation());
            }

            @Override
            public void isolationChanged(boolean isolated, String details) {
                actions.event(
                        isolated ? EventType.STEPPED_DOWN : EventType.STEPPED_UP,
                        identity.name(),
                        details);
            }
        };
    }

    private void handleMemberChange(Member before, Member after, Actions actions) {
        boolean confirmation =
                before != null
                        && before.status() == Status.SUSPECT
                        && after.status() == Status.SUSPECT
                        && before.incarnation() == after.incarnation();
        memberUpdates.put(after.name(), new PendingUpdate(2 + memberUpdateCopies()));
        // A confirmation of a suspicion is only piggybacked on probes: an update packet for each
        // would multiply the cost of a flood of confirmations.
        updatesPending |= !confirmation;
        if (after.name().equals(identity.name())) {
            return;
        }
        String details = "incarnation:" + after.incarnation() + " address:" + after.address();
        evidence.setObserverSuspected(after.name(), after.status() == Status.SUSPECT);
        if (after.status() == Status.ALIVE && (before == null || before.status() != Status.ALIVE)) {
            actions.event(EventType.MEMBER, after.name(), details);
        } else if (after.status() == Status.SUSPECT
                && (before == null || before.status() != Status.SUSPECT)) {
            actions.event(
                    EventType.SUSPECTED, after.name(), details + " by:" + after.suspectedBy());
        } else if (!after.isPresent()) {
            evidence.removeObserver(after.name());
            statements.computeIfPresent(
                    after.name(),
                    (n, stored) ->
                            new StoredStatement(
                                    stored.statement(), stored.statedAt(), stored.statedAt()));
            actions.event(
                    after.status() == Status.LEFT ? EventType.LEFT : EventType.DIED,
                    after.name(),
                    details);
        }
    }

    private int memberUpdateCopies() {
        return Integer.SIZE - Integer.numberOfLeadingZeros(swim.others().size() + 1);
    }

    private Message newMessage(double now, Kind kind, int number, Member target, String to) {
        // Near the byte limit, an answer without updates is better than none: a proxy that resumes
        // after a pause owes many answers at once and is suspected for each one it cannot send.
        boolean nearLimit = !byteBudget.hasTokens(now, PacketCodec.MAX_PACKET_BYTES / 2.0, 0);
        return nearLimit
                ? new Message(
                        kind,
                        number,
                        target,
                        swim.digest(),
                        selfAndSuspectedReceiver(to),
                        List.of())
                : new Message(
                        kind,
                        number,
                        target,
                        swim.digest(),
                        membersToSend(now, to),
                        statementsToSend(now));
    }

    /**
     * Returns this proxy, followed by the receiver if that is suspected or considered dead: the
     * receiver learns of it with the next packet and can refute it (Lifeguard's buddy system).
     */
    private List<Member> selfAndSuspectedReceiver(String to) {
        List<Member> selected = new ArrayList<>();
        selected.add(swim.self());
        Member receiver = swim.find(to);
        if (receiver != null
                && (receiver.status() == Status.SUSPECT || receiver.status() == Status.DEAD)) {
            selected.add(receiver);
        }
        return selected;
    }

    /**
     * Returns the pending member updates, those with the most copies left first. For a receiver
     * whose table digest differs from ours, a part of our table is appended.
     */
    private List<Member> membersToSend(double now, String to) {
        List<Member> selected = selfAndSuspectedReceiver(to);
        memberUpdates.values().removeIf(n -> n.copiesLeft <= 0);
        memberUpdates.entrySet().stream()
                .sorted(Comparator.comparingInt(entry -> -entry.getValue().copiesLeft))
                .limit(16)
                .forEach(
                        entry -> {
                            Member member =
                                    entry.getKey().equals(identity.name())
                                            ? null
                                            : swim.find(entry.getKey());
                            entry.getValue().copiesLeft--;
                            if (member != null) {
                                selected.add(member);
                            }
                        });
        Session session = sessions.get(to);
        if (session != null && session.digestDiffers) {
            session.digestDiffers = false;
            List<Member> table = swim.table();
            for (int i = 0; i < Math.min(24, table.size()); i++) {
                selected.add(table.get(nextTableIndex++ % table.size()));
            }
        }
        return selected;
    }

    private List<RelayedStatement> statementsToSend(double now) {
        List<RelayedStatement> selected = new ArrayList<>();
        statementUpdates.values().removeIf(n -> n.copiesLeft <= 0);
        int freeBytes = PacketCodec.MAX_PACKET_BYTES * 2 / 3;
        for (Map.Entry<String, PendingUpdate> entry :
                statementUpdates.entrySet().stream()
                        .sorted(Comparator.comparingInt(x -> -x.getValue().copiesLeft))
                        .toList()) {
            StoredStatement stored = statements.get(entry.getKey());
            boolean current = stored != null && now < stored.expiresAt();
            int size = current ? PacketCodec.encodedBytes(stored.statement()) : 0;
            if (!current) {
                entry.getValue().copiesLeft = 0;
            } else if (size <= freeBytes) {
                freeBytes -= size;
                entry.getValue().copiesLeft--;
                selected.add(stored.toRelayed(now));
            }
        }
        return selected;
    }

    private void transmit(
            double now, String address, String name, Message original, Actions actions) {
        Session session = name.isEmpty() ? null : session(name);
        Message message = original;
        boolean welcome = message.kind() == Kind.WELCOME;
        if (session != null && session.token == 0 && !welcome) {
            // Without a token the peer would not accept the message. It is deferred, and an empty
            // ping requests the token.
            session.deferredMessage =
                    session.deferredMessage == null || message.number() != 0
                            ? message
                            : session.deferredMessage;
            message = new Message(Kind.PING, 0, null, message.digest(), List.of(), List.of());
        }
        boolean probe = message.kind() != Kind.NEWS;
        var envelope =
                new PacketCodec.Envelope(
                        identity.name(),
                        identity.keyId(),
                        nonce,
                        session == null ? 0 : session.echo(welcome),
                        session == null ? 0 : session.token,
                        session == null ? 0 : session.grant(welcome),
                        ++counter);
        ByteBuffer body = PacketCodec.encode(envelope, message);
        int size = body.position() + Identity.SIGNATURE_BYTES;
        if (!byteBudget.tryTake(now, size + HEADER_BYTES, probe ? 0 : probeReserveBytes())) {
            rateLimited++;
            return;
        }
        byte[] signature = identity.sign(body.array(), body.position());
        byte[] packet = new byte[size];
        body.get(0, packet, 0, body.position());
        System.arraycopy(signature, 0, packet, body.position(), signature.length);
        sent++;
        sentBytes += size;
        actions.send(address, packet);
    }

    private double probeReserveBytes() {
        return PROBE_RESERVE_SHARE * byteBudget.burst;
    }

    private Session session(String name) {
        return sessions.computeIfAbsent(name, Session::new);
    }

    // Incoming packets.

    /** Handles a datagram from any sender; nothing about it is trusted yet. */
    public void received(double now, String address, byte[] packet, Actions actions) {
        received++;
        PacketCodec.Packet decoded = hasLeft ? null : PacketCodec.decode(packet);
        if (decoded == null
                || decoded.envelope().from().equals(identity.name())
                        && decoded.envelope().nonce() == nonce
                || !identity.hasKey(decoded.envelope().from(), decoded.envelope().keyId())) {
            invalid++;
            return;
        }
        // Each verification is charged to one of two budgets, for known addresses or for all
        // others, regardless of the name that the sender claims.
        Member sender = swim.find(decoded.envelope().from());
        boolean knownAddress =
                sender != null && sender.address().equals(address)
                        || settings.seeds().contains(address);
        if (!(knownAddress ? memberVerifications : nonMemberVerifications).tryTake(now, 1, 0)) {
            invalid++;
            return;
        }
        verified++;
        if (!identity.verify(
                decoded.envelope().from(),
                decoded.envelope().keyId(),
                packet,
                decoded.signedBytes(),
                decoded.signature())) {
            invalid++;
            return;
        }
        if (decoded.envelope().from().equals(identity.name())) {
            actions.event(EventType.NAME_TWICE, identity.name(), "address:" + address);
            return;
        }
        checkFreshness(now, address, decoded, actions);
    }

    /**
     * Checks that an authenticated packet is not a replay and processes it. A packet that does not
     * prove its freshness is answered with a challenge by which the sender's next one can.
     */
    private void checkFreshness(
            double now, String address, PacketCodec.Packet packet, Actions actions) {
        PacketCodec.Envelope envelope = packet.envelope();
        Session session = session(envelope.from());
        boolean current = envelope.nonce() == session.nonce && session.nonce != 0;
        boolean alreadySeen =
                current
                        ? envelope.counter()
                                <= Math.max(session.highestCounter, session.highestUnprovenCounter)
                        : envelope.nonce() == session.pendingNonce
                                ? envelope.counter() <= session.highestUnprovenCounter
                                : envelope.counter()
                                        <= session.retiredNonces.getOrDefault(envelope.nonce(), -1);
        if (!current && envelope.nonce() != session.pendingNonce) {
            session.pendingNonce = envelope.nonce();
            session.pendingChallenge = random.nextLong() | 1;
            session.highestUnprovenCounter = 0;
        }
        boolean addressedToUs = envelope.echo() == nonce;
        boolean welcome = packet.message().kind() == Kind.WELCOME;
        if (welcome && !alreadySeen) {
            session.highestUnprovenCounter = envelope.counter();
            handleWelcome(now, address, session, envelope, actions);
        } else if (!welcome && current && addressedToUs && envelope.token() == session.challenge) {
            session.awaitingGrant = false;
            session.pendingNonce = 0;
            if (session.acceptCounter(envelope.counter())) {
                session.token = envelope.grant() != 0 ? envelope.grant() : session.token;
                session.deferredMessage = null;
                processMessage(now, address, session, packet.message(), actions);
            } else {
                replayed++;
            }
        } else if (!welcome
                && !current
                && addressedToUs
                && envelope.token() == session.pendingChallenge) {
            acceptNewNonce(now, address, session, packet, actions);
        } else if (alreadySeen) {
            // Answering each replay would let anyone who has recorded one packet make this proxy
            // send any number of packets.
            replayed++;
        } else {
            session.highestUnprovenCounter = envelope.counter();
            if (now - session.welcomedAt >= WELCOME_INTERVAL_MS) {
                session.welcomedAt = now;
                transmit(
                        now,
                        address,
                        envelope.from(),
                        new Message(Kind.WELCOME, 0, null, swim.digest(), List.of(), List.of()),
                        actions);
            }
        }
    }

    private void handleWelcome(
            double now,
            String address,
            Session session,
            PacketCodec.Envelope envelope,
            Actions actions) {
        if (envelope.echo() != nonce || envelope.grant() == 0) {
            return;
        }
        session.awaitingGrant = envelope.nonce() != session.nonce;
        session.token = envelope.grant();
        Message deferred =
                session.deferredMessage == null
                        ? newMessage(now, Kind.PING, 0, null, session.name)
                        : session.deferredMessage;
        session.deferredMessage = null;
        transmit(now, address, session.name, deferred, actions);
    }

    private void acceptNewNonce(
            double now,
            String address,
            Session session,
            PacketCodec.Packet packet,
            Actions actions) {
        PacketCodec.Envelope envelope = packet.envelope();
        if (session.retiredNonces.containsKey(envelope.nonce())) {
            // The incarnation of a replaced nonce still sends: two processes share a name and key.
            actions.event(EventType.NAME_TWICE, session.name, "address:" + address);
            session.pendingNonce = 0;
            return;
        }
        Member before = swim.find(session.name);
        boolean newcomer =
                (session.nonce != 0 || before == null || !before.isPresent())
                        && packet.message().digest() != swim.digest();
        if (session.nonce != 0) {
            session.retiredNonces.put(session.nonce, session.highestCounter);
            if (session.retiredNonces.size() > MAX_RETIRED_NONCES) {
                session.retiredNonces.remove(session.retiredNonces.keySet().iterator().next());
            }
            actions.event(EventType.RESTARTED, session.name, "address:" + address);
        }
        session.nonce = envelope.nonce();
        session.challenge = session.pendingChallenge;
        session.pendingNonce = 0;
        session.awaitingGrant = false;
        session.deferredMessage = null;
        session.highestCounter = envelope.counter();
        session.highestUnprovenCounter = 0;
        session.replayWindow = 1;
        session.token = envelope.grant() != 0 ? envelope.grant() : session.token;
        processMessage(now, address, session, packet.message(), actions);
        // Most first contacts are between two members that already know all others, and a member
        // that has returned needs the table from one member, not from all.
        if (newcomer && now - session.tableSentAt >= TABLE_INTERVAL_MS) {
            session.tableSentAt = now;
            sendWholeTable(now, address, session.name, actions);
        }
    }

    /**
     * Sends a new member all known members and all valid statements, in as many packets as needed,
     * at most {@code MAX_TABLE_PACKETS}.
     */
    private void sendWholeTable(double now, String address, String name, Actions actions) {
        List<RelayedStatement> remainingStatements =
                new ArrayList<>(
                        statements.values().stream()
                                .filter(stored -> now < stored.expiresAt())
                                .map(stored -> stored.toRelayed(now))
                                .toList());
        List<Member> remainingMembers = new ArrayList<>(swim.table());
        Member newcomer = swim.find(name);
        if (newcomer != null) {
            remainingMembers.remove(newcomer);
            remainingMembers.add(0, newcomer);
        }
        for (int i = 0;
                i < MAX_TABLE_PACKETS
                        && !(remainingStatements.isEmpty() && remainingMembers.isEmpty());
                i++) {
            int freeBytes = PacketCodec.MAX_PACKET_BYTES - PacketCodec.MAX_ENVELOPE_BYTES;
            List<RelayedStatement> packetStatements = new ArrayList<>();
            while (!remainingStatements.isEmpty()
                    && freeBytes
                            >= PacketCodec.encodedBytes(remainingStatements.get(0).statement())) {
                freeBytes -= PacketCodec.encodedBytes(remainingStatements.get(0).statement());
                packetStatements.add(remainingStatements.remove(0));
            }
            List<Member> packetMembers = new ArrayList<>();
            while (!remainingMembers.isEmpty()
                    && freeBytes >= PacketCodec.encodedBytes(remainingMembers.get(0))) {
                freeBytes -= PacketCodec.encodedBytes(remainingMembers.get(0));
                packetMembers.add(remainingMembers.remove(0));
            }
            transmit(
                    now,
                    address,
                    name,
                    new Message(Kind.NEWS, 0, null, swim.digest(), packetMembers, packetStatements),
                    actions);
        }
    }

    private void processMessage(
            double now, String address, Session session, Message message, Actions actions) {
        Swim.Actions swimActions = swimActions(now, actions);
        swim.packetReceived(now, session.name);
        for (Member member : message.members()) {
            boolean isSender = member.name().equals(session.name);
            // A name without a key in the ring is ignored; the address of a present member is
            // changed only by the member's own packets.
            Member known = swim.find(member.name());
            boolean plausible =
                    isSender
                            || known == null
                            || member.incarnation() - known.incarnation() <= MAX_INCARNATION_LEAD;
            if (plausible && identity.hasKey(member.name(), Identity.ANY_KEY)) {
                String memberAddress =
                        isSender
                                ? address
                                : known != null && known.isPresent()
                                        ? known.address()
                                        : member.address();
                // A suspicion counts for the accuser it names if that has a key in the ring;
                // otherwise it counts as the sender's own.
                String suspectedBy =
                        member.status() != Status.SUSPECT
                                ? ""
                                : identity.hasKey(member.suspectedBy(), Identity.ANY_KEY)
                                        ? member.suspectedBy()
                                        : session.name;
                swim.applyUpdate(
                        now,
                        new Member(
                                member.name(),
                                memberAddress,
                                member.incarnation(),
                                member.status(),
                                suspectedBy),
                        swimActions);
            }
        }
        for (RelayedStatement stored : message.statements()) {
            handleStatement(now, stored, actions);
        }
        session.digestDiffers = message.digest() != swim.digest();
        switch (message.kind()) {
            case PING ->
                    transmit(
                            now,
                            address,
                            session.name,
                            newMessage(now, Kind.ACK, message.number(), null, session.name),
                            actions);
            case ACK -> handleAck(now, session.name, message, actions);
            case ASK -> relayProbe(now, session.name, message, actions);
            case NACK -> swim.nackReceived(now, message.number(), swimActions);
            default -> {}
        }
    }

    private void handleAck(double now, String from, Message message, Actions actions) {
        RelayedProbe relayedProbe =
                message.number() < 0 ? relayedProbes.remove(message.number()) : null;
        Member requester = relayedProbe == null ? null : swim.find(relayedProbe.requester());
        if (requester != null) {
            Member target = swim.find(from);
            transmit(
                    now,
                    requester.address(),
                    requester.name(),
                    newMessage(now, Kind.ACK, relayedProbe.number(), target, requester.name()),
                    actions);
        } else {
            swim.ackReceived(
                    now,
                    message.number(),
                    message.target() == null ? from : message.target().name(),
                    swimActions(now, actions));
        }
    }

    /**
     * Sends a ping on behalf of another member. Its number is negative, so that its answer cannot
     * be confused with an answer to one of our own pings.
     */
    private void relayProbe(double now, String requester, Message message, Actions actions) {
        Member target = message.target() == null ? null : swim.find(message.target().name());
        if (target != null && message.number() > 0) {
            int ownNumber = -(++relayedProbeNumber & Integer.MAX_VALUE);
            relayedProbes.put(
                    ownNumber,
                    new RelayedProbe(
                            requester,
                            message.number(),
                            now + Swim.PERIOD_MS * (1 + swim.health()),
                            now + Swim.NACK_DELAY_SHARE * swim.ackTimeoutMs()));
            transmit(
                    now,
                    target.address(),
                    target.name(),
                    newMessage(now, Kind.PING, ownNumber, null, target.name()),
                    actions);
        }
    }

    private void handleStatement(double now, RelayedStatement relayed, Actions actions) {
        Statement statement = relayed.statement();
        StoredStatement stored = statements.get(statement.observer());
        Member observer = swim.find(statement.observer());
        boolean expired = relayed.ageMs() >= Evidence.CLAIM_LIFETIME_MS;
        if (expired
                || observer == null
                || !observer.isPresent()
                || statement.incarnation() < observer.incarnation() - 1
                || !statement.newerThan(stored == null ? null : stored.statement())
                || !memberVerifications.tryTake(now, 1, 0)) {
            return;
        }
        verified++;
        if (!identity.verify(
                statement.observer(), PacketCodec.bytesToSign(statement), statement.signature())) {
            invalid++;
            return;
        }
        List<String> newlyDistrusted = new ArrayList<>();
        evidence.applyStatement(
                now, statement.observer(), statement.claims(), relayed.ageMs(), newlyDistrusted);
        newlyDistrusted.forEach(
                name ->
                        actions.event(
                                EventType.DISTRUSTED,
                                name,
                                String.format(
                                        Locale.ROOT, "weight:%.2f", evidence.weight(now, name))));
        storeStatement(now, statement, relayed.ageMs());
        evaluateEvidence(now, actions);
    }
}
