package cacheproxy.lab.report;

import cacheproxy.lab.report.Results.Mark;
import cacheproxy.lab.report.Results.Window;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Writes results as a self-contained HTML page, without scripts or external resources. */
public final class HtmlReport {

    private static final int WIDTH = 900;
    private static final int HEIGHT = 260;

    private HtmlReport() {}

    public static void write(Results results, Path file) throws IOException {
        StringBuilder page =
                new StringBuilder(
                                "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>")
                        .append(escape(results.experiment()))
                        .append(
                                "</title><style>body{font:15px sans-serif;margin:2em auto;max-width:60em}"
                                        + "td,th{padding:.1em .8em;text-align:left}td:nth-child(2){text-align:right;font-family:monospace}"
                                        + ".bad{color:#a00}img{max-width:100%}</style><h1>")
                        .append(escape(results.experiment()))
                        .append("</h1><p>")
                        .append(escape(results.about()))
                        .append("</p><p>Driver ")
                        .append(results.driver())
                        .append(", seed ")
                        .append(results.seed())
                        .append(", load ")
                        .append(results.load(), 0, 16)
                        .append("…</p>");
        appendList(page, "Bounds not met", results.missed());
        appendList(page, "Broken rules", results.violations());
        if (results.passed()) {
            page.append("<p>All bounds are met and no rule is broken.</p>");
        }
        appendPlot(
                page,
                results,
                "Requests per second",
                Map.of(
                        "asked",
                        Window::asked,
                        "served",
                        Window::served,
                        "refused",
                        Window::refused,
                        "failed",
                        Window::failed));
        appendPlot(
                page,
                results,
                "Served share of priority weight",
                Map.of("worth", w -> w.worthAsked() == 0 ? 1 : w.worthServed() / w.worthAsked()));
        appendPlot(
                page,
                results,
                "Latency of served requests, ms",
                Map.of("p50", Window::p50Ms, "p99", Window::p99Ms));
        appendPlot(
                page,
                results,
                "Control level, maximum of all proxies",
                Map.of("level", Window::level));
        appendList(
                page,
                "Events",
                results.marks().stream().map(m -> m.atS() + " s: " + m.what()).toList());
        page.append("<h2>Figures</h2><table>");
        results.figures()
                .forEach(
                        (name, value) ->
                                page.append("<tr><td>")
                                        .append(escape(name))
                                        .append("</td><td>")
                                        .append(Results.formatNumber(value))
                                        .append("</td></tr>"));
        Files.writeString(file, page.append("</table></html>\n"));
    }

    private static void appendList(StringBuilder page, String title, List<String> lines) {
        if (!lines.isEmpty()) {
            page.append("<h2>").append(title).append("</h2><ul>");
            lines.forEach(l -> page.append("<li>").append(escape(l)).append("</li>"));
            page.append("</ul>");
        }
    }

    private static void appendPlot(
            StringBuilder page,
            Results results,
            String title,
            Map<String, ToDoubleFunction<Window>> lines)
            throws IOException {
        XYSeriesCollection data = new XYSeriesCollection();
        lines.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        line -> {
                            XYSeries series = new XYSeries(line.getKey());
                            results.timeline()
                                    .forEach(
                                            w ->
                                                    series.add(
                                                            w.s(),
                                                            line.getValue().applyAsDouble(w)));
                            data.addSeries(series);
                        });
        JFreeChart chart = createChart(title, "s", "", data);
        for (Mark mark : results.marks()) {
            ValueMarker line =
                    new ValueMarker(
                            mark.atS(),
                            Color.GRAY,
                            new BasicStroke(
                                    1,
                                    BasicStroke.CAP_BUTT,
                                    BasicStroke.JOIN_BEVEL,
                                    1,
                                    new float[] {4, 4},
                                    0));
            chart.getXYPlot().addDomainMarker(line);
        }
        appendChart(page, chart, title);
    }

    static JFreeChart createChart(String title, String x, String y, XYSeriesCollection data) {
        JFreeChart chart =
                ChartFactory.createXYLineChart(
                        title,
                        x,
                        y,
                        data,
                        PlotOrientation.VERTICAL,
                        data.getSeriesCount() > 1,
                        false,
                        false);
        chart.getTitle().setFont(new Font(Font.SANS_SERIF, Font.PLAIN, 15));
        chart.setBackgroundPaint(Color.WHITE);
        chart.getXYPlot().setBackgroundPaint(Color.WHITE);
        chart.getXYPlot().setRangeGridlinePaint(Color.LIGHT_GRAY);
        for (int i = 0; i < data.getSeriesCount(); i++) {
            chart.getXYPlot().getRenderer().setSeriesStroke(i, new BasicStroke(2));
        }
        return chart;
    }

    static void appendChart(StringBuilder page, JFreeChart chart, String title) throws IOException {
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        ChartUtils.writeChartAsPNG(png, chart, WIDTH, HEIGHT);
        page.append("<p><img alt=\"")
                .append(escape(title))
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(png.toByteArray()))
                .append("\"></p>");
    }

    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
