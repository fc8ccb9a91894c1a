package yewpath.lab.run;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the results of an experiment from its folder. */
public final class Results {
    /**
     * The results of one run.
     *
     * @param id text that identifies the run within its folder
     * @param policy name of the delivery policy
     * @param point the swept parameters by path
     * @param metrics the measured values by name, as {@link ExperimentRunner#METRICS} lists them; also holds
     *     the seed
     */
    public record Row(String id, String policy, long seed, Map<String, Double> point,
        Map<String, Double> metrics) {
        /**
         * Returns the name, without extension, of the files of this run in {@code delays} and {@code series}.
         */
        public String fileName() {
            return ExperimentRunner.fileName(id);
        }
    }

    private Results() {}

    /**
     * Reads all runs of a folder in the order in which they were finished.
     *
     * @throws IOException if {@code runs.jsonl} is missing, cannot be read or is not valid
     */
    public static List<Row> read(Path folder) throws IOException {
        List<Row> rows = new ArrayList<>();
        for (String line : Files.readAllLines(folder.resolve("runs.jsonl"))) {
            rows.add(parseRow(line));
        }
        return rows;
    }

    private static Row parseRow(String line) throws IOException {
        String id = "";
        String policy = "";
        Map<String, Double> point = new LinkedHashMap<>();
        Map<String, Double> metrics = new LinkedHashMap<>();
        boolean inPoint = false;
        try (JsonParser parser = new JsonFactory().createParser(line)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if ("point".equals(parser.currentName()) && token.isStructStart()) {
                    inPoint = true;
                } else if (token.isStructEnd()) {
                    inPoint = false;
                } else if (token.isNumeric()) {
                    (inPoint ? point : metrics).put(parser.currentName(), parser.getDoubleValue());
                } else if (token == JsonToken.VALUE_STRING) {
                    id = parser.currentName().equals("run") ? parser.getText() : id;
                    policy = parser.currentName().equals("policy") ? parser.getText() : policy;
                }
            }
        }
        return new Row(id, policy, metrics.get("seed").longValue(), point, metrics);
    }
}
