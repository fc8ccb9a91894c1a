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

/** Writes the results of a folder as a single HTML page that embeds its plots and needs no network. */
public final class HtmlReport {
    private static final List<String> PLOTTED_METRICS = List.of("service", "in_time", "failed", "p50_ms",
        "p99_ms",
        "hand_ins", "deferrals", "falls");
    private static final java.awt.Color[] COLORS = {new java.awt.Color(0x1f77b4),
        new java.awt.Color(0xff7f0e),
        new java.awt.Color(0x2ca02c), new java.awt.Color(0xd62728), new java.awt.Color(0x9467bd),
        new java.awt.Color(0x8c564b),
        new java.awt.Color(0xe377c2), new java.awt.Color(0x7f7f7f), new java.awt.Color(0x17becf)};
    private static final long MAX_DELAY_MICROS = 3_600_000_000L;

    private final Path folder;
    private final List<Results.Row> rows;
    private final Set<String> policies = new LinkedHashSet<>();
    private final StringBuilder page = new StringBuilder();

    /**
     * Reads the results of a folder.
     *
     * @throws IOException if the results cannot be read
     * @throws ConfigurationException if the scenario in the folder is invalid
     */
    public HtmlReport(Path folder) throws IOException, ConfigurationException {
        this.folder = folder;
        rows = Results.read(folder);
        // The order of the scenario, not that in which runs finished, keeps the colours the same in all
        // reports.
        Set<String> policiesWithRuns = new LinkedHashSet<>();
        rows.forEach(row -> policiesWithRuns.add(row.policy()));
        policies.addAll(ScenarioFile.read(folder.resolve("scenario.toml").toString()).base().policies);
        policies.retainAll(policiesWithRuns);
        System.setProperty("java.awt.headless", "true");
    }

    /**
     * Writes {@code report.html} and a folder {@code plots} with its images into the folder, and returns the
     * page.
     */
    public Path write() throws IOException {
        String name = folder.toAbsolutePath().getFileName().toString();
        page.append("<!doctype html><meta charset=\"utf-8\"><title>").append(escaped(name))
            .append("</title><style>body{font:15px sans-serif;"
                + "max-width:1000px;margin:2em auto;padding:0 1em}table{border-collapse:collapse;font-size:13px}td,th{border:1px solid #ccc;"
                + "padding:2px 8px;text-align:right}img{max-width:100%;margin:6px 0}pre{background:#f4f4f4;padding:1em}</style><h1>")
            .append(escaped(name)).append("</h1><p>").append(rows.size())
            .append(" runs. Lines are means over seeds, thin lines the minimum and maximum."
                + "</p>");
        Set<String> swept = new LinkedHashSet<>();
        rows.forEach(row -> swept.addAll(row.point().keySet()));
        if (!swept.isEmpty()) {
            addSweepPlots(swept.iterator().next());
        }
        addTimePlots();
        addDelayPlot();
        addTable();
        page.append("<h2>The scenario</h2><pre>")
            .append(escaped(Files.readString(folder.resolve("scenario.toml")))).append("</pre>");
        Path reportFile = folder.resolve("report.html");
        Files.writeString(reportFile, page);
        return reportFile;
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static XYChart newChart(String title, String xTitle, String yTitle) {
        XYChart chart = new XYChartBuilder().width(900).height(420).title(title).xAxisTitle(xTitle)
            .yAxisTitle(yTitle)
            .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setPlotGridLinesVisible(true);
        chart.getStyler().setChartBackgroundColor(java.awt.Color.WHITE);
        chart.getStyler().setXAxisDecimalPattern("#.##");
        chart.getStyler().setYAxisDecimalPattern("#.###");
        chart.getStyler().setDefaultSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Line);
        return chart;
    }

    /**
     * Adds plots of the metrics over one swept parameter. Each value is the mean over all other swept
     * parameters, whose influence the table shows.
     */
    private void addSweepPlots(String path) throws IOException {
        page.append("<h2>Over ").append(escaped(path)).append("</h2>");
        for (String metric : PLOTTED_METRICS) {
            XYChart chart = newChart(metric + " over " + path, path, metric);
            boolean hasNonZero = false;
            for (String policy : policies) {
                TreeMap<Double, SummaryStatistics> statisticsByValue = new TreeMap<>();
                for (Results.Row row : rows) {
                    if (row.policy().equals(policy) && row.point().containsKey(path)) {
                        statisticsByValue
                            .computeIfAbsent(row.point().get(path), key -> new SummaryStatistics())
                            .addValue(row.metrics().get(metric));
                    }
                }
                double[] xValues = statisticsByValue.keySet().stream().mapToDouble(value -> value).toArray();
                double[] means = statisticsByValue.values().stream().mapToDouble(SummaryStatistics::getMean)
                    .toArray();
                for (double value : means) {
                    hasNonZero |= value != 0;
                }
                XYSeries line = chart.addSeries(policy, xValues, means);
                line.setMarker(SeriesMarkers.CIRCLE);
                line.setMarkerColor(applyStyle(line, policy, 3.5f));
                addBound(chart, policy, policy + " minimum", xValues,
                    statisticsByValue.values().stream().mapToDouble(SummaryStatistics::getMin).toArray());
                addBound(chart, policy, policy + " maximum", xValues,
                    statisticsByValue.values().stream().mapToDouble(SummaryStatistics::getMax).toArray());
            }
            if (hasNonZero) {
                double[] values = rows.stream().filter(row -> row.point().containsKey(path))
                    .mapToDouble(row -> row.point().get(path))
                    .filter(value -> value > 0).sorted().toArray();
                chart.getStyler()
                    .setXAxisLogarithmic(values.length > 0 && values[values.length - 1] > 50 * values[0]);
                if (metric.endsWith("_ms")) {
                    chart.getStyler().setYAxisLogarithmic(true);
                }
                addImage(chart, metric + "-over-" + path);
            }
        }
    }

    /** Gives a line the colour of its policy, and returns that; the lines of {@code logic} are the widest. */
    private java.awt.Color applyStyle(XYSeries line, String policy, float maxWidth) {
        java.awt.Color color = COLORS[new ArrayList<>(policies).indexOf(policy) % COLORS.length];
        line.setLineColor(color);
        line.setLineStyle(SeriesLines.SOLID);
        line.setLineWidth(policy.equals("logic") ? maxWidth : maxWidth / 2.5f);
        return color;
    }

    private void addBound(XYChart chart, String policy, String name, double[] xValues, double[] yValues) {
        XYSeries bound = chart.addSeries(name, xValues, yValues);
        bound.setMarker(SeriesMarkers.NONE);
        applyStyle(bound, policy, 0.6f);
        bound.setShowInLegend(false);
    }

    /** Adds plots over time for the run of each policy that {@link #lastRun} selects. */
    private void addTimePlots() throws IOException {
        Map<String, double[][]> columnsByPolicy = new LinkedHashMap<>();
        for (String policy : policies) {
            Results.Row row = lastRun(policy);
            Path file = folder.resolve("series").resolve(row.fileName() + ".csv");
            if (Files.exists(file)) {
                List<String> lines = Files.readAllLines(file);
                double[][] columns = new double[9][lines.size() - 1];
                for (int i = 1; i < lines.size(); i++) {
                    String[] fields = lines.get(i).split(",");
                    for (int j = 0; j < columns.length; j++) {
                        columns[j][i - 1] = Double.parseDouble(fields[j]);
                    }
                }
                columnsByPolicy.put(policy, columns);
            }
        }
        if (columnsByPolicy.isEmpty()) {
            return;
        }
        page.append("<h2>Over time, seed ").append(lastRun(policies.iterator().next()).seed()).append(", ")
            .append(escaped(lastRun(policies
                .iterator().next()).point().toString()))
            .append("</h2>");
        String[] titles = {"", "", "delivered in each interval", "rejected in each interval",
            "messages held by all relays",
            "calls being served", "calls in endpoints' queues", "held by relay 0",
            "calls in progress of relay 0"};
        for (int column = 2; column < titles.length; column++) {
            XYChart chart = newChart(titles[column], "s", "");
            for (Map.Entry<String, double[][]> entry : columnsByPolicy.entrySet()) {
                XYSeries line = chart.addSeries(entry.getKey(), entry.getValue()[0],
                    entry.getValue()[column]);
                line.setMarker(SeriesMarkers.NONE);
                applyStyle(line, entry.getKey(), 2.5f);
            }
            if (column == 2) {
                XYSeries requested = chart.addSeries("requested",
                    columnsByPolicy.values().iterator().next()[0],
                    columnsByPolicy.values().iterator().next()[1]);
                requested.setMarker(SeriesMarkers.NONE);
                requested.setLineColor(java.awt.Color.LIGHT_GRAY);
            }
            addImage(chart, "time-" + column);
        }
    }

    /**
     * Returns the run of a policy at the point with the greatest sum of parameters, with the lowest seed
     * there.
     */
    private Results.Row lastRun(String policy) {
        Results.Row selected = null;
        for (Results.Row row : rows) {
            boolean preferred = selected == null
                || !row.point().equals(selected.point())
                    && row.point().values().stream().mapToDouble(value -> value)
                        .sum() > selected.point().values().stream().mapToDouble(value -> value).sum()
                || row.point().equals(selected.point()) && row.seed() < selected.seed();
            selected = row.policy().equals(policy) && preferred ? row : selected;
        }
        return selected;
    }

    /**
     * Adds a plot of the distribution of delays over all seeds, at the point that {@link #lastRun} selects.
     */
    private void addDelayPlot() throws IOException {
        XYChart chart = newChart(
            "Delay of delivered messages, all seeds, " + lastRun(policies.iterator().next()).point(), "ms",
            "share delivered within");
        for (String policy : policies) {
            Histogram total = new Histogram(MAX_DELAY_MICROS, 3);
            Results.Row selected = lastRun(policy);
            for (Results.Row row : rows) {
                Path log = folder.resolve("delays").resolve(row.fileName() + ".hgrm");
                if (row.policy().equals(policy) && row.point().equals(selected.point())
                    && Files.exists(log)) {
                    EncodableHistogram histogram = new HistogramLogReader(log.toFile())
                        .nextIntervalHistogram();
                    if (histogram instanceof Histogram delays) {
                        total.add(delays);
                    }
                }
            }
            if (total.getTotalCount() > 0) {
                List<Double> xValues = new ArrayList<>();
                List<Double> yValues = new ArrayList<>();
                for (double percent = 0.5; percent < 100; percent += 0.5) {
                    xValues.add(Math.max(0.1, total.getValueAtPercentile(percent) / 1e3));
                    yValues.add(percent / 100);
                }
                XYSeries line = chart.addSeries(policy, xValues, yValues);
                line.setMarker(SeriesMarkers.NONE);
                applyStyle(line, policy, 3f);
            }
        }
        if (!chart.getSeriesMap().isEmpty()) {
            chart.getStyler().setXAxisLogarithmic(true);
            page.append("<h2>Delays</h2>");
            addImage(chart, "delays");
        }
    }

    private void addTable() {
        page.append("<h2>Means</h2><table><tr><th>policy<th>point<th>runs");
        List<String> shown = List.of("service", "in_time", "failed", "p50_ms", "p99_ms", "hand_ins",
            "refusals", "deferrals", "falls", "broken");
        shown.forEach(metric -> page.append("<th>").append(metric));
        Map<String, Map<String, SummaryStatistics>> statisticsByRow = new LinkedHashMap<>();
        for (Results.Row row : rows.stream()
            .sorted((left, right) -> left.point().toString().compareTo(right.point().toString())).toList()) {
            Map<String, SummaryStatistics> statistics = statisticsByRow.computeIfAbsent(
                row.policy() + "<td>" + escaped(row.point().toString()), key -> new LinkedHashMap<>());
            shown.forEach(metric -> statistics.computeIfAbsent(metric, key -> new SummaryStatistics())
                .addValue(row.metrics().get(metric)));
        }
        statisticsByRow.forEach((head, statistics) -> {
            page.append("<tr><td>").append(head).append("<td>")
                .append(statistics.values().iterator().next().getN());
            statistics.values().forEach(statistic -> page.append("<td>")
                .append(String.format(Locale.ROOT, statistic.getMean() < 10 ? "%.3f" : "%.0f",
                    statistic.getMean())));
        });
        page.append("</table>");
    }

    /** Adds a chart to the page and writes it as an image into the folder {@code plots}. */
    private void addImage(XYChart chart, String name) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        BitmapEncoder.saveBitmap(chart, bytes, BitmapEncoder.BitmapFormat.PNG);
        Files.write(Files.createDirectories(folder.resolve("plots"))
            .resolve(name.replaceAll("[^A-Za-z0-9-]", "_") + ".png"), bytes.toByteArray());
        page.append("<img alt=\"").append(escaped(chart.getTitle())).append("\" src=\"data:image/png;base64,")
            .append(new String(Base64.getEncoder().encode(bytes.toByteArray()), StandardCharsets.US_ASCII))
            .append("\">");
    }
}
