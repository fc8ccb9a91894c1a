package yewpath.lab.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.EncodableHistogram;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogReader;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.lines.SeriesLines;
import org.knowm.xchart.style.markers.SeriesMarkers;
import yewpath.configuration.ConfigurationException;
import yewpath.lab.run.Results;
import yewpath.lab.scenario.ScenarioFile;

/** One HTML page of a folder's results, with its plots inside, readable without a network. */
public final class Report {
    private static final List<String> SWEPT = List.of("service", "in_time", "failed", "p50_ms", "p99_ms",
        "hand_ins", "deferrals", "falls");
    private static final java.awt.Color[] COLORS = {new java.awt.Color(0x1f77b4),
        new java.awt.Color(0xff7f0e),
        new java.awt.Color(0x2ca02c), new java.awt.Color(0xd62728), new java.awt.Color(0x9467bd),
        new java.awt.Color(0x8c564b),
        new java.awt.Color(0xe377c2), new java.awt.Color(0x7f7f7f), new java.awt.Color(0x17becf)};
    private final Path folder;
    private final List<Results.Row> rows;
    private final Set<String> policies = new LinkedHashSet<>();
    private final StringBuilder page = new StringBuilder();

    public Report(Path folder) throws IOException, ConfigurationException {
        this.folder = folder;
        rows = Results.read(folder);
        // In the scenario's order, not in that in which runs were done: colours must not change from page to page.
        Set<String> played = new LinkedHashSet<>();
        rows.forEach(row -> played.add(row.policy()));
        policies.addAll(ScenarioFile.read(folder.resolve("scenario.toml").toString()).base().policies);
        policies.retainAll(played);
        System.setProperty("java.awt.headless", "true");
    }

    /** Writes report.html into the folder, and the plots beside it under plots/. */
    public Path write() throws IOException {
        String name = folder.toAbsolutePath().getFileName().toString();
        page.append("<!doctype html><meta charset=\"utf-8\"><title>").append(escaped(name))
            .append("</title><style>body{font:15px sans-serif;"
                + "max-width:1000px;margin:2em auto;padding:0 1em}table{border-collapse:collapse;font-size:13px}td,th{border:1px solid #ccc;"
                + "padding:2px 8px;text-align:right}img{max-width:100%;margin:6px 0}pre{background:#f4f4f4;padding:1em}</style><h1>")
            .append(escaped(name)).append("</h1><p>").append(rows.size())
            .append(" runs. Lines are means over seeds, thin lines the least and most."
                + "</p>");
        Set<String> swept = new LinkedHashSet<>();
        rows.forEach(row -> swept.addAll(row.point().keySet()));
        if (!swept.isEmpty()) {
            sweep(swept.iterator().next());
        }
        series();
        delays();
        table();
        page.append("<h2>The scenario</h2><pre>")
            .append(escaped(Files.readString(folder.resolve("scenario.toml")))).append("</pre>");
        Path to = folder.resolve("report.html");
        Files.writeString(to, page);
        return to;
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static XYChart chart(String title, String x, String y) {
        XYChart chart = new XYChartBuilder().width(900).height(420).title(title).xAxisTitle(x).yAxisTitle(y)
            .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setPlotGridLinesVisible(true);
        chart.getStyler().setChartBackgroundColor(java.awt.Color.WHITE);
        chart.getStyler().setXAxisDecimalPattern("#.##");
        chart.getStyler().setYAxisDecimalPattern("#.###");
        chart.getStyler().setDefaultSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Line);
        return chart;
    }

    /** One line over all that is swept besides: its other parameters are meant to be read from the table. */
    private void sweep(String path) throws IOException {
        page.append("<h2>Over ").append(escaped(path)).append("</h2>");
        for (String figure : SWEPT) {
            XYChart chart = chart(figure + " over " + path, path, figure);
            boolean anything = false;
            for (String policy : policies) {
                TreeMap<Double, SummaryStatistics> points = new TreeMap<>();
                for (Results.Row row : rows) {
                    if (row.policy().equals(policy) && row.point().containsKey(path)) {
                        points.computeIfAbsent(row.point().get(path), p -> new SummaryStatistics())
                            .addValue(row.figures().get(figure));
                    }
                }
                double[] x = points.keySet().stream().mapToDouble(p -> p).toArray();
                double[] mean = points.values().stream().mapToDouble(SummaryStatistics::getMean).toArray();
                for (double one : mean) {
                    anything |= one != 0;
                }
                XYSeries line = chart.addSeries(policy, x, mean);
                line.setMarker(SeriesMarkers.CIRCLE);
                line.setMarkerColor(draw(line, policy, 3.5f));
                band(chart, policy, policy + " least", x,
                    points.values().stream().mapToDouble(SummaryStatistics::getMin).toArray());
                band(chart, policy, policy + " most", x,
                    points.values().stream().mapToDouble(SummaryStatistics::getMax).toArray());
            }
            if (anything) {
                double[] all = rows.stream().filter(row -> row.point().containsKey(path))
                    .mapToDouble(row -> row.point().get(path))
                    .filter(x -> x > 0).sorted().toArray();
                chart.getStyler().setXAxisLogarithmic(all.length > 0 && all[all.length - 1] > 50 * all[0]);
                if (figure.endsWith("_ms")) {
                    chart.getStyler().setYAxisLogarithmic(true);
                }
                add(chart, figure + "-over-" + path);
            }
        }
    }

    /** Each policy in the colour of its place; Logic's line is the widest. */
    private java.awt.Color draw(XYSeries line, String policy, float widest) {
        java.awt.Color color = COLORS[new ArrayList<>(policies).indexOf(policy) % COLORS.length];
        line.setLineColor(color);
        line.setLineStyle(SeriesLines.SOLID);
        line.setLineWidth(policy.equals("logic") ? widest : widest / 2.5f);
        return color;
    }

    private void band(XYChart chart, String policy, String name, double[] x, double[] y) {
        XYSeries edge = chart.addSeries(name, x, y);
        edge.setMarker(SeriesMarkers.NONE);
        draw(edge, policy, 0.6f);
        edge.setShowInLegend(false);
    }

    /** Of the first seed at the last point of the sweep. */
    private void series() throws IOException {
        Map<String, double[][]> all = new LinkedHashMap<>();
        for (String policy : policies) {
            Results.Row row = last(policy);
            Path file = folder.resolve("series").resolve(row.file() + ".csv");
            if (Files.exists(file)) {
                List<String> lines = Files.readAllLines(file);
                double[][] columns = new double[9][lines.size() - 1];
                for (int i = 1; i < lines.size(); i++) {
                    String[] fields = lines.get(i).split(",");
                    for (int j = 0; j < columns.length; j++) {
                        columns[j][i - 1] = Double.parseDouble(fields[j]);
                    }
                }
                all.put(policy, columns);
            }
        }
        if (all.isEmpty()) {
            return;
        }
        page.append("<h2>Over time, seed ").append(last(policies.iterator().next()).seed()).append(", ")
            .append(escaped(last(policies
                .iterator().next()).point().toString()))
            .append("</h2>");
        String[] titles = {"", "", "fulfilled in each interval", "refused and handed back in each interval",
            "envelopes held by all relays",
            "calls being served", "calls in endpoints' queues", "held by relay 0", "calls out of relay 0"};
        for (int column = 2; column < titles.length; column++) {
            XYChart chart = chart(titles[column], "s", "");
            for (Map.Entry<String, double[][]> one : all.entrySet()) {
                XYSeries line = chart.addSeries(one.getKey(), one.getValue()[0], one.getValue()[column]);
                line.setMarker(SeriesMarkers.NONE);
                draw(line, one.getKey(), 2.5f);
            }
            if (column == 2) {
                XYSeries wished = chart.addSeries("wished", all.values().iterator().next()[0],
                    all.values().iterator().next()[1]);
                wished.setMarker(SeriesMarkers.NONE);
                wished.setLineColor(java.awt.Color.LIGHT_GRAY);
            }
            add(chart, "time-" + column);
        }
    }

    private Results.Row last(String policy) {
        Results.Row last = null;
        for (Results.Row row : rows) {
            boolean further = last == null
                || !row.point().equals(last.point()) && row.point().values().stream().mapToDouble(v -> v)
                    .sum() > last.point().values().stream().mapToDouble(v -> v).sum()
                || row.point().equals(last.point()) && row.seed() < last.seed();
            last = row.policy().equals(policy) && further ? row : last;
        }
        return last;
    }

    private void delays() throws IOException {
        XYChart chart = chart(
            "Delay of what was fulfilled, all seeds, " + last(policies.iterator().next()).point(), "ms",
            "part within");
        for (String policy : policies) {
            Histogram all = new Histogram(3_600_000_000L, 3);
            Results.Row like = last(policy);
            for (Results.Row row : rows) {
                Path log = folder.resolve("delays").resolve(row.file() + ".hgrm");
                if (row.policy().equals(policy) && row.point().equals(like.point()) && Files.exists(log)) {
                    EncodableHistogram one = new HistogramLogReader(log.toFile()).nextIntervalHistogram();
                    if (one instanceof Histogram histogram) {
                        all.add(histogram);
                    }
                }
            }
            if (all.getTotalCount() > 0) {
                List<Double> x = new ArrayList<>();
                List<Double> y = new ArrayList<>();
                for (double percent = 0.5; percent < 100; percent += 0.5) {
                    x.add(Math.max(0.1, all.getValueAtPercentile(percent) / 1e3));
                    y.add(percent / 100);
                }
                XYSeries line = chart.addSeries(policy, x, y);
                line.setMarker(SeriesMarkers.NONE);
                draw(line, policy, 3f);
            }
        }
        if (!chart.getSeriesMap().isEmpty()) {
            chart.getStyler().setXAxisLogarithmic(true);
            page.append("<h2>Delays</h2>");
            add(chart, "delays");
        }
    }

    private void table() {
        page.append("<h2>Means</h2><table><tr><th>policy<th>point<th>runs");
        List<String> shown = List.of("service", "in_time", "failed", "p50_ms", "p99_ms", "hand_ins",
            "refusals", "deferrals", "falls", "broken");
        shown.forEach(figure -> page.append("<th>").append(figure));
        Map<String, Map<String, SummaryStatistics>> means = new LinkedHashMap<>();
        for (Results.Row row : rows.stream()
            .sorted((a, b) -> a.point().toString().compareTo(b.point().toString())).toList()) {
            Map<String, SummaryStatistics> of = means.computeIfAbsent(
                row.policy() + "<td>" + escaped(row.point().toString()), k -> new LinkedHashMap<>());
            shown.forEach(figure -> of.computeIfAbsent(figure, k -> new SummaryStatistics())
                .addValue(row.figures().get(figure)));
        }
        means.forEach((head, of) -> {
            page.append("<tr><td>").append(head).append("<td>").append(of.values().iterator().next().getN());
            of.values().forEach(one -> page.append("<td>")
                .append(String.format(Locale.ROOT, one.getMean() < 10 ? "%.3f" : "%.0f", one.getMean())));
        });
        page.append("</table>");
    }

    private void add(XYChart chart, String name) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        BitmapEncoder.saveBitmap(chart, bytes, BitmapEncoder.BitmapFormat.PNG);
        Files.write(Files.createDirectories(folder.resolve("plots"))
            .resolve(name.replaceAll("[^A-Za-z0-9-]", "_") + ".png"), bytes.toByteArray());
        page.append("<img alt=\"").append(escaped(chart.getTitle())).append("\" src=\"data:image/png;base64,")
            .append(new String(Base64.getEncoder().encode(bytes.toByteArray()), StandardCharsets.US_ASCII))
            .append("\">");
    }
}
