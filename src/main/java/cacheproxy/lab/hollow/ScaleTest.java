package cacheproxy.lab.hollow;

import cacheproxy.config.BadFileException;
import cacheproxy.gossip.KeyException;
import cacheproxy.lab.capacity.Slope;
import cacheproxy.lab.capacity.SlopeFile;
import cacheproxy.lab.report.Results;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.reflect.TypeToken;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plays a scale test's file: each size, each run; holds its bounds to every run and fits its
 * slopes.
 */
public final class ScaleTest {

    /** Figures that are shown for each run. */
    private static final List<String> SHOWN =
            List.of(
                    "start.whole_s",
                    "members.known_share",
                    "proxy.gossip_sent_bytes_s",
                    "proxy.gossip_received_bytes_s",
                    "proxy.policy_sent_bytes_s",
                    "proxy.policy_received_bytes_s",
                    "proxy.peak_second_bytes",
                    "proxy.loop_cpu_percent",
                    "proxy.cpu_percent",
                    "proxy.heap_bytes",
                    "control.cpu_percent",
                    "control.connections",
                    "control.policy_sent_bytes_s",
                    "change.everywhere_p50_ms",
                    "change.everywhere_p99_ms",
                    "change.everywhere_max_ms",
                    "change.not_everywhere",
                    "loop.late_ms_max");

    private static final String RESULTS = "results.json";
    private static final Gson JSON =
            new GsonBuilder().setPrettyPrinting().serializeSpecialFloatingPointValues().create();

    private final HollowExperiment experiment;
    private final String beside;

    /**
     * @param beside what else runs on the machine, for whoever reads the slopes
     */
    public ScaleTest(Path file, Map<String, String> set, String beside) throws BadFileException {
        this.experiment = HollowFile.read(file, set);
        this.beside = beside;
    }

    public String name() {
        return experiment.name();
    }

    /**
     * Plays it and returns whether every bound held in every run.
     *
     * @param kept takes the results that earlier runs have left in the folder, and plays nothing
     */
    public boolean play(Path folder, Path slopes, boolean kept, PrintStream out)
            throws IOException, InterruptedException, BadFileException, KeyException {
        Map<Integer, List<Map<String, Double>>> played = new LinkedHashMap<>();
        boolean good = true;
        for (int size : experiment.fleet().proxies()) {
            for (int run = 0; run < experiment.runs(); run++) {
                Path own = folder.resolve(size + "-" + (run + 1));
                Map<String, Double> figures =
                        kept ? kept(own) : new HollowRun(experiment, size, run, own).play();
                Files.writeString(own.resolve(RESULTS), JSON.toJson(figures));
                played.computeIfAbsent(size, s -> new ArrayList<>()).add(figures);
                out.printf("%s: %d proxies, run %d%n", experiment.name(), size, run + 1);
                SHOWN.stream()
                        .filter(figures::containsKey)
                        .forEach(f -> out.printf("  %-32s %s%n", f, Results.plain(figures.get(f))));
                List<String> missed = Results.missed(figures, experiment.expects());
                missed.forEach(m -> out.println("  missed: " + m));
                good &= missed.isEmpty();
            }
        }
        fit(played, slopes, out);
        return good;
    }

    private static Map<String, Double> kept(Path folder) throws IOException, BadFileException {
        if (!Files.exists(folder.resolve(RESULTS))) {
            throw new BadFileException(folder.resolve(RESULTS) + ": no earlier run left it");
        }
        return JSON.fromJson(
                Files.readString(folder.resolve(RESULTS)),
                new TypeToken<TreeMap<String, Double>>() {}.getType());
    }

    private void fit(Map<Integer, List<Map<String, Double>>> played, Path slopes, PrintStream out)
            throws IOException, BadFileException {
        List<Slope> fitted = new ArrayList<>();
        for (HollowExperiment.Measure m : experiment.slopes()) {
            List<Double> sizes = new ArrayList<>();
            List<List<Double>> measured = new ArrayList<>();
            played.forEach(
                    (size, runs) -> {
                        if (runs.stream().allMatch(m::in)) {
                            sizes.add((double) size);
                            measured.add(runs.stream().map(m::of).toList());
                        }
                    });
            if (sizes.size() < 2) {
                out.println(
                        "no slope of "
                                + m.name()
                                + ": "
                                + m.figures()
                                + " were measured at "
                                + sizes.size()
                                + " sizes");
            } else {
                fitted.add(
                        Slope.fit(
                                new Slope.Head(
                                        m.role(),
                                        m.name(),
                                        m.unit(),
                                        "proxies",
                                        experiment.file(),
                                        beside),
                                sizes,
                                measured));
            }
        }
        if (!fitted.isEmpty()) {
            SlopeFile.put(slopes, experiment.file(), fitted);
            fitted.forEach(
                    s ->
                            out.printf(
                                    "slope %s: %s + %s a proxy, r2 %s%n",
                                    s.figure(),
                                    Results.plain(s.fixed()),
                                    Results.plain(s.perUnit()),
                                    Results.plain(s.r2())));
        }
    }
}
