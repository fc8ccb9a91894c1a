package yewpath.wirehost;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewpath.DeliveryPolicy;
import yewpath.PolicyActions;
import yewpath.boot.InvalidInputException;
import yewpath.boot.PlatformSettings;

/**
 * Serves the text protocol of the simulator: reports the events of each round to the delivery policies of
 * the simulated relays, and writes the actions that they ask for.
 */
public final class WireHost {
    private static final int MAX_PAGES = 16;

    private final BufferedReader in;
    private final OutputStream out;
    private final Map<Integer, RelayInstance> instances = new HashMap<>();
    private final TreeMap<Integer, RelayInstance> instancesInRound = new TreeMap<>();
    private final String[][][] pages = new String[MAX_PAGES][][];
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private long nowMicros;
    private int instanceNumber;
    private boolean instanceSelected;

    private WireHost(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /**
     * Serves the protocol until the input ends.
     *
     * @return the exit code of the process: 0 at the end of the input, 1 if a line is invalid
     */
    public static int serve(InputStream in, OutputStream out, PrintStream err) throws IOException {
        WireHost host = new WireHost(in, out);
        try {
            host.run();
            return 0;
        } catch (InvalidInputException exception) {
            err.println("yewpath wirehost: line " + host.lineNumber + ": " + exception.getMessage());
            return 1;
        }
    }

    private String readLine() throws IOException {
        String line = in.readLine();
        lineNumber++;
        return line;
    }

    private void run() throws IOException {
        for (String line = readLine(); line != null; line = readLine()) {
            if (line.isEmpty()) {
                continue;
            }
            String[] tick = split(line);
            if (!tick[0].equals("TICK")) {
                throw new InvalidInputException("expected TICK, found " + tick[0]);
            }
            requireFieldCount(tick, 3);
            nowMicros = parseMicros(tick[1]);
            long roundNumber = parseLong(tick[2]);
            instanceSelected = false;
            playRound(roundNumber);
        }
    }

    /**
     * Plays the events of one round, completes the round of each instance that had any, and writes the
     * reply. The first exception of a policy is reported to the simulator; the round goes on.
     */
    private void playRound(long roundNumber) throws IOException {
        reply.setLength(0);
        instancesInRound.clear();
        String firstFailure = null;
        while (true) {
            String line = readLine();
            if (line == null) {
                throw new InvalidInputException("input ended inside a round");
            }
            if (line.equals("EOB")) {
                break;
            }
            String[] fields = split(line);
            try {
                playEvent(fields);
            } catch (InvalidInputException exception) {
                throw exception;
            } catch (RuntimeException exception) {
                firstFailure = firstFailure == null ? describe(exception) : firstFailure;
            }
        }
        for (Map.Entry<Integer, RelayInstance> entry : instancesInRound.entrySet()) {
            try {
                entry.getValue().policy.completeRound(true);
            } catch (RuntimeException exception) {
                firstFailure = firstFailure == null ? describe(exception) : firstFailure;
            }
            entry.getValue().writeActions(entry.getKey(), reply);
        }
        if (firstFailure != null) {
            reply.append("FATAL\t").append(firstFailure).append('\n');
        }
        reply.append("END\t").append(roundNumber).append('\n');
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Describes an exception on one line, with the place where it was thrown. */
    private static String describe(RuntimeException exception) {
        StackTraceElement[] stackTrace = exception.getStackTrace();
        return (exception + (stackTrace.length > 0 ? " at " + stackTrace[0] : "")).replaceAll("[\\t\\r\\n]+",
            " ");
    }

    private void playEvent(String[] fields) throws IOException {
        switch (fields[0]) {
            case "SWITCH_TO" -> {
                requireFieldCount(fields, 2);
                instanceNumber = parseInt(fields[1]);
                instanceSelected = true;
            }
            case "PAGE" -> readPage(fields);
            case "UP" -> startInstance(fields);
            case "CRASH_NOW" -> {
                instance();
                instances.remove(instanceNumber);
                instancesInRound.remove(instanceNumber);
            }
            case "PEERS_KNOWN" -> updateEndpointList(fields);
            case "INGRESS" -> submitMessage(fields);
            case "FLOWING" -> {
                requireFieldCount(fields, 5);
                instance();
            }
            case "SETTLED" -> endAttempt(fields);
            case "HANGUP" -> withdrawMessage(fields);
            case "DUE" -> {
                requireFieldCount(fields, 2);
                instance().policy.alarmFired();
            }
            case "PONG" -> checkProbeResult(fields);
            case "DATAGRAM" -> checkPeerMessage(fields);
            default -> throw new InvalidInputException("unknown event " + fields[0]);
        }
    }

    /** Returns the selected instance, whose round is then completed at the end. */
    private RelayInstance instance() {
        RelayInstance instance = instanceSelected ? instances.get(instanceNumber) : null;
        if (instance == null) {
            throw new InvalidInputException(
                instanceSelected ? "instance " + instanceNumber + " is not up"
                    : "no instance is selected; SWITCH_TO is missing");
        }
        if (instancesInRound.put(instanceNumber, instance) == null) {
            instance.setTime(nowMicros);
        }
        return instance;
    }

    private void startInstance(String[] fields) {
        if (fields.length < 2 || !instanceSelected) {
            throw new InvalidInputException("UP requires a selected instance and a seed");
        }
        long seed;
        try {
            seed = fields[1].startsWith("-") ? Long.parseLong(fields[1]) : Long.parseUnsignedLong(fields[1]);
        } catch (NumberFormatException exception) {
            throw new InvalidInputException("not an integer: " + fields[1]);
        }
        RelayInstance instance = new RelayInstance(PlatformSettings.ofFields(fields, 2), seed, nowMicros);
        instances.put(instanceNumber, instance);
        instancesInRound.put(instanceNumber, instance);
    }

    /** Reads a page, an endpoint list that later messages refer to by its number. */
    private void readPage(String[] fields) throws IOException {
        requireFieldCount(fields, 3);
        int pageNumber = parseInt(fields[1]);
        int count = parseInt(fields[2]);
        if (pageNumber < 0 || pageNumber >= MAX_PAGES || count < 0) {
            throw new InvalidInputException("no such page: " + pageNumber);
        }
        List<String[]> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String line = readLine();
            if (line == null) {
                throw new InvalidInputException("input ended inside a page");
            }
            String[] entry = split(line);
            if (!entry[0].equals("ENDPOINT")) {
                throw new InvalidInputException("expected ENDPOINT, found " + entry[0]);
            }
            requireFieldCount(entry, 8);
            parseDouble(entry[6]);
            parseMicros(entry[7]);
            if (entry[5].length() != 1 || "ULD".indexOf(entry[5].charAt(0)) < 0) {
                throw new InvalidInputException("unknown phase " + entry[5]);
            }
            entries.add(entry);
        }
        pages[pageNumber] = entries.toArray(new String[0][]);
    }

    private void updateEndpointList(String[] fields) {
        requireFieldCount(fields, 4);
        RelayInstance instance = instance();
        DeliveryPolicy policy = instance.policy;
        if (fields[1].equals("failed")) {
            policy.endpointListFailed();
            return;
        }
        boolean complete = fields[1].equals("full") || fields[1].equals("cached");
        if (!complete && !fields[1].equals("delta")) {
            throw new InvalidInputException("unknown kind of list " + fields[1]);
        }
        int pageNumber = parseInt(fields[3]);
        if (pageNumber < 0 || pageNumber >= MAX_PAGES || pages[pageNumber] == null) {
            throw new InvalidInputException("no page " + fields[3]);
        }
        policy.endpointListStarted(complete, fields[1].equals("cached"));
        for (String[] endpointFields : pages[pageNumber]) {
            policy.endpointListed(instance.endpoints.getOrAdd(endpointFields[1]),
                instance.zone(endpointFields[2]), instance.kind(endpointFields[3]),
                instance.destinations.getOrAdd(endpointFields[4]), "ULD".indexOf(endpointFields[5].charAt(0)),
                parseDouble(endpointFields[6]),
                parseMicros(endpointFields[7]));
        }
        policy.endpointListEnded();
    }

    private void submitMessage(String[] fields) {
        requireFieldCount(fields, 9);
        RelayInstance instance = instance();
        int messageClass = instance.messageClasses.find(fields[2]);
        if (messageClass < 0) {
            throw new InvalidInputException("unknown message class " + fields[2]);
        }
        long deadlineMicros = parseMicros(fields[5]);
        if (!fields[8].equals("-")) {
            parseInt(fields[8]);
        }
        int destination = instance.destinations.getOrAdd(fields[7]);
        int message = instance.addMessage(fields[1], fields[4].equals("-") ? null : fields[4]);
        instance.policy.messageAccepted(message, messageClass, instance.tenants.find(fields[3]),
            instance.keyIndex(message),
            destination, deadlineMicros, 0, -1, 0);
    }

    private void endAttempt(String[] fields) {
        requireFieldCount(fields, 9);
        RelayInstance instance = instance();
        int message = instance.messages.find(fields[1]);
        int endpoint = instance.endpoints.find(fields[4]);
        if (message < 0 || endpoint < 0) {
            throw new InvalidInputException(
                "outcome of a message or endpoint that was never sent to: " + fields[1] + " " + fields[4]);
        }
        boolean finished = fields[2].equals("1");
        int outcome = parseInt(fields[7]);
        if (outcome < 0 || outcome > PolicyActions.NOT_EXECUTED) {
            throw new InvalidInputException("unknown outcome " + fields[7]);
        }
        // The detail of an overload is the time to wait in milliseconds.
        double outcomeDetail = parseDouble(fields[5]);
        String[] loadReport = loadReport(fields[8]);
        instance.policy.attemptEnded(message, finished, parseInt(fields[3]), endpoint, outcome,
            outcome == PolicyActions.OVERLOADED ? Math.round(outcomeDetail * 1000) : 0,
            parseMicros(fields[6]),
            reportValue(loadReport, instance.remainingShareColumn),
            reportValue(loadReport, instance.reportedLimitColumn));
        if (finished && !instance.isEnded(message)) {
            instance.end(message);
        }
        instance.attemptEnded(message);
    }

    private void withdrawMessage(String[] fields) {
        requireFieldCount(fields, 2);
        RelayInstance instance = instance();
        int message = instance.messages.find(fields[1]);
        if (message >= 0 && !instance.isEnded(message)) {
            instance.policy.messageWithdrawn(message);
            instance.end(message);
        }
    }

    private void checkProbeResult(String[] fields) {
        requireFieldCount(fields, 5);
        RelayInstance instance = instance();
        if (instance.endpoints.find(fields[1]) < 0) {
            throw new InvalidInputException("probe result for an unknown endpoint: " + fields[1]);
        }
    }

    private void checkPeerMessage(String[] fields) {
        requireFieldCount(fields, 3);
        parseInt(fields[1]);
        instance();
    }

    private static String[] loadReport(String field) {
        return field.equals("-") || field.isEmpty() ? new String[0] : field.split(",");
    }

    /** Returns one value of a load report; NaN if it is missing. */
    private static double reportValue(String[] loadReport, int column) {
        return column < 0 || column >= loadReport.length ? Double.NaN : parseDouble(loadReport[column]);
    }

    private static void requireFieldCount(String[] fields, int count) {
        if (fields.length != count) {
            throw new InvalidInputException(
                fields[0] + " has " + (fields.length - 1) + " fields, not " + (count - 1));
        }
    }

    /** Splits a line at its tabs, keeping empty fields. */
    private static String[] split(String line) {
        int count = 1;
        for (int i = line.indexOf('\t'); i >= 0; i = line.indexOf('\t', i + 1)) {
            count++;
        }
        String[] fields = new String[count];
        int start = 0;
        for (int i = 0; i < count - 1; i++) {
            int tab = line.indexOf('\t', start);
            fields[i] = line.substring(start, tab);
            start = tab + 1;
        }
        fields[count - 1] = line.substring(start);
        return fields;
    }

    private static double parseDouble(String field) {
        if (field.equals("-")) {
            return 0;
        }
        try {
            return Double.parseDouble(field);
        } catch (NumberFormatException exception) {
            throw new InvalidInputException("not a number: " + field);
        }
    }

    /** Parses a time in milliseconds and returns it in microseconds. */
    private static long parseMicros(String field) {
        return Math.round(parseDouble(field) * 1000);
    }

    private static long parseLong(String field) {
        try {
            return Long.parseLong(field);
        } catch (NumberFormatException exception) {
            throw new InvalidInputException("not an integer: " + field);
        }
    }

    private static int parseInt(String field) {
        long value = parseLong(field);
        if (value != (int) value) {
            throw new InvalidInputException("out of range: " + field);
        }
        return (int) value;
    }
}
