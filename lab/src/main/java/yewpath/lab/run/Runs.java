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
 * One folder of results: the scenario, {@code runs.jsonl} with a line a run, {@code table.csv} of the same once all are
 * done, and delays as HdrHistogram logs. What stands in the folder already is not played again, so a stop at any time
 * costs only the runs that were under way.
 */
public final class Runs {
    /** The figures of a run, in the table's order. */
    public static final List<String> FIGURES = List.of("service", "fulfilled", "in_time", "failed", "wishes",
        "hand_ins", "refusals",
        "deferrals", "falls", "broken", "events", "p50_ms", "p99_ms", "p999_ms");

    private record Run(Map<String, Double> point, String policy, long seed) {
        String id() {
            StringBuilder id = new StringBuilder(policy).append(" seed=").append(seed);
            point.forEach((path, figure) -> id.append(' ').append(path).append('=').append(figure));
            return id.toString();
        }
    }

    private final PrintStream say;
    private final Path folder;
    private final ScenarioFile file;
    private double progressAt;

    public Runs(PrintStream say, Path folder, ScenarioFile file) {
        this.say = say;
        this.folder = folder;
        this.file = file;
    }

    /** Returns 0, or 1 where a strict run broke a rule. */
    public int play(int threads) throws IOException, InterruptedException {
        Path lines = folder.resolve("runs.jsonl");
        Map<String, String> done = read(lines);
        List<Run> all = all();
        List<Run> left = all.stream().filter(run -> !done.containsKey(run.id())).toList();
        say.println(all.size() + " runs, " + (all.size() - left.size()) + " of them there already, on "
            + threads + " threads");
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        long begun = System.nanoTime();
        int[] finished = {0};
        boolean[] broke = {false};
        List<Exception> failed = new ArrayList<>();
        for (Run run : left) {
            pool.execute(() -> {
                try {
                    World.RunResult outcome = new World(file.atPoint(run.point), run.policy, run.seed).run();
                    String line = line(run, outcome);
                    synchronized (finished) {
                        Files.writeString(lines, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                        histogram(run, outcome);
                        series(run, outcome);
                        done.put(run.id(), line);
                        progress(++finished[0], left.size(), begun);
                    }
                } catch (Referee.RuleViolation broken) {
                    synchronized (finished) {
                        broke[0] = true;
                        say.println("\nrule broken in " + run.id() + ": " + broken.getMessage());
                        finished[0]++;
                    }
                } catch (IOException | RuntimeException e) {
                    synchronized (finished) {
                        failed.add(e);
                        say.println("\n" + run.id() + " failed: " + e);
                    }
                }
            });
        }
        pool.shutdown();
        pool.awaitTermination(7, TimeUnit.DAYS);
        if (!failed.isEmpty()) {
            throw new IOException(failed.size() + " runs failed", failed.get(0));
        }
        table(all, done);
        return broke[0] ? 1 : 0;
    }

    private List<Run> all() {
        Scenario base = file.base();
        List<Run> all = new ArrayList<>();
        for (Map<String, Double> point : file.points()) {
            for (String policy : base.policies) {
                for (int i = 0; i < base.repeats; i++) {
                    all.add(new Run(point, policy, base.seed + i));
                }
            }
        }
        return all;
    }

    private void progress(int finished, int of, long begun) {
        double seconds = (System.nanoTime() - begun) / 1e9;
        if (finished < of && seconds < progressAt) {
            return;
        }
        progressAt = seconds + 0.5;
        say.printf("\r%d of %d, %.0f s gone, some %.0f s left   ", finished, of, seconds,
            seconds / finished * (of - finished));
        if (finished == of) {
            say.println();
        }
        say.flush();
    }

    /** Lines by the id of their run; a last line cut short by a stop is dropped, and its run played again. */
    private static Map<String, String> read(Path lines) throws IOException {
        Map<String, String> done = new TreeMap<>();
        if (!Files.exists(lines)) {
            return done;
        }
        StringBuilder whole = new StringBuilder();
        for (String line : Files.readAllLines(lines)) {
            try (JsonParser at = new JsonFactory().createParser(line)) {
                String id = null;
                while (at.nextToken() != null) {
                    id = id == null && "run".equals(at.currentName()) && at.currentToken().isScalarValue()
                        ? at.getText() : id;
                }
                if (id != null) {
                    done.put(id, line + "\n");
                    whole.append(line).append('\n');
                }
            } catch (IOException cutShort) {
                continue;
            }
        }
        Path next = lines.resolveSibling("runs.next");
        Files.writeString(next, whole);
        Files.move(next, lines, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        return done;
    }

    private static double[] figures(World.RunResult o) {
        return new double[]{o.revenueShare(), o.deliveredShare(), o.onTimeShare(), o.failedShare(),
            o.requests(), o.submissions(),
            o.refusals(), o.rejections(),
            o.collapses(), o.violationCount(), o.eventCount(),
            o.deliveryDelays().getValueAtPercentile(50) / 1e3,
            o.deliveryDelays().getValueAtPercentile(99) / 1e3,
            o.deliveryDelays().getValueAtPercentile(99.9) / 1e3};
    }

    private static String line(Run run, World.RunResult outcome) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("run", run.id());
            out.writeStringField("policy", run.policy);
            out.writeNumberField("seed", run.seed);
            out.writeObjectFieldStart("point");
            for (Map.Entry<String, Double> one : run.point.entrySet()) {
                out.writeNumberField(one.getKey(), one.getValue());
            }
            out.writeEndObject();
            double[] figures = figures(outcome);
            for (int i = 0; i < figures.length; i++) {
                out.writeNumberField(FIGURES.get(i), figures[i]);
            }
            out.writeEndObject();
        }
        return text + "\n";
    }

    private void series(Run run, World.RunResult outcome) throws IOException {
        StringBuilder csv = new StringBuilder(
            "at_s,wished,fulfilled,refused,held,serving,waiting,relay_0_holds,relay_0_out\n");
        for (World.Sample m : outcome.samples()) {
            csv.append(m.atMicros() / 1e6).append(',').append(m.requests()).append(',').append(m.deliveries())
                .append(',').append(m.refusedOrRejected())
                .append(',').append(m.openMessages()).append(',').append(m.callsInService()).append(',')
                .append(m.callsQueued())
                .append(',')
                .append(m.firstRelayOpenMessages()).append(',').append(m.firstRelayOpenCalls()).append('\n');
        }
        Files.writeString(Files.createDirectories(folder.resolve("series")).resolve(file(run.id()) + ".csv"),
            csv);
    }

    /** A file's name for a run. */
    static String file(String id) {
        return id.replaceAll("[^A-Za-z0-9.=_-]", "_");
    }

    private void histogram(Run run, World.RunResult outcome) throws IOException {
        Path logs = Files.createDirectories(folder.resolve("delays"));
        try (PrintStream to = new PrintStream(logs.resolve(file(run.id()) + ".hgrm").toFile())) {
            HistogramLogWriter log = new HistogramLogWriter(to);
            log.outputLogFormatVersion();
            log.outputIntervalHistogram(outcome.deliveryDelays());
        }
    }

    /** All runs in the scenario's order, whatever the order in which they were done. */
    private void table(List<Run> all, Map<String, String> done) throws IOException {
        StringBuilder csv = new StringBuilder("policy,seed");
        file.base().sweeps.keySet().forEach(path -> csv.append(',').append(path));
        FIGURES.forEach(figure -> csv.append(',').append(figure));
        csv.append('\n');
        for (Run run : all) {
            String line = done.get(run.id());
            if (line == null) {
                continue;
            }
            csv.append(run.policy).append(',').append(run.seed);
            run.point.values().forEach(figure -> csv.append(',').append(figure));
            Map<String, String> figures = new LinkedHashMap<>();
            try (JsonParser at = new JsonFactory().createParser(line)) {
                while (at.nextToken() != null) {
                    if (at.currentToken().isNumeric()) {
                        figures.put(at.currentName(), at.getText());
                    }
                }
            }
            FIGURES.forEach(figure -> csv.append(',').append(figures.get(figure)));
            csv.append('\n');
        }
        Files.writeString(folder.resolve("table.csv"), csv);
    }
}
