package cacheproxy.lab.virtual;

import cacheproxy.epoch.Epochs;
import cacheproxy.epoch.Epochs.Epoch;
import cacheproxy.epoch.Message;
import cacheproxy.epoch.PolicyMember;
import cacheproxy.lab.Draw;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.faults.PeerLinks;
import cacheproxy.lab.faults.PolicyText;
import cacheproxy.lab.ledger.PolicyLedger;
import cacheproxy.lab.ledger.Rules.Violation;
import cacheproxy.lab.world.Installation;
import cacheproxy.raft.RaftLog;
import io.microraft.executor.RaftNodeExecutor;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * The proxies' policy in virtual time: each proxy's {@link PolicyMember}, a {@link RaftLog} where
 * it votes, the links between them, and what outlasts a process. The same code as in a proxy but
 * for its sockets and its file.
 */
final class VirtualPolicy {

    private static final double TICK_MS = 20;
    private static final double SLOW_MS = 400;

    /** One proxy's part in one life. */
    private final class Life implements PolicyMember.Out, RaftNodeExecutor {
        final int proxy;
        final Epochs epochs = new Epochs();
        final RaftLog log;
        final PolicyMember member;
        boolean over;

        Life(int proxy, int life) {
            this.proxy = proxy;
            boolean votes = proxy < voters.size();
            log =
                    votes
                            ? new RaftLog(
                                    new RaftLog.Parts(
                                            name(proxy),
                                            voters,
                                            epochs,
                                            this,
                                            agenda::now,
                                            experiment.seed() * 31 + proxy * 7919L + life,
                                            disks[proxy],
                                            disks[proxy].restored()),
                                    (to, json) ->
                                            carry(
                                                    proxy,
                                                    index(to),
                                                    l -> l.log.received(name(proxy), json)),
                                    this::committed)
                            : null;
            member = new PolicyMember(name(proxy), voters, log, epochs, kept[proxy], agenda.now());
            if (kept[proxy] != null) {
                ledger.applied(proxy, kept[proxy].number(), kept[proxy].content(), agenda.now());
            }
        }

        void start() {
            if (log != null) {
                log.start();
            }
            tick();
        }

        private void tick() {
            when(
                    () -> {
                        if (log != null) {
                            log.tick(agenda.now());
                        }
                        member.tick(agenda.now(), this);
                        agenda.in(TICK_MS, this::tick);
                    });
        }

        /** Now, or when the process goes on; never once it has ended. */
        void when(Runnable act) {
            if (agenda.now() < stoppedUntil[proxy]) {
                agenda.at(stoppedUntil[proxy], () -> when(act));
            } else if (!over) {
                act.run();
            }
        }

        private void committed() {
            if (member != null) {
                member.committed(agenda.now(), this);
            }
        }

        @Override
        public void send(String to, Message message) {
            carry(proxy, index(to), l -> l.member.received(agenda.now(), name(proxy), message, l));
        }

        @Override
        public void apply(Epoch epoch) {
            kept[proxy] = epoch;
            ledger.applied(proxy, epoch.number(), epoch.content(), agenda.now());
        }

        @Override
        public void event(PolicyMember.What what, long epoch, double atMs) {
            switch (what) {
                case CURRENT -> ledger.current(proxy, epoch, atMs);
                case NOT_CURRENT -> ledger.notCurrent(proxy, atMs);
                case FENCED -> ledger.fenced();
                default -> {}
            }
        }

        @Override
        public void execute(Runnable task) {
            agenda.in(0, () -> when(task));
        }

        @Override
        public void submit(Runnable task) {
            execute(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            agenda.in(unit.toMicros(delay) / 1000.0, () -> when(task));
        }
    }

    private interface Arrival {
        void at(Life life);
    }

    private final Experiment experiment;
    private final Installation plan;
    private final Agenda agenda;
    private final PeerLinks links;
    private final Consumer<String> mark;
    private final List<String> voters;
    private final Life[] lives;
    private final MemoryDisk[] disks;
    private final Epoch[] kept;
    private final double[] stoppedUntil;
    private final PolicyLedger ledger;
    private final RandomGenerator random;
    private int proposals;

    VirtualPolicy(
            Experiment experiment,
            Installation plan,
            Agenda agenda,
            PeerLinks links,
            Consumer<String> mark) {
        this.experiment = experiment;
        this.plan = plan;
        this.agenda = agenda;
        this.links = links;
        this.mark = mark;
        int count = experiment.proxies().count();
        voters =
                IntStream.range(0, experiment.policy().voters())
                        .mapToObj(VirtualPolicy::name)
                        .toList();
        lives = new Life[count];
        disks = new MemoryDisk[count];
        kept = new Epoch[count];
        stoppedUntil = new double[count];
        ledger = new PolicyLedger(experiment, links);
        random = Draw.generator(experiment.seed(), Draw.Stream.POLICY);
        Arrays.setAll(disks, i -> new MemoryDisk());
    }

    private static String name(int proxy) {
        return "proxy-" + proxy;
    }

    private static int index(String name) {
        return Integer.parseInt(name.substring("proxy-".length()));
    }

    private boolean on() {
        return experiment.policy().voters() > 0;
    }

    void born(int proxy, int life) {
        if (on()) {
            ledger.started(proxy);
            lives[proxy] = new Life(proxy, life);
            lives[proxy].start();
            if (agenda.now() > 0) {
                backSoon(proxy, agenda.now());
            }
        }
    }

    void died(int proxy) {
        if (lives[proxy] != null) {
            lives[proxy].over = true;
            disks[proxy].crash();
            ledger.ended(proxy, agenda.now());
        }
    }

    void stop(int proxy, double until) {
        stoppedUntil[proxy] = until;
        ledger.stopped(proxy, until);
        backSoon(proxy, until);
    }

    private void backSoon(int proxy, double at) {
        agenda.at(at, () -> ledger.back(proxy, agenda.now()));
    }

    /**
     * A stream between two proxies: what is cut off is lost with its connection, and a lossy link
     * is slow.
     */
    private void carry(int from, int to, Arrival arrival) {
        double now = agenda.now();
        if (links.cut(from, to, now) || links.cut(to, from, now)) {
            return;
        }
        double late = links.lossy(now) ? random.nextDouble() * SLOW_MS : 0;
        agenda.in(
                plan.delayMs(from, plan.proxyZones().get(to)) + late,
                () -> {
                    Life life = lives[to];
                    if (life != null) {
                        life.when(() -> arrival.at(life));
                    }
                });
    }

    void begin(Fault fault) {
        if (!on()) {
            return;
        }
        if (fault.what() == Fault.Kind.POLICY_PROPOSE) {
            IntStream.range(0, lives.length)
                    .filter(i -> fault.strikes("proxy-", i, lives.length))
                    .forEach(this::propose);
        } else {
            IntStream.range(0, lives.length).forEach(i -> backSoon(i, fault.endMs()));
        }
    }

    private void propose(int proxy) {
        Life life = lives[proxy];
        if (life.over) {
            return;
        }
        String content = PolicyText.number(++proposals);
        ledger.proposed(content, agenda.now());
        life.when(
                () ->
                        life.member.propose(
                                agenda.now(),
                                content,
                                life,
                                a -> {
                                    mark.accept(name(proxy) + " proposed: " + a.text());
                                    ledger.answered(content, a.ending(), agenda.now());
                                }));
    }

    /** The proxy that leads the log, or -1. */
    int leader() {
        return IntStream.range(0, voters.size())
                .filter(i -> lives[i] != null && !lives[i].over && lives[i].log.led())
                .findFirst()
                .orElse(-1);
    }

    Map<String, Double> figures() {
        return on() ? ledger.figures() : Map.of();
    }

    List<Violation> violations() {
        return on() ? ledger.violations() : List.of();
    }
}
