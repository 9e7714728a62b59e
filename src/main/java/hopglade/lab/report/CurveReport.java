package hopglade.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * The load-service curve of the source paper: what is served against what is offered, over a sweep. Worth is the paper's
 * calls weighted as this site counts them.
 */
public final class CurveReport {

    private CurveReport() { }

    /** A line a step: worth offered and served a second, by class, refusals and the highest level. */
    public static String table(String key, List<Double> values, Map<String, List<Results>> series) {
        StringBuilder table = new StringBuilder();
        series.forEach((name, results) -> {
            List<String> classes = results.get(0).figures().keySet().stream().filter(f -> f.matches("class\\..*\\.worth")).toList();
            table.append(String.format("%s%n%12s %10s %10s %8s", name, key, "offered/s", "served/s", "served"));
            classes.forEach(c -> table.append(String.format(" %12s", c.split("\\.")[1])));
            table.append(String.format(" %8s %6s%n", "refused", "level"));
            for (int i = 0; i < results.size(); i++) {
                Map<String, Double> f = results.get(i).figures();
                double offered = f.get("load.worth_per_s");
                table.append(String.format(Locale.ROOT, "%12s %10.0f %10.0f %8.3f", Results.plain(values.get(i)), offered,
                        offered * f.get("served.worth"), f.get("served.worth")));
                classes.forEach(c -> table.append(String.format(Locale.ROOT, " %12.3f", f.get(c))));
                table.append(String.format(Locale.ROOT, " %8.3f %6s%n", f.get("refused.share"), Results.plain(f.get("control.level_max"))));
            }
        });
        return table.toString();
    }

    public static void write(String name, String key, List<Double> values, Map<String, List<Results>> series, Path file) throws IOException {
        XYSeriesCollection curve = new XYSeriesCollection();
        series.forEach((label, results) -> {
            XYSeries line = new XYSeries(label);
            results.forEach(r -> line.add(r.figures().get("load.worth_per_s").doubleValue(),
                    r.figures().get("load.worth_per_s") * r.figures().get("served.worth")));
            curve.addSeries(line);
        });
        StringBuilder page = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>" + HtmlReport.safe(name)
                + "</title><body style=\"font:15px sans-serif;margin:2em auto;max-width:60em\"><h1>" + HtmlReport.safe(name) + "</h1>");
        HtmlReport.picture(page, HtmlReport.chart("Worth served against worth offered, a second", "offered", "served", curve), "load-service curve");
        page.append("<pre>").append(HtmlReport.safe(table(key, values, series))).append("</pre></html>\n");
        Files.writeString(file, page);
    }
}
