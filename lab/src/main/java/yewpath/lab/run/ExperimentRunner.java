package yewpath.lab.run;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.HistogramLogWriter;
import yewpath.lab.referee.Referee;
import yewpath.lab.scenario.Scenario;
import yewpath.lab.scenario.ScenarioFile;
import yewpath.lab.world.World;

/**
 * Runs all points, policies and seeds of a scenario file and writes the results into a folder:
 * {@code runs.jsonl} with a line for each finished run, {@code table.csv} with the same values once all runs
 * are done, the delays of each run as an HdrHistogram log in {@code delays}, and a time series of each run in
 * {@code series}. Runs whose results are already in the folder are skipped, so that an interruption loses
 * only the runs that were in progress.
 */
public final class ExperimentRunner {
    /** The names of the metrics of a run, in the order of the columns of the table. */
    public static final List<String> METRICS = List.of("service", "fulfilled", "in_time", "failed", "wishes",
        "hand_ins", "refusals",
        "deferrals", "falls", "broken", "events", "p50_ms", "p99_ms", "p999_ms");

    private record RunSpec(Map<String, Double> point, String policy, long seed) {
        String id() {
            StringBuilder id = new StringBuilder(policy).append(" seed=").append(seed);
            point.forEach((path, value) -> id.append(' ').append(path).append('=').append(value));
            return id.toString();
        }
    }

    private final PrintStream console;
    private final Path folder;
    private final ScenarioFile file;
    private double nextProgressSeconds;

    /**
     * Creates a runner.
     *
     * @param console where the progress and violated rules are printed
     * @param folder existing folder of the results
     */
    public ExperimentRunner(PrintStream console, Path folder, ScenarioFile file) {
        this.console = console;
        this.folder = folder;
        this.file = file;
    }

    /**
     * Runs everything that the folder does not hold yet.
     *
     * @param threads number of runs at a time
     * @return 0, or 1 if a strict run violated a rule
     * @throws IOException if a run failed or a result could not be written
     */
    public int run(int threads) throws IOException, InterruptedException {
        Path resultsFile = folder.resolve("runs.jsonl");
        Map<String, String> lineByRun = readFinished(resultsFile);
        List<RunSpec> all = allRuns();
        List<RunSpec> remaining = all.stream().filter(run -> !lineByRun.containsKey(run.id())).toList();
        console.println(
            all.size() + " runs, " + (all.size() - remaining.size()) + " of them finished earlier, on "
                + threads + " threads");
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        long startedNanos = System.nanoTime();
        int[] finished = {0};
        boolean[] ruleViolated = {false};
        List<Exception> failures = new ArrayList<>();
        for (RunSpec run : remaining) {
            pool.execute(() -> {
                try {
                    World.RunResult result = new World(file.atPoint(run.point), run.policy, run.seed).run();
                    String line = toJsonLine(run, result);
                    synchronized (finished) {
                        Files.writeString(resultsFile, line, StandardOpenOption.CREATE,
                            StandardOpenOption.APPEND);
                        writeDelays(run, result);
                        writeSeries(run, result);
                        lineByRun.put(run.id(), line);
                        printProgress(++finished[0], remaining.size(), startedNanos);
                    }
                } catch (Referee.RuleViolation violation) {
                    synchronized (finished) {
                        ruleViolated[0] = true;
                        console.println("\nrule violated in " + run.id() + ": " + violation.getMessage());
                        finished[0]++;
                    }
                } catch (IOException | RuntimeException exception) {
                    synchronized (finished) {
                        failures.add(exception);
                        console.println("\n" + run.id() + " failed: " + exception);
                    }
                }
            });
        }
        pool.shutdown();
        pool.awaitTermination(7, TimeUnit.DAYS);
        if (!failures.isEmpty()) {
            throw new IOException(failures.size() + " runs failed", failures.get(0));
        }
        writeTable(all, lineByRun);
        return ruleViolated[0] ? 1 : 0;
    }

    private List<RunSpec> allRuns() {
        Scenario base = file.base();
        List<RunSpec> all = new ArrayList<>();
        for (Map<String, Double> point : file.points()) {
            for (String policy : base.policies) {
                for (int i = 0; i < base.repeats; i++) {
                    all.add(new RunSpec(point, policy, base.seed + i));
                }
            }
        }
        return all;
    }

    private void printProgress(int finished, int total, long startedNanos) {
        double seconds = (System.nanoTime() - startedNanos) / 1e9;
        if (finished < total && seconds < nextProgressSeconds) {
            return;
        }
        nextProgressSeconds = seconds + 0.5;
        console.printf("\r%d of %d, %.0f s elapsed, about %.0f s remaining   ", finished, total, seconds,
            seconds / finished * (total - finished));
        if (finished == total) {
            console.println();
        }
        console.flush();
    }

    /**
     * Returns the lines of finished runs by the id of the run. Incomplete lines, left by an interruption, are
     * removed from the file, and their runs are repeated.
     */
    private static Map<String, String> readFinished(Path resultsFile) throws IOException {
        Map<String, String> lineByRun = new TreeMap<>();
        if (!Files.exists(resultsFile)) {
            return lineByRun;
        }
        StringBuilder completeLines = new StringBuilder();
        for (String line : Files.readAllLines(resultsFile)) {
            try (JsonParser parser = new JsonFactory().createParser(line)) {
                String id = null;
                while (parser.nextToken() != null) {
                    id = id == null && "run".equals(parser.currentName())
                        && parser.currentToken().isScalarValue()
                            ? parser.getText() : id;
                }
                if (id != null) {
                    lineByRun.put(id, line + "\n");
                    completeLines.append(line).append('\n');
                }
            } catch (IOException incompleteLine) {
                continue;
            }
        }
        Path next = resultsFile.resolveSibling("runs.next");
        Files.writeString(next, completeLines);
        Files.move(next, resultsFile, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        return lineByRun;
    }

    private static double[] metricsOf(World.RunResult result) {
        return new double[]{result.revenueShare(), result.deliveredShare(), result.onTimeShare(),
            result.failedShare(),
            result.requests(), result.submissions(),
            result.refusals(), result.rejections(),
            result.collapses(), result.violationCount(), result.eventCount(),
            result.deliveryDelays().getValueAtPercentile(50) / 1e3,
            result.deliveryDelays().getValueAtPercentile(99) / 1e3,
            result.deliveryDelays().getValueAtPercentile(99.9) / 1e3};
    }

    private static String toJsonLine(RunSpec run, World.RunResult result) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("run", run.id());
            out.writeStringField("policy", run.policy);
            out.writeNumberField("seed", run.seed);
            out.writeObjectFieldStart("point");
            for (Map.Entry<String, Double> parameter : run.point.entrySet()) {
                out.writeNumberField(parameter.getKey(), parameter.getValue());
            }
            out.writeEndObject();
            double[] metrics = metricsOf(result);
            for (int i = 0; i < metrics.length; i++) {
                out.writeNumberField(METRICS.get(i), metrics[i]);
            }
            out.writeEndObject();
        }
        return text + "\n";
    }

    private void writeSeries(RunSpec run, World.RunResult result) throws IOException {
        StringBuilder csv = new StringBuilder(
            "at_s,wished,fulfilled,refused,held,serving,waiting,relay_0_holds,relay_0_out\n");
        for (World.Sample sample : result.samples()) {
            csv.append(sample.atMicros() / 1e6).append(',').append(sample.requests()).append(',')
                .append(sample.deliveries())
                .append(',').append(sample.refusedOrRejected())
                .append(',').append(sample.openMessages()).append(',').append(sample.callsInService())
                .append(',')
                .append(sample.callsQueued())
                .append(',')
                .append(sample.firstRelayOpenMessages()).append(',').append(sample.firstRelayOpenCalls())
                .append('\n');
        }
        Files.writeString(
            Files.createDirectories(folder.resolve("series")).resolve(fileName(run.id()) + ".csv"),
            csv);
    }

    /** Returns the name, without extension, of the files of a run. */
    static String fileName(String id) {
        return id.replaceAll("[^A-Za-z0-9.=_-]", "_");
    }

    private void writeDelays(RunSpec run, World.RunResult result) throws IOException {
        Path delaysFolder = Files.createDirectories(folder.resolve("delays"));
        try (
            PrintStream file = new PrintStream(delaysFolder.resolve(fileName(run.id()) + ".hgrm").toFile())) {
            HistogramLogWriter log = new HistogramLogWriter(file);
            log.outputLogFormatVersion();
            log.outputIntervalHistogram(result.deliveryDelays());
        }
    }

    /**
     * Writes all runs in the order of the scenario, which does not depend on the order in which they
     * finished.
     */
    private void writeTable(List<RunSpec> all, Map<String, String> lineByRun) throws IOException {
        StringBuilder csv = new StringBuilder("policy,seed");
        file.base().sweeps.keySet().forEach(path -> csv.append(',').append(path));
        METRICS.forEach(metric -> csv.append(',').append(metric));
        csv.append('\n');
        for (RunSpec run : all) {
            String line = lineByRun.get(run.id());
            if (line == null) {
                continue;
            }
            csv.append(run.policy).append(',').append(run.seed);
            run.point.values().forEach(value -> csv.append(',').append(value));
            Map<String, String> metrics = new LinkedHashMap<>();
            try (JsonParser parser = new JsonFactory().createParser(line)) {
                while (parser.nextToken() != null) {
                    if (parser.currentToken().isNumeric()) {
                        metrics.put(parser.currentName(), parser.getText());
                    }
                }
            }
            METRICS.forEach(metric -> csv.append(',').append(metrics.get(metric)));
            csv.append('\n');
        }
        Files.writeString(folder.resolve("table.csv"), csv);
    }
}
