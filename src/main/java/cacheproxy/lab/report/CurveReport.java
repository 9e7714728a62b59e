package cacheproxy.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * The load-service curve of the source paper: served load against offered load over a sweep. The
 * paper counts calls; here each request counts by its priority weight.
 */
public final class CurveReport {

    private CurveReport() {}

    /**
     * Returns a table with one line per step: priority weight offered and served per second, served
     * share by class, rejections, and the highest control level, each as the mean over the step's
     * runs.
     */
    public static String table(
            String key, List<Double> values, Map<String, List<List<Results>>> series) {
        StringBuilder table = new StringBuilder();
        series.forEach(
                (name, steps) -> {
                    List<String> classes =
                            steps.get(0).get(0).figures().keySet().stream()
                                    .filter(f -> f.matches("class\\..*\\.worth"))
                                    .toList();
                    boolean repeated = steps.get(0).size() > 1;
                    table.append(
                            String.format(
                                    "%s%n%12s %10s %18s %8s",
                                    name,
                                    key,
                                    "offered/s",
                                    repeated ? "served/s ± sd" : "served/s",
                                    "served"));
                    classes.forEach(c -> table.append(String.format(" %12s", c.split("\\.")[1])));
                    table.append(String.format(" %8s %8s %6s%n", "refused", "attempts", "level"));
                    for (int i = 0; i < steps.size(); i++) {
                        List<Results> runs = steps.get(i);
                        SummaryStatistics served =
                                Comparison.statistics(runs, CurveReport::servedWeightPerS);
                        table.append(
                                String.format(
                                        Locale.ROOT,
                                        "%12s %10.0f %18s %8.3f",
                                        Results.formatNumber(values.get(i)),
                                        mean(runs, "load.worth_per_s"),
                                        String.format(
                                                Locale.ROOT,
                                                repeated ? "%.0f ± %.0f" : "%.0f",
                                                served.getMean(),
                                                served.getStandardDeviation()),
                                        mean(runs, "served.worth")));
                        classes.forEach(
                                c ->
                                        table.append(
                                                String.format(
                                                        Locale.ROOT, " %12.3f", mean(runs, c))));
                        table.append(
                                String.format(
                                        Locale.ROOT,
                                        " %8.3f %8.2f %6s%n",
                                        mean(runs, "refused.share"),
                                        mean(runs, "attempts.per_request"),
                                        Results.formatNumber(mean(runs, "control.level_max"))));
                    }
                });
        return table.toString();
    }

    private static double servedWeightPerS(Results r) {
        return r.figures().get("load.worth_per_s") * r.figures().get("served.worth");
    }

    private static double mean(List<Results> runs, String figure) {
        return Comparison.statistics(runs, r -> r.figures().get(figure)).getMean();
    }

    /** Writes the curve and the table as an HTML page. */
    public static void write(
            String name,
            String key,
            List<Double> values,
            Map<String, List<List<Results>>> series,
            Path file)
            throws IOException {
        XYSeriesCollection curve = new XYSeriesCollection();
        series.forEach(
                (label, steps) -> {
                    XYSeries line = new XYSeries(label);
                    steps.forEach(
                            runs ->
                                    line.add(
                                            mean(runs, "load.worth_per_s"),
                                            Comparison.statistics(
                                                            runs, CurveReport::servedWeightPerS)
                                                    .getMean()));
                    curve.addSeries(line);
                });
        StringBuilder page =
                new StringBuilder(
                        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>"
                                + HtmlReport.escape(name)
                                + "</title><body style=\"font:15px sans-serif;margin:2em auto;max-width:60em\"><h1>"
                                + HtmlReport.escape(name)
                                + "</h1>");
        HtmlReport.appendChart(
                page,
                HtmlReport.createChart(
                        "Priority weight served against offered, per second",
                        "offered",
                        "served",
                        curve),
                "load-service curve");
        page.append("<pre>")
                .append(HtmlReport.escape(table(key, values, series)))
                .append("</pre></html>\n");
        Files.writeString(file, page);
    }
}
