package cacheproxy.cli;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.ProxyCommand;
import cacheproxy.lab.hunt.FaultSearch;
import cacheproxy.lab.load.LoadPlan;
import cacheproxy.lab.report.Comparison;
import cacheproxy.lab.report.CurveReport;
import cacheproxy.lab.report.HtmlReport;
import cacheproxy.lab.report.Results;
import cacheproxy.lab.sockets.SocketRun;
import cacheproxy.lab.stream.StreamLoad;
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
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code lab} subcommands, which run experiments on the testbed. */
@Command(
        name = "lab",
        description =
                "Runs experiments: simulated machines, real proxies, load, faults and checks of the results.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        synopsisSubcommandLabel =
                "run|sim|hunt|check|sweep|compare|cost|hollow|slope|capacity|stream",
        subcommands = {HollowCommand.class, SlopeCommand.class, CapacityCommand.class})
final class LabCommands {

    private static final int PROGRESS_BAR_CHARS = 20;

    /** The maximum number of proxy processes on one machine. */
    private static final int MAX_PROXY_PROCESSES = 64;

    @Spec private CommandSpec spec;

    /** The arguments of every command that reads an experiment. */
    static final class ExperimentArguments {
        @Parameters(paramLabel = "FILE", description = "the experiment")
        Path file;

        @Option(names = "--seed", paramLabel = "N", description = "overrides the file's seed")
        Integer seed;

        @Option(
                names = "--set",
                paramLabel = "KEY=VALUE",
                description = "overrides a key, as --set load.rate=400")
        Map<String, String> overrides = new LinkedHashMap<>();

        Experiment read(Map<String, String> extraOverrides) throws BadFileException {
            Map<String, String> all = new LinkedHashMap<>(overrides);
            if (seed != null) {
                all.put("seed", String.valueOf(seed));
            }
            all.putAll(extraOverrides);
            return ExperimentFile.read(file, all);
        }
    }

    @Command(
            name = "check",
            description =
                    "Checks whether an experiment's file is valid, and prints how many requests it would send.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int check(@Mixin ExperimentArguments arguments) throws BadFileException {
        Experiment experiment = arguments.read(Map.of());
        LoadPlan plan = LoadPlan.of(experiment);
        System.out.printf(
                "%s: valid; %d requests in %s s, load %s%n",
                arguments.file,
                plan.requests().size(),
                Results.formatNumber(experiment.durationS()),
                plan.digest());
        return Cli.OK;
    }

    @Command(
            name = "run",
            description = "Runs an experiment on loopback sockets against real proxies.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:all bounds are met, no rule is violated",
                "1:some bounds are missed; each is listed with figure and bound",
                "2:an invalid file"
            })
    int run(
            @Mixin ExperimentArguments arguments,
            @Option(
                            names = "--out",
                            paramLabel = "DIR",
                            description =
                                    "directory for results, report and logs (default: target/lab/NAME)")
                    Path out,
            @Option(
                            names = "--repeat",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "runs it N times, with consecutive seeds")
                    int repeat)
            throws BadFileException, IOException, InterruptedException {
        checkRepeat(repeat);
        boolean passed = true;
        long firstSeed = arguments.read(Map.of()).seed();
        for (int i = 0; i < repeat; i++) {
            Experiment experiment =
                    arguments.read(
                            repeat == 1 ? Map.of() : Map.of("seed", String.valueOf(firstSeed + i)));
            Path directory = outputDirectory(out, experiment);
            passed &=
                    runOnSockets(
                                    experiment,
                                    repeat == 1
                                            ? directory
                                            : directory.resolve(String.valueOf(i + 1)))
                            .passed();
        }
        return passed ? Cli.OK : Cli.FAILED;
    }

    @Command(
            name = "sim",
            description =
                    "Runs the same experiment in virtual time, without proxy processes and sockets; the same seed gives the same results.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int sim(
            @Mixin ExperimentArguments arguments,
            @Option(
                            names = "--out",
                            paramLabel = "DIR",
                            description =
                                    "directory for results and report (default: target/lab/NAME-sim)")
                    Path out,
            @Option(
                            names = "--repeat",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "runs it N times, with consecutive seeds")
                    int repeat)
            throws BadFileException, IOException {
        checkRepeat(repeat);
        boolean passed = true;
        long firstSeed = arguments.read(Map.of()).seed();
        for (int i = 0; i < repeat; i++) {
            Experiment experiment =
                    arguments.read(
                            repeat == 1 ? Map.of() : Map.of("seed", String.valueOf(firstSeed + i)));
            Path directory =
                    out == null ? Path.of("target", "lab", experiment.name() + "-sim") : out;
            Results results = new VirtualRun(experiment).run();
            writeResults(
                    results,
                    Files.createDirectories(
                            repeat == 1 ? directory : directory.resolve(String.valueOf(i + 1))));
            passed &= results.passed();
        }
        return passed ? Cli.OK : Cli.FAILED;
    }

    @Command(
            name = "hunt",
            description =
                    "Generates random scenarios from a seed and runs them in virtual time. A scenario that violates a rule is minimized and written to a file.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:no violation found",
                "1:violations found, each written to a file",
                "64:invalid arguments"
            })
    int hunt(
            @Option(
                            names = "--budget",
                            paramLabel = "SECONDS",
                            defaultValue = "60s",
                            description = "duration of the search, as 60s")
                    String budget,
            @Option(
                            names = "--seed",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "seed of the generated scenarios")
                    int seed,
            @Option(
                            names = "--out",
                            paramLabel = "DIR",
                            defaultValue = "experiments/found",
                            description = "directory for the scenario files")
                    Path out)
            throws IOException {
        if (!budget.matches("[1-9]\\d{0,4}s?")) {
            throw new ParameterException(
                    spec.commandLine(), "--budget: found " + budget + ", allowed is 1s to 99999s");
        }
        long endNs =
                System.nanoTime()
                        + TimeUnit.SECONDS.toNanos(Long.parseLong(budget.replace("s", "")));
        int[] scenarioCounts = new int[2];
        List<FaultSearch.Finding> failures =
                new FaultSearch(seed)
                        .search(
                                () -> System.nanoTime() < endNs,
                                (number, violation) -> {
                                    scenarioCounts[0]++;
                                    scenarioCounts[1] += violation.isEmpty() ? 0 : 1;
                                    if (!violation.isEmpty()) {
                                        System.out.println("scenario " + number + ": " + violation);
                                    }
                                });
        for (FaultSearch.Finding failure : failures) {
            Files.createDirectories(out);
            Path file =
                    out.resolve(
                            failure.failure().split(" ")[0].replace(":", "")
                                    + "-"
                                    + seed
                                    + "-"
                                    + failure.number()
                                    + ".toml");
            Files.writeString(
                    file,
                    "# "
                            + failure.failure().lines().findFirst().orElse("")
                            + "\n"
                            + failure.toml());
            System.out.println("replay: ./flintmill lab sim " + file);
        }
        System.out.println(
                scenarioCounts[0]
                        + " scenarios, "
                        + scenarioCounts[1]
                        + " of them with violations");
        return failures.isEmpty() ? Cli.OK : Cli.FAILED;
    }

    @Command(
            name = "stream",
            description =
                    "Runs the change stream on loopback, with proxies reduced to their subscription and control machines in separate processes, one of which is killed.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:all bounds are met",
                "1:some bounds are missed; each is listed with figure and bound",
                "2:an invalid file"
            })
    int stream(
            @Parameters(
                            paramLabel = "FILE",
                            description = "the plan, as experiments/capacity/stream-780.toml")
                    Path file,
            @Option(
                            names = "--set",
                            paramLabel = "KEY=VALUE",
                            description = "overrides a key, as --set fleet.proxies=390")
                    Map<String, String> overrides,
            @Option(
                            names = "--out",
                            paramLabel = "DIR",
                            description =
                                    "directory for the control machines' files (default: target/lab/NAME)")
                    Path out)
            throws BadFileException, IOException, InterruptedException {
        return StreamLoad.run(file, overrides == null ? Map.of() : overrides, out)
                ? Cli.OK
                : Cli.FAILED;
    }

    private void checkRepeat(int repeat) {
        if (repeat < 1 || repeat > 100) {
            throw new ParameterException(
                    spec.commandLine(), "--repeat: found " + repeat + ", allowed is 1 to 100");
        }
    }

    private static Path outputDirectory(Path out, Experiment experiment) {
        return out == null ? Path.of("target", "lab", experiment.name()) : out;
    }

    private static Results runOnSockets(Experiment experiment, Path directory)
            throws BadFileException, IOException, InterruptedException {
        if (experiment.proxies().count() > MAX_PROXY_PROCESSES) {
            throw new BadFileException(
                    "proxies.count: found "
                            + experiment.proxies().count()
                            + ", allowed on sockets is 1 to "
                            + MAX_PROXY_PROCESSES
                            + "; use lab sim for more");
        }
        ProxyCommand runLine = ProxyCommand.find(Path.of("."), experiment.proxies().run());
        Files.createDirectories(directory);
        System.out.println(experiment.name() + ": " + experiment.about());
        boolean terminal = System.console() != null;
        long[] lastShownStep = {Long.MIN_VALUE};
        Results results =
                new SocketRun(experiment, directory, runLine.directory(), runLine.command())
                        .run(
                                progress -> {
                                    long step =
                                            (long)
                                                    Math.floor(
                                                            terminal
                                                                    ? progress.elapsedS() * 4
                                                                    : progress.elapsedS() / 5);
                                    if (progress.elapsedS() >= 0 && step != lastShownStep[0]) {
                                        lastShownStep[0] = step;
                                        System.out.print(
                                                (terminal ? "\r" : "")
                                                        + progressLine(progress)
                                                        + (terminal ? "" : System.lineSeparator()));
                                        System.out.flush();
                                    }
                                });
        System.out.println();
        writeResults(results, directory);
        return results;
    }

    private static String progressLine(SocketRun.Progress progress) {
        int filled =
                (int)
                        Math.min(
                                PROGRESS_BAR_CHARS,
                                Math.max(
                                        0,
                                        PROGRESS_BAR_CHARS
                                                * progress.elapsedS()
                                                / progress.durationS()));
        return String.format(
                Locale.ROOT,
                "[%s%s] %5.1f s  %4.0f req/s  weight served %5.1f%%  rejected %d  failed %d  level %d ",
                "#".repeat(filled),
                ".".repeat(PROGRESS_BAR_CHARS - filled),
                progress.elapsedS(),
                progress.elapsedS() < 1
                        ? 0
                        : progress.ended() / Math.min(progress.durationS(), progress.elapsedS()),
                100 * progress.servedWeightShare(),
                progress.refused(),
                progress.failed(),
                progress.controlLevel());
    }

    private static void writeResults(Results results, Path directory) throws IOException {
        results.write(directory.resolve("results.json"));
        HtmlReport.write(results, directory.resolve("report.html"));
        printSummary(results, directory);
    }

    private static void printSummary(Results results, Path directory) {
        String[] figures = {
            "load.requests",
            "served.worth",
            "served.worst_10s_worth",
            "refused.share",
            "failed.share",
            "latency.p50_ms",
            "latency.p99_ms",
            "cache.hit_share",
            "origin.load",
            "control.level_max",
            "recovery.s",
            "generator.late_p99_ms",
            "proxy.cpu_ms_per_request",
            "proxy.resident_mb_max"
        };
        for (String figure : figures) {
            System.out.printf(
                    "  %-26s %s%n",
                    figure,
                    Results.formatNumber(results.figures().getOrDefault(figure, Double.NaN)));
        }
        results.violations().stream()
                .limit(10)
                .forEach(v -> System.out.println("  violated: " + v));
        if (results.violations().size() > 10) {
            System.out.println(
                    "  violated: and "
                            + (results.violations().size() - 10)
                            + " more in results.json");
        }
        results.missed().forEach(m -> System.out.println("  missed: " + m));
        System.out.println(
                (results.passed() ? "all bounds are met, no rule is violated; " : "")
                        + "see "
                        + directory.resolve("report.html"));
    }

    @Command(
            name = "sweep",
            description =
                    "Runs an experiment at several values of one key and plots the priority weight served against that offered, "
                            + "by class, with and without the clients' retries.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int sweep(
            @Mixin ExperimentArguments arguments,
            @Option(
                            names = "--over",
                            required = true,
                            paramLabel = "KEY=FROM..TO:STEPS",
                            description = "as load.rate=200..1600:8")
                    String over,
            @Option(
                            names = "--out",
                            paramLabel = "DIR",
                            description =
                                    "directory for the curve (default: target/lab/NAME-sweep)")
                    Path out,
            @Option(names = "--sim", description = "runs in virtual time") boolean virtual,
            @Option(
                            names = "--repeat",
                            paramLabel = "N",
                            defaultValue = "1",
                            description =
                                    "runs each step N times; on sockets with the same seed, "
                                            + "so that the spread is caused by the machine, in virtual time with consecutive seeds")
                    int repeat,
            @Option(
                            names = "--no-retries",
                            description = "also runs each step without the clients' retries")
                    boolean withoutRetries)
            throws BadFileException, IOException, InterruptedException {
        SweepRange range = SweepRange.parse(over);
        if (range == null) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--over: found "
                            + over
                            + ", allowed is KEY=FROM..TO:STEPS with 2 to 100 steps, as load.rate=200..1600:8");
        }
        checkRepeat(repeat);
        // All experiments are read and checked before the first run starts.
        Map<String, List<List<Experiment>>> series = new LinkedHashMap<>();
        long firstSeed = arguments.read(Map.of()).seed();
        for (boolean retries :
                withoutRetries ? new boolean[] {true, false} : new boolean[] {true}) {
            List<List<Experiment>> steps = new ArrayList<>();
            for (double value : range.values()) {
                Map<String, String> overrides =
                        new LinkedHashMap<>(Map.of(range.key(), Results.formatNumber(value)));
                if (!retries) {
                    overrides.put("load.retries", "0");
                }
                List<Experiment> runs = new ArrayList<>();
                for (int i = 0; i < repeat; i++) {
                    overrides.put("seed", String.valueOf(virtual ? firstSeed + i : firstSeed));
                    runs.add(arguments.read(overrides));
                }
                steps.add(runs);
            }
            series.put(retries ? "with retries" : "without retries", steps);
        }
        String name = series.values().iterator().next().get(0).get(0).name();
        Path directory = out == null ? Path.of("target", "lab", name + "-sweep") : out;
        Map<String, List<List<Results>>> resultsBySeries = new LinkedHashMap<>();
        for (Map.Entry<String, List<List<Experiment>>> entry : series.entrySet()) {
            List<List<Results>> steps = new ArrayList<>();
            for (List<Experiment> runs : entry.getValue()) {
                List<Results> results = new ArrayList<>();
                for (Experiment run : runs) {
                    Path runDirectory =
                            directory
                                    .resolve(
                                            entry.getKey().replace(' ', '-')
                                                    + "-"
                                                    + (steps.size() + 1))
                                    .resolve(String.valueOf(results.size() + 1));
                    results.add(
                            virtual ? new VirtualRun(run).run() : runOnSockets(run, runDirectory));
                }
                steps.add(results);
            }
            resultsBySeries.put(entry.getKey(), steps);
        }
        System.out.print(CurveReport.table(range.key(), range.values(), resultsBySeries));
        Files.createDirectories(directory);
        CurveReport.write(
                name,
                range.key(),
                range.values(),
                resultsBySeries,
                directory.resolve("curve.html"));
        System.out.println("see " + directory.resolve("curve.html"));
        return resultsBySeries.values().stream()
                        .flatMap(List::stream)
                        .flatMap(List::stream)
                        .allMatch(r -> r.violations().isEmpty())
                ? Cli.OK
                : Cli.FAILED;
    }

    /** The key that a sweep varies, and its values. */
    record SweepRange(String key, List<Double> values) {

        static SweepRange parse(String over) {
            var parts =
                    java.util.regex.Pattern.compile(
                                    "([a-z_.]+)=([0-9.]+?)\\.\\.([0-9.]+):(\\d{1,3})")
                            .matcher(over);
            if (!parts.matches()) {
                return null;
            }
            try {
                double from = Double.parseDouble(parts.group(2));
                double to = Double.parseDouble(parts.group(3));
                int steps = Integer.parseInt(parts.group(4));
                if (steps < 2 || steps > 100) {
                    return null;
                }
                List<Double> values = new ArrayList<>();
                for (int i = 0; i < steps; i++) {
                    values.add(from + (to - from) * i / (steps - 1));
                }
                return new SweepRange(parts.group(1), values);
            } catch (NumberFormatException e) {
                return null;
            }
        }
    }

    @Command(
            name = "cost",
            description =
                    "Measures the decision module's cost per request for different numbers of nodes and proxies.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int cost(
            @Option(
                            names = "--nodes",
                            split = ",",
                            paramLabel = "N",
                            defaultValue = "10,100,1000",
                            description = "numbers of cache nodes, as 10,100,1000")
                    List<Integer> nodes,
            @Option(
                            names = "--proxies",
                            split = ",",
                            paramLabel = "N",
                            defaultValue = "3,30,300",
                            description = "numbers of proxies, as 3,30,300")
                    List<Integer> proxies)
            throws BadFileException {
        System.out.printf(
                "%8s %8s %18s %18s %14s%n",
                "nodes", "proxies", "CPU us/request", "bytes/request", "bytes retained");
        for (int proxyCount : proxies) {
            for (int nodeCount : nodes) {
                ModuleCost.Cost cost =
                        ModuleCost.measure(
                                ExperimentFile.parse(
                                        Toml.parse(
                                                "lab cost",
                                                "name = \"cost\"\n[fleet]\nkeys = 100000\nnodes = "
                                                        + nodeCount
                                                        + "\n[proxies]\ncount = "
                                                        + proxyCount
                                                        + "\n")));
                System.out.printf(
                        Locale.ROOT,
                        "%8d %8d %10.2f ± %5.2f %18.0f %14.0f%n",
                        nodeCount,
                        proxyCount,
                        cost.cpuUs(),
                        cost.cpuStdDevUs(),
                        cost.allocatedBytes(),
                        cost.retainedBytes());
            }
        }
        return Cli.OK;
    }

    @Command(
            name = "compare",
            description =
                    "Compares two results. With directories of --repeat runs, each figure has its spread.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int compare(
            @Parameters(paramLabel = "A", description = "results.json, or a directory of runs")
                    Path first,
            @Parameters(paramLabel = "B", description = "results.json, or a directory of runs")
                    Path second)
            throws BadFileException, IOException {
        System.out.print(Comparison.table(Comparison.read(first), Comparison.read(second)));
        return Cli.OK;
    }
}
