package cacheproxy.lab.virtual;

import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.lab.Draw;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.faults.Fault.Kind;
import cacheproxy.lab.faults.PeerLinks;
import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.ledger.Ledger.Attempt;
import cacheproxy.lab.ledger.Membership;
import cacheproxy.lab.world.Installation;
import cacheproxy.membership.Gossip;
import cacheproxy.membership.Gossip.What;
import cacheproxy.membership.Member;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * The proxies' gossip in virtual time: each proxy's {@link Gossip}, the links between them, clocks
 * that are wrong, and liars. A liar runs the same code on what it pretends to have seen, so that
 * its lies are as well signed as the truth.
 */
final class VirtualPeers {

    private static final double HOUR_MS = 3_600_000;
    private static final double MS_PER_S = 1000;
    private static final int VERIFICATIONS_PER_S = 400;
    private static final int MOST_MARKS = 100;

    /** One proxy's gossip in one life. */
    private final class Voice implements Gossip.Actions {
        final VirtualProxy proxy;
        final Gossip gossip;
        final double bornAt = agenda.now();
        List<Node> nodes = List.of();
        boolean over;

        Voice(VirtualProxy proxy, int life) {
            this.proxy = proxy;
            List<String> seeds = new ArrayList<>();
            for (int i = 0; i < Math.min(PeerLinks.SEEDS, experiment.proxies().count()); i++) {
                seeds.add(address(i));
            }
            gossip =
                    new Gossip(
                            new Gossip.Settings(
                                    address(proxy.index),
                                    seeds,
                                    experiment.gossip().bytesPerS(),
                                    VERIFICATIONS_PER_S,
                                    experiment.gossip().health() ? Gossip.Settings.HEALTH_MOST : 0),
                            new HashIdentity("proxy-" + proxy.index, Set.of()),
                            experiment.seed() * 131 + proxy.index * 7919L + life);
        }

        void tick() {
            if (agenda.now() < stoppedUntil[proxy.index]) {
                agenda.at(stoppedUntil[proxy.index], this::tick);
            } else if (!over) {
                gossip.tick(clock(proxy.index), this);
                agenda.in(Gossip.TICK_MS, this::tick);
            }
        }

        @Override
        public void send(String to, byte[] packet) {
            int second = (int) (agenda.now() / MS_PER_S);
            if (second < bytes[proxy.index].length) {
                bytes[proxy.index][second] += packet.length + Gossip.HEADERS;
            }
            carry(proxy.index, Integer.parseInt(to.substring(1)), packet);
        }

        @Override
        public void standing(String node, boolean doubted) {
            if (doubted) {
                doubts++;
                falseDoubts += bad.test(node) ? 0 : 1;
                firstDoubt.putIfAbsent(node, agenda.now());
                lastDoubt.merge(node, agenda.now(), Math::max);
            }
            proxy.standing(node, doubted);
        }

        @Override
        public void event(What what, String subject, String evidence) {
            events.merge(what, 1, Integer::sum);
            membership.saw(
                    proxy.index,
                    what.name().toLowerCase(Locale.ROOT),
                    subject,
                    evidence,
                    agenda.now());
            if (what == What.DIED && killed.containsKey(subject)) {
                known.merge(subject, agenda.now() - killed.get(subject), Math::max);
            }
            if (what != What.MEMBER && marks++ < MOST_MARKS) {
                mark.accept(
                        "proxy-"
                                + proxy.index
                                + " "
                                + what.name().toLowerCase(Locale.ROOT)
                                + " "
                                + subject
                                + " "
                                + evidence);
            }
        }
    }

    private final Experiment experiment;
    private final Installation plan;
    private final Agenda agenda;
    private final Consumer<String> mark;
    private final Predicate<String> bad;
    private final RandomGenerator random;
    private final Voice[] voices;
    private final int[][] bytes;

    /**
     * Of each proxy's clock: what it showed when it last changed its pace, when that was, and the
     * pace.
     */
    private final double[] shown;

    private final double[] changedAt;
    private final double[] pace;
    private final PeerLinks links;
    private final double[] stoppedUntil;
    private final Membership membership;
    private final Kind[] lies;
    private final Map<String, Double> killed = new HashMap<>();
    private final Map<String, Double> known = new HashMap<>();
    private final Map<String, Double> firstDoubt = new HashMap<>();
    private final Map<String, Double> lastDoubt = new HashMap<>();
    private final Map<What, Integer> events = new HashMap<>();
    private int doubts;
    private int falseDoubts;
    private int marks;
    private double learnedMs;

    /** {@code bad} tells whether a node truly is dead or silent now. */
    VirtualPeers(
            Experiment experiment,
            Installation plan,
            Agenda agenda,
            Consumer<String> mark,
            Predicate<String> bad) {
        this.experiment = experiment;
        this.plan = plan;
        this.agenda = agenda;
        this.mark = mark;
        this.bad = bad;
        this.random = Draw.generator(experiment.seed(), Draw.Stream.GOSSIP);
        int count = experiment.proxies().count();
        voices = new Voice[count];
        bytes = new int[count][(int) Math.ceil(experiment.durationS())];
        shown = new double[count];
        changedAt = new double[count];
        pace = new double[count];
        Arrays.fill(pace, 1);
        links = new PeerLinks(count, random);
        lies = new Kind[count];
        stoppedUntil = new double[count];
        membership = new Membership(experiment);
    }

    PeerLinks links() {
        return links;
    }

    private static String address(int proxy) {
        return "p" + proxy;
    }

    private double clock(int proxy) {
        return shown[proxy] + (agenda.now() - changedAt[proxy]) * pace[proxy];
    }

    /** A proxy starts, knowing these nodes; without gossip nothing of it is made. */
    void born(VirtualProxy proxy, int life, Supplier<List<Node>> nodes) {
        if (experiment.gossip().enabled()) {
            Voice voice = new Voice(proxy, life);
            voices[proxy.index] = voice;
            listed(proxy.index, nodes);
            voice.gossip.start(clock(proxy.index), voice);
            agenda.in(random.nextDouble() * Gossip.TICK_MS, voice::tick);
            if (voice.bornAt > 0) {
                membership.started(proxy.index, agenda.now());
                agenda.in(1, () -> learned(voice));
            }
        }
    }

    /** Looks until a proxy that came back knows all that are there. */
    private void learned(Voice voice) {
        long alive = Arrays.stream(voices).filter(v -> v != null && !v.over).count();
        if (voice.gossip.table().stream().filter(Member::present).count() >= alive) {
            learnedMs = Math.max(learnedMs, agenda.now() - voice.bornAt);
        } else if (!voice.over) {
            agenda.in(10, () -> learned(voice));
        }
    }

    void died(int proxy) {
        if (voices[proxy] != null) {
            voices[proxy].over = true;
            killed.put("proxy-" + proxy, agenda.now());
            membership.ended(proxy, agenda.now());
        }
    }

    void listed(int proxy, Supplier<List<Node>> nodes) {
        if (voices[proxy] != null) {
            voices[proxy].nodes = nodes.get();
            voices[proxy].gossip.nodes(clock(proxy), voices[proxy].nodes, voices[proxy]);
        }
    }

    void seen(VirtualProxy proxy, String node, Outcome outcome, double elapsedMs, boolean probe) {
        Voice voice = honest(proxy);
        if (voice != null && probe) {
            voice.gossip.probed(clock(proxy.index), node, outcome, voice);
        } else if (voice != null) {
            voice.gossip.ended(clock(proxy.index), node, outcome, elapsedMs);
        }
    }

    void sent(VirtualProxy proxy, String node) {
        Voice voice = honest(proxy);
        if (voice != null) {
            voice.gossip.sent(clock(proxy.index), node);
        }
    }

    /**
     * The voice of a proxy's present life; null without gossip, and where it tells lies instead of
     * what it sees.
     */
    private Voice honest(VirtualProxy proxy) {
        Voice voice = voices[proxy.index];
        return voice != null && voice.proxy == proxy && lies[proxy.index] == null ? voice : null;
    }

    private void carry(int from, int to, byte[] packet) {
        double delay = plan.delayMs(from, plan.proxyZones().get(to));
        for (double late : links.copies(from, to, agenda.now())) {
            agenda.in(delay + late, () -> arrive(from, to, packet));
        }
    }

    /**
     * A process that stands still finds in its socket, when it goes on, what has come meanwhile.
     */
    private void arrive(int from, int to, byte[] packet) {
        Voice voice = voices[to];
        if (agenda.now() < stoppedUntil[to]) {
            agenda.at(stoppedUntil[to], () -> arrive(from, to, packet));
        } else if (voice != null && !voice.over) {
            voice.gossip.received(clock(to), address(from), packet, voice);
        }
    }

    void stop(int proxy, double until) {
        stoppedUntil[proxy] = until;
    }

    /** Begins a fault of the proxies' gossip. */
    void begin(Fault fault) {
        if (links.begin(fault)) {
            return;
        }
        for (int i = 0; i < voices.length; i++) {
            int proxy = i;
            boolean struck = !fault.target().isEmpty() && fault.strikes("proxy-", i, voices.length);
            switch (fault.what()) {
                case PROXY_CLOCK -> {
                    if (struck) {
                        set(i, HOUR_MS, fault.factor());
                        agenda.at(fault.endMs(), () -> set(proxy, 0, 1));
                    }
                }
                case LIAR_ACCUSES, LIAR_PRAISES, LIAR_FLIPS -> {
                    if (struck) {
                        lies[i] = fault.what();
                        lie(i, fault);
                        agenda.at(fault.endMs(), () -> lies[proxy] = null);
                    }
                }
                default -> {}
            }
        }
    }

    private void set(int proxy, double aheadMs, double nextPace) {
        shown[proxy] = clock(proxy) + aheadMs;
        changedAt[proxy] = agenda.now();
        pace[proxy] = nextPace;
    }

    private void lie(int proxy, Fault fault) {
        Voice voice = voices[proxy];
        if (lies[proxy] == null || !fault.at(agenda.now())) {
            return;
        }
        boolean accuses = fault.accuses(agenda.now());
        if (voice != null && !voice.over) {
            for (Node n : voice.nodes) {
                voice.gossip.ended(clock(proxy), n.id(), accuses ? Outcome.TIMEOUT : Outcome.OK, 1);
            }
        }
        agenda.in(Fault.LIE_EVERY_MS, () -> lie(proxy, fault));
    }

    /** What it came to; empty without gossip, but for where requests went. */
    Map<String, Double> figures(List<VirtualProxy> alive, Ledger ledger) {
        Map<String, Double> figures = new TreeMap<>();
        if (plan.nodes().size() <= 20) {
            plan.nodes().forEach(n -> figures.put("sent." + n.id(), 0.0));
            ledger.attempts().stream()
                    .filter(a -> !a.origin)
                    .map((Attempt a) -> a.machine)
                    .forEach(m -> figures.merge("sent." + m, 1.0, Double::sum));
        }
        if (!experiment.gossip().enabled()) {
            return figures;
        }
        double seconds = experiment.durationS();
        figures.put(
                "gossip.bytes_per_s",
                Arrays.stream(bytes)
                        .mapToDouble(b -> Arrays.stream(b).sum() / seconds)
                        .max()
                        .orElse(0));
        figures.put(
                "gossip.bytes_per_s_peak",
                (double) Arrays.stream(bytes).flatMapToInt(Arrays::stream).max().orElse(0));
        figures.put("gossip.doubts", (double) doubts);
        figures.put("gossip.false_doubts", (double) falseDoubts);
        figures.put("gossip.distrusts", (double) events.getOrDefault(What.DISTRUSTED, 0));
        figures.put(
                "gossip.held_back",
                Arrays.stream(voices).mapToDouble(v -> v.gossip.counts().heldBack()).sum());
        figures.put(
                "gossip.replays_refused",
                Arrays.stream(voices).mapToDouble(v -> v.gossip.counts().replayed()).sum());
        figures.put(
                "gossip.verified_per_s",
                Arrays.stream(voices)
                        .mapToDouble(
                                v ->
                                        v.gossip.counts().verified()
                                                / Math.max(1, (agenda.now() - v.bornAt) / MS_PER_S))
                        .max()
                        .orElse(0));
        figures.put(
                "gossip.death_known_ms",
                known.values().stream().mapToDouble(d -> d).max().orElse(0));
        figures.put(
                "gossip.doubt_spread_ms",
                firstDoubt.keySet().stream()
                        .mapToDouble(n -> lastDoubt.get(n) - firstDoubt.get(n))
                        .max()
                        .orElse(0));
        figures.put("gossip.learned_ms_max", learnedMs);
        figures.putAll(membership.figures());
        int most = alive.size();
        List<String> present = alive.stream().map(p -> "proxy-" + p.index).toList();
        double least = most;
        for (VirtualProxy p : alive) {
            List<String> seen =
                    voices[p.index].gossip.table().stream()
                            .filter(Member::present)
                            .map(Member::name)
                            .toList();
            least = Math.min(least, present.stream().filter(seen::contains).count());
            figures.merge(
                    "gossip.ghosts",
                    (double) seen.stream().filter(n -> !present.contains(n)).count(),
                    Math::max);
        }
        figures.put("gossip.known_share", most == 0 ? 1 : least / most);
        return figures;
    }
}
