package cacheproxy.cli;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.ProxyCommand;
import cacheproxy.lab.SizeSweep;
import cacheproxy.lab.capacity.Slope;
import cacheproxy.lab.capacity.SlopeFile;
import cacheproxy.lab.report.Results;
import cacheproxy.lab.sockets.SocketRun;
import cacheproxy.lab.virtual.ModuleCost;
import cacheproxy.lab.virtual.VirtualRun;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs an experiment at each of its sizes and stores the fitted slopes. */
@Command(
        name = "slope",
        description =
                "Runs an experiment at each size of its [sizes], fits its [[measure]] and stores the slopes in a file.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all bounds are met at every size; the slopes are stored",
            "1:some bounds are missed; nothing is stored",
            "2:an invalid file"
        })
final class SlopeCommand implements Callable<Integer> {

    private static final int MAX_RUNS = 20;

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "an experiment with [sizes] and [[measure]]")
    private Path file;

    @Option(
            names = "--runs",
            paramLabel = "N",
            defaultValue = "3",
            description = "number of runs at each size, with consecutive seeds (default: 3)")
    private int runs;

    @Option(
            names = "--beside",
            paramLabel = "TEXT",
            required = true,
            description =
                    "what else runs on the machine, and the program's commit; stored with the slopes")
    private String machineLoad;

    @Option(
            names = "--to",
            paramLabel = "FILE",
            defaultValue = "experiments/capacity/slopes-data.toml",
            description = "file for the slopes (default: ${DEFAULT-VALUE})")
    private Path slopeFile;

    @Option(
            names = "--kept",
            description =
                    "runs nothing on sockets: fits the results of an earlier call in target/lab/NAME, checked against the file's present bounds")
    private boolean reuseResults;

    @Override
    public Integer call() throws BadFileException, IOException, InterruptedException {
        if (runs < 1 || runs > MAX_RUNS) {
            throw new ParameterException(
                    spec.commandLine(), "--runs: found " + runs + ", allowed is 1 to " + MAX_RUNS);
        }
        Experiment baseExperiment = ExperimentFile.read(file, Map.of());
        SizeSweep sizes = SizeSweep.read(Toml.read(file).root());
        if (sizes.steps().isEmpty()) {
            throw new BadFileException(
                    file + ": sizes.over: found nothing, allowed is a list of KEY = V, V, V");
        }
        List<List<List<Double>>> measured = new ArrayList<>();
        sizes.measures().forEach(measure -> measured.add(new ArrayList<>()));
        if (sizes.driver() == SizeSweep.Driver.MODULE) {
            // Warms up the JIT compiler, whose cost would otherwise fall on the first size alone.
            ModuleCost.measure(baseExperiment);
        }
        boolean passed = true;
        for (SizeSweep.Step step : sizes.steps()) {
            measured.forEach(measure -> measure.add(new ArrayList<>()));
            for (int run = 0; run < runs; run++) {
                Map<String, String> overrides = new LinkedHashMap<>(step.overrides());
                overrides.put("seed", String.valueOf(baseExperiment.seed() + run));
                Experiment experiment = ExperimentFile.read(file, overrides);
                Map<String, Double> figures =
                        switch (sizes.driver()) {
                            case MODULE -> ModuleCost.measure(experiment).figures();
                            case VIRTUAL -> figuresIfPassed(new VirtualRun(experiment).run());
                            case SOCKETS ->
                                    figuresIfPassed(
                                            runOnSockets(
                                                    experiment,
                                                    Path.of(
                                                            "target",
                                                            "lab",
                                                            baseExperiment.name(),
                                                            Results.formatNumber(step.size())
                                                                    + "-"
                                                                    + (run + 1))));
                        };
                passed &= !figures.isEmpty();
                for (int i = 0; i < measured.size(); i++) {
                    SizeSweep.Measure measure = sizes.measures().get(i);
                    double value = measure.value(figures, experiment);
                    if (!Double.isFinite(value) && !figures.isEmpty()) {
                        throw new BadFileException(
                                file
                                        + ": measure["
                                        + i
                                        + "].of: found "
                                        + measure.sourceFigure()
                                        + ", allowed is a figure of the run");
                    }
                    measured.get(i).get(measured.get(i).size() - 1).add(value);
                    System.out.println(
                            Results.formatNumber(step.size())
                                    + " "
                                    + sizes.quantity()
                                    + ", run "
                                    + (run + 1)
                                    + ": "
                                    + measure.figure()
                                    + " "
                                    + value
                                    + " "
                                    + measure.unit());
                }
            }
        }
        if (!passed) {
            return Cli.FAILED;
        }
        List<Slope> slopes = new ArrayList<>();
        for (int i = 0; i < measured.size(); i++) {
            SizeSweep.Measure measure = sizes.measures().get(i);
            slopes.add(
                    Slope.fit(
                            new Slope.SlopeMetadata(
                                    measure.role(),
                                    measure.figure(),
                                    measure.unit(),
                                    sizes.quantity(),
                                    file.toString(),
                                    machineLoad),
                            sizes.steps().stream().map(SizeSweep.Step::size).toList(),
                            measured.get(i)));
            Slope slope = slopes.get(i);
            System.out.printf(
                    Locale.ROOT,
                    "%s: %.4g + %.4g per unit, r2 %.4f%s%n",
                    slope.figure(),
                    slope.fixed(),
                    slope.perUnit(),
                    slope.r2(),
                    slope.isLinear() ? "" : ", not linear");
        }
        SlopeFile.replaceSlopes(slopeFile, file.toString(), slopes);
        return Cli.OK;
    }

    /**
     * Returns the figures of a run that met its bounds; otherwise prints what it missed and returns
     * an empty map.
     */
    private static Map<String, Double> figuresIfPassed(Results results) {
        results.violations().stream().limit(5).forEach(v -> System.out.println("  violated: " + v));
        results.missed().forEach(m -> System.out.println("  missed: " + m));
        return results.passed() ? results.figures() : Map.of();
    }

    private Results runOnSockets(Experiment experiment, Path directory)
            throws BadFileException, IOException, InterruptedException {
        if (reuseResults) {
            Results stored = Results.read(directory.resolve("results.json"));
            return new Results(
                    stored.form(),
                    stored.experiment(),
                    stored.about(),
                    stored.driver(),
                    stored.seed(),
                    stored.load(),
                    stored.figures(),
                    stored.timeline(),
                    stored.marks(),
                    stored.violations(),
                    Results.missed(stored.figures(), experiment.expects()));
        }
        ProxyCommand runLine = ProxyCommand.find(Path.of("."), experiment.proxies().run());
        Files.createDirectories(directory);
        Results results =
                new SocketRun(experiment, directory, runLine.directory(), runLine.command())
                        .run(p -> {});
        results.write(directory.resolve("results.json"));
        return results;
    }
}
