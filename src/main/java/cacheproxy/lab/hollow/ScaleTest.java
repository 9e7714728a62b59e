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
 * Runs a scale test from its file: executes the runs of each size, checks the bounds of the file in
 * every run, and fits the slopes over the sizes.
 */
public final class ScaleTest {

    /** Figures that are printed for each run. */
    private static final List<String> PRINTED_FIGURES =
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

    private static final String RESULTS_FILE = "results.json";
    private static final Gson GSON =
            new GsonBuilder().setPrettyPrinting().serializeSpecialFloatingPointValues().create();

    private final ScaleExperiment experiment;
    private final String machineLoad;

    /**
     * Reads and validates the file.
     *
     * @param machineLoad what else runs on the machine; recorded with the slopes
     */
    public ScaleTest(Path file, Map<String, String> overrides, String machineLoad)
            throws BadFileException {
        this.experiment = ScaleExperimentFile.read(file, overrides);
        this.machineLoad = machineLoad;
    }

    public String name() {
        return experiment.name();
    }

    /**
     * Runs the test and returns whether every bound was met in every run.
     *
     * @param folder directory of the results, with a subdirectory for each run
     * @param reuseResults evaluates the results that earlier runs left in the directory instead of
     *     executing the runs
     */
    public boolean run(Path folder, Path slopeFile, boolean reuseResults, PrintStream out)
            throws IOException, InterruptedException, BadFileException, KeyException {
        Map<Integer, List<Map<String, Double>>> figuresBySize = new LinkedHashMap<>();
        boolean passed = true;
        for (int size : experiment.fleet().proxies()) {
            for (int run = 0; run < experiment.runs(); run++) {
                Path runDirectory = folder.resolve(size + "-" + (run + 1));
                Map<String, Double> figures =
                        reuseResults
                                ? readResults(runDirectory)
                                : new ScaleRun(experiment, size, run, runDirectory).run();
                Files.writeString(runDirectory.resolve(RESULTS_FILE), GSON.toJson(figures));
                figuresBySize.computeIfAbsent(size, s -> new ArrayList<>()).add(figures);
                out.printf("%s: %d proxies, run %d%n", experiment.name(), size, run + 1);
                PRINTED_FIGURES.stream()
                        .filter(figures::containsKey)
                        .forEach(
                                f ->
                                        out.printf(
                                                "  %-32s %s%n",
                                                f, Results.formatNumber(figures.get(f))));
                List<String> missed = Results.missed(figures, experiment.expects());
                missed.forEach(m -> out.println("  missed: " + m));
                passed &= missed.isEmpty();
            }
        }
        fitSlopes(figuresBySize, slopeFile, out);
        return passed;
    }

    private static Map<String, Double> readResults(Path runDirectory)
            throws IOException, BadFileException {
        if (!Files.exists(runDirectory.resolve(RESULTS_FILE))) {
            throw new BadFileException(
                    runDirectory.resolve(RESULTS_FILE) + ": no such file, run the test first");
        }
        return GSON.fromJson(
                Files.readString(runDirectory.resolve(RESULTS_FILE)),
                new TypeToken<TreeMap<String, Double>>() {}.getType());
    }

    private void fitSlopes(
            Map<Integer, List<Map<String, Double>>> figuresBySize, Path slopeFile, PrintStream out)
            throws IOException, BadFileException {
        List<Slope> fitted = new ArrayList<>();
        for (ScaleExperiment.SlopeDefinition definition : experiment.slopes()) {
            List<Double> sizes = new ArrayList<>();
            List<List<Double>> measured = new ArrayList<>();
            figuresBySize.forEach(
                    (size, runs) -> {
                        if (runs.stream().allMatch(definition::isMeasuredIn)) {
                            sizes.add((double) size);
                            measured.add(runs.stream().map(definition::value).toList());
                        }
                    });
            if (sizes.size() < 2) {
                out.println(
                        "no slope of "
                                + definition.name()
                                + ": "
                                + definition.figures()
                                + " were measured at "
                                + sizes.size()
                                + " sizes, at least 2 are needed");
            } else {
                fitted.add(
                        Slope.fit(
                                new Slope.SlopeMetadata(
                                        definition.role(),
                                        definition.name(),
                                        definition.unit(),
                                        "proxies",
                                        experiment.file(),
                                        machineLoad),
                                sizes,
                                measured));
            }
        }
        if (!fitted.isEmpty()) {
            SlopeFile.replaceSlopes(slopeFile, experiment.file(), fitted);
            fitted.forEach(
                    slope ->
                            out.printf(
                                    "slope %s: %s + %s per proxy, r2 %s%n",
                                    slope.figure(),
                                    Results.formatNumber(slope.fixed()),
                                    Results.formatNumber(slope.perUnit()),
                                    Results.formatNumber(slope.r2())));
        }
    }
}
