package cacheproxy.lab.ledger;

import cacheproxy.lab.Experiment;
import cacheproxy.lab.faults.Fault;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Compares the membership state that proxies have of one another with the actual state. Drivers
 * report the membership events of each proxy, by the names of {@link
 * cacheproxy.membership.Gossip.EventType} in lower case, and the ends and starts of processes;
 * pauses and cuts follow from the faults. Times are milliseconds of the run. Thread safe: drivers
 * may report from several threads.
 */
public final class MembershipLedger {

    /** Why a proxy was silent, so that declaring it down is correct or at least explicable. */
    private enum Cause {
        CRASH,
        PAUSE,
        CUT
    }

    /** Time for which updates about a disturbance still spread after its end, in ms. */
    private static final double PROPAGATION_MS = 2000;

    private static final Pattern INCARNATION = Pattern.compile("incarnation:(\\d+)");

    private static final class Disturbance {
        final int proxy;
        final Cause cause;
        final double from;
        double to;

        /** When each observer first declared the proxy down. */
        final Map<Integer, Double> declaredDownAt = new TreeMap<>();

        double steppedDownAt = Double.NaN;

        Disturbance(int proxy, Cause cause, double from, double to) {
            this.proxy = proxy;
            this.cause = cause;
            this.from = from;
            this.to = to;
        }

        boolean explains(int subject, double at) {
            return proxy == subject && at >= from && at <= to + PROPAGATION_MS;
        }
    }

    /** The last event that one proxy reported about another, and its time. */
    private record LastEvent(String event, double at) {}

    private final int proxies;
    private final List<Disturbance> disturbances = new ArrayList<>();
    private final LastEvent[][] lastEvents;
    private final boolean[] steppedDown;
    private final int[] startCounts;
    private final boolean[] running;
    private final Set<String> falseDowns = new HashSet<>();
    private final Set<String> pausedDowns = new HashSet<>();
    private final Set<String> cutDowns = new HashSet<>();
    private final Set<String> falseSuspicions = new HashSet<>();
    private final List<Double> rejoinMs = new ArrayList<>();
    private int stepDowns;
    private int needlessStepDowns;

    public MembershipLedger(Experiment experiment) {
        proxies = experiment.proxies().count();
        lastEvents = new LastEvent[proxies][proxies];
        steppedDown = new boolean[proxies];
        startCounts = new int[proxies];
        running = new boolean[proxies];
        Arrays.fill(running, true);
        for (Fault fault : experiment.faults()) {
            Cause cause =
                    switch (fault.kind()) {
                        case PROXY_STOP, PROXY_STARVED -> Cause.PAUSE;
                        case GOSSIP_CUT, GOSSIP_SPLIT, GOSSIP_DEAF, GOSSIP_MUTE -> Cause.CUT;
                        default -> null;
                    };
            for (int i = 0; cause != null && i < proxies; i++) {
                // In a partition, each proxy is cut off from some others.
                if (fault.affects("proxy-", i, proxies)
                        || fault.kind() == Fault.Kind.GOSSIP_SPLIT) {
                    disturbances.add(new Disturbance(i, cause, fault.atMs(), fault.endMs()));
                }
            }
        }
    }

    /** Records that a proxy's process has ended. */
    public synchronized void processEnded(int proxy, double at) {
        if (running[proxy]) {
            running[proxy] = false;
            disturbances.add(new Disturbance(proxy, Cause.CRASH, at, Double.POSITIVE_INFINITY));
        }
    }

    /** Records that a proxy's process has started again and knows no members. */
    public synchronized void processStarted(int proxy, double at) {
        disturbances.stream()
                .filter(s -> s.proxy == proxy && s.cause == Cause.CRASH && Double.isInfinite(s.to))
                .forEach(s -> s.to = at);
        running[proxy] = true;
        startCounts[proxy]++;
        steppedDown[proxy] = false;
        Arrays.fill(lastEvents[proxy], null);
    }

    /**
     * Records a membership event of a proxy. Events whose {@code subject} is not the name of a
     * proxy are ignored, except for those about the observer itself stepping down or up.
     */
    public synchronized void recordEvent(
            int observer, String event, String subject, String evidence, double at) {
        if (event.equals("stepped_down") || event.equals("stepped_up")) {
            recordStep(observer, event.equals("stepped_down"), at);
            return;
        }
        int subjectIndex =
                subject.matches("proxy-\\d{1,4}")
                        ? Integer.parseInt(subject.substring("proxy-".length()))
                        : proxies;
        boolean relevant = Set.of("member", "suspected", "died", "left").contains(event);
        if (subjectIndex >= proxies || subjectIndex == observer || !relevant) {
            return;
        }
        LastEvent previous = lastEvents[observer][subjectIndex];
        lastEvents[observer][subjectIndex] = new LastEvent(event, at);
        Matcher incarnation = INCARNATION.matcher(evidence);
        String episode =
                subject
                        + " "
                        + startCounts[subjectIndex]
                        + " "
                        + (incarnation.find() ? incarnation.group(1) : "");
        switch (event) {
            case "died" -> recordDown(observer, subjectIndex, episode, at);
            case "suspected" -> {
                if (explanations(observer, subjectIndex, at).isEmpty()) {
                    falseSuspicions.add(episode);
                }
            }
            case "member" -> {
                // The time from the end of the disturbance until it was a member again.
                if (previous != null && previous.event().equals("died")) {
                    disturbances.stream()
                            .filter(
                                    s ->
                                            s.proxy == subjectIndex
                                                    && s.to <= at
                                                    && s.cause != Cause.CRASH)
                            .mapToDouble(s -> at - s.to)
                            .min()
                            .ifPresent(rejoinMs::add);
                }
            }
            default -> {}
        }
    }

    private List<Disturbance> explanations(int observer, int subjectIndex, double at) {
        // An observer that is cut off itself sees others as silent.
        return disturbances.stream()
                .filter(
                        s ->
                                s.explains(subjectIndex, at)
                                        || s.cause == Cause.CUT && s.explains(observer, at))
                .toList();
    }

    private void recordDown(int observer, int subjectIndex, String episode, double at) {
        List<Disturbance> causes = explanations(observer, subjectIndex, at);
        causes.stream()
                .filter(s -> s.proxy == subjectIndex)
                .forEach(s -> s.declaredDownAt.putIfAbsent(observer, at));
        if (causes.isEmpty()) {
            falseDowns.add(episode);
        } else if (causes.stream().noneMatch(s -> s.cause == Cause.CRASH)) {
            (causes.stream().anyMatch(s -> s.cause == Cause.CUT) ? cutDowns : pausedDowns)
                    .add(episode);
        }
    }

    private void recordStep(int observer, boolean down, double at) {
        steppedDown[observer] = down;
        if (down) {
            stepDowns++;
            List<Disturbance> causes =
                    disturbances.stream()
                            .filter(s -> s.cause != Cause.CRASH && s.explains(observer, at))
                            .toList();
            needlessStepDowns += causes.isEmpty() ? 1 : 0;
            causes.stream()
                    .filter(s -> s.cause == Cause.CUT && Double.isNaN(s.steppedDownAt))
                    .forEach(s -> s.steppedDownAt = at);
        }
    }

    private static boolean isDown(LastEvent lastEvent) {
        return lastEvent != null
                && (lastEvent.event().equals("died") || lastEvent.event().equals("left"));
    }

    /** Returns the membership figures at the end of the run. */
    public synchronized Map<String, Double> figures() {
        List<Double> detectionMs = new ArrayList<>();
        int missedCrashes = 0;
        for (Disturbance disturbance : disturbances) {
            for (int observer = 0;
                    disturbance.cause == Cause.CRASH && observer < proxies;
                    observer++) {
                Double at = disturbance.declaredDownAt.get(observer);
                if (at != null) {
                    detectionMs.add(at - disturbance.from);
                } else if (observer != disturbance.proxy
                        && running[observer]
                        && Double.isInfinite(disturbance.to)
                        && lastEvents[observer][disturbance.proxy] != null
                        && !isDown(lastEvents[observer][disturbance.proxy])) {
                    missedCrashes++;
                }
            }
        }
        detectionMs.sort(null);
        int wrongViews = 0;
        for (int observer = 0; observer < proxies; observer++) {
            for (int subjectIndex = 0; subjectIndex < proxies; subjectIndex++) {
                LastEvent lastEvent = lastEvents[observer][subjectIndex];
                boolean knownMember = lastEvent != null && lastEvent.event().equals("member");
                boolean correct =
                        running[subjectIndex]
                                ? knownMember
                                : lastEvent == null || isDown(lastEvent);
                wrongViews += observer != subjectIndex && running[observer] && !correct ? 1 : 0;
            }
        }
        int steppedDownAtEnd = 0;
        for (int i = 0; i < proxies; i++) {
            steppedDownAtEnd += steppedDown[i] && running[i] ? 1 : 0;
        }
        Map<String, Double> figures = new TreeMap<>();
        figures.put("members.false_downs", (double) falseDowns.size());
        figures.put("members.paused_downs", (double) pausedDowns.size());
        figures.put("members.cut_downs", (double) cutDowns.size());
        figures.put("members.false_suspicions", (double) falseSuspicions.size());
        figures.put(
                "members.detect_ms_p50",
                detectionMs.isEmpty() ? 0 : detectionMs.get((detectionMs.size() - 1) / 2));
        figures.put(
                "members.detect_ms_max",
                detectionMs.isEmpty() ? 0 : detectionMs.get(detectionMs.size() - 1));
        figures.put("members.crashes_missed", (double) missedCrashes);
        figures.put("members.rejoin_ms_max", rejoinMs.stream().mapToDouble(d -> d).max().orElse(0));
        figures.put("members.step_downs", (double) stepDowns);
        figures.put("members.needless_step_downs", (double) needlessStepDowns);
        figures.put(
                "members.step_down_ms_max",
                disturbances.stream()
                        .filter(disturbance -> !Double.isNaN(disturbance.steppedDownAt))
                        .mapToDouble(disturbance -> disturbance.steppedDownAt - disturbance.from)
                        .max()
                        .orElse(0));
        figures.put("members.stepped_down_at_end", (double) steppedDownAtEnd);
        figures.put("members.wrong_at_end", (double) wrongViews);
        return figures;
    }
}
