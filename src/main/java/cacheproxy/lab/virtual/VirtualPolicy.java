package cacheproxy.lab.virtual;

import cacheproxy.epoch.Epochs;
import cacheproxy.epoch.Epochs.Epoch;
import cacheproxy.epoch.Message;
import cacheproxy.epoch.PolicyMember;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ScenarioGenerator;
import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.faults.PeerLinkFaults;
import cacheproxy.lab.faults.ProposedPolicies;
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
 * The proxies' policy log in virtual time: each proxy's {@link PolicyMember}, a {@link RaftLog} for
 * each voter, the links between the proxies, and the state that survives a restart. Apart from
 * sockets and files this is the code that a real proxy runs.
 */
final class VirtualPolicy {

    private static final double TICK_INTERVAL_MS = 20;
    private static final double MAX_LOSSY_DELAY_MS = 400;

    /** The policy member of one proxy process, from its start to its end. */
    private final class PolicyInstance implements PolicyMember.Out, RaftNodeExecutor {
        final int proxy;
        final Epochs epochs = new Epochs();
        final RaftLog log;
        final PolicyMember member;
        boolean ended;

        PolicyInstance(int proxy, int incarnation) {
            this.proxy = proxy;
            boolean isVoter = proxy < voters.size();
            log =
                    isVoter
                            ? new RaftLog(
                                    new RaftLog.Parts(
                                            name(proxy),
                                            voters,
                                            epochs,
                                            this,
                                            eventQueue::now,
                                            experiment.seed() * 31 + proxy * 7919L + incarnation,
                                            stores[proxy],
                                            stores[proxy].restoredState()),
                                    (to, json) ->
                                            transmit(
                                                    proxy,
                                                    index(to),
                                                    instance ->
                                                            instance.log.received(
                                                                    name(proxy), json)),
                                    this::entriesCommitted)
                            : null;
            member =
                    new PolicyMember(
                            name(proxy),
                            voters,
                            log,
                            epochs,
                            storedEpochs[proxy],
                            eventQueue.now());
            if (storedEpochs[proxy] != null) {
                ledger.epochApplied(
                        proxy,
                        storedEpochs[proxy].number(),
                        storedEpochs[proxy].content(),
                        eventQueue.now());
            }
        }

        void start() {
            if (log != null) {
                log.start();
            }
            tick();
        }

        private void tick() {
            whenRunning(
                    () -> {
                        if (log != null) {
                            log.tick(eventQueue.now());
                        }
                        member.tick(eventQueue.now(), this);
                        eventQueue.scheduleIn(TICK_INTERVAL_MS, this::tick);
                    });
        }

        /**
         * Runs an action now, or when the process resumes if it is paused; never after the process
         * has ended.
         */
        void whenRunning(Runnable action) {
            if (eventQueue.now() < pausedUntil[proxy]) {
                eventQueue.scheduleAt(pausedUntil[proxy], () -> whenRunning(action));
            } else if (!ended) {
                action.run();
            }
        }

        private void entriesCommitted() {
            if (member != null) {
                member.entriesCommitted(eventQueue.now(), this);
            }
        }

        @Override
        public void send(String to, Message message) {
            transmit(
                    proxy,
                    index(to),
                    instance ->
                            instance.member.received(
                                    eventQueue.now(), name(proxy), message, instance));
        }

        @Override
        public void apply(Epoch epoch) {
            storedEpochs[proxy] = epoch;
            ledger.epochApplied(proxy, epoch.number(), epoch.content(), eventQueue.now());
        }

        @Override
        public void event(PolicyMember.PolicyEvent event, long epoch, double atMs) {
            switch (event) {
                case CURRENT -> ledger.becameCurrent(proxy, epoch, atMs);
                case NOT_CURRENT -> ledger.ceasedCurrent(proxy, atMs);
                case FENCED -> ledger.countFence();
                default -> {}
            }
        }

        @Override
        public void execute(Runnable task) {
            eventQueue.scheduleIn(0, () -> whenRunning(task));
        }

        @Override
        public void submit(Runnable task) {
            execute(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            eventQueue.scheduleIn(unit.toMicros(delay) / 1000.0, () -> whenRunning(task));
        }
    }

    /** Delivers a message to the receiving process. */
    private interface Delivery {
        void deliverTo(PolicyInstance instance);
    }

    private final Experiment experiment;
    private final Installation plan;
    private final EventQueue eventQueue;
    private final PeerLinkFaults links;
    private final Consumer<String> mark;
    private final List<String> voters;
    private final PolicyInstance[] instances;
    private final InMemoryRaftStore[] stores;
    private final Epoch[] storedEpochs;
    private final double[] pausedUntil;
    private final PolicyLedger ledger;
    private final RandomGenerator random;
    private int proposalCount;

    VirtualPolicy(
            Experiment experiment,
            Installation plan,
            EventQueue eventQueue,
            PeerLinkFaults links,
            Consumer<String> mark) {
        this.experiment = experiment;
        this.plan = plan;
        this.eventQueue = eventQueue;
        this.links = links;
        this.mark = mark;
        int count = experiment.proxies().count();
        voters =
                IntStream.range(0, experiment.policy().voters())
                        .mapToObj(VirtualPolicy::name)
                        .toList();
        instances = new PolicyInstance[count];
        stores = new InMemoryRaftStore[count];
        storedEpochs = new Epoch[count];
        pausedUntil = new double[count];
        ledger = new PolicyLedger(experiment, links);
        random =
                ScenarioGenerator.randomGenerator(
                        experiment.seed(), ScenarioGenerator.RandomStream.POLICY);
        Arrays.setAll(stores, i -> new InMemoryRaftStore());
    }

    private static String name(int proxy) {
        return "proxy-" + proxy;
    }

    private static int index(String name) {
        return Integer.parseInt(name.substring("proxy-".length()));
    }

    private boolean isEnabled() {
        return experiment.policy().voters() > 0;
    }

    void proxyStarted(int proxy, int incarnation) {
        if (isEnabled()) {
            ledger.processStarted(proxy);
            instances[proxy] = new PolicyInstance(proxy, incarnation);
            instances[proxy].start();
            if (eventQueue.now() > 0) {
                scheduleFaultEnded(proxy, eventQueue.now());
            }
        }
    }

    void proxyEnded(int proxy) {
        if (instances[proxy] != null) {
            instances[proxy].ended = true;
            stores[proxy].crash();
            ledger.processEnded(proxy, eventQueue.now());
        }
    }

    void pause(int proxy, double until) {
        pausedUntil[proxy] = until;
        ledger.processPaused(proxy, until);
        scheduleFaultEnded(proxy, until);
    }

    /** Notifies the ledger at a time that a fault of the proxy or of its links has ended. */
    private void scheduleFaultEnded(int proxy, double at) {
        eventQueue.scheduleAt(at, () -> ledger.faultEnded(proxy, eventQueue.now()));
    }

    /**
     * Carries a message over a TCP connection between two proxies. A cut in either direction loses
     * the message together with its connection; packet loss only delays it.
     */
    private void transmit(int from, int to, Delivery delivery) {
        double now = eventQueue.now();
        if (links.isCut(from, to, now) || links.isCut(to, from, now)) {
            return;
        }
        double extraDelayMs = links.isLossy(now) ? random.nextDouble() * MAX_LOSSY_DELAY_MS : 0;
        eventQueue.scheduleIn(
                plan.delayMs(from, plan.proxyZones().get(to)) + extraDelayMs,
                () -> {
                    PolicyInstance instance = instances[to];
                    if (instance != null) {
                        instance.whenRunning(() -> delivery.deliverTo(instance));
                    }
                });
    }

    void startFault(Fault fault) {
        if (!isEnabled()) {
            return;
        }
        if (fault.kind() == Fault.Kind.POLICY_PROPOSE) {
            IntStream.range(0, instances.length)
                    .filter(i -> fault.affects("proxy-", i, instances.length))
                    .forEach(this::propose);
        } else {
            IntStream.range(0, instances.length).forEach(i -> scheduleFaultEnded(i, fault.endMs()));
        }
    }

    private void propose(int proxy) {
        PolicyInstance instance = instances[proxy];
        if (instance.ended) {
            return;
        }
        String content = ProposedPolicies.content(++proposalCount);
        ledger.proposalSent(content, eventQueue.now());
        instance.whenRunning(
                () ->
                        instance.member.propose(
                                eventQueue.now(),
                                content,
                                instance,
                                result -> {
                                    mark.accept(name(proxy) + " proposed: " + result.text());
                                    ledger.proposalAnswered(
                                            content, result.status(), eventQueue.now());
                                }));
    }

    /** Returns the index of the proxy that leads the policy log, or -1 if there is none. */
    int leader() {
        return IntStream.range(0, voters.size())
                .filter(
                        i ->
                                instances[i] != null
                                        && !instances[i].ended
                                        && instances[i].log.isLeadershipConfirmed())
                .findFirst()
                .orElse(-1);
    }

    Map<String, Double> figures() {
        return isEnabled() ? ledger.figures() : Map.of();
    }

    List<Violation> violations() {
        return isEnabled() ? ledger.violations() : List.of();
    }
}
