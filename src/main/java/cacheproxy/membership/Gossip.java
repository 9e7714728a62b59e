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
 * One proxy's part in the fleet's gossip. Every event is one call; what is to be sent or told goes
 * to {@link Actions} before it returns. {@code now} is this proxy's own clock in milliseconds,
 * which never runs back; no other clock is ever compared with it.
 */
public final class Gossip {

    /** How often {@link #tick} is called. */
    public static final double TICK_MS = 50;

    /** What UDP and IPv4 add to each packet, in bytes; the budget is that of the wire. */
    public static final int HEADER_BYTES = 28;

    /** The longest packet, in bytes of UDP payload. */
    public static final int MAX_PACKET_BYTES = PacketCodec.MAX_PACKET_BYTES;

    /** Waits between two rounds of news, and to how many each goes. */
    private static final double UPDATE_INTERVAL_MS = 50;

    private static final int FANOUT = 2;

    /**
     * Times that each proxy passes a statement on: an epidemic of four copies misses two proxies in
     * a hundred, and renewals reach them.
     */
    private static final int STATEMENT_COPIES = 4;

    /**
     * The same of one that says what the last one said: most have acted on that, and two copies
     * reach four proxies in five.
     */
    private static final int RENEWAL_COPIES = 2;

    /** Part of the bytes that is kept for probes and their answers. */
    private static final double PROBE_RESERVE_SHARE = 0.25;

    /**
     * A newcomer is given the whole table at once, no more often than this, and no sender is shown
     * its challenge more often.
     */
    private static final double TABLE_INTERVAL_MS = 5000;

    private static final double WELCOME_INTERVAL_MS = 100;
    private static final int MAX_TABLE_PACKETS = 24;

    /**
     * Part of the verifications that is for addresses that are no member's: more than some joins a
     * second are rubbish.
     */
    private static final double NON_MEMBER_SHARE = 0.25;

    /** The most that goes out at once, a few packets. */
    private static final double MAX_BURST_BYTES = 4096;

    private static final int MAX_RETIRED_NONCES = 8;
    private static final int REPLAY_WINDOW = 64;

    /**
     * How far beyond what is known an incarnation may be by hearsay: higher ones could not be
     * refuted for long.
     */
    private static final int MAX_INCARNATION_LEAD = 64;

    /**
     * @param address where others reach this proxy, {@code host:port}
     * @param seeds addresses that are asked for the others; may hold its own
     * @param bytesPerS the most that it sends in any second, the headers of UDP and IPv4 included;
     *     at least 4096, as a packet must fit
     * @param verificationsPerS signatures that it checks in a second at most; what a flood can cost
     * @param healthMost the highest local health score (Lifeguard), by which timeouts stretch up to
     *     {@code 1 + healthMost} times; 0 keeps them as they are
     */
    public record Settings(
            String address,
            List<String> seeds,
            int bytesPerS,
            int verificationsPerS,
            int maxHealth) {

        /** Lifeguard's and memberlist's highest score. */
        public static final int MAX_HEALTH = 8;
    }

    /** What an operator may want to know. */
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
        /** Others held this proxy suspected or dead; it raised its incarnation. */
        REFUTED,
        /** Nobody has answered it for long: it makes no claims and declares nobody dead. */
        STEPPED_DOWN,
        /** An answer came again. */
        STEPPED_UP
    }

    /**
     * One member as this proxy sees it.
     *
     * @param heardAgoMs of this proxy's own awake time since a packet of it was taken; 0 for this
     *     proxy itself
     * @param suspectedBy who holds the suspicion of it, as far as told here; empty unless suspected
     */
    public record MemberView(Member member, double lastPacketAgeMs, List<String> suspectedBy) {}

    /** Where the wishes go. */
    public interface Actions {
        void send(String address, byte[] packet);

        /** A quorum doubts a node, or no longer does. */
        void nodeSuspicionChanged(String node, boolean suspected);

        void event(EventType type, String subject, String evidence);
    }

    /** Packets and bytes since the start. */
    public record Counts(
            long sent,
            long sentBytes,
            long received,
            long invalid,
            long replayed,
            long verified,
            long rateLimited) {}

    /** What shows that packets of a peer are of its present life. */
    private static final class Session {
        final String name;
        long nonce;
        long challenge;
        long pendingNonce;
        long pendingChallenge;
        long token;
        int highestCounter;
        long replayWindow;

        /** Lives that were replaced, and the last counter that was seen of each. */
        final Map<Long, Integer> retiredNonces = new LinkedHashMap<>();

        int highestUnprovenCounter;
        double welcomedAt = Double.NEGATIVE_INFINITY;
        double tableSentAt = Double.NEGATIVE_INFINITY;
        boolean digestDiffers;

        /** It has shown a new life and waits for our grant to that. */
        boolean awaitingGrant;

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
         * As IPsec's window (RFC 4303, appendix A2): each counter once, and none that is too old.
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
     * So much at once, and what a second allows beyond that spread over the second: no second at
     * all has more.
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

    private static final class PendingUpdate {
        int copiesLeft;

        PendingUpdate(int copiesLeft) {
            this.copiesLeft = copiesLeft;
        }
    }

    /**
     * The newest statement of an observer, kept on when it has faded, so that it can't be heard a
     * second time.
     */
    private record StoredStatement(Statement statement, double statedAt, double expiresAt) {

        RelayedStatement toRelayed(double now) {
            return new RelayedStatement(statement, (int) (now - statedAt));
        }
    }

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

    /** Everyone that is known, this proxy first. */
    public List<Member> table() {
        return swim.table();
    }

    /** Everyone that is known, this proxy first, with when each was heard and who suspects it. */
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
     * The local health score, 0 to {@link Settings#healthMost}: 0 while its own probes are
     * answered.
     */
    public int health() {
        return swim.health();
    }

    /** Whether nobody has answered it for long, so that it has stepped down. */
    public boolean isSteppedDown() {
        return swim.isolated();
    }

    /** How often its process was seen to stand still. */
    public long stallCount() {
        return swim.stallCount();
    }

    /** How far a member is believed, 0 to 1; 1 for this proxy itself. */
    public double weight(double now, String name) {
        return name.equals(identity.name()) ? 1 : evidence.weight(now, name);
    }

    public Counts counts() {
        return new Counts(sent, sentBytes, received, invalid, replayed, verified, rateLimited);
    }

    // Events.

    public void start(double now, Actions actions) {
        swim.start(now, swimActions(now, actions));
    }

    /**
     * The nodes of the server list as they are now. What others said of a node before it was listed
     * here counts from now on.
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

    /** An own attempt goes to a node. */
    public void attemptStarted(double now, String node) {
        evidence.attemptStarted(now, node);
    }

    /** An own attempt at a node has ended. */
    public void attemptEnded(double now, String node, Outcome outcome, double elapsedMs) {
        evidence.attemptEnded(now, node, outcome, elapsedMs);
    }

    /** An own probe of a node has ended. */
    public void probeEnded(double now, String node, Outcome outcome, Actions actions) {
        evidence.probeEnded(now, node, outcome);
        evaluateEvidence(now, actions);
    }

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
        // One that is cut off sees every node fail alike: what it would say is of its own link.
        List<Claim> ownClaims =
                hasLeft || swim.isolated() ? null : evidence.claimsToPublish(now, proxies);
        if (ownClaims != null) {
            publishStatement(now, ownClaims);
        }
        if (now - lastUpdateAt >= UPDATE_INTERVAL_MS && updatesPending) {
            lastUpdateAt = now;
            boolean budgetExhausted = false;
            for (Member member : swim.randomMembers(FANOUT, "")) {
                // Waiting loses nothing; a packet that is made and can't be sent has used up its
                // copies.
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
     * What a packet of news to one would take at most; while it is of members alone, far less than
     * the longest.
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

    /** Looks at all that is held against nodes; returns how many proxies there are. */
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

    /** Tells a few that this proxy goes; they tell the others. */
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

    // Packets that go out.

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
        // A confirmation rides on probes alone: a packet of news for each would multiply what a
        // flood of one costs.
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
        // Near the ceiling an answer without news beats none: one that wakes owes many at once, and
        // is accused for each that it can't send.
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
     * This proxy, and the receiver where it is suspected or taken for dead: it hears so first, so
     * that it can refute (Lifeguard's buddy system).
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
     * News of members, the least told first; to one that holds another table, a part of ours too.
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
            // It would not be believed yet: it is kept until it is, and a bare ping asks for what
            // it takes.
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

    // Packets that come in.

    /** A datagram, from whomever. */
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
        // What costs a verification is paid from a purse: that of members, or of strangers, whoever
        // the sender says it is.
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
     * Whether a packet of a true sender is fresh; one that is not proven so is answered with what
     * proves the next.
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
            // An answer to each would let anyone who recorded one packet have us send as many as he
            // likes.
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
            // A life that was replaced is alive: two processes have one name and one key.
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
        // Most first contacts are of two that know everyone already; and one that came back needs
        // the table of one, not of all.
        if (newcomer && now - session.tableSentAt >= TABLE_INTERVAL_MS) {
            session.tableSentAt = now;
            sendWholeTable(now, address, session.name, actions);
        }
    }

    /**
     * For a newcomer: everyone, and everything that is held against nodes, in as many packets as
     * that takes.
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
            // A name that no key belongs to is nobody's; an address is believed from its own mouth
            // alone.
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
                // A suspicion counts for one that holds a key; one that names nobody is the
                // sender's own.
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
     * A ping on another's behalf; its number is negative, so that no answer to one of ours is taken
     * for it.
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
