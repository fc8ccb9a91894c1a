package yewpath.lab.report;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import yewpath.lab.run.Results;

/**
 * Compares paired runs. Two runs with the same seed and point have the same arrivals and faults, so that the
 * effect of these cancels out in the difference of their metrics. The confidence interval is Student's t
 * interval at 95% of the differences (Law, Simulation Modeling and Analysis, 2014, section 10.2).
 */
public final class PairedComparison {
    private PairedComparison() {}

    /**
     * Prints a table that compares the runs of two lists by point and metric.
     *
     * @return how many rows of the table show a difference, that is have an interval without zero
     */
    public static int print(PrintStream out, List<Results.Row> firstRuns, List<Results.Row> secondRuns,
        List<String> metrics) {
        Map<String, Results.Row> secondByKey = new LinkedHashMap<>();
        secondRuns.forEach(row -> secondByKey.put(row.seed() + " " + row.point(), row));
        Map<String, List<Results.Row[]>> pairsByPoint = new LinkedHashMap<>();
        for (Results.Row row : firstRuns) {
            Results.Row other = secondByKey.get(row.seed() + " " + row.point());
            if (other != null) {
                pairsByPoint.computeIfAbsent(row.point().toString(), key -> new ArrayList<>())
                    .add(new Results.Row[]{row, other});
            }
        }
        if (pairsByPoint.isEmpty()) {
            out.println("nothing to compare: no seed and point has a run on both sides");
            return 0;
        }
        int differenceCount = 0;
        out.println(
            "| point | figure | first | second | difference | 95% interval | pairs | |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (Map.Entry<String, List<Results.Row[]>> point : pairsByPoint.entrySet()) {
            for (String metric : metrics) {
                SummaryStatistics first = new SummaryStatistics();
                SummaryStatistics second = new SummaryStatistics();
                SummaryStatistics difference = new SummaryStatistics();
                for (Results.Row[] pair : point.getValue()) {
                    double firstValue = pair[0].metrics().get(metric);
                    double secondValue = pair[1].metrics().get(metric);
                    first.addValue(firstValue);
                    second.addValue(secondValue);
                    difference.addValue(secondValue - firstValue);
                }
                double halfWidth = halfWidth(difference);
                boolean differs = Math.abs(difference.getMean()) > halfWidth;
                differenceCount += differs ? 1 : 0;
                out.printf(Locale.ROOT, "| %s | %s | %.4f | %.4f | %+.4f | %s | %d | %s |%n", point.getKey(),
                    metric, first.getMean(),
                    second.getMean(), difference.getMean(), Double.isInfinite(halfWidth) ? "unknown"
                        : String.format(Locale.ROOT, "%+.4f to %+.4f", difference.getMean() - halfWidth,
                            difference.getMean() + halfWidth),
                    difference.getN(),
                    Double.isInfinite(halfWidth) ? "one pair is not enough"
                        : differs ? "differs" : "no difference seen");
            }
        }
        return differenceCount;
    }

    /** Returns half the width of the confidence interval; infinite for fewer than two differences. */
    static double halfWidth(SummaryStatistics difference) {
        long count = difference.getN();
        return count < 2 ? Double.POSITIVE_INFINITY
            : new TDistribution(count - 1).inverseCumulativeProbability(0.975)
                * difference.getStandardDeviation()
                / Math.sqrt(count);
    }
}
