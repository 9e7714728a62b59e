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
 * What proxies held of one another beside what was true of them. Drivers hand in each proxy's
 * events of membership, by the names of {@link cacheproxy.membership.Gossip.What} in lower case,
 * and when processes ended and came back; what was paused or cut off follows from the faults. Times
 * are milliseconds of the run. Drivers may tell from several threads.
 */
public final class Membership {

    /** Why a proxy was rightly or at least explicably silent. */
    private enum Cause {
        CRASH,
        PAUSE,
        CUT
    }

    /** News of a span that is over still travels for so long. */
    private static final double TRAVELS_MS = 2000;

    private static final Pattern INCARNATION = Pattern.compile("incarnation:(\\d+)");

    private static final class Span {
        final int proxy;
        final Cause cause;
        final double from;
        double to;

        /** When each observer first declared it down. */
        final Map<Integer, Double> declared = new TreeMap<>();

        double steppedDownAt = Double.NaN;

        Span(int proxy, Cause cause, double from, double to) {
            this.proxy = proxy;
            this.cause = cause;
            this.from = from;
            this.to = to;
        }

        boolean explains(int subject, double at) {
            return proxy == subject && at >= from && at <= to + TRAVELS_MS;
        }
    }

    /** What one proxy last held of another, and since when. */
    private record View(String what, double at) {}

    private final int proxies;
    private final List<Span> spans = new ArrayList<>();
    private final View[][] views;
    private final boolean[] steppedDown;
    private final int[] lives;
    private final boolean[] running;
    private final Set<String> falseDowns = new HashSet<>();
    private final Set<String> pausedDowns = new HashSet<>();
    private final Set<String> cutDowns = new HashSet<>();
    private final Set<String> falseSuspicions = new HashSet<>();
    private final List<Double> rejoined = new ArrayList<>();
    private int stepDowns;
    private int needlessStepDowns;

    public Membership(Experiment experiment) {
        proxies = experiment.proxies().count();
        views = new View[proxies][proxies];
        steppedDown = new boolean[proxies];
        lives = new int[proxies];
        running = new boolean[proxies];
        Arrays.fill(running, true);
        for (Fault f : experiment.faults()) {
            Cause cause =
                    switch (f.what()) {
                        case PROXY_STOP, PROXY_STARVED -> Cause.PAUSE;
                        case GOSSIP_CUT, GOSSIP_SPLIT, GOSSIP_DEAF, GOSSIP_MUTE -> Cause.CUT;
                        default -> null;
                    };
            for (int i = 0; cause != null && i < proxies; i++) {
                // Of two parts each proxy is cut off from some.
                if (f.strikes("proxy-", i, proxies) || f.what() == Fault.Kind.GOSSIP_SPLIT) {
                    spans.add(new Span(i, cause, f.atMs(), f.endMs()));
                }
            }
        }
    }

    /** A proxy's process has ended. */
    public synchronized void ended(int proxy, double at) {
        if (running[proxy]) {
            running[proxy] = false;
            spans.add(new Span(proxy, Cause.CRASH, at, Double.POSITIVE_INFINITY));
        }
    }

    /** It runs again, and knows nobody. */
    public synchronized void started(int proxy, double at) {
        spans.stream()
                .filter(s -> s.proxy == proxy && s.cause == Cause.CRASH && Double.isInfinite(s.to))
                .forEach(s -> s.to = at);
        running[proxy] = true;
        lives[proxy]++;
        steppedDown[proxy] = false;
        Arrays.fill(views[proxy], null);
    }

    /**
     * A proxy's own event of membership. {@code subject} is a proxy's name; of others nothing is
     * held.
     */
    public synchronized void saw(int by, String what, String subject, String evidence, double at) {
        if (what.equals("stepped_down") || what.equals("stepped_up")) {
            stepped(by, what.equals("stepped_down"), at);
            return;
        }
        int about =
                subject.matches("proxy-\\d{1,4}")
                        ? Integer.parseInt(subject.substring("proxy-".length()))
                        : proxies;
        boolean counts = Set.of("member", "suspected", "died", "left").contains(what);
        if (about >= proxies || about == by || !counts) {
            return;
        }
        View before = views[by][about];
        views[by][about] = new View(what, at);
        Matcher incarnation = INCARNATION.matcher(evidence);
        String episode =
                subject
                        + " "
                        + lives[about]
                        + " "
                        + (incarnation.find() ? incarnation.group(1) : "");
        switch (what) {
            case "died" -> died(by, about, episode, at);
            case "suspected" -> {
                if (explained(by, about, at).isEmpty()) {
                    falseSuspicions.add(episode);
                }
            }
            case "member" -> {
                // How long after the cause had gone it was taken back.
                if (before != null && before.what().equals("died")) {
                    spans.stream()
                            .filter(s -> s.proxy == about && s.to <= at && s.cause != Cause.CRASH)
                            .mapToDouble(s -> at - s.to)
                            .min()
                            .ifPresent(rejoined::add);
                }
            }
            default -> {}
        }
    }

    private List<Span> explained(int by, int about, double at) {
        // One that is cut off or was paused itself sees others silent.
        return spans.stream()
                .filter(s -> s.explains(about, at) || s.cause == Cause.CUT && s.explains(by, at))
                .toList();
    }

    private void died(int by, int about, String episode, double at) {
        List<Span> causes = explained(by, about, at);
        causes.stream().filter(s -> s.proxy == about).forEach(s -> s.declared.putIfAbsent(by, at));
        if (causes.isEmpty()) {
            falseDowns.add(episode);
        } else if (causes.stream().noneMatch(s -> s.cause == Cause.CRASH)) {
            (causes.stream().anyMatch(s -> s.cause == Cause.CUT) ? cutDowns : pausedDowns)
                    .add(episode);
        }
    }

    private void stepped(int by, boolean down, double at) {
        steppedDown[by] = down;
        if (down) {
            stepDowns++;
            List<Span> causes =
                    spans.stream()
                            .filter(s -> s.cause != Cause.CRASH && s.explains(by, at))
                            .toList();
            needlessStepDowns += causes.isEmpty() ? 1 : 0;
            causes.stream()
                    .filter(s -> s.cause == Cause.CUT && Double.isNaN(s.steppedDownAt))
                    .forEach(s -> s.steppedDownAt = at);
        }
    }

    private static boolean gone(View view) {
        return view != null && (view.what().equals("died") || view.what().equals("left"));
    }

    /** What it came to by the end of the run. */
    public synchronized Map<String, Double> figures() {
        List<Double> detected = new ArrayList<>();
        int missed = 0;
        for (Span s : spans) {
            for (int by = 0; s.cause == Cause.CRASH && by < proxies; by++) {
                Double at = s.declared.get(by);
                if (at != null) {
                    detected.add(at - s.from);
                } else if (by != s.proxy
                        && running[by]
                        && Double.isInfinite(s.to)
                        && views[by][s.proxy] != null
                        && !gone(views[by][s.proxy])) {
                    missed++;
                }
            }
        }
        detected.sort(null);
        int wrong = 0;
        for (int by = 0; by < proxies; by++) {
            for (int about = 0; about < proxies; about++) {
                View v = views[by][about];
                boolean known = v != null && v.what().equals("member");
                boolean right = running[about] ? known : v == null || gone(v);
                wrong += by != about && running[by] && !right ? 1 : 0;
            }
        }
        int left = 0;
        for (int i = 0; i < proxies; i++) {
            left += steppedDown[i] && running[i] ? 1 : 0;
        }
        Map<String, Double> figures = new TreeMap<>();
        figures.put("members.false_downs", (double) falseDowns.size());
        figures.put("members.paused_downs", (double) pausedDowns.size());
        figures.put("members.cut_downs", (double) cutDowns.size());
        figures.put("members.false_suspicions", (double) falseSuspicions.size());
        figures.put(
                "members.detect_ms_p50",
                detected.isEmpty() ? 0 : detected.get((detected.size() - 1) / 2));
        figures.put(
                "members.detect_ms_max",
                detected.isEmpty() ? 0 : detected.get(detected.size() - 1));
        figures.put("members.crashes_missed", (double) missed);
        figures.put("members.rejoin_ms_max", rejoined.stream().mapToDouble(d -> d).max().orElse(0));
        figures.put("members.step_downs", (double) stepDowns);
        figures.put("members.needless_step_downs", (double) needlessStepDowns);
        figures.put(
                "members.step_down_ms_max",
                spans.stream()
                        .filter(s -> !Double.isNaN(s.steppedDownAt))
                        .mapToDouble(s -> s.steppedDownAt - s.from)
                        .max()
                        .orElse(0));
        figures.put("members.stepped_down_at_end", (double) left);
        figures.put("members.wrong_at_end", (double) wrong);
        return figures;
    }
}
