package cacheproxy.lab.report;

import cacheproxy.config.BadFileException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Stream;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * Compares two sets of runs: the mean of each figure, its standard deviation between runs, and the
 * difference of the means.
 */
public final class Comparison {

    /** A difference of means is marked as significant beyond this number of standard errors. */
    private static final double SIGNIFICANT_ERRORS = 2;

    private Comparison() {}

    /** Reads the results in a file, or in a directory and its immediate subdirectories. */
    public static List<Results> read(Path from) throws BadFileException, IOException {
        if (!Files.isDirectory(from)) {
            return List.of(Results.read(from));
        }
        List<Results> all = new ArrayList<>();
        try (Stream<Path> files = Files.walk(from, 2)) {
            for (Path file : files.filter(f -> f.endsWith("results.json")).sorted().toList()) {
                all.add(Results.read(file));
            }
        }
        if (all.isEmpty()) {
            throw new BadFileException(from + ": found no results.json in this directory");
        }
        return all;
    }

    /** Returns a table that compares every figure of two sets of runs. */
    public static String table(List<Results> a, List<Results> b) {
        Set<String> names = new TreeSet<>();
        a.forEach(r -> names.addAll(r.figures().keySet()));
        b.forEach(r -> names.addAll(r.figures().keySet()));
        StringBuilder table =
                new StringBuilder(
                        String.format(
                                "%-34s %22s %22s %12s%n",
                                "figure (" + a.size() + " and " + b.size() + " runs)",
                                "A mean ± sd",
                                "B mean ± sd",
                                "B - A"));
        for (String name : names) {
            SummaryStatistics left = statistics(a, name);
            SummaryStatistics right = statistics(b, name);
            double difference = right.getMean() - left.getMean();
            boolean repeated = a.size() > 1 && b.size() > 1;
            double standardError =
                    Math.sqrt(left.getVariance() / a.size() + right.getVariance() / b.size());
            table.append(
                    String.format(
                            Locale.ROOT,
                            "%-34s %22s %22s %12s%s%n",
                            name,
                            format(left),
                            format(right),
                            Results.formatNumber(difference),
                            repeated
                                            && Math.abs(difference)
                                                    > SIGNIFICANT_ERRORS * standardError
                                            && difference != 0
                                    ? " *"
                                    : ""));
        }
        return table.append(
                        a.size() > 1 && b.size() > 1
                                ? "* beyond "
                                        + Results.formatNumber(SIGNIFICANT_ERRORS)
                                        + " standard errors\n"
                                : "")
                .toString();
    }

    private static String format(SummaryStatistics statistics) {
        return statistics.getN() == 0
                ? "-"
                : Results.formatNumber(statistics.getMean())
                        + (statistics.getN() > 1
                                ? " ± " + Results.formatNumber(statistics.getStandardDeviation())
                                : "");
    }

    private static SummaryStatistics statistics(List<Results> runs, String name) {
        return statistics(runs, r -> r.figures().get(name));
    }

    /** Returns the statistics of a figure over runs; runs that do not have it are left out. */
    static SummaryStatistics statistics(List<Results> runs, Function<Results, Double> figure) {
        SummaryStatistics statistics = new SummaryStatistics();
        runs.stream()
                .map(figure)
                .filter(v -> v != null && !v.isNaN())
                .forEach(statistics::addValue);
        return statistics;
    }
}
