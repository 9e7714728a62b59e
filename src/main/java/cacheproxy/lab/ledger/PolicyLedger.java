package cacheproxy.lab.ledger;

import cacheproxy.epoch.Message;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.faults.PeerLinkFaults;
import cacheproxy.lab.ledger.Rules.Rule;
import cacheproxy.lab.ledger.Rules.Violation;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Records which policy epochs proxies ran, when they considered themselves current, and the outcome
 * of each proposal. Times are milliseconds of the run on one clock. The end of a proxy's current
 * state is recorded with the time at which it ended, even if it is reported later. Thread safe:
 * drivers may report from several threads.
 */
public final class PolicyLedger {

    /** An interval in which a proxy considered itself current at an epoch. */
    private static final class CurrentSpan {
        final int proxy;
        final long epoch;
        final double from;
        double to = Double.POSITIVE_INFINITY;

        CurrentSpan(int proxy, long epoch, double from) {
            this.proxy = proxy;
            this.epoch = epoch;
            this.from = from;
        }
    }

    private static final class Proposal {
        final double proposedAt;
        double answeredAt = Double.NaN;
        Message.ProposalStatus status = Message.ProposalStatus.UNKNOWN;

        Proposal(double proposedAt) {
            this.proposedAt = proposedAt;
        }

        boolean refused() {
            return status == Message.ProposalStatus.REFUSED
                    || status == Message.ProposalStatus.NO_MAJORITY;
        }
    }

    private final int proxies;
    private final List<CurrentSpan> spans = new ArrayList<>();
    private final CurrentSpan[] openSpans;
    private final long[] runningEpochs;
    private final boolean[] alive;
    private final double[] pausedUntil;
    private final int voters;
    private final PeerLinkFaults links;
    private final Map<Long, String> contentByEpoch = new TreeMap<>();
    private final Map<String, Proposal> proposals = new TreeMap<>();
    private final Map<Long, Map<Integer, Double>> appliedAt = new TreeMap<>();
    private final double[] faultEndedAt;
    private final List<Double> recoveryMs = new ArrayList<>();
    private final List<Violation> violations = new ArrayList<>();
    private int fences;

    /** {@code links} are the faults on the links between the proxies. */
    public PolicyLedger(Experiment experiment, PeerLinkFaults links) {
        this.links = links;
        proxies = experiment.proxies().count();
        voters = experiment.policy().voters();
        pausedUntil = new double[proxies];
        openSpans = new CurrentSpan[proxies];
        runningEpochs = new long[proxies];
        alive = new boolean[proxies];
        faultEndedAt = new double[proxies];
        Arrays.fill(alive, true);
        Arrays.fill(faultEndedAt, Double.NaN);
    }

    /** Records that a proxy's process has ended. */
    public synchronized void processEnded(int proxy, double at) {
        alive[proxy] = false;
        endSpan(proxy, at);
        faultEndedAt[proxy] = Double.NaN;
    }

    /** Records that a proxy's process has started; it will report the epoch stored on its disk. */
    public synchronized void processStarted(int proxy) {
        alive[proxy] = true;
    }

    /** Records that a proxy's process is paused until a time. */
    public synchronized void processPaused(int proxy, double until) {
        pausedUntil[proxy] = until;
    }

    /**
     * Records the end of a fault that may have isolated a proxy. If the proxy reaches a majority of
     * voters, the time until it is current again is measured.
     */
    public synchronized void faultEnded(int proxy, double at) {
        long reachableVoters =
                IntStream.range(0, voters)
                        .filter(
                                v ->
                                        alive[v]
                                                && at >= pausedUntil[v]
                                                && !links.isCut(v, proxy, at)
                                                && !links.isCut(proxy, v, at))
                        .count();
        if (alive[proxy] && openSpans[proxy] == null && 2 * reachableVoters > voters) {
            faultEndedAt[proxy] = at;
        }
    }

    /** Records a proposal; it is identified by its content, which is unique. */
    public synchronized void proposalSent(String content, double at) {
        proposals.put(content, new Proposal(at));
    }

    /** Records the answer to a proposal. */
    public synchronized void proposalAnswered(
            String content, Message.ProposalStatus status, double at) {
        Proposal proposal = proposals.get(content);
        proposal.answeredAt = at;
        proposal.status = status;
    }

    /** Records that a proxy runs an epoch; {@code content} is null if it is unknown. */
    public synchronized void epochApplied(int proxy, long epoch, String content, double at) {
        String earlier = content == null ? null : contentByEpoch.putIfAbsent(epoch, content);
        if (earlier != null && !earlier.equals(content)) {
            addViolation(
                    proxy, at, "runs epoch " + epoch + " with other content than another proxy");
        }
        if (epoch > 1 && !contentByEpoch.containsKey(epoch - 1)) {
            addViolation(proxy, at, "runs epoch " + epoch + ", but no proxy ran " + (epoch - 1));
        }
        if (epoch < runningEpochs[proxy]
                && appliedAt.getOrDefault(epoch, Map.of()).containsKey(proxy)) {
            addViolation(
                    proxy, at, "went back from epoch " + runningEpochs[proxy] + " to " + epoch);
        }
        endSpan(proxy, at);
        runningEpochs[proxy] = epoch;
        appliedAt.computeIfAbsent(epoch, e -> new HashMap<>()).putIfAbsent(proxy, at);
    }

    /** Records that a proxy considers itself current at an epoch. */
    public synchronized void becameCurrent(int proxy, long epoch, double at) {
        endSpan(proxy, at);
        openSpans[proxy] = new CurrentSpan(proxy, epoch, at);
        spans.add(openSpans[proxy]);
        if (!Double.isNaN(faultEndedAt[proxy])) {
            recoveryMs.add(at - faultEndedAt[proxy]);
            faultEndedAt[proxy] = Double.NaN;
        }
    }

    /** Records that a proxy no longer considers itself current, since a time. */
    public synchronized void ceasedCurrent(int proxy, double at) {
        endSpan(proxy, at);
    }

    public synchronized void countFence() {
        fences++;
    }

    private void endSpan(int proxy, double at) {
        if (openSpans[proxy] != null) {
            openSpans[proxy].to = Math.min(openSpans[proxy].to, at);
            openSpans[proxy] = null;
        }
    }

    private void addViolation(int proxy, double at, String proof) {
        violations.add(new Violation(Rule.POLICY, "proxy-" + proxy, at, proof));
    }

    /**
     * Returns all violations, among them proxies that considered themselves current at different
     * epochs at the same time, and rejected proposals that became effective.
     */
    public synchronized List<Violation> violations() {
        List<Violation> all = new ArrayList<>(violations);
        for (int i = 0; i < spans.size(); i++) {
            for (int j = i + 1; j < spans.size(); j++) {
                CurrentSpan first = spans.get(i);
                CurrentSpan second = spans.get(j);
                double from = Math.max(first.from, second.from);
                if (first.epoch != second.epoch
                        && first.proxy != second.proxy
                        && from < Math.min(first.to, second.to)) {
                    all.add(
                            new Violation(
                                    Rule.POLICY,
                                    "proxy-" + first.proxy,
                                    from,
                                    String.format(
                                            Locale.ROOT,
                                            "current at epoch %d until %.1f ms while proxy-%d is at %d from %.1f ms on",
                                            first.epoch,
                                            first.to,
                                            second.proxy,
                                            second.epoch,
                                            second.from)));
                }
            }
        }
        proposals.forEach(
                (content, proposal) -> {
                    if (proposal.refused() && contentByEpoch.containsValue(content)) {
                        all.add(
                                new Violation(
                                        Rule.POLICY,
                                        "proposal",
                                        proposal.answeredAt,
                                        "was rejected but became effective"));
                    }
                });
        return all;
    }

    /** Returns the policy figures at the end of the run. */
    public synchronized Map<String, Double> figures() {
        List<Double> applyMs = new ArrayList<>();
        int refused = 0;
        int unknown = 0;
        for (Proposal proposal : proposals.values()) {
            refused += proposal.refused() ? 1 : 0;
            unknown += proposal.status == Message.ProposalStatus.UNKNOWN ? 1 : 0;
        }
        proposals.forEach(
                (content, proposal) ->
                        contentByEpoch.forEach(
                                (epoch, c) -> {
                                    Map<Integer, Double> appliedTimes =
                                            appliedAt.getOrDefault(epoch, Map.of());
                                    if (c.equals(content) && appliedTimes.size() == proxies) {
                                        applyMs.add(
                                                appliedTimes.values().stream()
                                                                .mapToDouble(d -> d)
                                                                .max()
                                                                .orElse(0)
                                                        - proposal.proposedAt);
                                    }
                                }));
        applyMs.sort(null);
        long latestEpoch = contentByEpoch.keySet().stream().mapToLong(e -> e).max().orElse(0);
        int behind = 0;
        int notCurrent = 0;
        for (int i = 0; i < proxies; i++) {
            behind += alive[i] && runningEpochs[i] < latestEpoch ? 1 : 0;
            notCurrent += alive[i] && openSpans[i] == null ? 1 : 0;
        }
        Map<String, Double> figures = new TreeMap<>();
        figures.put("policy.epochs", (double) latestEpoch);
        figures.put("policy.proposals", (double) proposals.size());
        figures.put("policy.refused", (double) refused);
        figures.put("policy.unknown", (double) unknown);
        figures.put(
                "policy.everywhere_ms_p50",
                applyMs.isEmpty() ? 0 : applyMs.get((applyMs.size() - 1) / 2));
        figures.put(
                "policy.everywhere_ms_max",
                applyMs.isEmpty() ? 0 : applyMs.get(applyMs.size() - 1));
        figures.put("policy.back_ms_max", recoveryMs.stream().mapToDouble(d -> d).max().orElse(0));
        figures.put("policy.behind_at_end", (double) behind);
        figures.put("policy.not_current_at_end", (double) notCurrent);
        figures.put("policy.fences", (double) fences);
        return figures;
    }
}
