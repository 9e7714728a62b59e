package cacheproxy.membership;

import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.membership.Member.Status;
import cacheproxy.membership.Message.Heard;
import cacheproxy.membership.Message.Kind;
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
    public static final int HEADERS = 28;

    /** The longest packet, in bytes of UDP payload. */
    public static final int MOST_BYTES = Wire.MOST_BYTES;

    /** Waits between two rounds of news, and to how many each goes. */
    private static final double NEWS_MS = 50;

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
    private static final double KEPT_FOR_PROBES = 0.25;

    /**
     * A newcomer is given the whole table at once, no more often than this, and no sender is shown
     * its challenge more often.
     */
    private static final double TABLE_EVERY_MS = 5000;

    private static final double WELCOME_EVERY_MS = 100;
    private static final int TABLE_PACKETS = 24;

    /**
     * Part of the verifications that is for addresses that are no member's: more than some joins a
     * second are rubbish.
     */
    private static final double STRANGERS = 0.25;

    /** The most that goes out at once, a few packets. */
    private static final double MOST_BURST = 4096;

    private static final int RETIRED = 8;
    private static final int WINDOW = 64;

    /**
     * How far beyond what is known an incarnation may be by hearsay: higher ones could not be
     * refuted for long.
     */
    private static final int MOST_AHEAD = 64;

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
            int healthMost) {

        /** Lifeguard's and memberlist's highest score. */
        public static final int HEALTH_MOST = 8;
    }

    /** What an operator may want to know. */
    public enum What {
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
    public record Seen(Member member, double heardAgoMs, List<String> suspectedBy) {}

    /** Where the wishes go. */
    public interface Actions {
        void send(String address, byte[] packet);

        /** A quorum doubts a node, or no longer does. */
        void standing(String node, boolean doubted);

        void event(What what, String subject, String evidence);
    }

    /** Packets and bytes since the start. */
    public record Counts(
            long sent,
            long sentBytes,
            long received,
            long rubbish,
            long replayed,
            long verified,
            long heldBack) {}

    /** What shows that packets of a peer are of its present life. */
    private static final class Session {
        final String name;
        long nonce;
        long challenge;
        long pendingNonce;
        long pendingChallenge;
        long token;
        int highest;
        long window;

        /** Lives that were replaced, and the last counter that was seen of each. */
        final Map<Long, Integer> retired = new LinkedHashMap<>();

        int highestUnproven;
        double welcomedAt = Double.NEGATIVE_INFINITY;
        double tableAt = Double.NEGATIVE_INFINITY;
        boolean differs;

        /** It has shown a new life and waits for our grant to that. */
        boolean moved;

        Message unproven;

        Session(String name) {
            this.name = name;
        }

        private boolean pending(boolean welcome) {
            return pendingNonce != 0 && (welcome || moved || nonce == 0);
        }

        long grant(boolean welcome) {
            return pending(welcome) ? pendingChallenge : challenge;
        }

        long echo(boolean welcome) {
            return pending(welcome) ? pendingNonce : nonce;
        }

        /**
         * As IPsec's window (RFC 4303, appendix A2): each counter once, and none that is too old.
         */
        boolean fresh(int counter) {
            int ahead = counter - highest;
            if (ahead > 0) {
                window = ahead >= WINDOW ? 1 : window << ahead | 1;
                highest = counter;
                return true;
            }
            long bit = -ahead >= WINDOW ? 0 : 1L << -ahead;
            boolean fresh = bit != 0 && (window & bit) == 0;
            window |= bit;
            return fresh;
        }
    }

    /**
     * So much at once, and what a second allows beyond that spread over the second: no second at
     * all has more.
     */
    private static final class Bucket {
        final double burst;
        final double perS;
        double left;
        double at;

        Bucket(double most, double burst) {
            this.burst = burst;
            this.perS = most - burst;
            this.left = burst;
        }

        boolean has(double now, double amount, double kept) {
            left = Math.min(burst, left + Math.max(0, now - at) / 1000 * perS);
            at = now;
            return left - amount >= kept;
        }

        boolean take(double now, double amount, double kept) {
            boolean enough = has(now, amount, kept);
            left -= enough ? amount : 0;
            return enough;
        }
    }

    private static final class News {
        int left;

        News(int left) {
            this.left = left;
        }
    }

    /**
     * The newest statement of an observer, kept on when it has faded, so that it can't be heard a
     * second time.
     */
    private record Held(Statement statement, double madeAt, double until) {

        Heard told(double now) {
            return new Heard(statement, (int) (now - madeAt));
        }
    }

    private record Relay(String asker, int number, double until, double nackAt) {}

    private final Settings settings;
    private final Identity identity;
    private final SplittableRandom random;
    private final Swim swim;
    private final Evidence evidence = new Evidence();
    private final long nonce;
    private final Map<String, Session> sessions = new TreeMap<>();
    private final Map<String, Held> statements = new TreeMap<>();
    private final Map<String, News> memberNews = new LinkedHashMap<>();
    private final Map<String, News> statementNews = new LinkedHashMap<>();
    private final Map<Integer, Relay> relays = new LinkedHashMap<>();
    private final Bucket bytes;
    private final Bucket members;
    private final Bucket strangers;
    private int counter;
    private int numbers;
    private int relayed;
    private int slice;
    private double newsAt;
    private boolean unsaid;
    private boolean left;
    private long sent;
    private long sentBytes;
    private long received;
    private long rubbish;
    private long replayed;
    private long verified;
    private long heldBack;

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
                        settings.healthMost());
        this.bytes =
                new Bucket(settings.bytesPerS(), Math.min(MOST_BURST, settings.bytesPerS() / 2.0));
        this.members =
                new Bucket(
                        (1 - STRANGERS) * settings.verificationsPerS(),
                        (1 - STRANGERS) * settings.verificationsPerS() / 2);
        this.strangers =
                new Bucket(
                        STRANGERS * settings.verificationsPerS(),
                        STRANGERS * settings.verificationsPerS() / 2);
    }

    /** Everyone that is known, this proxy first. */
    public List<Member> table() {
        return swim.table();
    }

    /** Everyone that is known, this proxy first, with when each was heard and who suspects it. */
    public List<Seen> seen(double now) {
        return swim.table().stream()
                .map(
                        m ->
                                m.name().equals(identity.name())
                                        ? new Seen(m, 0, List.of())
                                        : new Seen(
                                                m,
                                                swim.heardAgoMs(now, m.name()),
                                                m.status() == Status.SUSPECT
                                                        ? swim.accusers(m.name())
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
    public boolean steppedDown() {
        return swim.isolated();
    }

    /** How often its process was seen to stand still. */
    public long stalls() {
        return swim.stalls();
    }

    /** How far a member is believed, 0 to 1; 1 for this proxy itself. */
    public double weight(double now, String name) {
        return name.equals(identity.name()) ? 1 : evidence.weight(now, name);
    }

    public Counts counts() {
        return new Counts(sent, sentBytes, received, rubbish, replayed, verified, heldBack);
    }

    // Events.

    public void start(double now, Actions out) {
        swim.start(now, wires(now, out));
    }

    /**
     * The nodes of the server list as they are now. What others said of a node before it was listed
     * here counts from now on.
     */
    public void nodes(double now, Collection<Node> list, Actions out) {
        Set<String> fresh = evidence.listed(list);
        for (Held h : statements.values()) {
            boolean counts = now < h.until() && !h.statement().observer().equals(identity.name());
            for (Claim c : counts && !fresh.isEmpty() ? h.statement().claims() : List.<Claim>of()) {
                if (fresh.contains(c.node())) {
                    evidence.hear(h.statement().observer(), c, h.madeAt());
                }
            }
        }
        review(now, out);
    }

    /** An own attempt goes to a node. */
    public void sent(double now, String node) {
        evidence.sent(now, node);
    }

    /** An own attempt at a node has ended. */
    public void ended(double now, String node, Outcome outcome, double elapsedMs) {
        evidence.ended(now, node, outcome, elapsedMs);
    }

    /** An own probe of a node has ended. */
    public void probed(double now, String node, Outcome outcome, Actions out) {
        evidence.probed(now, node, outcome);
        review(now, out);
    }

    public void tick(double now, Actions out) {
        swim.tick(now, wires(now, out));
        int proxies = review(now, out);
        relays.values().removeIf(r -> now >= r.until());
        for (Map.Entry<Integer, Relay> e : List.copyOf(relays.entrySet())) {
            Relay r = e.getValue();
            Member asker = now >= r.nackAt() ? swim.find(r.asker()) : null;
            if (asker != null) {
                relays.put(
                        e.getKey(),
                        new Relay(r.asker(), r.number(), r.until(), Double.POSITIVE_INFINITY));
                transmit(
                        now,
                        asker.address(),
                        asker.name(),
                        message(now, Kind.NACK, r.number(), null, asker.name()),
                        out);
            }
        }
        // One that is cut off sees every node fail alike: what it would say is of its own link.
        List<Claim> own = left || swim.isolated() ? null : evidence.toTell(now, proxies);
        if (own != null) {
            state(now, own);
        }
        if (now - newsAt >= NEWS_MS && unsaid) {
            newsAt = now;
            boolean waits = false;
            for (Member m : swim.some(FANOUT, "")) {
                // Waiting loses nothing; a packet that is made and can't be sent has used up its
                // copies.
                waits |= !bytes.has(now, newsBytes(m.name()) + HEADERS, keptForProbes());
                if (!waits) {
                    transmit(
                            now,
                            m.address(),
                            m.name(),
                            new Message(
                                    Kind.NEWS,
                                    0,
                                    null,
                                    swim.digest(),
                                    membersToTell(now, m.name()),
                                    toTell(now)),
                            out);
                }
            }
            unsaid = copiesLeft(statementNews) || waits && copiesLeft(memberNews);
        }
    }

    /**
     * What a packet of news to one would take at most; while it is of members alone, far less than
     * the longest.
     */
    private int newsBytes(String to) {
        if (copiesLeft(statementNews)) {
            return Wire.MOST_BYTES;
        }
        Session session = sessions.get(to);
        List<Member> tell =
                new ArrayList<>(
                        session != null && session.differs ? swim.table() : List.of(swim.self()));
        memberNews.keySet().stream().map(swim::find).filter(m -> m != null).forEach(tell::add);
        return Math.min(
                Wire.MOST_BYTES, Wire.MOST_ENVELOPE + tell.stream().mapToInt(Wire::bytes).sum());
    }

    private static boolean copiesLeft(Map<String, News> news) {
        return news.values().stream().anyMatch(n -> n.left > 0);
    }

    /** Looks at all that is held against nodes; returns how many proxies there are. */
    private int review(double now, Actions out) {
        int proxies = swim.others().size() + 1;
        for (Evidence.Change c : evidence.age(now, proxies)) {
            out.event(c.doubted() ? What.DOUBTED : What.CLEARED, c.node(), c.by());
            out.standing(c.node(), c.doubted());
        }
        return proxies;
    }

    /** Tells a few that this proxy goes; they tell the others. */
    public void leave(double now, Actions out) {
        left = true;
        swim.leave();
        for (Member m : swim.some(2 * FANOUT, "")) {
            transmit(
                    now,
                    m.address(),
                    m.name(),
                    new Message(Kind.NEWS, 0, null, swim.digest(), List.of(swim.self()), List.of()),
                    out);
        }
    }

    private void state(double now, List<Claim> claims) {
        Statement bare =
                new Statement(identity.name(), swim.self().incarnation(), ++numbers, claims, null);
        byte[] signed = Wire.signed(bare);
        Statement whole =
                new Statement(
                        bare.observer(),
                        bare.incarnation(),
                        bare.number(),
                        claims,
                        identity.sign(signed, signed.length));
        keep(now, whole, 0);
    }

    private void keep(double now, Statement s, double ageMs) {
        Held last =
                statements.put(
                        s.observer(), new Held(s, now - ageMs, now - ageMs + Evidence.FADE_MS));
        boolean same =
                last != null
                        && now < last.until()
                        && last.statement().accuses().equals(s.accuses());
        statementNews.put(s.observer(), new News(same ? RENEWAL_COPIES : STATEMENT_COPIES));
        unsaid = true;
    }

    // Packets that go out.

    private Swim.Out wires(double now, Actions out) {
        return new Swim.Out() {
            @Override
            public void ping(Member to, int number) {
                transmit(
                        now,
                        to.address(),
                        to.name(),
                        message(now, Kind.PING, number, null, to.name()),
                        out);
            }

            @Override
            public void ask(Member via, Member about, int number) {
                transmit(
                        now,
                        via.address(),
                        via.name(),
                        message(now, Kind.ASK, number, about, via.name()),
                        out);
            }

            @Override
            public void call(String address) {
                transmit(
                        now,
                        address,
                        "",
                        new Message(
                                Kind.PING, 0, null, swim.digest(), List.of(swim.self()), List.of()),
                        out);
            }

            @Override
            public void changed(Member before, Member after) {
                memberChanged(before, after, out);
            }

            @Override
            public void refuted(Member news) {
                out.event(
                        What.REFUTED,
                        identity.name(),
                        "said:"
                                + news.status().name().toLowerCase(Locale.ROOT)
                                + " by:"
                                + (news.by().isEmpty() ? "-" : news.by())
                                + " incarnation:"
                                + news.incarnation()
                                + " now:"
                                + swim.self().incarnation());
            }

            @Override
            public void stepped(boolean down, String evidenceOf) {
                out.event(down ? What.STEPPED_DOWN : What.STEPPED_UP, identity.name(), evidenceOf);
            }
        };
    }

    private void memberChanged(Member before, Member after, Actions out) {
        boolean confirmation =
                before != null
                        && before.status() == Status.SUSPECT
                        && after.status() == Status.SUSPECT
                        && before.incarnation() == after.incarnation();
        memberNews.put(after.name(), new News(2 + copies()));
        // A confirmation rides on probes alone: a packet of news for each would multiply what a
        // flood of one costs.
        unsaid |= !confirmation;
        if (after.name().equals(identity.name())) {
            return;
        }
        String evidenceOf = "incarnation:" + after.incarnation() + " address:" + after.address();
        evidence.suspected(after.name(), after.status() == Status.SUSPECT);
        if (after.status() == Status.ALIVE && (before == null || before.status() != Status.ALIVE)) {
            out.event(What.MEMBER, after.name(), evidenceOf);
        } else if (after.status() == Status.SUSPECT
                && (before == null || before.status() != Status.SUSPECT)) {
            out.event(What.SUSPECTED, after.name(), evidenceOf + " by:" + after.by());
        } else if (!after.present()) {
            evidence.gone(after.name());
            statements.computeIfPresent(
                    after.name(), (n, h) -> new Held(h.statement(), h.madeAt(), h.madeAt()));
            out.event(
                    after.status() == Status.LEFT ? What.LEFT : What.DIED,
                    after.name(),
                    evidenceOf);
        }
    }

    private int copies() {
        return Integer.SIZE - Integer.numberOfLeadingZeros(swim.others().size() + 1);
    }

    private Message message(double now, Kind kind, int number, Member about, String to) {
        // Near the ceiling an answer without news beats none: one that wakes owes many at once, and
        // is accused for each that it can't send.
        boolean tight = !bytes.has(now, Wire.MOST_BYTES / 2.0, 0);
        return tight
                ? new Message(kind, number, about, swim.digest(), itself(to), List.of())
                : new Message(
                        kind, number, about, swim.digest(), membersToTell(now, to), toTell(now));
    }

    /**
     * This proxy, and the receiver where it is suspected or taken for dead: it hears so first, so
     * that it can refute (Lifeguard's buddy system).
     */
    private List<Member> itself(String to) {
        List<Member> tell = new ArrayList<>();
        tell.add(swim.self());
        Member receiver = swim.find(to);
        if (receiver != null
                && (receiver.status() == Status.SUSPECT || receiver.status() == Status.DEAD)) {
            tell.add(receiver);
        }
        return tell;
    }

    /**
     * News of members, the least told first; to one that holds another table, a part of ours too.
     */
    private List<Member> membersToTell(double now, String to) {
        List<Member> tell = itself(to);
        memberNews.values().removeIf(n -> n.left <= 0);
        memberNews.entrySet().stream()
                .sorted(Comparator.comparingInt(e -> -e.getValue().left))
                .limit(16)
                .forEach(
                        e -> {
                            Member m =
                                    e.getKey().equals(identity.name())
                                            ? null
                                            : swim.find(e.getKey());
                            e.getValue().left--;
                            if (m != null) {
                                tell.add(m);
                            }
                        });
        Session session = sessions.get(to);
        if (session != null && session.differs) {
            session.differs = false;
            List<Member> table = swim.table();
            for (int i = 0; i < Math.min(24, table.size()); i++) {
                tell.add(table.get(slice++ % table.size()));
            }
        }
        return tell;
    }

    private List<Heard> toTell(double now) {
        List<Heard> tell = new ArrayList<>();
        statementNews.values().removeIf(n -> n.left <= 0);
        int room = Wire.MOST_BYTES * 2 / 3;
        for (Map.Entry<String, News> e :
                statementNews.entrySet().stream()
                        .sorted(Comparator.comparingInt(x -> -x.getValue().left))
                        .toList()) {
            Held h = statements.get(e.getKey());
            boolean stands = h != null && now < h.until();
            int size = stands ? Wire.bytes(h.statement()) : 0;
            if (!stands) {
                e.getValue().left = 0;
            } else if (size <= room) {
                room -= size;
                e.getValue().left--;
                tell.add(h.told(now));
            }
        }
        return tell;
    }

    private void transmit(double now, String address, String name, Message given, Actions out) {
        Session s = name.isEmpty() ? null : session(name);
        Message m = given;
        boolean welcome = m.kind() == Kind.WELCOME;
        if (s != null && s.token == 0 && !welcome) {
            // It would not be believed yet: it is kept until it is, and a bare ping asks for what
            // it takes.
            s.unproven = s.unproven == null || m.number() != 0 ? m : s.unproven;
            m = new Message(Kind.PING, 0, null, m.digest(), List.of(), List.of());
        }
        boolean probe = m.kind() != Kind.NEWS;
        var envelope =
                new Wire.Envelope(
                        identity.name(),
                        identity.keyId(),
                        nonce,
                        s == null ? 0 : s.echo(welcome),
                        s == null ? 0 : s.token,
                        s == null ? 0 : s.grant(welcome),
                        ++counter);
        ByteBuffer body = Wire.encode(envelope, m);
        int size = body.position() + Identity.SIGNATURE_BYTES;
        if (!bytes.take(now, size + HEADERS, probe ? 0 : keptForProbes())) {
            heldBack++;
            return;
        }
        byte[] signature = identity.sign(body.array(), body.position());
        byte[] packet = new byte[size];
        body.get(0, packet, 0, body.position());
        System.arraycopy(signature, 0, packet, body.position(), signature.length);
        sent++;
        sentBytes += size;
        out.send(address, packet);
    }

    private double keptForProbes() {
        return KEPT_FOR_PROBES * bytes.burst;
    }

    private Session session(String name) {
        return sessions.computeIfAbsent(name, Session::new);
    }

    // Packets that come in.

    /** A datagram, from whomever. */
    public void received(double now, String address, byte[] packet, Actions out) {
        received++;
        Wire.Packet p = left ? null : Wire.decode(packet);
        if (p == null
                || p.envelope().from().equals(identity.name()) && p.envelope().nonce() == nonce
                || !identity.knows(p.envelope().from(), p.envelope().keyId())) {
            rubbish++;
            return;
        }
        // What costs a verification is paid from a purse: that of members, or of strangers, whoever
        // the sender says it is.
        Member claimed = swim.find(p.envelope().from());
        boolean known =
                claimed != null && claimed.address().equals(address)
                        || settings.seeds().contains(address);
        if (!(known ? members : strangers).take(now, 1, 0)) {
            rubbish++;
            return;
        }
        verified++;
        if (!identity.verify(
                p.envelope().from(),
                p.envelope().keyId(),
                packet,
                p.signedBytes(),
                p.signature())) {
            rubbish++;
            return;
        }
        if (p.envelope().from().equals(identity.name())) {
            out.event(What.NAME_TWICE, identity.name(), "address:" + address);
            return;
        }
        admit(now, address, p, out);
    }

    /**
     * Whether a packet of a true sender is fresh; one that is not proven so is answered with what
     * proves the next.
     */
    private void admit(double now, String address, Wire.Packet p, Actions out) {
        Wire.Envelope e = p.envelope();
        Session s = session(e.from());
        boolean current = e.nonce() == s.nonce && s.nonce != 0;
        boolean seen =
                current
                        ? e.counter() <= Math.max(s.highest, s.highestUnproven)
                        : e.nonce() == s.pendingNonce
                                ? e.counter() <= s.highestUnproven
                                : e.counter() <= s.retired.getOrDefault(e.nonce(), -1);
        if (!current && e.nonce() != s.pendingNonce) {
            s.pendingNonce = e.nonce();
            s.pendingChallenge = random.nextLong() | 1;
            s.highestUnproven = 0;
        }
        boolean toUs = e.echo() == nonce;
        boolean welcome = p.message().kind() == Kind.WELCOME;
        if (welcome && !seen) {
            s.highestUnproven = e.counter();
            welcomed(now, address, s, e, out);
        } else if (!welcome && current && toUs && e.token() == s.challenge) {
            s.moved = false;
            s.pendingNonce = 0;
            if (s.fresh(e.counter())) {
                s.token = e.grant() != 0 ? e.grant() : s.token;
                s.unproven = null;
                accept(now, address, s, p.message(), out);
            } else {
                replayed++;
            }
        } else if (!welcome && !current && toUs && e.token() == s.pendingChallenge) {
            promote(now, address, s, p, out);
        } else if (seen) {
            // An answer to each would let anyone who recorded one packet have us send as many as he
            // likes.
            replayed++;
        } else {
            s.highestUnproven = e.counter();
            if (now - s.welcomedAt >= WELCOME_EVERY_MS) {
                s.welcomedAt = now;
                transmit(
                        now,
                        address,
                        e.from(),
                        new Message(Kind.WELCOME, 0, null, swim.digest(), List.of(), List.of()),
                        out);
            }
        }
    }

    private void welcomed(double now, String address, Session s, Wire.Envelope e, Actions out) {
        if (e.echo() != nonce || e.grant() == 0) {
            return;
        }
        s.moved = e.nonce() != s.nonce;
        s.token = e.grant();
        Message again = s.unproven == null ? message(now, Kind.PING, 0, null, s.name) : s.unproven;
        s.unproven = null;
        transmit(now, address, s.name, again, out);
    }

    private void promote(double now, String address, Session s, Wire.Packet p, Actions out) {
        Wire.Envelope e = p.envelope();
        if (s.retired.containsKey(e.nonce())) {
            // A life that was replaced is alive: two processes have one name and one key.
            out.event(What.NAME_TWICE, s.name, "address:" + address);
            s.pendingNonce = 0;
            return;
        }
        Member before = swim.find(s.name);
        boolean newcomer =
                (s.nonce != 0 || before == null || !before.present())
                        && p.message().digest() != swim.digest();
        if (s.nonce != 0) {
            s.retired.put(s.nonce, s.highest);
            if (s.retired.size() > RETIRED) {
                s.retired.remove(s.retired.keySet().iterator().next());
            }
            out.event(What.RESTARTED, s.name, "address:" + address);
        }
        s.nonce = e.nonce();
        s.challenge = s.pendingChallenge;
        s.pendingNonce = 0;
        s.moved = false;
        s.unproven = null;
        s.highest = e.counter();
        s.highestUnproven = 0;
        s.window = 1;
        s.token = e.grant() != 0 ? e.grant() : s.token;
        accept(now, address, s, p.message(), out);
        // Most first contacts are of two that know everyone already; and one that came back needs
        // the table of one, not of all.
        if (newcomer && now - s.tableAt >= TABLE_EVERY_MS) {
            s.tableAt = now;
            wholeTable(now, address, s.name, out);
        }
    }

    /**
     * For a newcomer: everyone, and everything that is held against nodes, in as many packets as
     * that takes.
     */
    private void wholeTable(double now, String address, String name, Actions out) {
        List<Heard> heard =
                new ArrayList<>(
                        statements.values().stream()
                                .filter(h -> now < h.until())
                                .map(h -> h.told(now))
                                .toList());
        List<Member> table = new ArrayList<>(swim.table());
        Member itself = swim.find(name);
        if (itself != null) {
            table.remove(itself);
            table.add(0, itself);
        }
        for (int i = 0; i < TABLE_PACKETS && !(heard.isEmpty() && table.isEmpty()); i++) {
            int room = Wire.MOST_BYTES - Wire.MOST_ENVELOPE;
            List<Heard> some = new ArrayList<>();
            while (!heard.isEmpty() && room >= Wire.bytes(heard.get(0).statement())) {
                room -= Wire.bytes(heard.get(0).statement());
                some.add(heard.remove(0));
            }
            List<Member> few = new ArrayList<>();
            while (!table.isEmpty() && room >= Wire.bytes(table.get(0))) {
                room -= Wire.bytes(table.get(0));
                few.add(table.remove(0));
            }
            transmit(
                    now,
                    address,
                    name,
                    new Message(Kind.NEWS, 0, null, swim.digest(), few, some),
                    out);
        }
    }

    private void accept(double now, String address, Session s, Message m, Actions out) {
        Swim.Out wires = wires(now, out);
        swim.heard(now, s.name);
        for (Member member : m.members()) {
            boolean itself = member.name().equals(s.name);
            // A name that no key belongs to is nobody's; an address is believed from its own mouth
            // alone.
            Member known = swim.find(member.name());
            boolean sane =
                    itself
                            || known == null
                            || member.incarnation() - known.incarnation() <= MOST_AHEAD;
            if (sane && identity.knows(member.name(), Identity.ANY_KEY)) {
                String where =
                        itself
                                ? address
                                : known != null && known.present()
                                        ? known.address()
                                        : member.address();
                // A suspicion counts for one that holds a key; one that names nobody is the
                // sender's own.
                String by =
                        member.status() != Status.SUSPECT
                                ? ""
                                : identity.knows(member.by(), Identity.ANY_KEY)
                                        ? member.by()
                                        : s.name;
                swim.take(
                        now,
                        new Member(member.name(), where, member.incarnation(), member.status(), by),
                        wires);
            }
        }
        for (Heard h : m.heard()) {
            stated(now, h, out);
        }
        s.differs = m.digest() != swim.digest();
        switch (m.kind()) {
            case PING ->
                    transmit(
                            now,
                            address,
                            s.name,
                            message(now, Kind.ACK, m.number(), null, s.name),
                            out);
            case ACK -> acknowledged(now, s.name, m, out);
            case ASK -> relay(now, s.name, m, out);
            case NACK -> swim.nacked(now, m.number(), wires);
            default -> {}
        }
    }

    private void acknowledged(double now, String from, Message m, Actions out) {
        Relay relay = m.number() < 0 ? relays.remove(m.number()) : null;
        Member asker = relay == null ? null : swim.find(relay.asker());
        if (asker != null) {
            Member about = swim.find(from);
            transmit(
                    now,
                    asker.address(),
                    asker.name(),
                    message(now, Kind.ACK, relay.number(), about, asker.name()),
                    out);
        } else {
            swim.answered(
                    now, m.number(), m.about() == null ? from : m.about().name(), wires(now, out));
        }
    }

    /**
     * A ping on another's behalf; its number is negative, so that no answer to one of ours is taken
     * for it.
     */
    private void relay(double now, String asker, Message m, Actions out) {
        Member target = m.about() == null ? null : swim.find(m.about().name());
        if (target != null && m.number() > 0) {
            int own = -(++relayed & Integer.MAX_VALUE);
            relays.put(
                    own,
                    new Relay(
                            asker,
                            m.number(),
                            now + Swim.PERIOD_MS * (1 + swim.health()),
                            now + Swim.NACK_SHARE * swim.answerMs()));
            transmit(
                    now,
                    target.address(),
                    target.name(),
                    message(now, Kind.PING, own, null, target.name()),
                    out);
        }
    }

    private void stated(double now, Heard h, Actions out) {
        Statement s = h.statement();
        Held held = statements.get(s.observer());
        Member observer = swim.find(s.observer());
        boolean late = h.ageMs() >= Evidence.FADE_MS;
        if (late
                || observer == null
                || !observer.present()
                || s.incarnation() < observer.incarnation() - 1
                || !s.newerThan(held == null ? null : held.statement())
                || !members.take(now, 1, 0)) {
            return;
        }
        verified++;
        if (!identity.verify(s.observer(), Wire.signed(s), s.signature())) {
            rubbish++;
            return;
        }
        List<String> distrusted = new ArrayList<>();
        evidence.stated(now, s.observer(), s.claims(), h.ageMs(), distrusted);
        distrusted.forEach(
                n ->
                        out.event(
                                What.DISTRUSTED,
                                n,
                                String.format(
                                        Locale.ROOT, "weight:%.2f", evidence.weight(now, n))));
        keep(now, s, h.ageMs());
        review(now, out);
    }
}
